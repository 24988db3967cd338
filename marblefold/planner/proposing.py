"""Applies a proposed change to a known state, or lists what is wrong with it."""

from typing import NamedTuple

from marblefold.configuration.rows import ConfigurationRows
from marblefold.errors import MeshError
from marblefold.planner.facts import Facts

__all__ = ["Proposal", "propose"]


class Proposal(NamedTuple):
    """A change: a configuration, targets to drain, zones to evacuate, stores to swap (OLD=NEW)."""

    rows: ConfigurationRows | None = None
    drains: tuple[str, ...] = ()
    evacuations: tuple[str, ...] = ()
    swaps: tuple[str, ...] = ()


def propose(facts: Facts, proposal: Proposal) -> Facts:
    """The mesh after the change.

    Raises an ExceptionGroup of MeshError, one for each part that is not possible.
    """
    faults: list[MeshError] = []
    instances = {target.instance for target in facts.targets}
    zones = {target.zone for target in facts.targets}
    for instance in proposal.drains:
        if instance not in instances:
            faults.append(MeshError("drain", f"no target {instance!r}"))
    for zone in proposal.evacuations:
        if zone not in zones:
            faults.append(MeshError("evacuate", f"no target stands in zone {zone!r}"))
    members = facts.members
    for swap in proposal.swaps:
        gone, sign, newcomer = swap.partition("=")
        if not sign or not newcomer:
            faults.append(MeshError("swap", f"{swap!r} is not OLD=NEW"))
        elif gone not in members:
            faults.append(MeshError("swap", f"{gone!r} is no member"))
        elif newcomer in members:
            faults.append(MeshError("swap", f"{newcomer!r} is a member already"))
        else:
            members = tuple(newcomer if member == gone else member for member in members)
    rows = proposal.rows or facts.rows
    # A number that is not above the one held would be acknowledged and do nothing.
    if proposal.rows is not None and rows.number <= facts.rows.number:
        faults.append(
            MeshError(
                "configuration",
                f"number {rows.number} is not above the one held, {facts.rows.number}",
            )
        )
    if faults:
        raise ExceptionGroup("proposal", faults)
    return Facts(
        rows,
        tuple(target for target in facts.targets if target.instance not in proposal.drains),
        facts.evacuated | set(proposal.evacuations),
        members,
    )
