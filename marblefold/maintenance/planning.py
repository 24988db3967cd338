"""Plans all maintenance windows together, as a pure function of floors, windows and capacity.

A window starts only if the slots outside its zone, and outside the zones of
all windows that overlap it, satisfy every floor.  Otherwise it waits or is moved
to a later start; a running window is never shortened for it.
"""

from datetime import datetime
from typing import NamedTuple

from marblefold.maintenance.model import MaintenanceDocument, Window, WindowState

__all__ = ["LiveSlots", "change_state", "plan_windows", "find_shortfalls"]

_ALLOWED_TRANSITIONS = {
    WindowState.PLANNED: set(WindowState),
    WindowState.SHIFTED: set(WindowState),
    WindowState.WAITING: set(WindowState),
    WindowState.RUNNING: {WindowState.RUNNING, WindowState.FINISHED, WindowState.WITHDRAWN},
}


class LiveSlots(NamedTuple):
    """The slots available now, by upstream and zone.

    Excludes cold, draining, leaving, suspected and lost targets, and those in
    zones that are evacuated now.
    """

    slots: dict[tuple[str, str], int]

    def count_outside(self, upstream: str, zones: set[str]) -> int:
        """Returns the number of slots of the upstream outside the zones."""
        return sum(
            count
            for (name, zone), count in self.slots.items()
            if name == upstream and zone not in zones
        )


def change_state(window: Window, state: WindowState, **fields) -> Window:
    """Returns the window in its new state. Raises ValueError if the transition is not allowed."""
    if state not in _ALLOWED_TRANSITIONS.get(window.state, {window.state}):
        raise ValueError(f"{window.name}: {window.state.value} cannot become {state.value}")
    return window._replace(state=state, **fields)


def find_shortfalls(floors: dict[str, int], live: LiveSlots, zones: set[str]) -> list[str]:
    """Describes each floor that would be violated with the zones evacuated."""
    shortfalls = []
    for upstream in sorted(floors):
        remaining = live.count_outside(upstream, zones)
        if remaining < floors[upstream]:
            shortfalls.append(
                f"{upstream}: {remaining} slots left, the floor is {floors[upstream]}"
            )
    return shortfalls


def plan_windows(
    document: MaintenanceDocument, live: LiveSlots, now: datetime
) -> MaintenanceDocument:
    """Returns the document as it should be at `now`; an equal one if nothing changes."""
    # A window that starts is ahead of every pending one from then on, whatever its place
    # among them was: the others are planned again.  Windows only start or end here.
    while (planned := _plan_once(document, live, now)) != document:
        document = planned
    return document


def _plan_once(
    document: MaintenanceDocument, live: LiveSlots, now: datetime
) -> MaintenanceDocument:
    running = {}
    windows = dict(document.windows)
    for name, window in windows.items():
        if window.state is not WindowState.RUNNING:
            continue
        if now >= window.expected_end:
            windows[name] = change_state(window, WindowState.FINISHED, reason="")
        else:
            running[name] = window
    # Sorted by wanted start, so that windows are planned in that order.
    pending = sorted(
        (
            window
            for window in windows.values()
            if window.state not in (WindowState.RUNNING,) and not window.state.is_over
        ),
        key=lambda window: (window.wanted_start, window.name),
    )
    ahead = list(running.values())
    for window in pending:
        planned = _plan_window(window, ahead, document.floors, live, now)
        windows[window.name] = planned
        if not planned.state.is_over:
            ahead.append(planned)
    return document._replace(windows=windows)


def _plan_window(
    window: Window,
    ahead: list[Window],
    floors: dict[str, int],
    live: LiveSlots,
    now: datetime,
) -> Window:
    """Plans the window at the first start that satisfies every floor, given those `ahead` of it."""
    earliest_start = max(window.wanted_start, now)
    # Candidates: the earliest start, and the ends of the windows ahead.
    starts = sorted(
        {earliest_start}
        | {other.expected_end for other in ahead if other.expected_end > earliest_start}
    )
    reason = ""
    for start in starts:
        end = start + window.length
        if end > window.latest_end:
            break
        zones = _zones_during(ahead, start, end)
        missing = find_shortfalls(floors, live, zones | {window.zone})
        if missing:
            reason = reason or "; ".join(missing)
            continue
        return _schedule(window, start, reason, now)
    if max(now, window.wanted_start) + window.length > window.latest_end:
        return change_state(
            window, WindowState.IMPOSSIBLE, reason=reason or "no time is left before latest-end"
        )
    # No end of a known window frees enough capacity; new targets may.
    if window.wanted_start <= now:
        return change_state(window, WindowState.WAITING, start=earliest_start, reason=reason)
    return change_state(window, WindowState.PLANNED, start=window.wanted_start, reason=reason)


def _schedule(window: Window, start: datetime, reason: str, now: datetime) -> Window:
    if start <= now:
        return change_state(window, WindowState.RUNNING, start=now, reason="")
    if start == window.wanted_start:
        return change_state(window, WindowState.PLANNED, start=start, reason="")
    state = WindowState.WAITING if window.wanted_start <= now else WindowState.SHIFTED
    return change_state(window, state, start=start, reason=reason)


def _zones_during(ahead: list[Window], start: datetime, end: datetime) -> set[str]:
    return {
        other.zone for other in ahead if other.expected_start < end and start < other.expected_end
    }
