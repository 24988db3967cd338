"""Failure detection as in SWIM.

Peers are probed in turn; a peer that does not acknowledge is probed indirectly
through others before it is suspected, and suspected before it is removed.  The
code does no I/O: time and received messages are arguments, messages to send are
results.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

from marblefold.membership.members import Liveness, Member, MemberTable

__all__ = ["Message", "Prober", "ProberConfig"]


class ProberConfig(NamedTuple):
    """Intervals and timeouts, and limits on the number of peers and updates."""

    probe_interval_seconds: float = 0.4
    direct_timeout_seconds: float = 0.25
    indirect_timeout_seconds: float = 0.35
    suspicion_timeout_seconds: float = 2.0
    relay_count: int = 3
    gone_probe_interval_seconds: float = 1.0
    gone_retention_seconds: float = 60.0
    # Updates in a datagram: grows with the number of nodes, up to what fits into
    # a datagram without fragmentation.
    min_updates: int = 8
    max_updates: int = 13
    # Binary logarithm of the number of nodes beyond which the suspicion timeout
    # grows in proportion, as a refutation takes longer to spread.
    reference_log2_size: float = 5.0


class Message(NamedTuple):
    """A datagram to send to `peer`, or one received from it (HOST:PORT)."""

    peer: str
    kind: str
    number: int
    subject: str
    members: tuple[Member, ...]


class _Pending(NamedTuple):
    """A probe that is not yet acknowledged."""

    member: Member
    sent: float
    is_indirect: bool


class _Relay(NamedTuple):
    """A probe sent on behalf of another node."""

    requester: str
    number: int


class Prober:
    """The failure detector of one node; all times in seconds on a monotonic clock."""

    def __init__(
        self,
        own: Member,
        seeds: Callable[[], list[str]],
        on_change: Callable[[Member], None] = lambda member: None,
        config: ProberConfig = ProberConfig(),
        seed: int | None = None,
    ) -> None:
        self.table = MemberTable(own, on_change)
        self._seeds = seeds
        self._config = config
        self._random = random.Random(seed)
        self._number = 0
        self._pending: dict[int, _Pending] = {}
        self._relays: dict[int, _Relay] = {}
        self._probe_queue: list[str] = []
        self._next_probe = 0.0
        self._next_gone_probe = 0.0

    def tick(self, now: float) -> list[Message]:
        """Returns the messages to send now; handles probes and suspicions that timed out."""
        out = self._check_pending(now)
        self._expire_suspicions(now)
        if now >= self._next_probe:
            self._next_probe = now + self._config.probe_interval_seconds
            out.extend(self._probe_next(now))
            # A suspect must be notified repeatedly, as any datagram may be lost.  All nodes
            # do this, so a few suspects per node are enough, and the loss of a zone
            # does not flood the remaining nodes.
            suspects = [
                member.address for member in self.table if member.liveness is Liveness.SUSPECT
            ]
            picked = self._random.sample(suspects, min(len(suspects), self._config.relay_count))
            out.extend(self._ping(address) for address in picked)
        if now >= self._next_gone_probe:
            self._next_gone_probe = now + self._config.gone_probe_interval_seconds
            out.extend(self._probe_gone(now))
        return out

    def next_due(self, now: float) -> float:
        """Returns when tick() must be called next if nothing is received."""
        config = self._config
        due = min(self._next_probe, self._next_gone_probe)
        for pending in self._pending.values():
            timeout = config.direct_timeout_seconds + (
                config.indirect_timeout_seconds if pending.is_indirect else 0.0
            )
            due = min(due, pending.sent + timeout)
        return due

    def receive(self, message: Message, now: float) -> list[Message]:
        """Processes a received datagram; returns the messages to send in response."""
        for member in message.members:
            self.table.merge(member, now)
        self._mark_alive(message.peer, now)
        if message.kind == "ping":
            return [self._make_message(message.peer, "acknowledgement", message.number, "")]
        if message.kind == "ping_request":
            self._number += 1
            self._relays[self._number] = _Relay(message.peer, message.number)
            return [self._make_message(message.subject, "ping", self._number, "")]
        relay = self._relays.pop(message.number, None)
        # Forwards the acknowledgement to the node that requested this probe.
        if relay is not None:
            return [
                self._make_message(relay.requester, "acknowledgement", relay.number, message.peer)
            ]
        self._pending.pop(message.number, None)
        return []

    def _mark_alive(self, address: str, now: float) -> None:
        member = self.table.find(address)
        if member is None or member.liveness is Liveness.ALIVE:
            return
        # The member sent a datagram, so this node considers it alive.  Other nodes
        # accept only the member's own refutation, so the response notifies it of the
        # suspicion (see _make_message).
        self.table.merge(
            member._replace(incarnation=member.incarnation + 1, liveness=Liveness.ALIVE), now
        )

    def _probe_next(self, now: float) -> list[Message]:
        members = [member for member in self.table if member.liveness is not Liveness.GONE]
        if not members:
            return [
                self._ping(address)
                for address in self._seeds()
                if address != self.table.own.address
            ]
        if not self._probe_queue:
            self._probe_queue = [member.address for member in members]
            self._random.shuffle(self._probe_queue)
        while self._probe_queue:
            member = self.table.find(self._probe_queue.pop())
            if member is not None and member.liveness is not Liveness.GONE:
                return [self._start_probe(member, now)]
        return []

    def _probe_gone(self, now: float) -> list[Message]:
        """Probes removed members and unknown seeds, as a network partition may have healed."""
        out = [
            self._ping(address)
            for address in self._seeds()
            if address != self.table.own.address and self.table.find(address) is None
        ]
        gone = [member for member in self.table if member.liveness is Liveness.GONE]
        for member in gone:
            if now - self.table.changed_at[member.address] > self._config.gone_retention_seconds:
                self.table.remove(member.address)
        if gone:
            out.append(self._ping(self._random.choice(gone).address))
        return out

    def _start_probe(self, member: Member, now: float) -> Message:
        self._number += 1
        self._pending[self._number] = _Pending(member, now, False)
        return self._make_message(member.address, "ping", self._number, "")

    def _check_pending(self, now: float) -> list[Message]:
        out = []
        config = self._config
        for number, pending in list(self._pending.items()):
            age = now - pending.sent
            if not pending.is_indirect and age >= config.direct_timeout_seconds:
                self._pending[number] = pending._replace(is_indirect=True)
                out.extend(self._request_indirect_probes(pending.member, number))
            elif (
                pending.is_indirect
                and age >= config.direct_timeout_seconds + config.indirect_timeout_seconds
            ):
                del self._pending[number]
                known = self.table.find(pending.member.address)
                if known is not None and known.liveness is Liveness.ALIVE:
                    self.table.set_liveness(known, Liveness.SUSPECT, now)
        for number in [number for number in self._relays if number < self._number - 200]:
            del self._relays[number]
        return out

    def _request_indirect_probes(self, member: Member, number: int) -> list[Message]:
        relays = [
            other
            for other in self.table
            if other.liveness is Liveness.ALIVE and other.address != member.address
        ]
        picked = self._random.sample(relays, min(len(relays), self._config.relay_count))
        # Pings directly once more, as a single lost datagram is a likely cause.
        return [self._make_message(member.address, "ping", number, "")] + [
            self._make_message(relay.address, "ping_request", number, member.address)
            for relay in picked
        ]

    def _expire_suspicions(self, now: float) -> None:
        config = self._config
        timeout = config.suspicion_timeout_seconds * max(
            1.0, self.table.log2_size / config.reference_log2_size
        )
        for member in list(self.table):
            if member.liveness is not Liveness.SUSPECT:
                continue
            if now - self.table.changed_at[member.address] >= timeout:
                self.table.set_liveness(member, Liveness.GONE, now)

    def _update_limit(self) -> int:
        config = self._config
        return min(config.max_updates, max(config.min_updates, int(1.7 * self.table.log2_size)))

    def _ping(self, address: str) -> Message:
        self._number += 1
        return self._make_message(address, "ping", self._number, "")

    def _make_message(self, peer: str, kind: str, number: int, subject: str) -> Message:
        members = [self.table.own]
        known = self.table.find(peer)
        # A peer can refute a suspicion only if it is notified of it.
        if known is not None and known.liveness is not Liveness.ALIVE:
            members.append(known)
        members.extend(
            member
            for member in self.table.pick_updates(self._update_limit())
            if member.address != self.table.own.address
        )
        return Message(peer, kind, number, subject, tuple(members))
