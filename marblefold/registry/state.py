"""A registry's state as JSON, for operators and the planner."""

from typing import Any

from marblefold import wire_names
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.membership.members import Member
from marblefold.registry.catalogue import Catalogue

__all__ = ["describe_state"]


def describe_state(
    catalogue: Catalogue,
    members: list[str],
    proxies: list[Member],
    is_in_contact: bool,
) -> dict[str, Any]:
    """Returns the targets, evacuations, members and proxies that this registry knows."""
    configuration = catalogue.find("configuration", "configuration")
    targets = []
    for entry in catalogue.entries("target"):
        notice = messages_pb2.TargetNotice.FromString(entry.value)
        # A proxy without a running target offers no slots.
        if notice.state not in (wire_names.READY, wire_names.DRAINING):
            continue
        targets.append(
            {
                "instance": notice.instance,
                "node": notice.node,
                wire_names.UPSTREAM: notice.upstream,
                wire_names.ZONE: notice.zone,
                "region": notice.region,
                wire_names.CAPACITY_SLOTS: notice.slots,
                wire_names.STATE: notice.state,
                "cold": notice.cold_left_ms > 0,
                "leaving": notice.leaving,
                "site": notice.site,
                "site-agent": notice.site_agent,
            }
        )
    return {
        wire_names.CONFIG_VERSION: configuration.number if configuration is not None else None,
        "in-touch": is_in_contact,
        "place": catalogue.revision,
        "members": members,
        "evacuated": sorted(
            entry.key for entry in catalogue.entries("evacuation") if entry.value != b"off"
        ),
        "proxies": sorted(member.node for member in proxies),
        "targets": sorted(targets, key=lambda row: row["instance"]),
    }
