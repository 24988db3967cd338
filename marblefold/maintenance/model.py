"""Maintenance windows and floors: the document, and what operators send."""

import enum
import json
from datetime import UTC, datetime, timedelta
from typing import NamedTuple

from marblefold.errors import MeshError
from marblefold.json_bodies import BadBody, read_object

__all__ = ["MaintenanceDocument", "Window", "WindowState", "read_floors_body", "read_window_body"]

_LONGEST = timedelta(days=7)
_FIRST_YEAR, _LAST_YEAR = 1970, 2500


class WindowState(enum.Enum):
    """The state of a window."""

    PLANNED = "planned"
    # Planned for later than wanted, because of a floor and the windows before it.
    SHIFTED = "shifted"
    # Its wanted start is over, but there is not enough capacity.
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
    """One zone to be evacuated for some time."""

    name: str
    zone: str
    wanted_start: datetime
    length: timedelta
    latest_end: datetime
    state: WindowState = WindowState.PLANNED
    # Its start: the actual one, or the planned one.
    start: datetime | None = None
    reason: str = ""
    # Whether the zone has been evacuated for it.
    is_evacuated: bool = False

    @property
    def expected_start(self) -> datetime:
        """Its actual or planned start."""
        return self.start or self.wanted_start

    @property
    def expected_end(self) -> datetime:
        """Its actual or planned end."""
        return self.expected_start + self.length

    def is_same_request(self, other: "Window") -> bool:
        """Whether both are the same wish of an operator, wherever they stand."""
        return (self.name, self.zone, self.wanted_start, self.length, self.latest_end) == (
            other.name,
            other.zone,
            other.wanted_start,
            other.length,
            other.latest_end,
        )

    def to_json_object(self) -> dict:
        """The window as a JSON object for operators and stores."""
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
    """All floors and windows, in one register so that every grant is a single change."""

    floors: dict[str, int]
    windows: dict[str, Window]

    def pack(self) -> bytes:
        """The document as bytes."""
        return json.dumps(
            {
                "floors": self.floors,
                "windows": [window.to_json_object() for window in self.windows.values()],
            },
            sort_keys=True,
        ).encode()

    @classmethod
    def read(cls, data: bytes) -> "MaintenanceDocument":
        """The document in the bytes; no bytes give an empty one."""
        if not data:
            return cls({}, {})
        plain = json.loads(data)
        windows = {}
        for row in plain["windows"]:
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
        return cls(plain["floors"], windows)

    def with_window(self, window: Window) -> "MaintenanceDocument":
        """The document with the window added or replaced."""
        return self._replace(windows={**self.windows, window.name: window})


def read_window_body(name: str, body: bytes, zones: set[str]) -> Window:
    """The window in a request body. Raises an ExceptionGroup of MeshError, one a bad field."""
    document, faults = _read_object(body), []

    def field(key: str, convert):
        try:
            return convert(document[key])
        except KeyError:
            faults.append(MeshError("window", f"{key}: missing"))
        except (ValueError, TypeError, OverflowError) as error:
            faults.append(MeshError("window", f"{key}: {error}"))
        return None

    zone = field("zone", lambda value: _known_zone(value, zones))
    start = field("wanted-start", _moment)
    length = field("length-s", _length)
    end = field("latest-end", _moment)
    if not faults and start + length > end:
        faults.append(MeshError("window", "latest-end: before wanted-start and length-s are over"))
    if faults:
        raise ExceptionGroup("window", faults)
    return Window(name, zone, start, length, end)


def read_floors_body(body: bytes, capacity: dict[str, int]) -> dict[str, int]:
    """The floors in a request body, slots by upstream; `capacity` is all there is.

    Raises an ExceptionGroup of MeshError, one for each bad floor.
    """
    floors, faults = _read_object(body), []
    for upstream, slots in floors.items():
        if isinstance(slots, bool) or not isinstance(slots, int) or slots < 0:
            faults.append(MeshError("floors", f"{upstream}: not a number of slots"))
        elif slots > capacity.get(upstream, 0):
            faults.append(
                MeshError(
                    "floors",
                    f"{upstream}: {slots} is above all there is, {capacity.get(upstream, 0)}",
                )
            )
    if faults:
        raise ExceptionGroup("floors", faults)
    return floors


def _read_object(body: bytes) -> dict:
    try:
        return read_object(body)
    except BadBody as error:
        raise ExceptionGroup("body", [MeshError("read", str(error))]) from error


def _known_zone(value: object, zones: set[str]) -> str:
    if value not in zones:
        raise ValueError(f"no zone {value!r}")
    return str(value)


def _moment(value: object) -> datetime:
    moment = datetime.fromisoformat(str(value))
    if moment.tzinfo is None:
        raise ValueError("without a time zone")
    # Far from the calendar's ends, so that no sum of times leaves it.
    if not _FIRST_YEAR <= moment.year <= _LAST_YEAR:
        raise ValueError(f"not from {_FIRST_YEAR} to {_LAST_YEAR}")
    return moment.astimezone(UTC)


def _length(value: object) -> timedelta:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError("not a number of seconds")
    length = timedelta(seconds=value)
    if not timedelta(0) < length <= _LONGEST:
        raise ValueError("not above zero and within a week")
    return length
