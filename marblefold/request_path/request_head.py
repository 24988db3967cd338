"""Builds the head of a hop, as it is sent to the proxy beside a target."""

from marblefold.configuration.rows import Route, Upstream
from marblefold.http_connections.client_request import ClientRequest
from marblefold.inner_protocol.messages import messages_pb2

__all__ = ["make_head"]

# A body of up to this size is sent with its head; a larger one under flow control.
_MAX_INLINE_BODY_BYTES = 16 * 1024


def make_head(
    request: ClientRequest,
    route: Route,
    upstream: str,
    settings: Upstream | None,
    caller: str,
    body: bytes,
    is_whole: bool,
):
    """Builds the RequestHead of a client's request without the fields that differ per hop.

    `settings` is the upstream's row in this node's configuration, if there is one; the proxy
    beside the target may have no configuration.  `body` is the buffered part of the body,
    and `is_whole` tells whether that is the whole body.
    """
    length = -1
    if is_whole:
        length = len(body) if request.has_body or request.body_length == 0 else -1
    elif request.body_length >= 0:
        length = request.body_length
    is_inline = is_whole and len(body) <= _MAX_INLINE_BODY_BYTES
    head = messages_pb2.RequestHead(
        attempt_id=request.attempt_id,
        method=request.method,
        path=request.path.encode("utf-8", "surrogateescape"),
        header_block=request.header_block(),
        upstream=upstream,
        caller_service=caller,
        route_type=route.kind,
        priority=1 + max(0, route.priority),
        # A whole body that is not inline is sent from its beginning after the head.
        body=body if is_inline or not is_whole else b"",
        body_follows=not is_inline,
        body_length=length,
    )
    if settings is not None:
        head.coldstart_per_s = settings.coldstart_per_s
        head.cold_start_s = settings.cold_start.total_seconds()
    return head
