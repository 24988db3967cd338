"""A registry's side of partners: verifies the partners' document and marks lapsed partners.

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
from marblefold.partners.document import PartnersDocument, mark_lapsed
from marblefold.partners.partner_table import PartnerTable, build_partner_table
from marblefold.register_store.call_kinds import RegisterCallKind
from marblefold.register_store.register_client import RegisterClient

__all__ = ["PartnerCoordinator", "PARTNERS_REGISTER", "ENFORCED_AFTER"]

PARTNERS_REGISTER = "partners"
# A read is valid for one lease time and is repeated well before that ends.
_VERIFY_INTERVAL = timedelta(seconds=0.8)
# Time after a change is chosen until no node can act on an older document.
ENFORCED_AFTER = timedelta(seconds=LEASE_SECONDS * (1.0 + CLOCK_DRIFT_MARGIN))


class PartnerCoordinator:
    """Keeps the newest known document and the time until which it is certainly the newest."""

    def __init__(
        self,
        store_client: RegisterClient,
        is_leader: Callable[[], bool],
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self.number = 0
        self.value = b""
        self.table: PartnerTable = PartnerTable(0, "", {}, {})
        self._store_client = store_client
        self._is_leader = is_leader
        self._clock = clock
        self._sleep = sleep
        self._verified_until = -1e9
        # By partner: its latest count of reads, and the clock time in seconds when first seen.
        self._observed_reads: dict[str, tuple[int, float]] = {}

    def apply_document(self, number: int, value: bytes) -> None:
        """Applies a document that a majority of the stores accepted; ignores older numbers."""
        if number > self.number:
            self.number, self.value = number, value
            self.table = build_partner_table(number, value)

    def remaining_seconds(self) -> float:
        """Returns the seconds for which the local table is certainly the newest one."""
        return max(0.0, self._verified_until - self._clock())

    async def run(self) -> None:
        """Runs a step every 0.8 s, forever; without partners it does nothing."""
        while True:
            await self._sleep(_VERIFY_INTERVAL.total_seconds())
            if not self.number:
                continue
            try:
                await self.step()
            except MeshError as error:
                log.info(
                    "partners document could not be verified; retrying",
                    step=error.step,
                    reason=error.reason,
                )

    async def step(self) -> None:
        """Reads the document through a majority of the stores, then marks lapsed partners.

        Raises MeshError if no majority answers.
        """
        started_at = self._clock()
        current = await self._store_client.ask(RegisterCallKind.DESCRIBE, PARTNERS_REGISTER)
        self.apply_document(current.number, current.value)
        # The read includes every change that was chosen before the read started.
        if current.number == self.number:
            self._verified_until = started_at + LEASE_SECONDS
        await self._mark_lapsed_partners(self._clock())

    async def _mark_lapsed_partners(self, now: float) -> None:
        document = PartnersDocument.read(self.value)
        for name, partner in document.partners.items():
            reads, since = self._observed_reads.get(name, (-1, now))
            if reads != partner["reads"]:
                self._observed_reads[name] = (partner["reads"], now)
                continue
            if partner["withdrawn"] or partner["lapsed"] or not partner["exports"]:
                continue
            # A lapsed partner stays lapsed until it sends its exports again.
            if now - since > partner["lapse-after-s"] and self._is_leader():
                changed = mark_lapsed(document, name, reads).pack()
                answer = await self._store_client.ask(
                    RegisterCallKind.REPLACEMENT, PARTNERS_REGISTER, self.number, changed
                )
                self.apply_document(answer.number, answer.value)
                # Another write may have come first; the next step looks again.
                if answer.value == changed:
                    log.warning("partner lapsed", partner=name, silent=round(now - since, 1))
                return
