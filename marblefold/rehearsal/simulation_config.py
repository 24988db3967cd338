"""Settings of a simulation: its length, its seed and its assumptions on links and targets."""

from typing import NamedTuple

__all__ = ["SimulationConfig"]


class SimulationConfig(NamedTuple):
    """The settings of a simulation; times and delays in seconds."""

    before_loss_seconds: float = 3.0
    after_loss_seconds: float = 6.0
    max_requests: int = 60_000
    # The forecast is the mean over this many runs.
    runs: int = 4
    seed: int = 1
    # One-way delays.
    in_zone_delay_seconds: float = 0.0002
    cross_zone_delay_seconds: float = 0.001
    cross_region_delay_seconds: float = 0.012
    # Service times are uniform within this share below and above their mean.
    service_time_spread: float = 0.5
    # The times until a read sent to an unresponsive machine is retried, the connection to
    # it is closed, and an attempt to connect to it fails.
    unresponsive_seconds: float = 0.45
    connection_loss_seconds: float = 2.0
    connect_timeout_seconds: float = 0.5
    # Clients of a lost zone move to other zones after this time, or are lost with it.
    clients_move: bool = True
    clients_move_after_seconds: float = 2.0
