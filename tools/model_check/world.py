"""One run of a few acceptors and proposers, driven action by action.

A run is replayed from its start for every sequence of actions, since a running
proposer cannot be copied.  Time stands still, so no phase ever times out: a
message that is never delivered stands for one that is lost.
"""

import asyncio
import itertools
import selectors
from typing import NamedTuple

from marblefold.errors import MeshError
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.register_store.acceptor import Acceptor, VotingStatus
from marblefold.register_store.changes import set_configuration
from marblefold.register_store.peer_call_kinds import CallKind
from marblefold.register_store.peer_calls import answer_call
from marblefold.register_store.proposer import Proposer
from marblefold.register_store.view import View

__all__ = ["Action", "Bounds", "BrokenInvariant", "World"]

REGISTER = "configuration"


class BrokenInvariant(Exception):
    """A chosen value was lost or two were chosen under one number."""


class Bounds(NamedTuple):
    """What a search may do."""

    members: tuple[str, ...]
    # The members that each proposer reaches; one proposer each.
    reaches: tuple[tuple[str, ...], ...]
    # The members that may lose their disks or power.
    troubled: tuple[str, ...]
    wipes: int
    power_losses: int


class Action(NamedTuple):
    """A delivery (proposer, member), a wipe, a reading (member, sources) or a restart."""

    kind: str
    member: str
    proposer: int = -1
    call: str = ""
    sources: tuple[str, ...] = ()


class _Records:
    def __init__(self) -> None:
        self.records: dict[str, bytes] = {}

    def load(self) -> dict[str, bytes]:
        return dict(self.records)

    def write(self, name: str, data: bytes) -> None:
        self.records[name] = data


class _Loop(asyncio.SelectorEventLoop):
    """An event loop whose time stands still."""

    def __init__(self) -> None:
        super().__init__(selectors.SelectSelector())

    def time(self) -> float:
        return 0.0


class _Messages:
    """One proposer's calls, held until they are delivered."""

    def __init__(self, world: "World", reach: tuple[str, ...]) -> None:
        self.waiting: dict[tuple[str, str], tuple[messages_pb2.StoreCall, asyncio.Future]] = {}
        self.delivered: list[tuple] = []
        self._world, self._reach = world, reach
        # A call that nobody answers must not be collected before the run ends.
        self._futures: list[asyncio.Future] = []

    def current_view(self) -> View | None:
        return next(iter(self._world.acceptors.values())).view

    def learn_view(self, view: View) -> None:
        """Views do not change in a run."""

    async def call(self, peer: str, call: messages_pb2.StoreCall) -> messages_pb2.StoreAnswer:
        future = asyncio.get_running_loop().create_future()
        self._futures.append(future)
        if peer in self._reach:
            copy = messages_pb2.StoreCall.FromString(call.SerializeToString())
            self.waiting[peer, call.kind] = (copy, future)
        return await future


