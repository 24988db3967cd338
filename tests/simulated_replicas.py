"""Complete stores in memory: the real acceptor, proposer, replica and anti-entropy.

Calls reach a peer at once or not at all, and the test runs the background rounds.
Counts the bytes sent between stores, and the calls by kind.
"""

import asyncio
import collections
import contextlib

from marblefold.errors import MeshError
from marblefold.inner_protocol.messages import messages_pb2, pack_message, unpack_message
from marblefold.register_store.acceptor import Acceptor
from marblefold.register_store.anti_entropy import answer_comparison
from marblefold.register_store.ballots import pack_accepted_state, read_accepted_state
from marblefold.register_store.chosen_registers import ChosenRegisters
from marblefold.register_store.peer_calls import answer_call
from marblefold.register_store.proposer import Proposer
from marblefold.register_store.replica import Replica
from tests.simulated_stores import MemoryRecords


class Core:
    """The store machines, and the network between them."""

    def __init__(self, size, make_records=MemoryRecords):
        self.addresses = [f"10.0.0.{number}:7103" for number in range(1, size + 1)]
        self.away = set()
        self.calls = collections.Counter()
        self.bytes = self.largest = 0
        self.members = {
            address: Member(self, address, make_records(), True) for address in self.addresses
        }

    async def change(self, by, register, change):
        """Makes a change as an operator's order does; raises MeshError if not acknowledged."""
        member = self.members[by]
        state = await member.proposer.change(register, change, 1.0)
        member.replica.learn_chosen(register, state)
        for peer in self.addresses:
            member.notify_chosen(peer, register, state)
        await asyncio.sleep(0)
        return state

    async def run_round(self, *addresses):
        """Runs one background round, on the machines named or on all reachable ones."""
        for address in addresses or self.addresses:
            if address not in self.away:
                replica = self.members[address].replica
                for step in (replica._act, replica._compare):
                    # A failed step is run again in the next round, as in the store's own loops.
                    with contextlib.suppress(MeshError):
                        await step()

    def restart(self, address, records=None, is_first=False):
        """Restarts the process, on its disk or on the given one."""
        old = self.members[address]
        self.members[address] = Member(self, address, records or old.records, is_first)
        return self.members[address]

    def reset_counts(self):
        self.calls.clear()
        self.bytes = self.largest = 0


class Member:
    """One store, and the calls that it makes and answers."""

    def __init__(self, core, address, records, is_first):
        self.core, self.address, self.records = core, address, records
        self.acceptor = Acceptor(address, records, core.addresses, is_first)
        self.chosen = ChosenRegisters()
        self.proposer = Proposer(
            self, f"{address}/{self.acceptor.generation}/1", sleep=lambda _seconds: asyncio.sleep(0)
        )
        self.replica = Replica(self.acceptor, self, self.proposer, self.chosen, core.addresses, 2)

    def current_view(self):
        return self.acceptor.view

    def learn_view(self, view):
        self.acceptor.learn_view(view)

    def silence_seconds(self, peer, since):
        return 0.0

    def answer(self, call):
        answer = answer_call(self.acceptor, call)
        if answer is not None:
            return answer
        if call.kind == "join":
            return messages_pb2.StoreAnswer(view=self.acceptor.pack_view(), reason="wait")
        assert call.kind == "compare"
        return answer_comparison(self.chosen, call, self.acceptor.pack_view())

    async def call(self, peer, call):
        if peer == self.address:
            return answer_call(self.acceptor, call)
        if peer in self.core.away or self.address in self.core.away:
            raise MeshError("call", "out of reach", peer)
        call.sender, call.sender_life = self.address, self.acceptor.generation
        payload = pack_message(call)
        answer = pack_message(self.core.members[peer].answer(unpack_message(payload)))
        self.core.calls[call.kind] += 1
        self.core.bytes += len(payload) + len(answer)
        self.core.largest = max(self.core.largest, len(answer))
        return unpack_message(answer)

    def notify_chosen(self, peer, register, state):
        if peer == self.address or {peer, self.address} & self.core.away:
            return
        payload = pack_message(pack_accepted_state(register, state))
        self.core.bytes += len(payload)
        message = unpack_message(payload)
        assert isinstance(message, messages_pb2.Accepted)
        self.core.members[peer].replica.learn_chosen(message.register, read_accepted_state(message))
