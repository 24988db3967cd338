"""Creates the snapshot of a small deployment in three regions."""

ZONES = {"a1": "east", "a2": "east", "b1": "west", "b2": "west", "c1": "south"}
EAST = frozenset(("a1", "a2"))
SERVICE = {"quotes": 0.20, "orders": 0.30}


def make_document(
    per_zone=4, slots=4, allowed_regions=None, cold=False, owner=None, missing_zones=(), rates=None
):
    """Returns the document of a snapshot without traffic, which the nodes count."""
    routes = [
        {"name": "look", "route-type": "read_only", "upstream": "quotes", "timeout-ms": 4000},
        {"name": "book", "route-type": "mutating", "upstream": "orders", "timeout-ms": 5000},
    ]
    for route in routes:
        route.update(
            {
                "host-name": "shop",
                "path-prefix": f"/{route['name']}/",
                "target-latency-ms": 1200,
                "max-attempts": 2,
            }
        )
        if allowed_regions and route["name"] in allowed_regions:
            route["allowed-regions"] = allowed_regions[route["name"]]
    targets = [
        {
            "instance": f"i-{zone}-{upstream}-{number}",
            "node": f"{zone}-{upstream}-{number}",
            "upstream": upstream,
            "zone": zone,
            "region": region,
            "capacity-slots": slots,
            "state": "ready",
            "cold": cold and zone == "b1",
            "site": "north" if owner else "",
            "site-agent": owner or "",
        }
        for zone, region in ZONES.items()
        if zone not in missing_zones
        for upstream in SERVICE
        for number in range(per_zone)
    ]
    return {
        "format": "marblefold-snapshot",
        "version": 1,
        "taken-at": "2026-12-02T00:00:00+00:00",
        "configuration": {
            "config-version": 3,
            "route-list": routes,
            "limits": {},
            "service-list": [
                {"name": name, "health-check-path": "/h", "coldstart-per-s": 4.0}
                for name in SERVICE
            ],
        },
        "state": {"targets": targets, "evacuated": [], "members": []},
        "zones": dict(ZONES),
        "origins": {row["node"]: row["zone"] for row in targets},
        "service-seconds": SERVICE,
        "nodes": len(targets),
        "nodes-heard": len(targets),
        "registries": {f"{zone}:1": zone for zone in ZONES},
        "owners": {"orders": {"site": "north", "agent": owner}} if owner else {},
        "retry-budget": {"ratio": 0.2, "window-s": 10, "slack": 60},
    }
