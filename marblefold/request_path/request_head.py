"""The head of a hop, as it is sent to the proxy beside a target."""

from marblefold.configuration.rows import Route, Upstream
from marblefold.http_connections.client_request import ClientRequest
from marblefold.inner_protocol.messages import kinds

__all__ = ["make_head"]

# A body of up to so many bytes is sent with its head; a larger one within credit.
_INLINE_BODY = 16 * 1024


def make_head(
    request: ClientRequest,
    route: Route,
    upstream: str,
    known: Upstream | None,
    caller: str,
    body: bytes,
    is_whole: bool,
):
    """The RequestHead of a client's request; what changes from hop to hop is left open.

    `known` is the upstream in this node's configuration, if it is there: the proxy beside
    the target may have none.  `body` is the buffered part of the body, `is_whole` whether
    that is all of it.
    """
    length = -1
    if is_whole:
        length = len(body) if request.has_body or request.body_length == 0 else -1
    elif request.body_length >= 0:
        length = request.body_length
    is_inline = is_whole and len(body) <= _INLINE_BODY
    head = kinds.RequestHead(
        attempt_id=request.attempt_id,
        method=request.method,
        path=request.path.encode("utf-8", "surrogateescape"),
        header_block=request.header_block(),
        upstream=upstream,
        caller_service=caller,
        route_type=route.kind,
        priority=1 + max(0, route.priority),
        # What is whole and not inline is sent from its beginning behind the head.
        body=body if is_inline or not is_whole else b"",
        body_follows=not is_inline,
        body_length=length,
    )
    if known is not None:
        head.coldstart_per_s = known.coldstart_per_s
        head.cold_start_s = known.cold_start.total_seconds()
    return head
