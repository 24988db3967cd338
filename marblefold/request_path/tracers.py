"""The interfaces of tracers for requests and hops."""

from typing import Protocol

from marblefold.configuration.rows import Route
from marblefold.request_path.outcome import HopResult

__all__ = ["GuardTracer", "RequestTracer"]


class RequestTracer(Protocol):
    """Records the steps of a request."""

    def begin_request(
        self,
        request,
        route: Route,
        upstream: str,
        parent_span,
        caller: str,
        body: bytes,
        is_whole: bool,
    ): ...

    def finish_request(self, span, status: int, step: str, may_have_run: bool) -> None: ...

    def begin_hop(self, span, head, instance: str, peer: str, attempt: int): ...

    def finish_hop(self, hop, result: HopResult) -> None: ...


class GuardTracer(Protocol):
    """Records the hops that a guard serves."""

    def begin_serve(self, head): ...

    def finish_serve(self, span, answer, body_bytes: int) -> None: ...
