"""Read-only calls for the traces that a registry holds."""

from collections.abc import Callable
from urllib.parse import parse_qs

from marblefold import wire_names
from marblefold.http_connections.answer import Answer
from marblefold.http_connections.call_router import Call, CallRouter, json_answer
from marblefold.request_path.outcome import HopOutcome
from marblefold.tracing.collector import CollectedSpan, Collector
from marblefold.tracing.span import SpanKind

__all__ = ["TraceCalls"]

_MAX_ROWS = 200
_MAX_SPANS = 2000
_MAX_ID_LENGTH = 200
_BYTE_FIELDS = ("trace_id", "span_id", "parent", "digest")
_PLAIN_FIELDS = (
    "kind",
    "attempt_id",
    "route",
    "upstream",
    "target",
    "peer",
    "start_us",
    "duration_us",
    "outcome",
    "status",
    "step",
    "attempt",
    "queued_us",
    "body_bytes",
    "keep",
    "inferred",
)
_KEEP_BY_KIND = {"order": 3, "upload": 2, "sample": 1, "marked": 4}


class TraceCalls:
    """Answers from memory, with bounded answer sizes."""

    def __init__(self, collector: Collector, now: Callable[[], float]) -> None:
        self._collector = collector
        self._now = now

    def add_to(self, router: CallRouter) -> None:
        """Adds these calls to the router."""
        router.add("GET", wire_names.TRACES_PATH, self._list)
        router.add("GET", wire_names.TRACE_PATH, self._show)
        router.add("GET", wire_names.DOUBLES_PATH, self._list_duplicates)

    async def _show(self, call: Call) -> Answer:
        if not call.subject or len(call.subject) > _MAX_ID_LENGTH:
            return _bad_request("trace", "an Attempt-Id or a trace id of 32 hexadecimal digits")
        trace_id = self._collector.find_trace_id(call.subject)
        if trace_id is None and len(call.subject) == 32:
            try:
                trace_id = bytes.fromhex(call.subject)
            except ValueError:
                trace_id = None
        if trace_id is None:
            return json_answer(404, {wire_names.REASON: "no such trace here"})
        spans = self._collector.find_spans(trace_id)
        if not spans and not self._collector.is_shed(trace_id):
            return json_answer(404, {wire_names.REASON: "no such trace here"})
        return json_answer(
            200,
            {
                "trace": trace_id.hex(),
                "shed": self._collector.is_shed(trace_id),
                "cut": len(spans) > _MAX_SPANS,
                "spans": [_to_row(span) for span in spans[:_MAX_SPANS]],
            },
        )

    async def _list(self, call: Call) -> Answer:
        query = parse_qs(call.query)
        try:
            keep = _read_choice(query, "kind", _KEEP_BY_KIND)
            outcome = _read_choice(
                query, "outcome", {item.name.lower(): int(item) for item in HopOutcome}
            )
            since = _read_number(query, "since-s", 0.0, 1e9, 1e9)
            limit = int(_read_number(query, "limit", 1, _MAX_ROWS, 50))
            skip = int(_read_number(query, "skip", 0, 1e9, 0))
        except ValueError as error:
            return _bad_request(*error.args)
        rows: list[dict] = []
        has_more = False
        for trace_id in self._collector.newest():
            requests = [
                collected
                for collected in self._collector.find_spans(trace_id)
                if collected.span.kind == SpanKind.REQUEST
            ]
            first = min(requests, key=lambda collected: collected.span.start_us, default=None)
            if first is None or not self._matches(first, keep, outcome, since):
                continue
            if skip > 0:
                skip -= 1
                continue
            if len(rows) == limit:
                has_more = True
                break
            rows.append(_to_row(first))
        collector = self._collector
        return json_answer(
            200,
            {
                "traces": rows,
                "more": has_more,
                "spans-held": collector.span_count,
                "spans-limit": collector.max_spans,
                "traces-dropped": collector.dropped_traces,
                "spans-lost": {node: lost for node, lost in collector.lost_spans.items() if lost},
            },
        )

    def _matches(self, collected: CollectedSpan, keep: int, outcome: int, since: float) -> bool:
        span = collected.span
        return (
            (not keep or span.keep == keep)
            and (not outcome or span.outcome == outcome)
            and self._now() - span.start_us / 1e6 <= since
        )

    async def _list_duplicates(self, _call: Call) -> Answer:
        groups: list[dict] = []
        for order in self._collector.duplicate_orders():
            if len(groups) == _MAX_ROWS:
                break
            groups.append(
                {
                    "digest": order.digest.hex(),
                    "tries": {attempt: trace.hex() for attempt, trace in order.tries.items()},
                }
            )
        return json_answer(200, {"doubles": groups, "cut": len(groups) == _MAX_ROWS})


def _to_row(collected: CollectedSpan) -> dict:
    row = {name: getattr(collected.span, name) for name in _PLAIN_FIELDS}
    row.update({name: getattr(collected.span, name).hex() for name in _BYTE_FIELDS})
    row.update(node=collected.node, zone=collected.zone, address=collected.address)
    return row


def _read_choice(query: dict, name: str, choices: dict[str, int]) -> int:
    value = query.get(name, [""])[0]
    if value and value not in choices:
        raise ValueError(name, f"one of {', '.join(choices)}")
    return choices.get(value, 0)


def _read_number(query: dict, name: str, minimum: float, maximum: float, default: float) -> float:
    text = query.get(name, [""])[0]
    try:
        value = float(text) if text else default
    except ValueError:
        value = -1.0
    if not minimum <= value <= maximum:
        raise ValueError(name, f"a number from {minimum:g} to {maximum:g}")
    return value


def _bad_request(field: str, expected: str) -> Answer:
    return json_answer(400, {wire_names.REASON: f"{field}: not {expected}"})
