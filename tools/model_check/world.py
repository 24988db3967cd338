"""One run of a few acceptors and proposers, driven action by action.

A run is replayed from its start for every sequence of actions, since a running
proposer cannot be copied. The clock never advances, so no phase times out: a
message that is never delivered represents a lost one.
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

__all__ = ["Action", "Bounds", "InvariantViolation", "World"]

REGISTER = "configuration"


class InvariantViolation(Exception):
    """An acknowledged value was lost, or two were acknowledged under one number."""


class Bounds(NamedTuple):
    """Limits of a search."""

    members: tuple[str, ...]
    # The members that each proposer reaches; one tuple per proposer.
    reachable_members: tuple[tuple[str, ...], ...]
    # The members that may lose their disks or power.
    faulty_members: tuple[str, ...]
    wipes: int
    power_losses: int


class Action(NamedTuple):
    """A delivery (proposer, member, call), a wipe, a read (member, sources) or a restart."""

    kind: str
    member: str
    proposer: int = -1
    call: str = ""
    sources: tuple[str, ...] = ()


class _MemoryDisk:
    def __init__(self) -> None:
        self.records: dict[str, bytes] = {}

    def load(self) -> dict[str, bytes]:
        return dict(self.records)

    def write(self, name: str, data: bytes) -> None:
        self.records[name] = data


class _FrozenTimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock never advances."""

    def __init__(self) -> None:
        super().__init__(selectors.SelectSelector())

    def time(self) -> float:
        return 0.0


class _ProposerMessages:
    """One proposer's calls, queued until they are delivered."""

    def __init__(self, world: "World", reachable: tuple[str, ...]) -> None:
        self.waiting: dict[tuple[str, str], tuple[messages_pb2.StoreCall, asyncio.Future]] = {}
        self.delivered: list[tuple] = []
        self._world, self._reachable = world, reachable
        # Keeps unanswered calls from being garbage collected before the run ends.
        self._futures: list[asyncio.Future] = []

    def current_view(self) -> View | None:
        # The first member is none of those that may lose their disks.
        return next(iter(self._world.acceptors.values())).view

    def learn_view(self, view: View) -> None:
        """Does nothing: views do not change in a run."""

    async def call(self, peer: str, call: messages_pb2.StoreCall) -> messages_pb2.StoreAnswer:
        future = asyncio.get_running_loop().create_future()
        self._futures.append(future)
        if peer in self._reachable:
            copy = messages_pb2.StoreCall.FromString(call.SerializeToString())
            self.waiting[peer, call.kind] = (copy, future)
        return await future


