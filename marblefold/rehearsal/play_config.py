"""How a rehearsal is played: its length, its seed and what it assumes of links and targets."""

from typing import NamedTuple

__all__ = ["PlayConfig"]


class PlayConfig(NamedTuple):
    """How long is played, and what is assumed of links and targets."""

    warm_seconds: float = 3.0
    after_seconds: float = 6.0
    most_requests: int = 60_000
    # What is forecast is the mean of so many plays.
    plays: int = 4
    seed: int = 1
    # One way.
    in_zone: float = 0.0002
    cross_zone: float = 0.001
    cross_region: float = 0.012
    # Service times lie within this part of their mean, either way.
    spread: float = 0.5
    # What a dark machine's silence costs, as connections between proxies find out.
    silent_seconds: float = 0.45
    unheard_seconds: float = 2.0
    connect_seconds: float = 0.5
    # Clients of a lost place come in elsewhere, in this while; else they are lost too.
    clients_move: bool = True
    clients_move_seconds: float = 2.0
