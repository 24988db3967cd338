"""The clock, sleep and random numbers of a store; tests replace them."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

__all__ = ["REAL_TIMING", "StoreTiming"]


class StoreTiming(NamedTuple):
    """The sources of time and randomness of a store; all times in seconds."""

    clock: Callable[[], float] = time.monotonic
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
    uniform: Callable[[float, float], float] = random.uniform


REAL_TIMING = StoreTiming()
