"""What a registry does about partners: verifies, grants leases, judges lapses.

A registry grants a lease only out of a read that met a majority of the stores,
and no longer than that read is good for.  So once a change was chosen, every
lease granted without it ends within one lease, whatever is cut off or asleep.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Protocol

from marblefold.errors import MeshError
from marblefold.leases.held_leases import DRIFT_MARGIN, LEASE_SECONDS
from marblefold.logs import log
from marblefold.partners.document import Document, lapse
from marblefold.partners.merging import PartnerTable, merge
from marblefold.register_store.call_kinds import RegisterCallKind

__all__ = ["PartnerDuty", "REGISTER", "ENFORCED_AFTER"]

REGISTER = "partners"
# Each read is good for a lease; it is made anew well before that is over.
_VERIFY_EVERY = timedelta(seconds=0.8)
# From the choice of a word on, so long until no node can act without it.
ENFORCED_AFTER = timedelta(seconds=LEASE_SECONDS * (1.0 + DRIFT_MARGIN))


class RegisterClient(Protocol):
    """Where the partners' document is kept."""

    async def ask(self, kind: str, register: str, number: int = 0, value: bytes = b""): ...


class PartnerDuty:
    """The newest document known here, and how long it is known to be the newest."""

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
        # When each partner's newest word was first seen here.
        self._seen: dict[str, tuple[int, float]] = {}

    def take(self, number: int, value: bytes) -> None:
        """A majority holds this document."""
        if number > self.number:
            self.number, self.value = number, value
            self.table = merge(number, value)

    def left(self) -> float:
        """For how long from now on the table here is surely the newest enforced."""
        return max(0.0, self._verified_until - self._clock())

    async def run(self) -> None:
        """Makes rounds for ever; without partners a round costs nothing."""
        while True:
            await self._sleep(_VERIFY_EVERY.total_seconds())
            if not self.number:
                continue
            try:
                await self.step()
            except MeshError as error:
                log.info("partners not verified", step=error.step, reason=error.reason)

    async def step(self) -> None:
        """One round: a read that meets a majority, then who fell silent."""
        began = self._clock()
        held = await self._store_client.ask(RegisterCallKind.DESCRIBE, REGISTER)
        self.take(held.number, held.value)
        # Whatever was chosen before the read began was seen by it.
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
            # A partner that drops out stays out until its word is read again.
            if now - since > partner["lapse-after-s"] and self._is_holder():
                changed = lapse(document, name, reads)
                answer = await self._store_client.ask(
                    RegisterCallKind.DUTY, REGISTER, self.number, changed.pack()
                )
                self.take(answer.number, answer.value)
                log.warning("partner lapsed", partner=name, silent=round(now - since, 1))
                return
