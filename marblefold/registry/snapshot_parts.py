"""What a registry puts into a snapshot for a rehearsal."""

import json
from typing import Any

from marblefold.membership.members import Member
from marblefold.node_config.model import NodeConfig
from marblefold.registry.catalogue import Catalogue
from marblefold.registry.traffic_rates import TrafficRates
from marblefold.wire_names import UPSTREAM, ZONE

__all__ = ["describe_flows", "describe_parts"]


def describe_parts(
    state: dict[str, Any],
    traffic: TrafficRates,
    config: NodeConfig,
    catalogue: Catalogue,
    own: str,
    registries: list[Member],
    now: float,
) -> dict[str, Any]:
    """Everything but the configuration, as plain objects; nothing is asked of anybody."""
    origins = {row["node"]: row[ZONE] for row in state["targets"] if row["node"]}
    origins.update({node: zone for node, zone in traffic.zones().items() if node not in origins})
    owners = {}
    for entry in catalogue.entries("owner"):
        if entry.value:
            site, agent, _epoch, _renewals = json.loads(entry.value)
            if site:
                owners[entry.key] = {"site": site, "agent": agent}
    upstream_of = {row["node"]: row[UPSTREAM] for row in state["targets"]}
    bounds = config.bounds
    return {
        "state": state,
        "zones": dict(config.zone_regions),
        "origins": origins,
        "traffic": describe_flows(traffic, now),
        "service-seconds": {
            name: round(seconds, 6)
            for name, seconds in traffic.service_seconds(upstream_of).items()
        },
        "nodes": len(origins),
        "nodes-heard": len(traffic.nodes(now)),
        "registries": {own: config.zone, **{member.address: member.zone for member in registries}},
        "owners": owners,
        "partners": catalogue.find("partners", "partners") is not None,
        "retry-budget": {
            "ratio": bounds.retry_ratio,
            "window-s": bounds.retry_window.total_seconds(),
            "slack": bounds.retry_slack,
        },
    }


def describe_flows(traffic: TrafficRates, now: float) -> list[dict[str, Any]]:
    """The rows of traffic, as a snapshot has them."""
    return [
        {
            "route": flow.route,
            "zone": flow.zone,
            "per-second": round(flow.per_second, 4),
            "seconds": round(flow.seconds, 4),
            **({} if flow.kilobytes is None else {"kilobytes": round(flow.kilobytes, 2)}),
            "refused-share": round(flow.refused_share, 4),
            "unknown-share": round(flow.unknown_share, 4),
            "age-s": round(flow.age_seconds, 1),
        }
        for flow in traffic.flows(now)
    ]
