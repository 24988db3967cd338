"""A site's agent: claims services for its site and lets its guards serve them.

One registry of each site is its agent.  It renews every claim in the stores,
on the number that it wrote last; from a renewal it grants its guards leases
that end, on their own clocks, before its own does.
"""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from marblefold.errors import MeshError
from marblefold.leases.held_leases import CLOCK_DRIFT_MARGIN, LEASE_SECONDS, OwnedLease
from marblefold.logs import log
from marblefold.ownership.claims import Claim, Owner, Verdict, read_owners, settle
from marblefold.register_store.call_kinds import RegisterCallKind
from marblefold.register_store.register_client import RegisterClient

__all__ = ["OWNERS_REGISTER", "OWNER_PREFIX", "SiteAgent"]

OWNERS_REGISTER = "owners"
OWNER_PREFIX = "owner/"
_RECORD = "site-claims"
_ROUND_SECONDS = 0.8
_RIVALS_LEASES = 2.5


class Records(Protocol):
    """The agent's own disk."""

    def load(self) -> dict[str, bytes]: ...

    def write(self, name: str, data: bytes) -> None: ...


class _Seen(NamedTuple):
    """A register's number, and since when it stands."""

    number: int
    since: float


class SiteAgent:
    """Claims for one site."""

    def __init__(
        self,
        site: str,
        agent: str,
        store_client: RegisterClient,
        records: Records,
        claimed: Callable[[], dict[str, set[tuple[str, str]]]],
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self.verdicts: dict[str, Verdict] = {}
        self._site = site
        self._agent = agent
        self._store_client = store_client
        self._records = records
        self._claimed = claimed
        self._clock = clock
        self._sleep = sleep
        self._listed: dict[str, tuple[str, ...]] = {}
        self._seen: dict[str, _Seen] = {}
        self._leases: dict[str, tuple[int, float]] = {}
        loaded = records.load().get(_RECORD, b"{}")
        self._written: dict[str, list[int]] = json.loads(loaded)

    def take_record(self, value: bytes) -> None:
        """Takes in the operator's record of which sites may own which services."""
        self._listed = read_owners(value)

    def grants(self) -> tuple[OwnedLease, ...]:
        """What the guards of this site may serve, and for how long from now."""
        now = self._clock()
        return tuple(
            OwnedLease(upstream, epoch, until - now)
            for upstream, (epoch, until) in self._leases.items()
            if until > now
        )

    async def run(self) -> None:
        """Renews for ever; without a record of the operator it costs nothing."""
        while True:
            await self._sleep(_ROUND_SECONDS)
            for upstream in list(self._listed):
                try:
                    await self.step(upstream)
                except MeshError as error:
                    log.info(
                        "claim not settled", upstream=upstream, step=error.step, reason=error.reason
                    )

    async def step(self, upstream: str) -> Verdict:
        """Claims one service once; MeshError if the stores do not answer in time."""
        register = OWNER_PREFIX + upstream
        began = self._clock()
        held = await self._store_client.ask(RegisterCallKind.DESCRIBE, register)
        owner = Owner.read(held.value)
        seen = self._seen.get(upstream)
        if seen is None or seen.number != held.number:
            # Counted from when it was seen: the renewal came before that.
            seen = self._seen[upstream] = _Seen(held.number, self._clock())
        # Nobody renewed it for longer than any lease granted from it lasts.
        is_lapsed = began - seen.since > LEASE_SECONDS * (1.0 + CLOCK_DRIFT_MARGIN)
        epoch, renewals = self._written.get(upstream, (0, 0))
        listed = self._listed.get(upstream, ())
        claimants = self._claimed().get(upstream, set())
        rivals = frozenset(
            site for site, _agent in claimants if site != self._site and site in listed
        )
        # Who goes first by the operator's record, but does not come, has lost.
        if began - seen.since > _RIVALS_LEASES * LEASE_SECONDS:
            rivals = frozenset()
        verdict, wanted = settle(
            listed, owner, Claim(self._site, self._agent, epoch, renewals), is_lapsed, rivals
        )
        if verdict is Verdict.OWNER:
            verdict = await self._hold(upstream, register, held.number, wanted)
        self._change_verdict(upstream, verdict, owner)
        return verdict

    async def _hold(
        self,
        upstream: str,
        register: str,
        number: int,
        wanted: Owner,
    ) -> Verdict:
        asked = self._clock()
        value = wanted.pack()
        answer = await self._store_client.ask(RegisterCallKind.DUTY, register, number, value)
        # Another was faster; what it wrote is judged in the next round.
        if answer.value != value:
            return Verdict.WAITING
        self._written[upstream] = [wanted.epoch, wanted.renewals]
        # May reach the disk late or never: a start from an older record does not
        # match the register, so it waits until every lease from it has run out.
        self._records.write(_RECORD, json.dumps(self._written).encode())
        self._leases[upstream] = (wanted.epoch, asked + LEASE_SECONDS)
        return Verdict.OWNER

    def _change_verdict(self, upstream: str, verdict: Verdict, owner: Owner) -> None:
        """The one place where a verdict changes; each change is said once."""
        if self.verdicts.get(upstream) is verdict:
            return
        self.verdicts[upstream] = verdict
        if verdict is not Verdict.OWNER:
            # What was granted runs out by itself; nothing new is granted.
            self._leases.pop(upstream, None)
        log.warning(
            "claim",
            upstream=upstream,
            site=self._site,
            verdict=verdict.value,
            owner=owner.site,
            epoch=owner.epoch,
        )
