"""The clock, the sleep and the chance of a store, so that tests can give their own."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

__all__ = ["REAL_TIMING", "StoreTiming"]


class StoreTiming(NamedTuple):
    """Where a store has its time and chance from; seconds throughout."""

    clock: Callable[[], float] = time.monotonic
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
    uniform: Callable[[float, float], float] = random.uniform


REAL_TIMING = StoreTiming()
