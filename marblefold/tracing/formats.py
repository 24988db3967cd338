"""Formats traces as text, JSON or OTLP."""

import json
from collections.abc import Iterator

from marblefold.request_path.outcome import HopOutcome
from marblefold.tracing.assembly import SpanNode, Trace
from marblefold.tracing.span import SpanKind

__all__ = ["to_json", "to_otlp", "to_text"]

_MIN_SHOWN_SKEW_US = 1000


def to_text(trace: Trace) -> str:
    """Formats the trace as an indented tree."""
    lines = [f"trace {trace.trace_id}: {'whole' if trace.is_complete else 'incomplete'}"]
    for root in trace.roots:
        lines.extend(_render_lines(root, root.row["start_us"], 1))
    if trace.is_shed:
        lines.append("  given up by a node that could not keep it")
    lines.extend(f"  missing: {description}" for description in trace.missing)
    return "\n".join(lines) + "\n"


def to_json(trace: Trace) -> dict:
    """Returns the trace as one JSON object."""
    return {
        "trace": trace.trace_id,
        "whole": trace.is_complete,
        "shed": trace.is_shed,
        "missing": list(trace.missing),
        "roots": [_to_json_object(root) for root in trace.roots],
    }


def to_otlp(traces: list[Trace]) -> str:
    """Formats the traces in the JSON encoding of OTLP."""
    from google.protobuf import json_format
    from opentelemetry.proto.common.v1.common_pb2 import AnyValue, KeyValue
    from opentelemetry.proto.trace.v1 import trace_pb2

    data = trace_pb2.TracesData()
    scopes: dict[str, trace_pb2.ScopeSpans] = {}

    def attribute(key: str, value: object) -> KeyValue:
        attribute_value = (
            AnyValue(int_value=value)
            if isinstance(value, int)
            else AnyValue(string_value=str(value))
        )
        return KeyValue(key=key, value=attribute_value)

    def add(node: SpanNode) -> None:
        row = node.row
        if row["node"] not in scopes:
            resource = data.resource_spans.add()
            resource.resource.attributes.extend(
                [
                    attribute("service.name", "marblefold"),
                    attribute("service.instance.id", row["node"]),
                    attribute("cloud.availability_zone", row["zone"]),
                ]
            )
            scopes[row["node"]] = resource.scope_spans.add()
        span = scopes[row["node"]].spans.add(
            trace_id=bytes.fromhex(row["trace_id"]),
            span_id=bytes.fromhex(row["span_id"]),
            name=f"{SpanKind(row['kind']).name.lower()} {row['route'] or row['upstream']}",
            kind={SpanKind.HOP: 3}.get(row["kind"], 2),
            start_time_unix_nano=row["start_us"] * 1000,
            end_time_unix_nano=(row["start_us"] + row["duration_us"]) * 1000,
        )
        if row["parent"].strip("0"):
            span.parent_span_id = bytes.fromhex(row["parent"])
        if row["outcome"] != HopOutcome.ANSWERED or row["status"] >= 500:
            span.status.code = trace_pb2.Status.STATUS_CODE_ERROR
            span.status.message = row["step"]
        span.attributes.extend(
            attribute(f"marblefold.{name}", row[name])
            for name in (
                "attempt_id",
                "target",
                "attempt",
                "outcome",
                "step",
                "queued_us",
                "body_bytes",
                "digest",
            )
        )
        if row["status"]:
            span.attributes.append(attribute("http.response.status_code", row["status"]))
        for child in node.children:
            add(child)

    for trace in traces:
        for root in trace.roots:
            add(root)
    # OTLP requires ids in hexadecimal, while protobuf JSON encodes bytes as base64.
    document = json_format.MessageToDict(data)
    for resource in document.get("resourceSpans", ()):
        for scope in resource["scopeSpans"]:
            for span in scope["spans"]:
                _encode_ids_as_hex(span)
    return json.dumps(document, indent=2)


def _encode_ids_as_hex(span: dict) -> None:
    import base64

    for name in ("traceId", "spanId", "parentSpanId"):
        if name in span:
            span[name] = base64.b64decode(span[name]).hex()


def _render_lines(node: SpanNode, origin_us: int, depth: int) -> Iterator[str]:
    row = node.row
    outcome = HopOutcome(row["outcome"]).name.lower() if row["outcome"] else "under way"
    description = {
        SpanKind.REQUEST: f"request {row['attempt_id']} {row['route']}",
        SpanKind.HOP: f"hop {row['attempt']} to {row['target']}",
        SpanKind.SERVE: f"served by {row['target']}",
    }[SpanKind(row["kind"])]
    parts = [
        f"{(row['start_us'] - origin_us) / 1000:+.1f} ms",
        description,
        f"at {row['node']}",
        f"zone {row['zone']}",
        f"{row['duration_us'] / 1000:.1f} ms",
        outcome,
    ]
    if row["status"]:
        parts.append(f"status {row['status']}")
    if row["step"]:
        parts.append(f"step: {row['step']}")
    if row["queued_us"]:
        parts.append(f"queued {row['queued_us'] / 1000:.1f} ms")
    if row["body_bytes"]:
        parts.append(f"body {row['body_bytes']} bytes")
    if row["inferred"]:
        parts.append("link inferred")
    if abs(node.skew_us) >= _MIN_SHOWN_SKEW_US:
        parts.append(f"clock off by {node.skew_us / 1000:.1f} ms")
    yield "  " * depth + ", ".join(parts)
    for child in node.children:
        yield from _render_lines(child, origin_us, depth + 1)


def _to_json_object(node: SpanNode) -> dict:
    return {
        **node.row,
        "skew-us": node.skew_us,
        "children": [_to_json_object(child) for child in node.children],
    }
