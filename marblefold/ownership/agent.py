"""A site's agent: claims services for its site and grants its guards leases to serve them.

One registry of each site is its agent.  It renews every claim in the stores by
compare-and-set on the register's number.  From each renewal it grants its guards
leases that expire, on the guards' own clocks, before its own lease does.
"""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from marblefold.errors import MeshError
from marblefold.leases.held_leases import CLOCK_DRIFT_MARGIN, LEASE_SECONDS, OwnedLease
from marblefold.logs import log
from marblefold.ownership.claims import Claim, Owner, Verdict, decide_claim, read_owners
from marblefold.register_store.call_kinds import RegisterCallKind
from marblefold.register_store.register_client import RegisterClient

__all__ = ["OWNERS_REGISTER", "OWNER_PREFIX", "SiteAgent"]

OWNERS_REGISTER = "owners"
OWNER_PREFIX = "owner/"
_RECORD_NAME = "site-claims"
_ROUND_INTERVAL_SECONDS = 0.8
# Lease times to wait for a preferred site to claim an unowned or lapsed service.
_RIVAL_WAIT_LEASES = 2.5


class Records(Protocol):
    """The agent's records on its own disk."""

    def load(self) -> dict[str, bytes]: ...

    def write(self, name: str, data: bytes) -> None: ...


class _ObservedNumber(NamedTuple):
    """A register's number, and the clock time in seconds at which it was first seen."""

    number: int
    since: float


class SiteAgent:
    """Claims services for one site and grants leases on those it owns."""

    def __init__(
        self,
        site: str,
        agent: str,
        store_client: RegisterClient,
        records: Records,
        get_claimants: Callable[[], dict[str, set[tuple[str, str]]]],
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self.verdicts: dict[str, Verdict] = {}
        self._site = site
        self._agent = agent
        self._store_client = store_client
        self._records = records
        self._get_claimants = get_claimants
        self._clock = clock
        self._sleep = sleep
        self._listed_sites: dict[str, tuple[str, ...]] = {}
        self._observed: dict[str, _ObservedNumber] = {}
        self._leases: dict[str, tuple[int, float]] = {}
        loaded = records.load().get(_RECORD_NAME, b"{}")
        self._last_written: dict[str, list[int]] = json.loads(loaded)

    def apply_owners_record(self, value: bytes) -> None:
        """Applies the operator's record of which sites may own which services."""
        self._listed_sites = read_owners(value)

    def owned_leases(self) -> tuple[OwnedLease, ...]:
        """Returns the leases for this site's guards, with the seconds that each is still valid."""
        now = self._clock()
        return tuple(
            OwnedLease(upstream, epoch, until - now)
            for upstream, (epoch, until) in self._leases.items()
            if until > now
        )

    async def run(self) -> None:
        """Renews the claims every round, forever; without an operator's record it does nothing."""
        while True:
            await self._sleep(_ROUND_INTERVAL_SECONDS)
            for upstream in list(self._listed_sites):
                try:
                    await self.step(upstream)
                except MeshError as error:
                    log.info(
                        "claim could not be decided; retrying",
                        upstream=upstream,
                        step=error.step,
                        reason=error.reason,
                    )

    async def step(self, upstream: str) -> Verdict:
        """Claims or renews one service once.

        Raises MeshError if the stores do not answer in time.
        """
        register = OWNER_PREFIX + upstream
        started_at = self._clock()
        current = await self._store_client.ask(RegisterCallKind.DESCRIBE, register)
        owner = Owner.read(current.value)
        observed = self._observed.get(upstream)
        if observed is None or observed.number != current.number:
            # The lapse counts from when the number was first seen, which is after the renewal.
            observed = self._observed[upstream] = _ObservedNumber(current.number, self._clock())
        # Not renewed for longer than any lease granted from it lasts.
        is_lapsed = started_at - observed.since > LEASE_SECONDS * (1.0 + CLOCK_DRIFT_MARGIN)
        epoch, renewals = self._last_written.get(upstream, (0, 0))
        listed_sites = self._listed_sites.get(upstream, ())
        claimants = self._get_claimants().get(upstream, set())
        rivals = frozenset(
            site for site, _agent in claimants if site != self._site and site in listed_sites
        )
        # Sites that the operator's record prefers, but that do not claim in time, are ignored.
        if started_at - observed.since > _RIVAL_WAIT_LEASES * LEASE_SECONDS:
            rivals = frozenset()
        verdict, new_owner = decide_claim(
            listed_sites, owner, Claim(self._site, self._agent, epoch, renewals), is_lapsed, rivals
        )
        if verdict is Verdict.OWNER:
            verdict = await self._write_owner(upstream, register, current.number, new_owner)
        self._change_verdict(upstream, verdict, owner)
        return verdict

    async def _write_owner(
        self,
        upstream: str,
        register: str,
        number: int,
        new_owner: Owner,
    ) -> Verdict:
        requested_at = self._clock()
        value = new_owner.pack()
        answer = await self._store_client.ask(RegisterCallKind.REPLACEMENT, register, number, value)
        # Another agent wrote first; the next round evaluates what it wrote.
        if answer.value != value:
            return Verdict.WAITING
        self._last_written[upstream] = [new_owner.epoch, new_owner.renewals]
        # May reach the disk late or never: after a start from an older record the claim does
        # not match the register, so the agent waits until every lease granted from it expired.
        self._records.write(_RECORD_NAME, json.dumps(self._last_written).encode())
        self._leases[upstream] = (new_owner.epoch, requested_at + LEASE_SECONDS)
        return Verdict.OWNER

    def _change_verdict(self, upstream: str, verdict: Verdict, owner: Owner) -> None:
        """Records a verdict and logs it if it changed. Nothing else changes verdicts."""
        if self.verdicts.get(upstream) is verdict:
            return
        self.verdicts[upstream] = verdict
        if verdict is not Verdict.OWNER:
            # Leases granted before expire by themselves; no new ones are granted.
            self._leases.pop(upstream, None)
        log.warning(
            "claim verdict changed",
            upstream=upstream,
            site=self._site,
            verdict=verdict.value,
            owner=owner.site,
            epoch=owner.epoch,
        )
