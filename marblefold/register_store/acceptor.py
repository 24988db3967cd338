"""The voting side of a store: promises and accepts, on disk before it says so.

Pure but for the records it writes, so that tests can lose power anywhere.
"""

import enum
import json
import os
from typing import Protocol

from marblefold.inner_protocol.messages import kinds
from marblefold.register_store.ballots import NOTHING, Ballot, Holding, pack_holding, read_holding
from marblefold.register_store.view import View, first_view, read_view

__all__ = ["Acceptor", "Records", "Standing", "VIEW_REGISTER"]

VIEW_REGISTER = "view"
_META = "meta"
_REGISTER_PREFIX = "register/"


class Records(Protocol):
    """Where records last."""

    def load(self) -> dict[str, bytes]: ...

    def write(self, name: str, data: bytes) -> None: ...


class Standing(enum.Enum):
    """Whether this store may vote."""

    # Its disk may miss what it once promised or accepted.
    READING = "reading"
    VOTING = "voting"


class Acceptor:
    """Holds the registers of one store."""

    def __init__(self, address: str, records: Records, seeds: list[str], is_first: bool) -> None:
        self.address = address
        self.standing = Standing.READING
        self.life = ""
        self.lives: dict[str, str] = {}
        self.holdings: dict[str, Holding] = {}
        self.view: View | None = None
        self._retired: set[str] = set()
        self._records = records
        loaded = records.load()
        for name, data in loaded.items():
            if name.startswith(_REGISTER_PREFIX):
                message = kinds.Accepted.FromString(data)
                self.holdings[message.register] = read_holding(message)
        if _META in loaded:
            self._read_meta(loaded[_META])
        elif is_first and not loaded:
            self._begin_first(seeds)
        if self.standing is Standing.READING:
            self.begin_reading()

    @property
    def is_member(self) -> bool:
        """Whether the newest chosen view known here counts this store in."""
        return self.view is not None and self.address in self.view.members

    @property
    def has_open_view(self) -> bool:
        """Whether a view was accepted here that may or may not be chosen."""
        held = self.holdings.get(VIEW_REGISTER, NOTHING)
        known = self.view.number if self.view else 0
        return bool(held.value) and read_view(held.value).number > known

    def begin_reading(self) -> None:
        """Starts a life that knows nothing: no vote before it has read."""
        self.life = os.urandom(16).hex()
        self._change_standing(Standing.READING)

    def prepare(self, call: kinds.StoreCall) -> kinds.StoreAnswer:
        """Promises to take no lower ballot, if none higher was promised."""
        refusal = self._find_refusal(call)
        if refusal:
            return self._refuse(refusal, call.register)
        held = self.holdings.get(call.register, NOTHING)
        ballot = Ballot.read(call.ballot)
        if ballot <= held.promised:
            return self._refuse("promised higher", call.register)
        self._hold(call.register, held._replace(promised=ballot))
        return self._agree([pack_holding(call.register, held)])

    def accept(self, call: kinds.StoreCall) -> kinds.StoreAnswer:
        """Accepts a value under a ballot that is not below the promised one."""
        refusal = self._find_refusal(call) or self._find_past_life(call)
        if refusal:
            return self._refuse(refusal, call.register)
        ballot = Ballot.read(call.ballot)
        if ballot < self.holdings.get(call.register, NOTHING).promised:
            return self._refuse("promised higher", call.register)
        orders = tuple(call.orders)
        self._hold(call.register, Holding(ballot, ballot, call.number, call.value, orders))
        return self._agree([])

    def take_chosen(self, register: str, holding: Holding) -> bool:
        """Takes in what a majority holds; tells whether it was news.

        Safe whatever was promised: a higher ballot's majority met this one's.
        """
        if register == VIEW_REGISTER:
            self.take_view(read_view(holding.value))
        held = self.holdings.get(register, NOTHING)
        if holding.ballot <= held.ballot or self.standing is not Standing.VOTING:
            return False
        promised = max(held.promised, holding.ballot)
        self._hold(register, holding._replace(promised=promised))
        return True

    def take_view(self, view: View) -> bool:
        """Takes in a view that is known to be chosen, if it is newer."""
        if self.view is not None and view.number <= self.view.number:
            return False
        # Only who was a member all along knows what was held meanwhile.
        follows = self.is_member and view.number == self.view.number + 1
        self.view = view
        if self.standing is Standing.VOTING and not (follows and self.is_member):
            self.begin_reading()
        else:
            self._write_meta()
        return True

    def answer_read(self, call: kinds.StoreCall) -> kinds.StoreAnswer:
        """Gives all that is held, and knows the reader's new life from then on."""
        if self.standing is not Standing.VOTING or self.has_open_view:
            return self._refuse("cannot be read now", "")
        if call.view and read_view(call.view) != self.view:
            return self._refuse("another view", "")
        known = self.lives.get(call.sender, "")
        if call.sender_life in self._retired:
            return self._refuse("a past life", "")
        if known != call.sender_life:
            if known:
                self._retired.add(known)
            self.lives[call.sender] = call.sender_life
            # On disk first: an accept that counts on the past life of the
            # reader must be refused from here on, whatever happens to us.
            self._write_meta()
        return self._agree([pack_holding(name, holding) for name, holding in self.holdings.items()])

    def finish_reading(self, answers: list[kinds.StoreAnswer]) -> None:
        """Takes over what enough others hold; from here on this store votes."""
        for answer in answers:
            for message in answer.accepted:
                self._merge(message.register, read_holding(message))
            for member, life in answer.lives.items():
                self.lives.setdefault(member, life)
        for register, holding in self.holdings.items():
            self._write_register(register, holding)
        self._change_standing(Standing.VOTING)

    def _merge(self, register: str, other: Holding) -> None:
        held = self.holdings.get(register, NOTHING)
        newer = other if other.ballot > held.ballot else held
        self.holdings[register] = newer._replace(promised=max(held.promised, other.promised))

    def _find_refusal(self, call: kinds.StoreCall) -> str:
        if self.standing is not Standing.VOTING or not self.is_member:
            return "does not vote"
        if read_view(call.view) != self.view:
            return "another view"
        # A view that may be chosen already ends all else in this one.
        if self.has_open_view and call.register != VIEW_REGISTER:
            return "view is changing"
        return ""

    def _find_past_life(self, call: kinds.StoreCall) -> str:
        for member, life in call.lives.items():
            known = self.life if member == self.address else self.lives.get(member, life)
            if known != life:
                return "counts on a past life"
        return "" if self.address in call.lives else "counts on no promise"

    def _hold(self, register: str, holding: Holding) -> None:
        self._write_register(register, holding)
        self.holdings[register] = holding

    def _write_register(self, register: str, holding: Holding) -> None:
        self._records.write(
            _REGISTER_PREFIX + register, pack_holding(register, holding).SerializeToString()
        )

    def _begin_first(self, seeds: list[str]) -> None:
        view = first_view(seeds)
        self.life = os.urandom(16).hex()
        self.view = view
        # A store that no seed names waits to be swapped in.
        if self.is_member:
            self._change_standing(Standing.VOTING)

    def _change_standing(self, standing: Standing) -> None:
        """The one place where the standing changes."""
        self.standing = standing
        self._write_meta()

    def _write_meta(self) -> None:
        self._records.write(
            _META,
            json.dumps(
                {
                    "life": self.life,
                    "standing": self.standing.value,
                    "lives": self.lives,
                    "retired": sorted(self._retired),
                    "view": self.view.pack().decode() if self.view else "",
                }
            ).encode(),
        )

    def _read_meta(self, data: bytes) -> None:
        meta = json.loads(data)
        self.life = meta["life"]
        self.standing = Standing(meta["standing"])
        self.lives = meta["lives"]
        self._retired = set(meta["retired"])
        if meta["view"]:
            self.view = read_view(meta["view"].encode())

    def _agree(self, accepted: list[kinds.Accepted]) -> kinds.StoreAnswer:
        return kinds.StoreAnswer(
            agreed=True, life=self.life, view=self.pack_view(), accepted=accepted, lives=self.lives
        )

    def _refuse(self, reason: str, register: str) -> kinds.StoreAnswer:
        held = self.holdings.get(register, NOTHING)
        return kinds.StoreAnswer(
            reason=reason, life=self.life, view=self.pack_view(), promised=held.promised.pack()
        )

    def pack_view(self) -> bytes:
        """The newest chosen view known, or nothing."""
        return self.view.pack() if self.view else b""
