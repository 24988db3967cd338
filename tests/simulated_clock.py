"""Runs an event loop on a simulated clock, which it advances instead of waiting."""

import asyncio
import selectors
import time


class _Selector(selectors.SelectSelector):
    """Advances the simulated clock by the timeout instead of waiting."""

    def __init__(self, clock):
        super().__init__()
        self._clock = clock

    def select(self, timeout=None):
        if timeout:
            self._clock[0] += timeout
        return super().select(0)


def run_simulated(monkeypatch, make):
    """Runs the coroutine that `make` returns on a simulated clock; returns its result."""
    clock = [1000.0]
    monkeypatch.setattr(time, "monotonic", lambda: clock[0])
    loop = asyncio.SelectorEventLoop(_Selector(clock))
    try:
        return loop.run_until_complete(make())
    finally:
        loop.close()
        monkeypatch.undo()
