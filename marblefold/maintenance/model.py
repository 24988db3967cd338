"""Maintenance windows and capacity floors: the stored document and operators' requests."""

import enum
import json
from datetime import UTC, datetime, timedelta
from typing import NamedTuple

from marblefold.errors import MeshError
from marblefold.json_bodies import BadBody, read_object

__all__ = ["MaintenanceDocument", "Window", "WindowState", "read_floors_body", "read_window_body"]

_MAX_LENGTH = timedelta(days=7)
_MIN_YEAR, _MAX_YEAR = 1970, 2500


class WindowState(enum.Enum):
    """The state of a maintenance window."""

    PLANNED = "planned"
    # Planned later than wanted, because of a floor and the windows ahead of it.
    SHIFTED = "shifted"
    # Its wanted start has passed, but there is not enough capacity.
    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    WITHDRAWN = "withdrawn"
    IMPOSSIBLE = "impossible"

    @property
    def is_over(self) -> bool:
        """Whether the state is final."""
        return self in (WindowState.FINISHED, WindowState.WITHDRAWN, WindowState.IMPOSSIBLE)


class Window(NamedTuple):
    """A period during which one zone is evacuated."""

    name: str
    zone: str
    wanted_start: datetime
    length: timedelta
    latest_end: datetime
    state: WindowState = WindowState.PLANNED
    # The actual start once the window has started, until then the planned one.
    start: datetime | None = None
    reason: str = ""
    # Whether the zone is evacuated for this window and has yet to be restored.
    is_evacuated: bool = False

    @property
    def expected_start(self) -> datetime:
        """The actual or planned start."""
        return self.start or self.wanted_start

    @property
    def expected_end(self) -> datetime:
        """The actual or planned end."""
        return self.expected_start + self.length

    def is_same_request(self, other: "Window") -> bool:
        """Whether both come from the same operator request, whatever their states."""
        return (self.name, self.zone, self.wanted_start, self.length, self.latest_end) == (
            other.name,
            other.zone,
            other.wanted_start,
            other.length,
            other.latest_end,
        )

    def to_json_object(self) -> dict:
        """Returns the window as a JSON object for operators and stores."""
        return {
            "name": self.name,
            "zone": self.zone,
            "wanted-start": self.wanted_start.isoformat(),
            "length-s": self.length.total_seconds(),
            "latest-end": self.latest_end.isoformat(),
            "state": self.state.value,
            "start": self.start.isoformat() if self.start else None,
            "expected-start": self.expected_start.isoformat(),
            "reason": self.reason,
            "emptied": self.is_evacuated,
        }


class MaintenanceDocument(NamedTuple):
    """All floors and windows, in one register so that starting a window is a single change."""

    floors: dict[str, int]
    windows: dict[str, Window]

    def pack(self) -> bytes:
        """Serializes the document."""
        return json.dumps(
            {
                "floors": self.floors,
                "windows": [window.to_json_object() for window in self.windows.values()],
            },
            sort_keys=True,
        ).encode()

    @classmethod
    def read(cls, data: bytes) -> "MaintenanceDocument":
        """Parses a stored document; empty bytes give an empty document."""
        if not data:
            return cls({}, {})
        fields = json.loads(data)
        windows = {}
        for row in fields["windows"]:
            windows[row["name"]] = Window(
                row["name"],
                row["zone"],
                datetime.fromisoformat(row["wanted-start"]),
                timedelta(seconds=row["length-s"]),
                datetime.fromisoformat(row["latest-end"]),
                WindowState(row["state"]),
                datetime.fromisoformat(row["start"]) if row["start"] else None,
                row["reason"],
                row["emptied"],
            )
        return cls(fields["floors"], windows)

    def with_window(self, window: Window) -> "MaintenanceDocument":
        """Returns the document with the window added or replaced."""
        return self._replace(windows={**self.windows, window.name: window})


def read_window_body(name: str, body: bytes, zones: set[str]) -> Window:
    """Parses a window request.

    Raises an ExceptionGroup with one MeshError for each invalid field.
    """
    document, errors = _read_object(body), []

    def field(key: str, convert):
        try:
            return convert(document[key])
        except KeyError:
            errors.append(MeshError("window", f"{key}: missing"))
        except (ValueError, TypeError, OverflowError) as error:
            errors.append(MeshError("window", f"{key}: {error}"))
        return None

    zone = field("zone", lambda value: _parse_zone(value, zones))
    start = field("wanted-start", _parse_time)
    length = field("length-s", _parse_length)
    end = field("latest-end", _parse_time)
    if not errors and start + length > end:
        errors.append(MeshError("window", "latest-end: before wanted-start and length-s are over"))
    if errors:
        raise ExceptionGroup("window", errors)
    return Window(name, zone, start, length, end)


def read_floors_body(body: bytes, capacity: dict[str, int]) -> dict[str, int]:
    """Parses the floors in a request body, as slots by upstream.

    `capacity` is the total number of slots by upstream.
    Raises an ExceptionGroup with one MeshError for each invalid floor.
    """
    floors, errors = _read_object(body), []
    for upstream, slots in floors.items():
        if isinstance(slots, bool) or not isinstance(slots, int) or slots < 0:
            errors.append(MeshError("floors", f"{upstream}: not a number of slots"))
        elif slots > capacity.get(upstream, 0):
            errors.append(
                MeshError(
                    "floors",
                    f"{upstream}: {slots} is above all there is, {capacity.get(upstream, 0)}",
                )
            )
    if errors:
        raise ExceptionGroup("floors", errors)
    return floors


def _read_object(body: bytes) -> dict:
    try:
        return read_object(body)
    except BadBody as error:
        raise ExceptionGroup("body", [MeshError("read", str(error))]) from error


def _parse_zone(value: object, zones: set[str]) -> str:
    if value not in zones:
        raise ValueError(f"no zone {value!r}")
    return str(value)


def _parse_time(value: object) -> datetime:
    time = datetime.fromisoformat(str(value))
    if time.tzinfo is None:
        raise ValueError("without a time zone")
    # Keeps sums of times within the range of datetime.
    if not _MIN_YEAR <= time.year <= _MAX_YEAR:
        raise ValueError(f"not from {_MIN_YEAR} to {_MAX_YEAR}")
    return time.astimezone(UTC)


def _parse_length(value: object) -> timedelta:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError("not a number of seconds")
    length = timedelta(seconds=value)
    if not timedelta(0) < length <= _MAX_LENGTH:
        raise ValueError("not above zero and within a week")
    return length
