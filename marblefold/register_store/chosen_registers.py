"""Contents of registers that are known to be chosen, and the connections that watch them."""

# The C module itself: importing hashlib loads OpenSSL, which costs 4 MB in every process.
from _blake2 import blake2b

from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.messages import messages_pb2, pack_message
from marblefold.inner_protocol.peer_connection import PeerConnection
from marblefold.register_store.ballots import AcceptedState, Ballot, pack_accepted_state

__all__ = ["ChosenRegisters"]

# Limit of one answer to a store that is behind, so that it gets through a slow
# link within the timeout of a call.  A single larger record is still sent whole.
_MAX_ANSWER_BYTES = 32 * 1024


class ChosenRegisters:
    """The newest chosen state of every register, and the connections to notify of changes."""

    def __init__(self) -> None:
        self.states: dict[str, AcceptedState] = {}
        self._watchers: set[PeerConnection] = set()
        self._digest = b""

    def put(self, register: str, state: AcceptedState) -> bool:
        """Stores a chosen state; returns whether it was newer than the known one."""
        known = self.states.get(register)
        if not state.value or (known is not None and state.ballot <= known.ballot):
            return False
        self.states[register] = state
        self._digest = b""
        payload = pack_message(pack_accepted_state(register, state))
        for connection in self._watchers:
            connection.send(FrameKind.NOTIFICATION, 0, payload)
        return True

    def watch(self, connection: PeerConnection) -> None:
        """Sends all chosen states to the connection, and every later change."""
        self._watchers.add(connection)
        for register, state in self.states.items():
            connection.send(
                FrameKind.NOTIFICATION, 0, pack_message(pack_accepted_state(register, state))
            )

    def remove_watcher(self, connection: PeerConnection) -> None:
        """Stops sending changes to the connection."""
        self._watchers.discard(connection)

    def digest(self) -> bytes:
        """A 16-byte hash over registers and ballots; equal if two stores know the same states."""
        if not self._digest:
            versions = sorted((name, *state.ballot) for name, state in self.states.items())
            self._digest = blake2b(repr(versions).encode(), digest_size=16).digest()
        return self._digest

    def ballots(self) -> list[messages_pb2.Accepted]:
        """The ballot of every chosen state, for peers to compare with theirs."""
        return [
            messages_pb2.Accepted(register=register, ballot=state.ballot.pack())
            for register, state in self.states.items()
        ]

    def newer_than(self, ballots: list[messages_pb2.Accepted]) -> list[messages_pb2.Accepted]:
        """States that are newer here than at a peer, up to the size limit of one answer."""
        peer_ballots = {message.register: Ballot.read(message.ballot) for message in ballots}
        newer: list[messages_pb2.Accepted] = []
        size = 0
        for register, state in self.states.items():
            if register in peer_ballots and state.ballot <= peer_ballots[register]:
                continue
            message = pack_accepted_state(register, state)
            size += message.ByteSize()
            if newer and size > _MAX_ANSWER_BYTES:
                break
            newer.append(message)
        return newer
