"""The parts of a rehearsal snapshot that a registry contributes."""

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
    own_address: str,
    registries: list[Member],
    now: float,
) -> dict[str, Any]:
    """Returns all parts but the configuration as JSON objects, from local state only."""
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
        "registries": {
            own_address: config.zone,
            **{member.address: member.zone for member in registries},
        },
        "owners": owners,
        "partners": catalogue.find("partners", "partners") is not None,
        "retry-budget": {
            "ratio": bounds.retry_ratio,
            "window-s": bounds.retry_window.total_seconds(),
            "slack": bounds.retry_slack,
        },
    }


def describe_flows(traffic: TrafficRates, now: float) -> list[dict[str, Any]]:
    """Returns the traffic by route and zone as rows of a snapshot."""
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
