"""The loss of a region matches its rehearsal: real programs, one of which is killed."""

import asyncio
import json
import os
import sys

from tests.mesh_on_loopback import CORE, SIDECAR_HOSTS, Mesh, send_request

ZONES_AND_REGIONS = (("hall", "here"), ("yard", "there"))


def request(mesh, path, attempt, method="GET"):
    return send_request(
        SIDECAR_HOSTS[0],
        mesh.outbound_port,
        method,
        path,
        (f"Attempt-Id: {attempt}", "Deadline-Ms: 3000"),
    )


async def rehearse(mesh, *arguments):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "marblefold",
        "rehearse",
        f"--registry={CORE}:{mesh.control_port}",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    return process.returncode, output.decode(), errors.decode()


def test_the_loss_of_a_region_matches_its_rehearsal(tmp_path):
    async def test():
        mesh = Mesh(tmp_path, zones_and_regions=ZONES_AND_REGIONS)
        # The proxy of the other region runs as a separate process that the test kills.
        mesh.proxies.pop()
        (tmp_path / "boot.conf").write_text(mesh.configs[1])
        remote_process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "marblefold",
            "proxy",
            stdout=asyncio.subprocess.DEVNULL,
            env={**os.environ, "MARBLEFOLD_NODE_FILE": str(tmp_path / "boot.conf")},
        )
        await mesh.start()
        local_proxy = mesh.proxies[0]
        try:
            # A rate needs two reports of the counts, with requests in between.
            assert (await request(mesh, "/read/x", "first"))[0] == 200
            local_proxy._traffic.send_report()
            for number in range(12):
                path_and_method = ("/read/x", "GET") if number % 2 else ("/book/x", "POST")
                assert (await request(mesh, path_and_method[0], f"w{number}", path_and_method[1]))[
                    0
                ] == 200
            local_proxy._traffic.send_report()
            registry = mesh.registry
            # Waits for all 13 requests: an automatic report in between would become the last
            # one, and the report after it would give a rate over almost no time.
            async with asyncio.timeout(10):
                while count_reported_requests(registry) < 13:
                    await asyncio.sleep(0)
            # Shifts the earlier report back by 10 seconds instead of waiting for them.
            for node, report in registry._traffic_rates._previous.items():
                registry._traffic_rates._previous[node] = report._replace(
                    received_at=report.received_at - 10.0
                )
            before = capture_state(mesh)
            status, shown, errors = await rehearse(
                mesh, "--lose_region=there", "--as_json", f"--save={tmp_path}/kept.json"
            )
            assert status in (0, 1), errors
            forecast = json.loads(shown)
            # The rehearsal changed nothing: no execution, configuration or entry.
            assert capture_state(mesh) == before
            rows_by_route = {row["route"]: row for row in forecast["services"]}
            assert set(rows_by_route) == {"read", "book"}
            for row in rows_by_route.values():
                assert set(row["zones-after"]) == {"hall"} and row["stalls-after"] == 0
            assert [row for row in forecast["capacity"] if row["upstream"] == "quotes"][0][
                "slots-after"
            ] == 4 and forecast["control"]["has-majority"]
            status, again, _errors = await rehearse(mesh, "--lose_region=nowhere")
            assert status == 2 and "nowhere" in _errors
            # An order and a lookup are executing at the remote target when its proxy is killed.
            pending = await start_pending_requests(mesh)
            remote_process.kill()
            await remote_process.wait()
            responses = await asyncio.gather(*pending)
            outcomes = sorted(status for status, _head, _body in responses)
            # As forecast: the lookup is retried; the order fails, since a retry might execute it
            # twice.
            assert outcomes == [200, 502]
            for number in range(12):
                path_and_method = ("/read/x", "GET") if number % 2 else ("/book/x", "POST")
                assert (await request(mesh, path_and_method[0], f"a{number}", path_and_method[1]))[
                    0
                ] == 200
            executed = [attempt for attempt, *_rest in mesh.targets[0].executions]
            assert {f"a{number}" for number in range(12)} <= set(executed)
            assert len([attempt for attempt in executed if attempt.startswith("order")]) == 0
        finally:
            if remote_process.returncode is None:
                remote_process.kill()
            await mesh.stop()

    asyncio.run(test())


def count_reported_requests(registry):
    return sum(
        row.requests
        for node, report in registry._traffic_rates._last.items()
        if node in registry._traffic_rates._previous
        for row in report.notice.routes
    )


def capture_state(mesh):
    view = mesh.proxies[0].view
    return (
        view.table.number,
        sorted(view._versions.items()),
        set(view.evacuated),
        [len(target.executions) for target in mesh.targets],
        mesh.registry.catalogue.revision,
    )


async def start_pending_requests(mesh):
    """Starts an order and a lookup that block at the remote target; returns their tasks."""
    local_target, remote_target = mesh.targets
    reached = []

    async def block(headers):
        reached.append(headers["Attempt-Id"])
        await asyncio.Event().wait()

    remote_target.during_execution = block
    # Only the remote target is selected while the local one is marked as draining.
    view = mesh.proxies[0].view
    node = f"n-{SIDECAR_HOSTS[0]}"
    original = view._targets["quotes"][node]
    view._targets["quotes"][node] = original._replace(is_draining=True)
    tasks = [
        asyncio.create_task(request(mesh, "/book/x", "order", "POST")),
        asyncio.create_task(request(mesh, "/read/x", "lookup")),
    ]
    async with asyncio.timeout(10):
        while len(reached) < 2:
            await asyncio.sleep(0)
    view._targets["quotes"][node] = original
    return tasks