class World:
    """The acceptors and proposers of one run."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.loop = _Loop()
        self.disks = {member: _Records() for member in bounds.members}
        self.acceptors = {
            member: Acceptor(member, self.disks[member], list(bounds.members), True)
            for member in bounds.members
        }
        # Not the first: it may lose its disk.
        self.messages = [_Messages(self, reach) for reach in bounds.reaches]
        self.counts = {"wipe": 0, "restart": 0}
        self.tasks = []
        for index, messages in enumerate(self.messages):
            proposer = Proposer(messages, f"p{index}", clock=lambda: 0.0)
            # Ballots fall from proposer to proposer, so that the first may be late.
            proposer._counter = 10 * (len(self.messages) - index)
            change = set_configuration(index + 1, b"value %d" % index)
            self.tasks.append(self.loop.create_task(proposer.change(REGISTER, change, 0.0)))
        self._turn()

    def close(self) -> None:
        """Ends the run."""
        for task in self.tasks:
            task.cancel()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self._turn()
        self.loop.close()

    def actions(self) -> list[Action]:
        """All that may happen next."""
        found = [
            Action("deliver", peer, index, call)
            for index, messages in enumerate(self.messages)
            for peer, call in sorted(messages.waiting)
        ]
        for member in self.bounds.troubled:
            acceptor = self.acceptors[member]
            if acceptor.voting_status is VotingStatus.READING:
                found += self._readings(member, acceptor)
                continue
            if self.counts["wipe"] < self.bounds.wipes:
                found.append(Action("wipe", member))
            if self.counts["restart"] < self.bounds.power_losses:
                found.append(Action("restart", member))
        return found

    def _readings(self, member: str, acceptor: Acceptor) -> list[Action]:
        sources = [peer for peer in self.bounds.members if peer != member]
        enough = _known_view(acceptor).read_quorum
        # Leaving one out or none: the views here have up to five members.
        sets = (
            [tuple(sources)]
            if enough == len(sources)
            else [tuple(peer for peer in sources if peer != out) for out in sources]
        )
        return [
            Action("read", member, sources=chosen)
            for chosen in sets
            if all(self.acceptors[p].voting_status is VotingStatus.VOTING for p in chosen)
        ]

    def act(self, action: Action) -> None:
        """Does it, and lets the proposers run on."""
        if action.kind == "deliver":
            self._deliver(self.messages[action.proposer], action.member, action.call)
        elif action.kind == "read":
            self._read(action.member, action.sources)
        else:
            self._restart(action.member, action.kind == "wipe")
            self.counts[action.kind] += 1
        self._turn()

    def _deliver(self, messages: _Messages, member: str, kind: str) -> None:
        call, future = messages.waiting.pop((member, kind))
        answer = _answer(self.acceptors[member], call)
        held = [(a.ballot.counter, a.number, a.promised.counter) for a in answer.accepted]
        messages.delivered.append(
            (call.kind, member, answer.agreed, _epoch(answer.life), str(held))
        )
        if not future.done():
            future.set_result(answer)

    def _restart(self, member: str, with_wipe: bool) -> None:
        view = _known_view(self.acceptors[member])
        if with_wipe:
            self.disks[member] = _Records()
        self.acceptors[member] = Acceptor(
            member, self.disks[member], list(self.bounds.members), False
        )
        self.acceptors[member].learn_view(view)

    def _read(self, member: str, sources: tuple[str, ...]) -> None:
        reader = self.acceptors[member]
        life = reader.generation
        call = messages_pb2.StoreCall(
            kind=CallKind.READ, view=reader.pack_view(), sender=member, sender_life=life
        )
        answers = [_answer(self.acceptors[source], call) for source in sources]
        for answer in answers:
            reader.supersede_generation(answer.lives.get(member, ""))
        if reader.generation == life and all(answer.agreed for answer in answers):
            reader.finish_reading(answers)

    def _turn(self) -> None:
        self.loop.run_until_complete(_spin())

    def state(self) -> tuple:
        """What distinguishes this state from others; marks of lives are left out."""
        stores = tuple(
            (
                a.voting_status.value,
                _epoch(a.generation),
                str(a.accepted_states.get(REGISTER)),
                tuple(sorted((m, _epoch(life)) for m, life in a.known_generations.items())),
                REGISTER in a._unproven,
            )
            for a in self.acceptors.values()
        )
        proposers = tuple(
            (tuple(sorted(m.delivered)), tuple(sorted(m.waiting)), task.done())
            for m, task in zip(self.messages, self.tasks, strict=True)
        )
        return stores, proposers, tuple(self.counts.values())

    def check(self) -> None:
        """Every quorum that may vote shows what was acknowledged, or what followed it."""
        chosen = self._acknowledged()
        if not chosen:
            return
        number, value = max(chosen.items())
        voters = [a for a in self.acceptors.values() if a.voting_status is VotingStatus.VOTING]
        for quorum in itertools.combinations(voters, len(self.bounds.members) // 2 + 1):
            held = [a.accepted_states[REGISTER] for a in quorum if REGISTER in a.accepted_states]
            newest = max(held, key=lambda holding: holding.ballot, default=None)
            if newest is None or newest.number < number:
                raise BrokenInvariant(f"{value!r} was acknowledged and a quorum shows {newest}")

    def _acknowledged(self) -> dict[int, bytes]:
        chosen: dict[int, bytes] = {}
        for task in self.tasks:
            if not task.done() or task.cancelled():
                continue
            error = task.exception()
            if error is not None:
                if not isinstance(error, MeshError):
                    raise error
                continue
            holding = task.result()
            if chosen.setdefault(holding.number, holding.value) != holding.value:
                raise BrokenInvariant(f"two values of number {holding.number}")
        return chosen


def _known_view(acceptor: Acceptor) -> View:
    if acceptor.view is None:
        raise ValueError(f"{acceptor.address} knows no view")
    return acceptor.view


def _answer(acceptor: Acceptor, call: messages_pb2.StoreCall) -> messages_pb2.StoreAnswer:
    answer = answer_call(acceptor, call)
    if answer is None:
        raise ValueError(f"not a call for an acceptor: {call.kind}")
    return answer


async def _spin() -> None:
    for _ in range(6):
        await asyncio.sleep(0)


def _epoch(life: str) -> str:
    return life.partition("-")[0]
