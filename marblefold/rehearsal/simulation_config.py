"""How a rehearsal is played: its length, its seed and what it assumes of links and targets."""

from typing import NamedTuple

__all__ = ["SimulationConfig"]


class SimulationConfig(NamedTuple):
    """Times and delays in seconds."""

    before_loss_seconds: float = 3.0
    after_loss_seconds: float = 6.0
    max_requests: int = 60_000
    # The forecast is the mean of so many runs.
    runs: int = 4
    seed: int = 1
    # One-way delays.
    in_zone_seconds: float = 0.0002
    cross_zone_seconds: float = 0.001
    cross_region_seconds: float = 0.012
    # Service times are spread evenly over this share below and above their mean.
    service_time_spread: float = 0.5
    # When a silent machine is noticed: a read is repeated, a connection is closed,
    # an attempt to connect is given up.
    unresponsive_seconds: float = 0.45
    connection_loss_seconds: float = 2.0
    connect_timeout_seconds: float = 0.5
    # Clients of a lost zone move to others after this time; else they are lost too.
    clients_move: bool = True
    clients_move_seconds: float = 2.0
