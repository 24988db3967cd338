"""Administration calls for service owners: the operator's record and the current owners."""

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

__all__ = ["KnownClaims", "OwnerCalls"]

_MAX_BODY_BYTES = 1024 * 1024
_MAX_NUMBER = 10**15


class KnownClaims(NamedTuple):
    """The owners and claimants that this registry knows."""

    claimants: dict[str, set[tuple[str, str]]]
    owners: dict[str, Owner]


class OwnerCalls:
    """Validates and stores the operator's record, and shows owners and conflicting claims."""

    def __init__(
        self, store_client: RegisterClient, get_known_claims: Callable[[], KnownClaims]
    ) -> None:
        self._store_client = store_client
        self._get_known_claims = get_known_claims

    def add_to(self, router: CallRouter) -> None:
        """Registers the handlers with the router."""
        router.add("GET", wire_names.OWNERS_PATH, self._show)
        router.add("PUT", wire_names.OWNERS_PATH, self._set, _MAX_BODY_BYTES)

    async def _show(self, _call: Call) -> Answer:
        try:
            stored = await self._store_client.ask(RegisterCallKind.DESCRIBE, OWNERS_REGISTER)
        except MeshError as error:
            return outcome_unknown_answer(error)
        known_claims = self._get_known_claims()
        clashes = find_clashes(known_claims.claimants, known_claims.owners)
        services = {}
        for upstream, sites in read_owners(stored.value).items():
            owner = known_claims.owners.get(upstream, Owner.read(b""))
            services[upstream] = {
                "sites": list(sites),
                "owner": owner.site,
                "agent": owner.agent,
                "epoch": owner.epoch,
                "clash-with": clashes.get(upstream, []),
            }
        return json_answer(200, {"number": stored.number, "services": services})

    async def _set(self, call: Call) -> Answer:
        try:
            number, services = read_owners_body(call.body)
        except ExceptionGroup as group:
            return invalid_order_answer(group)
        value = json.dumps({"services": services}, sort_keys=True).encode()
        try:
            reply = await self._store_client.ask(
                RegisterCallKind.CONFIGURATION, OWNERS_REGISTER, number, value
            )
        except MeshError as error:
            return outcome_unknown_answer(error)
        if reply.value != value or reply.number != number:
            return json_answer(
                409,
                {
                    wire_names.REASON: f"number: {number} is not above {reply.number}, which holds",
                    "number": reply.number,
                },
            )
        log.info("owners record stored", number=number, services=sorted(services))
        return json_answer(200, {"number": number})


def read_owners_body(body: bytes) -> tuple[int, dict[str, list[str]]]:
    """Parses the operator's record: its number and the sites of each service.

    Raises an ExceptionGroup with one MeshError for each error.
    """
    try:
        document = read_object(body)
    except BadBody as error:
        raise ExceptionGroup("owners", [MeshError("read", str(error))]) from error
    errors = []
    number = document.get("number")
    if isinstance(number, bool) or not isinstance(number, int):
        errors.append("number: not a whole number")
    elif not 1 <= number <= _MAX_NUMBER:
        errors.append(f"number: not from 1 to {_MAX_NUMBER}")
    services = document.get("services")
    if not isinstance(services, dict):
        errors.append("services: not an object")
        services = {}
    for upstream, sites in services.items():
        is_list = isinstance(sites, list) and all(isinstance(site, str) and site for site in sites)
        if not is_list or not sites:
            errors.append(f"services.{upstream}: not a list of names of sites")
        elif len(set(sites)) != len(sites):
            errors.append(f"services.{upstream}: a site stands twice")
    if errors or number is None:
        raise ExceptionGroup("owners", [MeshError("check", line) for line in errors])
    return number, services
