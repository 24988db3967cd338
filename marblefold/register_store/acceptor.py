"""The voting side of a store: promises and accepts, on disk before it says so.

Pure but for the records it writes, so that tests can lose power anywhere.
"""

import contextlib

from marblefold.errors import DiskError
from marblefold.inner_protocol.messages import kinds
from marblefold.register_store.ballots import (
    NO_ACCEPTED_STATE,
    AcceptedState,
    Ballot,
    pack_accepted_state,
    read_accepted_state,
)
from marblefold.register_store.generations import (
    NO_GENERATION,
    first_generation,
    generation_above,
    is_superseded,
    may_succeed,
)
from marblefold.register_store.peer_call_kinds import Refusal
from marblefold.register_store.records import DoubtfulRecords, Records
from marblefold.register_store.state_recovery import (
    find_unproven,
    merge_accepted_states,
    merge_generations,
)
from marblefold.register_store.store_records import Standing, StoreMeta
from marblefold.register_store.view import View, first_view, read_view

__all__ = ["Acceptor", "META_RECORD", "Standing", "VIEW_REGISTER"]

VIEW_REGISTER = "view"
META_RECORD = "meta"
_REGISTER_PREFIX = "register/"


class Acceptor:
    """Holds the registers of one store."""

    def __init__(self, address: str, records: Records, seeds: list[str], is_first: bool) -> None:
        self.address = address
        self.voting_status = Standing.READING
        self.generation = NO_GENERATION
        self.known_generations: dict[str, str] = {}
        self.accepted_states: dict[str, AcceptedState] = {}
        self.view: View | None = None
        # The view before, if we waited outside it in this very life.
        self.previous_view: View | None = None
        # The view that swapped us out, while we can still be read.
        self.removing_view: View | None = None
        # Copied while reading although a higher ballot was promised: no proof
        # that a majority accepted the value under its ballot.
        self._unproven: set[str] = set()
        self._records = DoubtfulRecords(records)
        loaded = records.load()
        for name, data in loaded.items():
            if name.startswith(_REGISTER_PREFIX):
                message = kinds.Accepted.FromString(data)
                self.accepted_states[message.register] = read_accepted_state(message)
        # What cannot be written now is written before the first answer.
        with contextlib.suppress(DiskError):
            # Empty: the disk lost a record, so this store starts as if wiped.
            if loaded.get(META_RECORD):
                self._read_meta(loaded[META_RECORD])
            elif is_first and not loaded:
                self._begin_first(seeds)
            if self.voting_status is Standing.READING:
                self.begin_reading()

    @property
    def is_member(self) -> bool:
        """Whether the newest chosen view known here counts this store in."""
        return self.view is not None and self.address in self.view.members

    @property
    def has_pending_view(self) -> bool:
        """Whether a view was accepted here that may or may not be chosen."""
        held = self.accepted_states.get(VIEW_REGISTER, NO_ACCEPTED_STATE)
        known = self.view.number if self.view else 0
        return bool(held.value) and read_view(held.value).number > known

    def rewrite_uncertain_records(self) -> None:
        """Writes again what a failed write left in doubt; DiskError if it fails again.

        To be called before each answer: none may rest on what power loss can change.
        """
        for name in sorted(self._records.in_doubt):
            register = name.removeprefix(_REGISTER_PREFIX)
            if name == META_RECORD:
                self._write_meta()
            else:
                self._write_register(
                    register, self.accepted_states.get(register, NO_ACCEPTED_STATE)
                )

    def begin_reading(self) -> None:
        """Starts a life that knows nothing: no vote before it has read."""
        self.generation = generation_above(
            [self.generation, self.known_generations.get(self.address, NO_GENERATION)]
        )
        self.previous_view = self.removing_view = None
        self._set_voting_status(Standing.READING)

    def supersede_generation(self, known: str) -> bool:
        """Begins a later life if one not before ours is known; returns whether it did.

        A lost disk does not know its epoch: those that noted it say so.
        """
        if may_succeed(self.generation, known):
            return False
        self.known_generations[self.address] = known
        self.begin_reading()
        return True

    def prepare(self, call: kinds.StoreCall) -> kinds.StoreAnswer:
        """Promises to take no lower ballot, if none higher was promised."""
        refusal = self._find_refusal(call)
        if refusal:
            return self._refuse(refusal, call.register)
        held, ballot = (
            self.accepted_states.get(call.register, NO_ACCEPTED_STATE),
            Ballot.read(call.ballot),
        )
        if ballot <= held.promised:
            return self._refuse(Refusal.PROMISED_HIGHER, call.register)
        self._hold(call.register, held._replace(promised=ballot))
        # A promise above the ballot has the proposer not count it as accepted.
        shown = held if call.register in self._unproven else held._replace(promised=held.ballot)
        return self._agree([pack_accepted_state(call.register, shown)])

    def accept(self, call: kinds.StoreCall) -> kinds.StoreAnswer:
        """Accepts a value under a ballot that is not below the promised one."""
        refusal = self._find_refusal(call) or self._find_past_generation(call)
        if refusal:
            return self._refuse(refusal, call.register)
        ballot = Ballot.read(call.ballot)
        if ballot < self.accepted_states.get(call.register, NO_ACCEPTED_STATE).promised:
            return self._refuse(Refusal.PROMISED_HIGHER, call.register)
        orders = tuple(call.orders)
        self._hold(call.register, AcceptedState(ballot, ballot, call.number, call.value, orders))
        self._unproven.discard(call.register)
        return self._agree([])

    def learn_chosen(self, register: str, holding: AcceptedState) -> bool:
        """Takes in what a majority holds; returns whether it was newer than the one held.

        Safe whatever was promised: a higher ballot's majority met this one's.
        """
        if register == VIEW_REGISTER:
            self.learn_view(read_view(holding.value))
        held = self.accepted_states.get(register, NO_ACCEPTED_STATE)
        if holding.ballot <= held.ballot or self.voting_status is not Standing.VOTING:
            return False
        promised = max(held.promised, holding.ballot)
        self._hold(register, holding._replace(promised=promised))
        self._unproven.discard(register)
        return True

    def learn_view(self, view: View) -> bool:
        """Takes in a view that is known to be chosen, if it is newer."""
        held = self.view
        if held is not None and view.number <= held.number:
            return False
        before, was = self.view, self.voting_status
        # Only who was a member all along knows what was held meanwhile.
        follows = held is not None and self.is_member and view.number == held.number + 1
        self.view = view
        # Calls of earlier views are refused as such, whatever life they count on.
        self.known_generations = {
            member: life
            for member, life in self.known_generations.items()
            if member in view.members or member == self.address
        }
        if self.voting_status is Standing.VOTING and not (follows and self.is_member):
            self.begin_reading()
        else:
            self._write_meta()
        is_next = before is not None and view.number == before.number + 1
        self.previous_view = before if is_next and was is Standing.READING else None
        self.removing_view = (
            view if follows and was is Standing.VOTING and not self.is_member else None
        )
        return True

    def answer_read(self, call: kinds.StoreCall) -> kinds.StoreAnswer:
        """Gives all that is held, and knows the reader's new life from then on."""
        votes = self.voting_status is Standing.VOTING and not self.has_pending_view
        # Who was just swapped out votes no more: what it holds is final.
        if not votes and (self.removing_view is None or self.removing_view != self.view):
            return self._refuse(Refusal.UNREADABLE, "")
        if call.view and read_view(call.view) != self.view:
            return self._refuse(Refusal.ANOTHER_VIEW, "")
        known = self.known_generations.get(call.sender, NO_GENERATION)
        if not may_succeed(call.sender_life, known):
            return self._refuse(Refusal.READER_OF_PAST_GENERATION, "", {call.sender: known})
        if known != call.sender_life:
            self.known_generations[call.sender] = call.sender_life
            # On disk first: an accept that counts on the past life of the
            # reader must be refused from here on, whatever happens to us.
            self._write_meta()
        return self._agree(
            [pack_accepted_state(name, holding) for name, holding in self.accepted_states.items()]
        )

    def finish_reading(self, answers: list[kinds.StoreAnswer]) -> None:
        """Takes over what enough others hold; from here on this store votes."""
        merge_accepted_states(self.accepted_states, answers)
        merge_generations(self.known_generations, answers)
        for register, holding in self.accepted_states.items():
            self._write_register(register, holding)
        self._unproven = find_unproven(self.accepted_states)
        self._set_voting_status(Standing.VOTING)

    def _find_refusal(self, call: kinds.StoreCall) -> Refusal:
        if self.voting_status is not Standing.VOTING or not self.is_member:
            return Refusal.DOES_NOT_VOTE
        if read_view(call.view) != self.view:
            return Refusal.ANOTHER_VIEW
        # A view that may be chosen already ends all else in this one.
        if self.has_pending_view and call.register != VIEW_REGISTER:
            return Refusal.VIEW_IS_CHANGING
        return Refusal.NONE

    def _find_past_generation(self, call: kinds.StoreCall) -> Refusal:
        """Whether the accept counts on a promise that was lost with a disk.

        A later life than the one noted here is no reason: it has read, though
        not from us.
        """
        if self.address not in call.lives:
            return Refusal.NO_PROMISE
        if call.lives[self.address] != self.generation:
            return Refusal.PAST_GENERATION
        is_lost = any(
            is_superseded(life, self.known_generations.get(member, NO_GENERATION))
            for member, life in call.lives.items()
        )
        return Refusal.PAST_GENERATION if is_lost else Refusal.NONE

    def _hold(self, register: str, holding: AcceptedState) -> None:
        self._write_register(register, holding)
        self.accepted_states[register] = holding

    def _write_register(self, register: str, holding: AcceptedState) -> None:
        record = pack_accepted_state(register, holding).SerializeToString()
        self._records.write(_REGISTER_PREFIX + register, record)

    def _begin_first(self, seeds: list[str]) -> None:
        self.generation, self.view = first_generation(), first_view(seeds)
        # A store that no seed names waits to be swapped in.
        if self.is_member:
            self._set_voting_status(Standing.VOTING)

    def _set_voting_status(self, voting_status: Standing) -> None:
        """The one place where the standing changes."""
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
        self.generation, self.voting_status, self.view = meta.life, meta.standing, meta.view
        self.known_generations, self._unproven = dict(meta.lives), set(meta.unproven)

    def _agree(self, accepted: list[kinds.Accepted]) -> kinds.StoreAnswer:
        return kinds.StoreAnswer(
            agreed=True,
            life=self.generation,
            view=self.pack_view(),
            accepted=accepted,
            lives={**self.known_generations, self.address: self.generation},
        )

    def _refuse(
        self,
        reason: Refusal,
        register: str,
        lives: dict[str, str] | None = None,
    ) -> kinds.StoreAnswer:
        promised = self.accepted_states.get(register, NO_ACCEPTED_STATE).promised
        return kinds.StoreAnswer(
            reason=reason,
            life=self.generation,
            view=self.pack_view(),
            lives=lives,
            promised=promised.pack(),
        )

    def pack_view(self) -> bytes:
        """The newest chosen view known, or nothing."""
        return self.view.pack() if self.view else b""
