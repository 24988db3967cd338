"""The read-only calls for the traces that a registry holds."""

from collections.abc import Callable
from urllib.parse import parse_qs

from marblefold import wire_names
from marblefold.http_connections.answer import Answer
from marblefold.http_connections.call_router import Call, CallRouter, json_answer
from marblefold.request_path.outcome import HopOutcome
from marblefold.tracing.collector import CollectedSpan, Collector
from marblefold.tracing.span import SpanKind

__all__ = ["TraceCalls"]

_MOST_ROWS = 200
_MOST_SPANS = 2000
_MOST_ID = 200
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
_LISTED_KINDS = {"order": 3, "upload": 2, "sample": 1, "marked": 4}


class TraceCalls:
    """Answers from memory; the size of every answer is bounded."""

    def __init__(self, collector: Collector, now: Callable[[], float]) -> None:
        self._collector = collector
        self._now = now

    def add_to(self, router: CallRouter) -> None:
        """Adds these calls to the router."""
        router.add("GET", wire_names.TRACES_PATH, self._list)
        router.add("GET", wire_names.TRACE_PATH, self._show)
        router.add("GET", wire_names.DOUBLES_PATH, self._doubles)

    async def _show(self, call: Call) -> Answer:
        if not call.subject or len(call.subject) > _MOST_ID:
            return _bad("trace", "an Attempt-Id or a trace id of 32 hexadecimal digits")
        trace_id = self._collector.find_attempt(call.subject)
        if trace_id is None and len(call.subject) == 32:
            try:
                trace_id = bytes.fromhex(call.subject)
            except ValueError:
                trace_id = None
        if trace_id is None:
            return json_answer(404, {wire_names.REASON: "no such trace here"})
        spans = self._collector.find(trace_id)
        if not spans and not self._collector.is_shed(trace_id):
            return json_answer(404, {wire_names.REASON: "no such trace here"})
        return json_answer(
            200,
            {
                "trace": trace_id.hex(),
                "shed": self._collector.is_shed(trace_id),
                "cut": len(spans) > _MOST_SPANS,
                "spans": [_to_row(span) for span in spans[:_MOST_SPANS]],
            },
        )

    async def _list(self, call: Call) -> Answer:
        asked = parse_qs(call.query)
        try:
            keep = _read_choice(asked, "kind", _LISTED_KINDS)
            outcome = _read_choice(
                asked, "outcome", {item.name.lower(): int(item) for item in HopOutcome}
            )
            since = _read_number(asked, "since-s", 0.0, 1e9, 1e9)
            most = int(_read_number(asked, "limit", 1, _MOST_ROWS, 50))
            skip = int(_read_number(asked, "skip", 0, 1e9, 0))
        except ValueError as fault:
            return _bad(*fault.args)
        rows: list[dict] = []
        is_more = False
        for trace_id in self._collector.newest():
            requests = [
                found
                for found in self._collector.find(trace_id)
                if found.span.kind == SpanKind.REQUEST
            ]
            first = min(requests, key=lambda found: found.span.start_us, default=None)
            if first is None or not self._is_asked(first, keep, outcome, since):
                continue
            if skip > 0:
                skip -= 1
                continue
            if len(rows) == most:
                is_more = True
                break
            rows.append(_to_row(first))
        collector = self._collector
        return json_answer(
            200,
            {
                "traces": rows,
                "more": is_more,
                "spans-held": collector.spans,
                "spans-limit": collector.most_spans,
                "traces-dropped": collector.dropped,
                "spans-lost": {node: lost for node, lost in collector.lost.items() if lost},
            },
        )

    def _is_asked(self, found: CollectedSpan, keep: int, outcome: int, since: float) -> bool:
        span = found.span
        return (
            (not keep or span.keep == keep)
            and (not outcome or span.outcome == outcome)
            and self._now() - span.start_us / 1e6 <= since
        )

    async def _doubles(self, _call: Call) -> Answer:
        groups: list[dict] = []
        for doubled in self._collector.doubled():
            if len(groups) == _MOST_ROWS:
                break
            groups.append(
                {
                    "digest": doubled.digest.hex(),
                    "tries": {attempt: trace.hex() for attempt, trace in doubled.tries.items()},
                }
            )
        return json_answer(200, {"doubles": groups, "cut": len(groups) == _MOST_ROWS})


def _to_row(found: CollectedSpan) -> dict:
    row = {name: getattr(found.span, name) for name in _PLAIN_FIELDS}
    row.update({name: getattr(found.span, name).hex() for name in _BYTE_FIELDS})
    row.update(node=found.node, zone=found.zone, address=found.address)
    return row


def _read_choice(asked: dict, name: str, choices: dict[str, int]) -> int:
    value = asked.get(name, [""])[0]
    if value and value not in choices:
        raise ValueError(name, f"one of {', '.join(choices)}")
    return choices.get(value, 0)


def _read_number(asked: dict, name: str, least: float, most: float, default: float) -> float:
    text = asked.get(name, [""])[0]
    try:
        value = float(text) if text else default
    except ValueError:
        value = -1.0
    if not least <= value <= most:
        raise ValueError(name, f"a number from {least:g} to {most:g}")
    return value


def _bad(field: str, wanted: str) -> Answer:
    return json_answer(400, {wire_names.REASON: f"{field}: not {wanted}"})
