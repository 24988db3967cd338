"""What is known to be chosen, and which connections watch it."""

# The accelerator itself: hashlib would load OpenSSL, 4 MB in every process.
from _blake2 import blake2b

from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.messages import kinds, pack_message
from marblefold.inner_protocol.peer_connection import PeerConnection
from marblefold.register_store.ballots import AcceptedState, Ballot, pack_accepted_state

__all__ = ["ChosenRegisters"]

# One answer to a store that is behind: it must get through a slow link within
# the time that a call has.  A single record is sent whole, whatever its size.
_MOST_BYTES = 32 * 1024


class ChosenRegisters:
    """The newest chosen holding of every register, and its watchers."""

    def __init__(self) -> None:
        self.holdings: dict[str, AcceptedState] = {}
        self._watchers: set[PeerConnection] = set()
        self._digest = b""

    def put(self, register: str, holding: AcceptedState) -> bool:
        """Takes in a chosen holding; returns whether it was newer than the one held."""
        held = self.holdings.get(register)
        if not holding.value or (held is not None and holding.ballot <= held.ballot):
            return False
        self.holdings[register] = holding
        self._digest = b""
        payload = pack_message(pack_accepted_state(register, holding))
        for connection in self._watchers:
            connection.send(FrameKind.TELL, 0, payload)
        return True

    def watch(self, connection: PeerConnection) -> None:
        """Sends the connection all that is chosen, now and from now on."""
        self._watchers.add(connection)
        for register, holding in self.holdings.items():
            connection.send(FrameKind.TELL, 0, pack_message(pack_accepted_state(register, holding)))

    def forget(self, connection: PeerConnection) -> None:
        """A watcher is gone."""
        self._watchers.discard(connection)

    def digest(self) -> bytes:
        """16 bytes over registers and ballots, equal where two stores know the same."""
        if not self._digest:
            marks = sorted((name, *holding.ballot) for name, holding in self.holdings.items())
            self._digest = blake2b(repr(marks).encode(), digest_size=16).digest()
        return self._digest

    def ballots(self) -> list[kinds.Accepted]:
        """The ballots of all that is chosen, for peers to compare."""
        return [
            kinds.Accepted(register=register, ballot=holding.ballot.pack())
            for register, holding in self.holdings.items()
        ]

    def newer_than(self, ballots: list[kinds.Accepted]) -> list[kinds.Accepted]:
        """What is newer here than at a peer: as much of it as one answer may hold."""
        theirs = {message.register: Ballot.read(message.ballot) for message in ballots}
        newer: list[kinds.Accepted] = []
        size = 0
        for register, holding in self.holdings.items():
            if register in theirs and holding.ballot <= theirs[register]:
                continue
            message = pack_accepted_state(register, holding)
            size += message.ByteSize()
            if newer and size > _MOST_BYTES:
                break
            newer.append(message)
        return newer
