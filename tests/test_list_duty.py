"""How soon the registry with the duty publishes what the platform lists."""

import asyncio
import contextlib
import types
from datetime import timedelta

from marblefold.registry.catalogue import Catalogue
from marblefold.registry.list_duty import ListDuty
from tests.simulated_clock import run_simulated

DRAIN_TIME = timedelta(seconds=3)
# Hundreds of targets are several pages, each some time after the one before.
READ_SECONDS = 0.6


class SlowList:
    """A list whose first page was as it was when the reading began."""

    def __init__(self):
        self.began = []

    async def read(self):
        self.began.append(asyncio.get_running_loop().time())
        await asyncio.sleep(READ_SECONDS)
        return {}


class Registers:
    """Grants the duty to whoever asks."""

    def __init__(self):
        self.number, self.value = 0, b""

    async def ask(self, kind, _register, number=0, value=b""):
        if kind == "duty" and number == self.number:
            self.number, self.value = number + 1, value
        return types.SimpleNamespace(number=self.number, value=self.value)


def test_a_drain_that_just_misses_a_page_is_published_within_two_thirds_of_its_time(monkeypatch):
    listing = SlowList()

    async def test():
        duty = ListDuty(
            listing,
            Catalogue(1),
            Registers(),
            "own:1",
            lambda: True,
            lambda _zone: "",
            DRAIN_TIME,
        )
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(duty.run(), 60.0)

    run_simulated(monkeypatch, test)
    gaps = [later - one for one, later in zip(listing.began, listing.began[1:], strict=False)]
    assert len(gaps) > 20
    # The page is read again behind the longest gap; then the rest of the list follows.
    assert max(gaps) + READ_SECONDS < 2 / 3 * DRAIN_TIME.total_seconds()
