"""Applies a proposed change to a state of the mesh, or reports why that is impossible."""

from typing import NamedTuple

from marblefold.configuration.rows import ConfigurationRows
from marblefold.errors import MeshError
from marblefold.planner.mesh_state import MeshState

__all__ = ["Proposal", "propose"]


class Proposal(NamedTuple):
    """A proposed change.

    It consists of a configuration, the ids of targets to drain, zones to evacuate, and
    stores to replace, each as OLD=NEW.
    """

    rows: ConfigurationRows | None = None
    drains: tuple[str, ...] = ()
    evacuations: tuple[str, ...] = ()
    replacements: tuple[str, ...] = ()


def propose(mesh_state: MeshState, proposal: Proposal) -> MeshState:
    """Returns the state of the mesh after the change.

    Raises an ExceptionGroup with a MeshError for each part that is impossible.
    """
    errors: list[MeshError] = []
    instances = {target.instance for target in mesh_state.targets}
    zones = {target.zone for target in mesh_state.targets}
    for instance in proposal.drains:
        if instance not in instances:
            errors.append(MeshError("drain", f"no target {instance!r}"))
    for zone in proposal.evacuations:
        if zone not in zones:
            errors.append(MeshError("evacuate", f"no target stands in zone {zone!r}"))
    members = mesh_state.members
    for replacement in proposal.replacements:
        old_member, separator, new_member = replacement.partition("=")
        if not separator or not new_member:
            errors.append(MeshError("swap", f"{replacement!r} is not OLD=NEW"))
        elif old_member not in members:
            errors.append(MeshError("swap", f"{old_member!r} is no member"))
        elif new_member in members:
            errors.append(MeshError("swap", f"{new_member!r} is a member already"))
        else:
            members = tuple(new_member if member == old_member else member for member in members)
    rows = proposal.rows or mesh_state.rows
    # A number that is not above the current one would be acknowledged without any effect.
    if proposal.rows is not None and rows.number <= mesh_state.rows.number:
        errors.append(
            MeshError(
                "configuration",
                f"number {rows.number} is not above the one held, {mesh_state.rows.number}",
            )
        )
    if errors:
        raise ExceptionGroup("proposal", errors)
    return MeshState(
        rows,
        tuple(target for target in mesh_state.targets if target.instance not in proposal.drains),
        mesh_state.evacuated | set(proposal.evacuations),
        members,
    )
