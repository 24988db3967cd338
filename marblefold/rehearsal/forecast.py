"""Forecasts the effects of losing regions or zones, for each route and service."""

from collections.abc import Generator

from marblefold.errors import MeshError
from marblefold.rehearsal.forecast_model import Forecast
from marblefold.rehearsal.forecast_summary import summarize
from marblefold.rehearsal.outcome_statistics import OutcomeStatistics
from marblefold.rehearsal.simulation import Simulation
from marblefold.rehearsal.simulation_config import SimulationConfig
from marblefold.rehearsal.snapshot import Snapshot

__all__ = ["find_lost_zones", "rehearse", "rehearse_in_slices"]


def find_lost_zones(snapshot: Snapshot, regions: list[str], zones: list[str]) -> frozenset[str]:
    """Returns the zones that would be lost.

    Raises an ExceptionGroup with a MeshError for each unknown region or zone, and if
    no zone or every zone is named.
    """
    errors = []
    lost: set[str] = set()
    known = snapshot.zone_regions
    for region in regions:
        found = {zone for zone, zone_region in known.items() if zone_region == region}
        if not found:
            errors.append(MeshError("lose", f"region: no region {region!r}"))
        lost |= found
    for zone in zones:
        if zone not in known:
            errors.append(MeshError("lose", f"zone: no zone {zone!r}"))
        lost.add(zone)
    if not regions and not zones:
        errors.append(MeshError("lose", "region or zone: none is named"))
    if lost and lost >= set(known):
        errors.append(MeshError("lose", "that is every zone there is: nothing would be left"))
    if errors:
        raise ExceptionGroup("lose", errors)
    return frozenset(lost)


def rehearse(
    snapshot: Snapshot,
    lost: frozenset[str],
    config: SimulationConfig = SimulationConfig(),
) -> Forecast:
    """Returns the forecast: a pure function of the snapshot, the lost zones and the settings.

    The seed is one of the settings.
    """
    slices = rehearse_in_slices(snapshot, lost, config)
    while True:
        try:
            next(slices)
        except StopIteration as end:
            return end.value


def rehearse_in_slices(
    snapshot: Snapshot,
    lost: frozenset[str],
    config: SimulationConfig = SimulationConfig(),
) -> Generator[None, None, Forecast]:
    """Computes the same forecast in slices: yields after every 100 events, returns the forecast."""
    expected = Simulation(snapshot, lost, config).expected_requests
    # One run of many requests is as exact as several of few. Above the limit a shorter
    # time is simulated, down to the minimum that still shows the effect.
    runs = max(1, min(config.runs, int(config.max_requests / max(1.0, expected))))
    if expected > config.max_requests:
        factor = config.max_requests / expected
        config = config._replace(
            before_loss_seconds=max(1.0, config.before_loss_seconds * factor),
            after_loss_seconds=max(4.0, config.after_loss_seconds * factor),
        )
    statistics = OutcomeStatistics()
    for number in range(runs):
        simulation = Simulation(
            snapshot, lost, config._replace(seed=config.seed + 1000 * number), statistics
        )
        yield from simulation.run()
    return summarize(snapshot, lost, simulation, runs)
