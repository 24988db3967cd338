"""The durable state of an acceptor: what it accepted, its generation, voting status and view.

Its only side effect is writing records, so that tests can cut the power at any write.

Operations that change the state may run on several threads, one at a time. The view, the voting
status and the generation change on the thread of the event loop only, and nothing is visible
before it is durable, so that thread may read without the lock.
"""

import contextlib
import functools
import threading
from collections.abc import Callable
from typing import Concatenate, ParamSpec, TypeVar

from marblefold.errors import DiskError
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.register_store.ballots import (
    NO_ACCEPTED_STATE,
    AcceptedState,
    pack_accepted_state,
    read_accepted_state,
)
from marblefold.register_store.generations import (
    NO_GENERATION,
    first_generation,
    generation_above,
)
from marblefold.register_store.records import Records, UncertainRecords
from marblefold.register_store.store_records import StoreMeta, VotingStatus
from marblefold.register_store.view import View, first_view, read_view

__all__ = ["META_RECORD", "VIEW_REGISTER", "AcceptorState", "exclusive"]

VIEW_REGISTER = "view"
META_RECORD = "meta"
_REGISTER_PREFIX = "register/"


Arguments = ParamSpec("Arguments")
Result = TypeVar("Result")
State = TypeVar("State", bound="AcceptorState")


def exclusive(
    method: Callable[Concatenate[State, Arguments], Result],
) -> Callable[Concatenate[State, Arguments], Result]:
    """Makes a method that changes the state wait for those that run on other threads."""

    @functools.wraps(method)
    def run(state: State, *args: Arguments.args, **kwargs: Arguments.kwargs) -> Result:
        with state.lock:
            return method(state, *args, **kwargs)

    return run


class AcceptorState:
    """What a store has on disk, and the transitions that write it."""

    def __init__(self, address: str, records: Records, seeds: list[str], is_first: bool) -> None:
        self.address = address
        self.lock = threading.RLock()
        self.voting_status = VotingStatus.READING
        self.generation = NO_GENERATION
        self.known_generations: dict[str, str] = {}
        self.accepted_states: dict[str, AcceptedState] = {}
        self.view: View | None = None
        # The preceding view, if this store was outside it in its present generation.
        self.previous_view: View | None = None
        # The view that removed this store, while its state may still be read.
        self.removing_view: View | None = None
        # Registers copied during recovery although a higher ballot was promised:
        # no proof that a majority accepted the value under its ballot.
        self._unproven: set[str] = set()
        self._records = UncertainRecords(records)
        loaded = records.load()
        for name, data in loaded.items():
            if name.startswith(_REGISTER_PREFIX):
                message = messages_pb2.Accepted.FromString(data)
                self.accepted_states[message.register] = read_accepted_state(message)
        # A record that cannot be written now is written before the first answer.
        with contextlib.suppress(DiskError):
            # An empty record means that the disk lost one: start as after a lost disk.
            if loaded.get(META_RECORD):
                self._read_meta(loaded[META_RECORD])
            elif is_first and not loaded:
                self._initialize_first_start(seeds)
            if self.voting_status is VotingStatus.READING:
                self.begin_reading()

    @property
    def is_member(self) -> bool:
        """Whether this store is a member of the newest chosen view known here."""
        return self.view is not None and self.address in self.view.members

    @property
    def has_pending_view(self) -> bool:
        """Whether a newer view was accepted here that may or may not be chosen."""
        current = self.accepted_states.get(VIEW_REGISTER, NO_ACCEPTED_STATE)
        known = self.view.number if self.view else 0
        return bool(current.value) and read_view(current.value).number > known

    @exclusive
    def rewrite_uncertain_records(self) -> None:
        """Rewrites the records whose last write failed; raises DiskError if that fails again.

        Must be called before each answer: no answer may depend on state that a
        power loss can change.
        """
        for name in sorted(self._records.uncertain_names):
            register = name.removeprefix(_REGISTER_PREFIX)
            if name == META_RECORD:
                self._write_meta()
            else:
                self._write_register(
                    register, self.accepted_states.get(register, NO_ACCEPTED_STATE)
                )

    @exclusive
    def begin_reading(self) -> None:
        """Starts a new generation, which may not vote before it has read from other members."""
        self.generation = generation_above(
            [self.generation, self.known_generations.get(self.address, NO_GENERATION)]
        )
        self.previous_view = self.removing_view = None
        self._set_voting_status(VotingStatus.READING)

    def _store_accepted(self, register: str, state: AcceptedState) -> None:
        self._write_register(register, state)
        self.accepted_states[register] = state

    def _write_register(self, register: str, state: AcceptedState) -> None:
        record = pack_accepted_state(register, state).SerializeToString()
        self._records.write(_REGISTER_PREFIX + register, record)

    def _initialize_first_start(self, seeds: list[str]) -> None:
        self.generation, self.view = first_generation(), first_view(seeds)
        # A store outside the seed list waits until it is added to a view.
        if self.is_member:
            self._set_voting_status(VotingStatus.VOTING)

    def _set_voting_status(self, voting_status: VotingStatus) -> None:
        """Changes the voting status and writes it to disk; no other method may change it."""
        self.voting_status = voting_status
        self._write_meta()

    def _write_meta(self) -> None:
        unproven = frozenset(self._unproven)
        meta = StoreMeta(
            self.generation, self.voting_status, self.known_generations, unproven, self.view
        )
        self._records.write(META_RECORD, meta.pack())

    def _read_meta(self, data: bytes) -> None:
        meta = StoreMeta.read(data)
        self.generation, self.voting_status, self.view = (
            meta.generation,
            meta.voting_status,
            meta.view,
        )
        self.known_generations, self._unproven = dict(meta.known_generations), set(meta.unproven)

    def pack_view(self) -> bytes:
        """Returns the newest chosen view known as bytes, or empty bytes."""
        return self.view.pack() if self.view else b""
