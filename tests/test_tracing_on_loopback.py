"""Tests tracing in the real programs: nested calls, duplicate orders and stalled uploads."""

import asyncio
import json
import sys

import marblefold.tracing.startup
from marblefold.program_flags import TraceOptions
from tests.mesh_on_loopback import CONFIGURATION, CORE, SIDECAR_HOSTS, Mesh, send_request


def run(test, folder, monkeypatch):
    async def run_test():
        monkeypatch.setattr(
            marblefold.tracing.startup, "read_trace_options", lambda: TraceOptions()
        )
        mesh = Mesh(folder)
        await mesh.start()
        try:
            await test(mesh)
        finally:
            await mesh.stop()

    asyncio.run(run_test())


def request(mesh, path, attempt, method="POST", body=b"", side=0, headers=()):
    return send_request(
        SIDECAR_HOSTS[side],
        mesh.outbound_port,
        method,
        path,
        (f"Attempt-Id: {attempt}", "Deadline-Ms: 3000", *headers),
        body,
    )


async def collect(mesh):
    """Exports all kept spans of the proxies and waits until the registry has them."""
    collector = mesh.registry._collector
    for proxy in mesh.proxies:
        recorder = proxy._tracing.recorder
        async with asyncio.timeout(10):
            # A guard's span ends shortly after its answer was sent.
            while recorder._open:
                await asyncio.sleep(0)
        proxy._tracing.export_remaining()
    expected = sum(proxy._tracing.recorder.waiting_count for proxy in mesh.proxies)
    assert expected == 0
    unchanged_rounds, last = 0, -1
    while unchanged_rounds < 200:
        unchanged_rounds = unchanged_rounds + 1 if collector.span_count == last else 0
        last = collector.span_count
        await asyncio.sleep(0)


async def trace(mesh, *arguments):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "marblefold",
        "trace",
        f"--registry={CORE}:{mesh.control_port}",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    return process.returncode, output.decode(), errors.decode()


def test_an_order_and_its_nested_call_form_one_complete_trace(tmp_path, monkeypatch):
    async def test(mesh):
        answers = []

        async def send_nested_call(headers):
            if headers["Attempt-Id"] == "order-1":
                answers.append(
                    await request(
                        mesh,
                        "/read/stock",
                        "order-1.stock",
                        "GET",
                        side=next(
                            n
                            for n, target in enumerate(mesh.targets)
                            if target.during_execution and target.host == executing_hosts[0]
                        ),
                    )
                )

        executing_hosts = []
        for target in mesh.targets:

            async def in_run(headers, target=target):
                if headers["Attempt-Id"] == "order-1":
                    executing_hosts.append(target.host)
                await send_nested_call(headers)

            target.during_execution = in_run
        assert (await request(mesh, "/book/x", "order-1", body=b"oak"))[0] == 200
        assert answers[0][0] == 200
        await collect(mesh)
        status, shown, errors = await trace(mesh, "show", "order-1")
        assert status == 0, shown + errors
        assert "whole" in shown and "request order-1.stock read" in shown
        assert shown.count("served by") == 2 and "link inferred" in shown
        status, shown, _errors = await trace(mesh, "show", "order-1", "--format=otlp")
        spans = [
            span
            for resource in json.loads(shown)["resourceSpans"]
            for scope in resource["scopeSpans"]
            for span in scope["spans"]
        ]
        assert len(spans) == 6 and len({span["traceId"] for span in spans}) == 1
        parents = {span.get("parentSpanId") for span in spans}
        assert parents - {None} <= {span["spanId"] for span in spans}
        assert (await trace(mesh, "show", "nobody"))[0] == 1
        assert (await trace(mesh, "dance"))[0] == 2
        status, shown, _errors = await trace(mesh, "list", "--kind=order")
        assert status == 0 and "order-1 book status 200" in shown
        status, _shown, errors = await trace(mesh, "list", "--outcome=odd")
        assert status == 2 and "outcome" in errors

    run(test, tmp_path, monkeypatch)


def test_a_duplicate_order_shows_the_complete_traces_of_both(tmp_path, monkeypatch):
    async def test(mesh):
        for target in mesh.targets:
            target.response_fault = "garble"
        # The target executes it, but its answer is lost, so the client orders again.
        assert (await request(mesh, "/book/x", "try-1", body=b"oak"))[0] == 502
        for target in mesh.targets:
            target.response_fault = None
        assert (await request(mesh, "/book/x", "try-2", body=b"oak", side=1))[0] == 200
        assert (await request(mesh, "/book/x", "other", body=b"elm"))[0] == 200
        await collect(mesh)
        status, shown, _errors = await trace(mesh, "doubles")
        assert status == 0, shown
        assert "came as try-1, try-2" in shown and "other" not in shown
        assert shown.count(": whole") == 2 and shown.count("served by") == 2
        assert (await send_request(CORE, mesh.control_port, "GET", "/mesh/traces?limit=9999"))[
            0
        ] == 400
        assert (await send_request(CORE, mesh.control_port, "GET", "/mesh/traces/" + "x" * 300))[
            0
        ] == 400

    run(test, tmp_path, monkeypatch)


def test_a_stalled_upload_reports_the_bytes_received(tmp_path, monkeypatch):
    async def test(mesh):
        await mesh.put_configuration(
            {
                **CONFIGURATION,
                "config-version": 4,
                "route-list": [{**CONFIGURATION["route-list"][1], "route-type": "upload"}],
            }
        )
        await mesh.until(lambda: all(proxy.view.table.number == 4 for proxy in mesh.proxies))
        reader, writer = await asyncio.open_connection(SIDECAR_HOSTS[0], mesh.outbound_port)
        size = 800_000
        writer.write(
            (
                f"POST /book/file HTTP/1.1\r\nHost: shop\r\nAttempt-Id: photos\r\n"
                f"Deadline-Ms: 900\r\nContent-Length: {size}\r\n\r\n"
            ).encode()
        )
        writer.write(b"p" * 700_000)
        answer = await reader.read()
        writer.close()
        assert answer.split(b" ")[1] in (b"502", b"503", b"504")
        await collect(mesh)
        _status, shown, _errors = await trace(mesh, "show", "photos", "--format=json")
        (found,) = json.loads(shown)
        assert found["whole"], found["missing"]
        nodes = [found["roots"][0]]
        for node in nodes:
            nodes.extend(node["children"])
        assert any(0 < node["body_bytes"] < size for node in nodes)

    run(test, tmp_path, monkeypatch)


def test_without_the_flag_nothing_is_recorded(tmp_path):
    async def run_test():
        mesh = Mesh(tmp_path)
        await mesh.start()
        try:
            assert (await request(mesh, "/book/x", "a", body=b"oak"))[0] == 200
            assert all(proxy.executor.tracer is None for proxy in mesh.proxies)
            assert (await send_request(CORE, mesh.control_port, "GET", "/mesh/traces/a"))[0] == 404
        finally:
            await mesh.stop()

    asyncio.run(run_test())
