"""The administration calls for owners: the operator's record, and who owns what."""

import json
from collections.abc import Callable
from typing import NamedTuple

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.http_connections.answer import Answer
from marblefold.http_connections.call_router import (
    Call,
    CallRouter,
    invalid_order_answer,
    json_answer,
    outcome_unknown_answer,
)
from marblefold.json_bodies import BadBody, read_object
from marblefold.logs import log
from marblefold.ownership.agent import OWNERS_REGISTER
from marblefold.ownership.claims import Owner, find_clashes, read_owners
from marblefold.register_store.call_kinds import RegisterCallKind
from marblefold.register_store.register_client import RegisterClient

__all__ = ["Claimed", "OwnerCalls"]

_LARGEST_BODY = 1024 * 1024
_LARGEST_NUMBER = 10**15


class Claimed(NamedTuple):
    """The owners and claimants that this registry knows."""

    claimants: dict[str, set[tuple[str, str]]]
    owners: dict[str, Owner]


class OwnerCalls:
    """Checks the operator's record, has it held, and shows clashes."""

    def __init__(self, store_client: RegisterClient, claimed: Callable[[], Claimed]) -> None:
        self._store_client = store_client
        self._claimed = claimed

    def add_to(self, router: CallRouter) -> None:
        """Serves these calls at the router."""
        router.add("GET", wire_names.OWNERS_PATH, self._show)
        router.add("PUT", wire_names.OWNERS_PATH, self._set, _LARGEST_BODY)

    async def _show(self, _call: Call) -> Answer:
        try:
            held = await self._store_client.ask(RegisterCallKind.DESCRIBE, OWNERS_REGISTER)
        except MeshError as error:
            return outcome_unknown_answer(error)
        claimed = self._claimed()
        clashes = find_clashes(claimed.claimants, claimed.owners)
        services = {}
        for upstream, sites in read_owners(held.value).items():
            owner = claimed.owners.get(upstream, Owner.read(b""))
            services[upstream] = {
                "sites": list(sites),
                "owner": owner.site,
                "agent": owner.agent,
                "epoch": owner.epoch,
                "clash-with": clashes.get(upstream, []),
            }
        return json_answer(200, {"number": held.number, "services": services})

    async def _set(self, call: Call) -> Answer:
        try:
            number, services = read_owners_body(call.body)
        except ExceptionGroup as group:
            return invalid_order_answer(group)
        value = json.dumps({"services": services}, sort_keys=True).encode()
        try:
            held = await self._store_client.ask(
                RegisterCallKind.CONFIGURATION, OWNERS_REGISTER, number, value
            )
        except MeshError as error:
            return outcome_unknown_answer(error)
        if held.value != value or held.number != number:
            return json_answer(
                409,
                {
                    wire_names.REASON: f"number: {number} is not above {held.number}, which holds",
                    "number": held.number,
                },
            )
        log.info("owners held", number=number, services=sorted(services))
        return json_answer(200, {"number": number})


def read_owners_body(body: bytes) -> tuple[int, dict[str, list[str]]]:
    """The number and the sites of each service; an ExceptionGroup of all faults."""
    try:
        document = read_object(body)
    except BadBody as error:
        raise ExceptionGroup("owners", [MeshError("read", str(error))]) from error
    faults = []
    number = document.get("number")
    if isinstance(number, bool) or not isinstance(number, int):
        faults.append("number: not a whole number")
    elif not 1 <= number <= _LARGEST_NUMBER:
        faults.append(f"number: not from 1 to {_LARGEST_NUMBER}")
    services = document.get("services")
    if not isinstance(services, dict):
        faults.append("services: not an object")
        services = {}
    for upstream, sites in services.items():
        is_list = isinstance(sites, list) and all(isinstance(site, str) and site for site in sites)
        if not is_list or not sites:
            faults.append(f"services.{upstream}: not a list of names of sites")
        elif len(set(sites)) != len(sites):
            faults.append(f"services.{upstream}: a site stands twice")
    if faults or number is None:
        raise ExceptionGroup("owners", [MeshError("check", line) for line in faults])
    return number, services
