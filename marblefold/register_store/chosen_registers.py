"""What is known to hold, and who wants to hear of it."""

from marblefold.inner_protocol.frames import FrameKind
from marblefold.inner_protocol.messages import kinds, pack_message
from marblefold.inner_protocol.peer_connection import PeerConnection
from marblefold.register_store.ballots import Ballot, Holding, pack_holding

__all__ = ["ChosenRegisters"]


class ChosenRegisters:
    """The newest chosen holding of every register, and its watchers."""

    def __init__(self) -> None:
        self.holdings: dict[str, Holding] = {}
        self._watchers: set[PeerConnection] = set()

    def put(self, register: str, holding: Holding) -> bool:
        """Takes in a chosen holding; tells whether it was news."""
        held = self.holdings.get(register)
        if not holding.value or (held is not None and holding.ballot <= held.ballot):
            return False
        self.holdings[register] = holding
        payload = pack_message(pack_holding(register, holding))
        for connection in self._watchers:
            connection.send(FrameKind.TELL, 0, payload)
        return True

    def watch(self, connection: PeerConnection) -> None:
        """The registry behind the connection hears all that holds, from now on."""
        self._watchers.add(connection)
        for register, holding in self.holdings.items():
            connection.send(FrameKind.TELL, 0, pack_message(pack_holding(register, holding)))

    def forget(self, connection: PeerConnection) -> None:
        """A watcher is gone."""
        self._watchers.discard(connection)

    def ballots(self) -> list[kinds.Accepted]:
        """The ballots of all that holds, for peers to compare."""
        return [
            kinds.Accepted(register=register, ballot=holding.ballot.pack())
            for register, holding in self.holdings.items()
        ]

    def newer_than(self, ballots: list[kinds.Accepted]) -> list[kinds.Accepted]:
        """What holds here and is newer than a peer's."""
        theirs = {message.register: Ballot.read(message.ballot) for message in ballots}
        return [
            pack_holding(register, holding)
            for register, holding in self.holdings.items()
            if register not in theirs or holding.ballot > theirs[register]
        ]
