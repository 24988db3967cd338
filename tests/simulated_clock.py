"""An event loop whose time is simulated: it waits by letting its clock go on."""

import asyncio
import selectors
import time


class _Selector(selectors.SelectSelector):
    """Waits by letting the simulated clock go on."""

    def __init__(self, clock):
        super().__init__()
        self._clock = clock

    def select(self, timeout=None):
        if timeout:
            self._clock[0] += timeout
        return super().select(0)


def run_simulated(monkeypatch, make):
    """Runs the coroutine on a simulated clock; its result."""
    clock = [1000.0]
    monkeypatch.setattr(time, "monotonic", lambda: clock[0])
    loop = asyncio.SelectorEventLoop(_Selector(clock))
    try:
        return loop.run_until_complete(make())
    finally:
        loop.close()
        monkeypatch.undo()
