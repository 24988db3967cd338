"""The record in which a store keeps its own state."""

import enum
import json
from typing import NamedTuple

from marblefold.register_store.view import View, read_view

__all__ = ["StoreMeta", "VotingStatus"]


class VotingStatus(enum.Enum):
    """Whether this store may vote."""

    # Must read from the other stores first: its disk may lack what it promised or accepted.
    READING = "reading"
    VOTING = "voting"


class StoreMeta(NamedTuple):
    """A store's generation, voting status and view, and the generations of its peers.

    `unproven` names the registers whose content was copied from peers although
    a higher ballot was promised.
    """

    generation: str
    voting_status: VotingStatus
    known_generations: dict[str, str]
    unproven: frozenset[str]
    view: View | None

    def pack(self) -> bytes:
        """Encodes the record as JSON."""
        return json.dumps(
            {
                "life": self.generation,
                "standing": self.voting_status.value,
                "lives": self.known_generations,
                "unproven": sorted(self.unproven),
                "view": self.view.pack().decode() if self.view else "",
            }
        ).encode()

    @classmethod
    def read(cls, data: bytes) -> "StoreMeta":
        """Decodes a record from JSON."""
        fields = json.loads(data)
        view = fields["view"]
        return cls(
            fields["life"],
            VotingStatus(fields["standing"]),
            fields["lives"],
            frozenset(fields.get("unproven", ())),
            read_view(view.encode()) if view else None,
        )