class World:
    """The acceptors and proposers of one run."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.loop = _FrozenTimeEventLoop()
        self.disks = {member: _MemoryDisk() for member in bounds.members}
        self.acceptors = {
            member: Acceptor(member, self.disks[member], list(bounds.members), True)
            for member in bounds.members
        }
        self.messages = [
            _ProposerMessages(self, reachable) for reachable in bounds.reachable_members
        ]
        self.counts = {"wipe": 0, "restart": 0}
        self.tasks = []
        for index, messages in enumerate(self.messages):
            proposer = Proposer(messages, f"p{index}", clock=lambda: 0.0)
            # Ballot counters decrease from proposer to proposer, so that the first may act last.
            proposer._counter = 10 * (len(self.messages) - index)
            change = set_configuration(index + 1, b"value %d" % index)
            self.tasks.append(self.loop.create_task(proposer.change(REGISTER, change, 0.0)))
        self._run_tasks()

    def close(self) -> None:
        """Cancels all tasks and closes the event loop."""
        for task in self.tasks:
            task.cancel()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self._run_tasks()
        self.loop.close()

    def actions(self) -> list[Action]:
        """Returns the actions that are possible next."""
        found = [
            Action("deliver", peer, index, call)
            for index, messages in enumerate(self.messages)
            for peer, call in sorted(messages.waiting)
        ]
        for member in self.bounds.faulty_members:
            acceptor = self.acceptors[member]
            if acceptor.voting_status is VotingStatus.READING:
                found += self._list_reads(member, acceptor)
                continue
            if self.counts["wipe"] < self.bounds.wipes:
                found.append(Action("wipe", member))
            if self.counts["restart"] < self.bounds.power_losses:
                found.append(Action("restart", member))
        return found

    def _list_reads(self, member: str, acceptor: Acceptor) -> list[Action]:
        sources = [peer for peer in self.bounds.members if peer != member]
        quorum_size = _require_view(acceptor).read_quorum
        # Excludes one source or none, which covers all read quorums of up to five members.
        source_sets = (
            [tuple(sources)]
            if quorum_size == len(sources)
            else [tuple(peer for peer in sources if peer != excluded) for excluded in sources]
        )
        return [
            Action("read", member, sources=chosen)
            for chosen in source_sets
            if all(self.acceptors[p].voting_status is VotingStatus.VOTING for p in chosen)
        ]

    def apply(self, action: Action) -> None:
        """Applies the action, then lets the proposers continue."""
        if action.kind == "deliver":
            self._deliver(self.messages[action.proposer], action.member, action.call)
        elif action.kind == "read":
            self._read(action.member, action.sources)
        else:
            self._restart(action.member, action.kind == "wipe")
            self.counts[action.kind] += 1
        self._run_tasks()

    def _deliver(self, messages: _ProposerMessages, member: str, kind: str) -> None:
        call, future = messages.waiting.pop((member, kind))
        answer = _answer_call(self.acceptors[member], call)
        accepted = [(a.ballot.counter, a.number, a.promised.counter) for a in answer.accepted]
        messages.delivered.append(
            (call.kind, member, answer.agreed, _epoch(answer.life), str(accepted))
        )
        if not future.done():
            future.set_result(answer)

    def _restart(self, member: str, wipes_disk: bool) -> None:
        view = _require_view(self.acceptors[member])
        if wipes_disk:
            self.disks[member] = _MemoryDisk()
        self.acceptors[member] = Acceptor(
            member, self.disks[member], list(self.bounds.members), False
        )
        self.acceptors[member].learn_view(view)

    def _read(self, member: str, sources: tuple[str, ...]) -> None:
        reader = self.acceptors[member]
        generation = reader.generation
        call = messages_pb2.StoreCall(
            kind=CallKind.READ, view=reader.pack_view(), sender=member, sender_life=generation
        )
        answers = [_answer_call(self.acceptors[source], call) for source in sources]
        for answer in answers:
            reader.supersede_generation(answer.lives.get(member, ""))
        if reader.generation == generation and all(answer.agreed for answer in answers):
            reader.finish_reading(answers)

    def _run_tasks(self) -> None:
        self.loop.run_until_complete(_yield_to_tasks())

    def state(self) -> tuple:
        """Returns what distinguishes this state; only the epochs of generations are part of it."""
        stores = tuple(
            (
                a.voting_status.value,
                _epoch(a.generation),
                str(a.accepted_states.get(REGISTER)),
                tuple(
                    sorted((m, _epoch(generation)) for m, generation in a.known_generations.items())
                ),
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
        """Checks that each voting quorum holds the last acknowledged value or a later one.

        Raises InvariantViolation otherwise.
        """
        chosen = self._collect_acknowledged()
        if not chosen:
            return
        number, value = max(chosen.items())
        voters = [a for a in self.acceptors.values() if a.voting_status is VotingStatus.VOTING]
        for quorum in itertools.combinations(voters, len(self.bounds.members) // 2 + 1):
            accepted = [
                a.accepted_states[REGISTER] for a in quorum if REGISTER in a.accepted_states
            ]
            newest = max(accepted, key=lambda state: state.ballot, default=None)
            if newest is None or newest.number < number:
                raise InvariantViolation(f"{value!r} was acknowledged and a quorum shows {newest}")

    def _collect_acknowledged(self) -> dict[int, bytes]:
        chosen: dict[int, bytes] = {}
        for task in self.tasks:
            if not task.done() or task.cancelled():
                continue
            error = task.exception()
            if error is not None:
                if not isinstance(error, MeshError):
                    raise error
                continue
            state = task.result()
            if chosen.setdefault(state.number, state.value) != state.value:
                raise InvariantViolation(f"two values of number {state.number}")
        return chosen


def _require_view(acceptor: Acceptor) -> View:
    if acceptor.view is None:
        raise ValueError(f"{acceptor.address} knows no view")
    return acceptor.view


def _answer_call(acceptor: Acceptor, call: messages_pb2.StoreCall) -> messages_pb2.StoreAnswer:
    answer = answer_call(acceptor, call)
    if answer is None:
        raise ValueError(f"not a call for an acceptor: {call.kind}")
    return answer


async def _yield_to_tasks() -> None:
    for _ in range(6):
        await asyncio.sleep(0)


def _epoch(generation: str) -> str:
    return generation.partition("-")[0]
