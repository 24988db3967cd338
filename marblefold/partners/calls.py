"""Administration calls for partners, and the call by which partners send their exports."""

import asyncio
from collections.abc import Awaitable, Callable

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
from marblefold.logs import log
from marblefold.partners.coordinator import ENFORCED_AFTER, PARTNERS_REGISTER, PartnerCoordinator
from marblefold.partners.document import (
    PartnerChangeError,
    PartnersDocument,
    grant_partner,
    put_exports,
    withdraw_partner,
)
from marblefold.partners.partner_table import build_partner_table
from marblefold.partners.request_bodies import is_credential, read_exports, read_grant
from marblefold.register_store.call_kinds import Outcome, RegisterCallKind
from marblefold.register_store.register_client import RegisterClient

__all__ = ["PartnerCalls"]

_MAX_BODY_BYTES = 1024 * 1024
_MAX_ATTEMPTS = 5
_RETRY_AFTER_SECONDS = 0.2


class PartnerCalls:
    """Validates requests of operators and partners and writes their changes to the stores."""

    def __init__(
        self,
        store_client: RegisterClient,
        coordinator: PartnerCoordinator,
        nodes: Callable[[], dict[str, str]],
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._store_client = store_client
        self._coordinator = coordinator
        self._nodes = nodes
        self._sleep = sleep

    def add_to(self, router: CallRouter) -> None:
        """Registers the handlers with the router."""
        router.add("GET", wire_names.PARTNERS_PATH, self._list)
        router.add("PUT", wire_names.PARTNER_PATH, self._grant, _MAX_BODY_BYTES)
        router.add("DELETE", wire_names.PARTNER_PATH, self._withdraw)
        router.add("PUT", wire_names.EXPORTS_PATH, self._export, _MAX_BODY_BYTES)

    async def _list(self, _call: Call) -> Answer:
        try:
            current = await self._store_client.ask(RegisterCallKind.DESCRIBE, PARTNERS_REGISTER)
        except MeshError as error:
            return outcome_unknown_answer(error)
        partners = {
            # The credential is not shown, not even its digest.
            name: {key: value for key, value in partner.items() if key != "credential"}
            for name, partner in PartnersDocument.read(current.value).partners.items()
        }
        return json_answer(
            200,
            {
                "number": current.number,
                "digest": build_partner_table(current.number, current.value).digest,
                "partners": partners,
                "nodes": self._nodes(),
            },
        )

    async def _grant(self, call: Call) -> Answer:
        try:
            grant = read_grant(call.body)
        except ExceptionGroup as group:
            return invalid_order_answer(group)
        return await self._change(lambda document: grant_partner(document, call.subject, grant))

    async def _withdraw(self, call: Call) -> Answer:
        return await self._change(lambda document: withdraw_partner(document, call.subject))

    async def _export(self, call: Call) -> Answer:
        try:
            exports = read_exports(call.body)
        except ExceptionGroup as group:
            return invalid_order_answer(group)

        def change(document: PartnersDocument) -> PartnersDocument:
            partner = document.partners.get(call.subject)
            # An unknown partner gets the same response after the same time as a wrong credential.
            if not is_credential(call.credential, partner["credential"] if partner else "0" * 64):
                raise PartnerChangeError(401, "no such partner, or not its credential")
            return put_exports(document, call.subject, exports)

        return await self._change(change)

    async def _change(self, change: Callable[[PartnersDocument], PartnersDocument]) -> Answer:
        """Stores the change by compare-and-set and answers once it is enforced on every node."""
        try:
            for _ in range(_MAX_ATTEMPTS):
                current = await self._store_client.ask(RegisterCallKind.DESCRIBE, PARTNERS_REGISTER)
                value = change(PartnersDocument.read(current.value)).pack()
                if value == current.value:
                    return await self._answer_unchanged(current.number, value)
                answer = await self._store_client.ask(
                    RegisterCallKind.REPLACEMENT, PARTNERS_REGISTER, current.number, value
                )
                if Outcome.read(answer.outcome) is Outcome.APPLIED:
                    self._coordinator.apply_document(answer.number, answer.value)
                    return await self._wait_until_enforced(
                        current.number, current.value, current.number + 1, value
                    )
        except PartnerChangeError as error:
            log.info("partner change refused", status=error.status, reason=error.reason)
            document = {wire_names.REASON: error.reason}
            if error.number is not None:
                document["number"] = error.number
            return json_answer(error.status, document)
        except MeshError as error:
            return outcome_unknown_answer(error)
        return json_answer(
            503, {wire_names.REASON: "others change it all the time"}, _RETRY_AFTER_SECONDS
        )

    async def _answer_unchanged(self, number: int, value: bytes) -> Answer:
        """Answers a resent change after the full delay, as it may have been stored just before."""
        await self._sleep(ENFORCED_AFTER.total_seconds())
        digest = build_partner_table(number, value).digest
        return json_answer(200, {"number": number, "digest": digest, "enforced": True})

    async def _wait_until_enforced(
        self,
        old_number: int,
        old_value: bytes,
        number: int,
        value: bytes,
    ) -> Answer:
        before, after = (
            build_partner_table(old_number, old_value),
            build_partner_table(number, value),
        )
        # Only changes that remove or replace a route or an address must wait.
        if _removes_access(before, after):
            await self._sleep(ENFORCED_AFTER.total_seconds())
        log.info("partners document stored", number=number, digest=after.digest)
        return json_answer(200, {"number": number, "digest": after.digest, "enforced": True})


def _removes_access(before, after) -> bool:
    for host, prefixes in before.routes.items():
        for prefix, route in prefixes.items():
            new_route = after.routes.get(host, {}).get(prefix)
            if new_route != route:
                return True
    return any(
        after.addresses.get(name) != address
        for name, address in before.addresses.items()
        if name in after.addresses
    )
