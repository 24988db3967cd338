"""The Paxos acceptor of a store: makes promises and accepts durable before it answers."""

from marblefold.inner_protocol.messages import messages_pb2
from marblefold.register_store.acceptor_state import (
    META_RECORD,
    VIEW_REGISTER,
    AcceptorState,
    exclusive,
)
from marblefold.register_store.ballots import (
    NO_ACCEPTED_STATE,
    AcceptedState,
    Ballot,
    pack_accepted_state,
)
from marblefold.register_store.generations import (
    NO_GENERATION,
    is_superseded,
    may_succeed,
)
from marblefold.register_store.peer_call_kinds import Refusal
from marblefold.register_store.state_recovery import (
    find_unproven,
    merge_accepted_states,
    merge_generations,
)
from marblefold.register_store.store_records import VotingStatus
from marblefold.register_store.view import View, read_view

__all__ = ["Acceptor", "META_RECORD", "VotingStatus", "VIEW_REGISTER"]


class Acceptor(AcceptorState):
    """The acceptor of all registers of one store."""

    @exclusive
    def supersede_generation(self, known: str) -> bool:
        """Starts a later generation unless this one may succeed the known one.

        After a disk loss a store does not know its epoch; the members that
        recorded it report it. Returns whether a new generation started.
        """
        if may_succeed(self.generation, known):
            return False
        self.known_generations[self.address] = known
        self.begin_reading()
        return True

    @exclusive
    def prepare(self, call: messages_pb2.StoreCall) -> messages_pb2.StoreAnswer:
        """Promises to accept no lower ballot, unless this or a higher one was promised."""
        refusal = self._find_refusal(call)
        if refusal:
            return self._refuse(refusal, call.register)
        current, ballot = (
            self.accepted_states.get(call.register, NO_ACCEPTED_STATE),
            Ballot.read(call.ballot),
        )
        if ballot <= current.promised:
            return self._refuse(Refusal.PROMISED_HIGHER, call.register)
        self._store_accepted(call.register, current._replace(promised=ballot))
        return self._agree([self._report_state(call.register, current)])

    def describe(self, call: messages_pb2.StoreCall) -> messages_pb2.StoreAnswer:
        """Returns the accepted state without a promise: changes nothing and writes nothing.

        The value is left out if the caller names the ballot that it was accepted under.
        """
        refusal = self._find_refusal(call)
        if refusal:
            return self._refuse(refusal, call.register)
        current = self.accepted_states.get(call.register, NO_ACCEPTED_STATE)
        if current.ballot == Ballot.read(call.ballot):
            current = current._replace(value=b"", orders=())
        accepted = self._report_state(call.register, current)
        return messages_pb2.StoreAnswer(agreed=True, accepted=[accepted])

    @exclusive
    def accept(self, call: messages_pb2.StoreCall) -> messages_pb2.StoreAnswer:
        """Accepts a value if its ballot is not below the promised one."""
        refusal = self._find_refusal(call) or self._find_past_generation(call)
        if refusal:
            return self._refuse(refusal, call.register)
        ballot = Ballot.read(call.ballot)
        if ballot < self.accepted_states.get(call.register, NO_ACCEPTED_STATE).promised:
            return self._refuse(Refusal.PROMISED_HIGHER, call.register)
        orders = tuple(call.orders)
        self._store_accepted(
            call.register, AcceptedState(ballot, ballot, call.number, call.value, orders)
        )
        self._unproven.discard(call.register)
        return self._agree([])

    def learn_chosen(self, register: str, state: AcceptedState) -> bool:
        """Stores a chosen state; returns whether it was newer than the accepted one.

        Safe whatever was promised: the majority of any higher ballot overlaps
        with the majority of this one.
        """
        if register == VIEW_REGISTER:
            self.learn_view(read_view(state.value))
        # Without the lock: mostly it was accepted here, and accepted ballots only rise.
        if state.ballot <= self._accepted_ballot(register):
            return False
        return self._store_chosen(register, state)

    def learn_view(self, view: View) -> bool:
        """Adopts a view that is known to be chosen; returns whether it was newer."""
        # Without the lock: most calls name the view that is known.
        if self.view is not None and view.number <= self.view.number:
            return False
        return self._adopt_view(view)

    def _accepted_ballot(self, register: str) -> Ballot:
        return self.accepted_states.get(register, NO_ACCEPTED_STATE).ballot

    @exclusive
    def _store_chosen(self, register: str, state: AcceptedState) -> bool:
        current = self.accepted_states.get(register, NO_ACCEPTED_STATE)
        if state.ballot <= current.ballot or self.voting_status is not VotingStatus.VOTING:
            return False
        promised = max(current.promised, state.ballot)
        self._store_accepted(register, state._replace(promised=promised))
        self._unproven.discard(register)
        return True

    @exclusive
    def _adopt_view(self, view: View) -> bool:
        current = self.view
        if current is not None and view.number <= current.number:
            return False
        preceding, previous_status = self.view, self.voting_status
        # Only a member of two consecutive views has missed no accepted state.
        is_consecutive = (
            current is not None and self.is_member and view.number == current.number + 1
        )
        self.view = view
        # Calls of earlier views are refused for their view, so the generations
        # of former members need not be kept.
        self.known_generations = {
            member: generation
            for member, generation in self.known_generations.items()
            if member in view.members or member == self.address
        }
        if self.voting_status is VotingStatus.VOTING and not (is_consecutive and self.is_member):
            self.begin_reading()
        else:
            self._write_meta()
        is_next = preceding is not None and view.number == preceding.number + 1
        self.previous_view = (
            preceding if is_next and previous_status is VotingStatus.READING else None
        )
        self.removing_view = (
            view
            if is_consecutive and previous_status is VotingStatus.VOTING and not self.is_member
            else None
        )
        return True

    @exclusive
    def answer_read(self, call: messages_pb2.StoreCall) -> messages_pb2.StoreAnswer:
        """Returns all accepted states and records the reader's new generation."""
        is_voting = self.voting_status is VotingStatus.VOTING and not self.has_pending_view
        # A store that was just removed no longer votes: its state is final.
        if not is_voting and (self.removing_view is None or self.removing_view != self.view):
            return self._refuse(Refusal.UNREADABLE, "")
        if call.view and read_view(call.view) != self.view:
            return self._refuse(Refusal.ANOTHER_VIEW, "")
        known = self.known_generations.get(call.sender, NO_GENERATION)
        if not may_succeed(call.sender_life, known):
            return self._refuse(Refusal.READER_OF_PAST_GENERATION, "", {call.sender: known})
        if known != call.sender_life:
            self.known_generations[call.sender] = call.sender_life
            # Durable before the answer: from here on an accept that counts on an
            # earlier generation of the reader must be refused, even after a restart.
            self._write_meta()
        return self._agree(
            [pack_accepted_state(name, state) for name, state in self.accepted_states.items()]
        )

    @exclusive
    def finish_reading(self, answers: list[messages_pb2.StoreAnswer]) -> None:
        """Adopts the states read from a read quorum; from here on this store votes."""
        merge_accepted_states(self.accepted_states, answers)
        merge_generations(self.known_generations, answers)
        for register, state in self.accepted_states.items():
            self._write_register(register, state)
        self._unproven = find_unproven(self.accepted_states)
        self._set_voting_status(VotingStatus.VOTING)

    def _find_refusal(self, call: messages_pb2.StoreCall) -> Refusal:
        if self.voting_status is not VotingStatus.VOTING or not self.is_member:
            return Refusal.DOES_NOT_VOTE
        if read_view(call.view) != self.view:
            return Refusal.ANOTHER_VIEW
        # A pending view may be chosen already, so this one accepts nothing else.
        if self.has_pending_view and call.register != VIEW_REGISTER:
            return Refusal.VIEW_IS_CHANGING
        return Refusal.NONE

    def _find_past_generation(self, call: messages_pb2.StoreCall) -> Refusal:
        """Returns the refusal of an accept that counts on a promise lost with a disk.

        A later generation than the one recorded here is no reason to refuse: its
        store has recovered, only without reading from this one.
        """
        if self.address not in call.lives:
            return Refusal.NO_PROMISE
        if call.lives[self.address] != self.generation:
            return Refusal.PAST_GENERATION
        is_lost = any(
            is_superseded(generation, self.known_generations.get(member, NO_GENERATION))
            for member, generation in call.lives.items()
        )
        return Refusal.PAST_GENERATION if is_lost else Refusal.NONE

    def _report_state(self, register: str, state: AcceptedState) -> messages_pb2.Accepted:
        """A promise above the accepted ballot says not to count the value as accepted."""
        is_proven = register not in self._unproven
        return pack_accepted_state(
            register, state._replace(promised=state.ballot) if is_proven else state
        )

    def _agree(self, accepted: list[messages_pb2.Accepted]) -> messages_pb2.StoreAnswer:
        return messages_pb2.StoreAnswer(
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
        generations: dict[str, str] | None = None,
    ) -> messages_pb2.StoreAnswer:
        promised = self.accepted_states.get(register, NO_ACCEPTED_STATE).promised
        return messages_pb2.StoreAnswer(
            reason=reason,
            life=self.generation,
            view=self.pack_view(),
            lives=generations,
            promised=promised.pack(),
        )
