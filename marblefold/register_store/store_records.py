"""Where a store keeps its records, and what it writes of itself."""

import enum
import json
from typing import NamedTuple

from marblefold.register_store.view import View, read_view

__all__ = ["VotingStatus", "StoreMeta"]


class VotingStatus(enum.Enum):
    """Whether this store may vote."""

    # Its disk may miss what it once promised or accepted.
    READING = "reading"
    VOTING = "voting"


class StoreMeta(NamedTuple):
    """The record of a store's life, standing and view."""

    life: str
    standing: VotingStatus
    lives: dict[str, str]
    unproven: frozenset[str]
    view: View | None

    def pack(self) -> bytes:
        """The record as bytes."""
        return json.dumps(
            {
                "life": self.life,
                "standing": self.standing.value,
                "lives": self.lives,
                "unproven": sorted(self.unproven),
                "view": self.view.pack().decode() if self.view else "",
            }
        ).encode()

    @classmethod
    def read(cls, data: bytes) -> "StoreMeta":
        """The record in the bytes."""
        fields = json.loads(data)
        view = fields["view"]
        return cls(
            fields["life"],
            VotingStatus(fields["standing"]),
            fields["lives"],
            frozenset(fields.get("unproven", ())),
            read_view(view.encode()) if view else None,
        )
