"""Routes control calls of targets and operators to their handlers."""

import json
from collections.abc import Awaitable, Callable
from typing import NamedTuple
from urllib.parse import unquote

from marblefold import wire_names
from marblefold.errors import MeshError
from marblefold.http_connections.answer import Answer
from marblefold.http_connections.client_request import BodyTooLarge, ClientRequest
from marblefold.http_connections.heads import find_header
from marblefold.logs import log

__all__ = ["Call", "CallRouter", "invalid_order_answer", "json_answer", "outcome_unknown_answer"]

_RETRY_AFTER_SECONDS = 0.2
_MAX_PATH_LENGTH = 1024


class Call(NamedTuple):
    """One call of a target or an operator, with its complete body."""

    subject: str
    body: bytes
    # The bearer token of the caller.
    credential: str = ""
    # The query string, still percent-encoded.
    query: str = ""


Serve = Callable[[Call], Awaitable[Answer]]


def json_answer(status: int, document: object, retry_after: float | None = None) -> Answer:
    """Returns an answer with a JSON document; `retry_after` is in seconds.

    Raises TypeError if the document cannot be encoded.
    """
    block = b"Content-Type: application/json\r\n"
    if retry_after is not None:
        block += wire_names.RETRY_AFTER + b": %.3f\r\n" % retry_after
    return Answer(status, header_block=block, body=json.dumps(document).encode())


def outcome_unknown_answer(error: MeshError) -> Answer:
    """Returns 503: no majority answered in time, so the order may or may not take effect."""
    log.warning("outcome unknown", step=error.step, peer=error.peer, reason=error.reason)
    return json_answer(503, {wire_names.REASON: str(error)}, _RETRY_AFTER_SECONDS)


def invalid_order_answer(group: ExceptionGroup) -> Answer:
    """Returns 400 with every error of an invalid order and its location."""
    return json_answer(
        400,
        {wire_names.REASON: [getattr(error, "reason", str(error)) for error in group.exceptions]},
    )


class _Route(NamedTuple):
    """The handler of a method at a path, and the maximum body size in bytes."""

    serve: Serve
    max_body_bytes: int


async def _serve(route: _Route, call: Call) -> Answer:
    """Returns the handler's answer, or 503 if the handler failed.

    After a failure the order may or may not have taken effect; any other status would
    claim one or the other.
    """
    try:
        return await route.serve(call)
    except Exception as error:
        log.exception("control call failed", subject=ascii(call.subject))
        reason = f"a fault of ours: {type(error).__name__}"
        return json_answer(503, {wire_names.REASON: reason}, _RETRY_AFTER_SECONDS)


class CallRouter:
    """Dispatches calls by path and method: 404 for unknown paths, 405 for other methods."""

    def __init__(self) -> None:
        self._routes: dict[str, dict[str, _Route]] = {}

    def add(self, method: str, path: str, serve: Serve, max_body_bytes: int = 4096) -> None:
        """Registers a handler; a path may end in {}, which matches any subject.

        `max_body_bytes` is the maximum body size in bytes.
        """
        self._routes.setdefault(path, {})[method] = _Route(serve, max_body_bytes)

    async def handle(self, request: ClientRequest) -> Answer:
        """Returns the answer to a call."""
        path, _separator, query = request.path.partition("?")
        if not path.isprintable() or len(path) > _MAX_PATH_LENGTH:
            return json_answer(400, {wire_names.REASON: "path: too long, or not readable"})
        methods, subject = self._find(path)
        if methods is None:
            return json_answer(404, {wire_names.REASON: f"no call at {path}"})
        route = methods.get(request.method)
        if route is None:
            allowed = ", ".join(sorted(methods))
            answer = json_answer(405, {wire_names.REASON: f"allowed here: {allowed}"})
            return answer._replace(
                header_block=answer.header_block + b"Allow: " + allowed.encode() + b"\r\n"
            )
        try:
            body, _is_complete = await request.read_body(
                route.max_body_bytes + 1, route.max_body_bytes
            )
        except BodyTooLarge:
            document = {wire_names.REASON: f"more than {route.max_body_bytes} bytes"}
            return json_answer(413, document)._replace(closes=True)
        except ConnectionError:
            return json_answer(400, {wire_names.REASON: "the body broke off"})
        header = find_header(request.headers, b"Authorization") or b""
        credential = header.decode("latin-1").removeprefix("Bearer ")
        return await _serve(route, Call(subject, body, credential, query))

    def _find(self, path: str) -> tuple[dict[str, _Route] | None, str]:
        methods = self._routes.get(path)
        if methods is not None:
            return methods, ""
        parent, _separator, subject = path.rpartition("/")
        if not subject:
            return None, ""
        return self._routes.get(parent + "/{}"), unquote(subject)
