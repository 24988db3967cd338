"""Partners at a registry: verifies the document, grants leases, marks lapses.

A registry grants a lease only from a read through a majority of the stores and
only for as long as that read is valid.  So once a change is chosen, every lease
granted without it expires within one lease time, even across partitions and
pauses.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from datetime import timedelta

from marblefold.errors import MeshError
from marblefold.leases.held_leases import CLOCK_DRIFT_MARGIN, LEASE_SECONDS
from marblefold.logs import log
from marblefold.partners.document import Document, lapse
from marblefold.partners.merging import PartnerTable, merge
from marblefold.register_store.call_kinds import RegisterCallKind
from marblefold.register_store.register_client import RegisterClient

__all__ = ["PartnerDuty", "REGISTER", "ENFORCED_AFTER"]

REGISTER = "partners"
# A read is valid for one lease time and is repeated well before that ends.
_VERIFY_EVERY = timedelta(seconds=0.8)
# Time from the choice of a change until no node can act without it.
ENFORCED_AFTER = timedelta(seconds=LEASE_SECONDS * (1.0 + CLOCK_DRIFT_MARGIN))


class PartnerDuty:
    """The newest document known here, and until when it is certainly the newest."""

    def __init__(
        self,
        store_client: RegisterClient,
        is_holder: Callable[[], bool],
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self.number = 0
        self.value = b""
        self.table: PartnerTable = PartnerTable(0, "", {}, {})
        self._store_client = store_client
        self._is_holder = is_holder
        self._clock = clock
        self._sleep = sleep
        self._verified_until = -1e9
        # By partner: its newest count of reads and when that was first seen, in seconds.
        self._seen: dict[str, tuple[int, float]] = {}

    def take(self, number: int, value: bytes) -> None:
        """Takes in a document that a majority of the stores holds."""
        if number > self.number:
            self.number, self.value = number, value
            self.table = merge(number, value)

    def left(self) -> float:
        """Seconds for which the table here is certainly the newest one."""
        return max(0.0, self._verified_until - self._clock())

    async def run(self) -> None:
        """A step every 0.8 s, for ever; without partners it does nothing."""
        while True:
            await self._sleep(_VERIFY_EVERY.total_seconds())
            if not self.number:
                continue
            try:
                await self.step()
            except MeshError as error:
                log.info("partners not verified", step=error.step, reason=error.reason)

    async def step(self) -> None:
        """Reads through a majority, then marks lapsed partners. Raises MeshError without one."""
        began = self._clock()
        held = await self._store_client.ask(RegisterCallKind.DESCRIBE, REGISTER)
        self.take(held.number, held.value)
        # The read saw every change that was chosen before it began.
        if held.number == self.number:
            self._verified_until = began + LEASE_SECONDS
        await self._judge_lapses(self._clock())

    async def _judge_lapses(self, now: float) -> None:
        document = Document.read(self.value)
        for name, partner in document.partners.items():
            reads, since = self._seen.get(name, (-1, now))
            if reads != partner["reads"]:
                self._seen[name] = (partner["reads"], now)
                continue
            if partner["withdrawn"] or partner["lapsed"] or not partner["exports"]:
                continue
            # A lapsed partner stays so until it sends its exports again.
            if now - since > partner["lapse-after-s"] and self._is_holder():
                changed = lapse(document, name, reads)
                answer = await self._store_client.ask(
                    RegisterCallKind.DUTY, REGISTER, self.number, changed.pack()
                )
                self.take(answer.number, answer.value)
                log.warning("partner lapsed", partner=name, silent=round(now - since, 1))
                return
