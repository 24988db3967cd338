"""The administration calls for partners, and the call that partners make."""

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
from marblefold.partners.document import (
    Document,
    Refused,
    grant_partner,
    put_exports,
    withdraw_partner,
)
from marblefold.partners.duty import ENFORCED_AFTER, REGISTER, PartnerDuty
from marblefold.partners.merging import merge
from marblefold.partners.orders import is_credential, read_exports, read_grant
from marblefold.register_store.call_kinds import Outcome, RegisterCallKind
from marblefold.register_store.register_client import RegisterClient

__all__ = ["PartnerCalls"]

_LARGEST_WORD = 1024 * 1024
_TRIES = 5
_RETRY_SECONDS = 0.2


class PartnerCalls:
    """Reads, checks and has the stores hold what operators and partners say."""

    def __init__(
        self,
        store_client: RegisterClient,
        duty: PartnerDuty,
        nodes: Callable[[], dict[str, str]],
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._store_client = store_client
        self._duty = duty
        self._nodes = nodes
        self._sleep = sleep

    def add_to(self, router: CallRouter) -> None:
        """Serves these calls at the router."""
        router.add("GET", wire_names.PARTNERS_PATH, self._list)
        router.add("PUT", wire_names.PARTNER_PATH, self._grant, _LARGEST_WORD)
        router.add("DELETE", wire_names.PARTNER_PATH, self._withdraw)
        router.add("PUT", wire_names.EXPORTS_PATH, self._export, _LARGEST_WORD)

    async def _list(self, _call: Call) -> Answer:
        try:
            held = await self._store_client.ask(RegisterCallKind.DESCRIBE, REGISTER)
        except MeshError as error:
            return outcome_unknown_answer(error)
        partners = {
            # Not even its digest is anybody's business.
            name: {key: value for key, value in partner.items() if key != "credential"}
            for name, partner in Document.read(held.value).partners.items()
        }
        return json_answer(
            200,
            {
                "number": held.number,
                "digest": merge(held.number, held.value).digest,
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
            word = read_exports(call.body)
        except ExceptionGroup as group:
            return invalid_order_answer(group)

        def change(document: Document) -> Document:
            held = document.partners.get(call.subject)
            # An unknown partner takes as long to refuse, and looks the same.
            if not is_credential(call.credential, held["credential"] if held else "0" * 64):
                raise Refused(401, "no such partner, or not its credential")
            return put_exports(document, call.subject, word)

        return await self._change(change)

    async def _change(self, change: Callable[[Document], Document]) -> Answer:
        """Holds the change, and answers once it is enforced everywhere."""
        try:
            for _ in range(_TRIES):
                held = await self._store_client.ask(RegisterCallKind.DESCRIBE, REGISTER)
                value = change(Document.read(held.value)).pack()
                if value == held.value:
                    return await self._answer_unchanged(held.number, value)
                answer = await self._store_client.ask(
                    RegisterCallKind.DUTY, REGISTER, held.number, value
                )
                if Outcome.read(answer.outcome) is Outcome.APPLIED:
                    self._duty.take(answer.number, answer.value)
                    return await self._wait_enforced(
                        held.number, held.value, held.number + 1, value
                    )
        except Refused as refused:
            log.info("partner's word refused", status=refused.status, reason=refused.reason)
            document = {wire_names.REASON: refused.reason}
            if refused.number is not None:
                document["number"] = refused.number
            return json_answer(refused.status, document)
        except MeshError as error:
            return outcome_unknown_answer(error)
        return json_answer(
            503, {wire_names.REASON: "others change it all the time"}, _RETRY_SECONDS
        )

    async def _answer_unchanged(self, number: int, value: bytes) -> Answer:
        """It was taken before, perhaps only now: waited for as if it had been now."""
        await self._sleep(ENFORCED_AFTER.total_seconds())
        digest = merge(number, value).digest
        return json_answer(200, {"number": number, "digest": digest, "enforced": True})

    async def _wait_enforced(
        self,
        old_number: int,
        old: bytes,
        number: int,
        value: bytes,
    ) -> Answer:
        before, after = merge(old_number, old), merge(number, value)
        # Only what takes something away must be waited for.
        if _takes_away(before, after):
            await self._sleep(ENFORCED_AFTER.total_seconds())
        log.info("partners held", number=number, digest=after.digest)
        return json_answer(200, {"number": number, "digest": after.digest, "enforced": True})


def _takes_away(before, after) -> bool:
    for host, prefixes in before.routes.items():
        for prefix, route in prefixes.items():
            now = after.routes.get(host, {}).get(prefix)
            if now != route:
                return True
    return any(
        after.addresses.get(name) != address
        for name, address in before.addresses.items()
        if name in after.addresses
    )
