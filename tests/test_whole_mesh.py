"""Store, registry and proxies together on loopback, against stub targets."""

import asyncio
import json
import sys
from datetime import UTC, datetime, timedelta

from marblefold.maintenance.planning import LiveSlots
from marblefold.request_path.mesh_view import KnownOwner
from tests.mesh_on_loopback import CONFIGURATION, CORE, SIDECAR_HOSTS, Mesh, send_request


def run_with_mesh(test, folder, sites=("", "")):
    async def start_and_test():
        mesh = Mesh(folder, sites)
        await mesh.start()
        try:
            await test(mesh)
        finally:
            await mesh.stop()

    asyncio.run(start_and_test())


def request(mesh, path, attempt, method="GET", headers=(), body=b"", side=0):
    return send_request(
        SIDECAR_HOSTS[side],
        mesh.outbound_port,
        method,
        path,
        (f"Attempt-Id: {attempt}", "Deadline-Ms: 3000", *headers),
        body,
    )


def test_a_request_is_executed_once_unchanged_and_the_response_is_complete(tmp_path):
    async def test(mesh):
        status, head, body = await request(
            mesh, "/book/a%20b?x=1&x=2", "id1", "POST", ("Caller-Service: liar",), b"payload"
        )
        assert (status, body) == (200, b"done") and b"Server-Seal: s" in head
        executions = mesh.targets[0].executions + mesh.targets[1].executions
        assert executions == [("id1", "POST", "/book/a%20b?x=1&x=2", "quotes", b"payload")]
        assert (await request(mesh, "/nowhere/", "id2"))[0] == 404
        assert (await send_request(SIDECAR_HOSTS[0], mesh.readiness_port, "GET", "/-/readiness"))[
            0
        ] == 200
        assert (await send_request(CORE, mesh.control_port, "GET", "/mesh/configuration"))[
            2
        ] == json.dumps(CONFIGURATION).encode()
        assert (await send_request(CORE, mesh.control_port, "POST", "/mesh/configuration"))[
            0
        ] == 405
        assert (await send_request(CORE, mesh.control_port, "GET", "/else"))[0] == 404

    run_with_mesh(test, tmp_path)


def test_an_invalid_response_is_retried_for_reads_only(tmp_path):
    async def test(mesh):
        for number, response_fault in enumerate(("garble", "no seal")):
            for target in mesh.targets:
                target.executions.clear()
                target.response_fault = response_fault
            status, head, _body = await request(mesh, "/book/x", f"b{number}", "POST")
            assert status == 502 and b"Retry-After" not in head
            assert len(mesh.targets[0].executions + mesh.targets[1].executions) == 1
            await request(mesh, "/read/x", f"r{number}")
            assert len(mesh.targets[0].executions + mesh.targets[1].executions) == 3

    run_with_mesh(test, tmp_path)


def test_a_request_that_no_target_executed_gets_503_with_retry_after(tmp_path):
    async def test(mesh):
        for target in mesh.targets:
            target.response_fault = "refuse"
        status, head, _body = await request(mesh, "/book/x", "b", "POST")
        assert status == 503 and b"Retry-After" in head
        assert mesh.targets[0].executions + mesh.targets[1].executions == []

    run_with_mesh(test, tmp_path)


def test_a_drain_takes_effect_before_its_acknowledgement_and_evacuations_reach_all(tmp_path):
    async def test(mesh):
        heartbeat = {
            "upstream": "quotes",
            "address": f"{SIDECAR_HOSTS[0]}:1",
            "zone": "hall",
            "capacity-slots": 4,
            "state": "draining",
            "cold-remaining-ms": 0,
            "call-sequence": 9,
        }
        path = f"/mesh/targets/{mesh.targets[0].instance}"
        status, _head, _body = await send_request(
            SIDECAR_HOSTS[0], mesh.control_port, "PUT", path, body=json.dumps(heartbeat).encode()
        )
        assert status == 200
        for number in range(6):
            assert (await request(mesh, "/read/x", f"d{number}", side=number % 2))[0] == 200
        assert mesh.targets[0].executions == [] and len(mesh.targets[1].executions) == 6
        assert (await send_request(CORE, mesh.control_port, "PUT", "/mesh/evacuations/nowhere"))[
            0
        ] == 404
        assert (await send_request(CORE, mesh.control_port, "PUT", "/mesh/evacuations/hall"))[
            0
        ] == 200
        await mesh.until(lambda: all("hall" in proxy.view.evacuated for proxy in mesh.proxies))
        assert (await request(mesh, "/read/x", "e"))[0] == 503
        assert (await send_request(CORE, mesh.control_port, "DELETE", "/mesh/evacuations/hall"))[
            0
        ] == 200
        await mesh.until(lambda: not any(proxy.view.evacuated for proxy in mesh.proxies))
        assert (await request(mesh, "/read/x", "f"))[0] == 200

    run_with_mesh(test, tmp_path)


def test_the_planner_reads_a_running_system(tmp_path):
    async def test(mesh):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "marblefold",
            "plan",
            f"--from_system={CORE}:{mesh.control_port}",
            f"--drain={mesh.targets[0].instance}",
            "--json",
            stdout=asyncio.subprocess.PIPE,
        )
        output, _errors = await process.communicate()
        assert process.returncode == 0
        assert json.loads(output)["capacity"] == [
            {"upstream": "quotes", "before": 8, "after": 4, "floor": 0}
        ]

    run_with_mesh(test, tmp_path)


async def run_windows_command(mesh, *arguments):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "marblefold",
        "windows",
        f"--system={CORE}:{mesh.control_port}",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    return process.returncode, output.decode(), errors.decode()


def test_a_window_set_on_the_command_line_evacuates_its_zone_and_restores_it(tmp_path):
    async def test(mesh):
        start = datetime.now(UTC)
        window_arguments = [
            "--zone=hall",
            f"--start={start.isoformat()}",
            "--length_s=3600",
            f"--latest_end={(start + timedelta(hours=2)).isoformat()}",
        ]
        assert (await run_windows_command(mesh, "set", "w", *window_arguments))[0] == 0
        # The leader waits for a settling time after a start; the test runs its step at once.
        maintenance = mesh.registry.maintenance
        maintenance._mesh_state.is_maintenance_leader = lambda: False
        await mesh.until(lambda: maintenance.document.windows)
        maintenance._mesh_state.live_slots = lambda: LiveSlots({})
        await maintenance.step()
        await mesh.until(lambda: all("hall" in proxy.view.evacuated for proxy in mesh.proxies))
        status, shown, _errors = await run_windows_command(mesh, "list")
        assert status == 0 and "window w: running in hall" in shown
        assert (await run_windows_command(mesh, "set", "w", *window_arguments))[0] == 1
        assert (await run_windows_command(mesh, "floors", "--floor=quotes=9"))[0] == 1
        assert (await run_windows_command(mesh, "floors", "--floor=quotes=8"))[0] == 0
        assert (await run_windows_command(mesh, "withdraw", "w"))[0] == 0
        await maintenance.step()
        await mesh.until(lambda: not any(proxy.view.evacuated for proxy in mesh.proxies))
        assert (await run_windows_command(mesh, "withdraw", "none"))[0] == 1
        assert (await run_windows_command(mesh, "unknown"))[0] == 2
        status, _shown, errors = await run_windows_command(
            mesh, "set", "x", "--zone=nowhere", *window_arguments[1:]
        )
        assert status == 1 and "zone" in errors

    run_with_mesh(test, tmp_path)


def test_a_site_that_is_not_the_owner_is_refused_and_each_order_is_executed_once(tmp_path):
    async def test(mesh):
        owners = {"number": 1, "services": {"quotes": ["north"]}}
        body = json.dumps(owners).encode()
        assert (await send_request(CORE, mesh.control_port, "PUT", "/mesh/owners", body=body))[
            0
        ] == 200
        owner_proxy, other_proxy = mesh.proxies
        clock = asyncio.get_running_loop().time
        await mesh.until(
            lambda: all(
                proxy.view.owners.get("quotes", (0, 0, 0))[2] == 1 for proxy in mesh.proxies
            )
        )
        async with asyncio.timeout(20):
            while not owner_proxy.view.leases.epoch("quotes", clock()):
                await asyncio.sleep(0)
        for number in range(6):
            status, _head, _body = await request(
                mesh, "/book/x", f"o{number}", "POST", body=b"order", side=number % 2
            )
            assert status == 200
        # Requests that arrive at the site that is not the owner also reach the owner, once each.
        assert sorted(execution[0] for execution in mesh.targets[0].executions) == [
            f"o{n}" for n in range(6)
        ]
        assert mesh.targets[1].executions == []
        # A node with a wrong view sends a request to the other site, whose owner check refuses it.
        other_proxy.view.owners["quotes"] = KnownOwner("stray", "127.0.0.99:1", 1)
        for target in list(other_proxy.view._targets["quotes"].values()):
            other_proxy.view._targets["quotes"][target.node] = target._replace(
                site="stray", site_agent="127.0.0.99:1"
            )
        del other_proxy.view._targets["quotes"][f"n-{SIDECAR_HOSTS[0]}"]
        status, head, _body = await request(mesh, "/book/x", "late", "POST", side=1)
        assert status == 503 and b"Retry-After" in head and mesh.targets[1].executions == []
        shown = json.loads((await send_request(CORE, mesh.control_port, "GET", "/mesh/owners"))[2])
        owned = shown["services"]["quotes"]
        assert owned["owner"] == "north" and owned["clash-with"][0].startswith("stray@")
        assert (
            await send_request(
                CORE,
                mesh.control_port,
                "PUT",
                "/mesh/owners",
                body=json.dumps({"number": 1, "services": {"quotes": ["stray"]}}).encode(),
            )
        )[0] == 409
        assert (
            await send_request(
                CORE, mesh.control_port, "PUT", "/mesh/owners", body=b'{"number": 2}'
            )
        )[0] == 400

    run_with_mesh(test, tmp_path, ("north", "stray"))


def test_a_proxy_forwards_exported_paths_of_a_partner_and_no_private_ones(tmp_path):
    async def test(mesh):
        async def put(path, document, *headers):
            return await send_request(
                CORE, mesh.control_port, "PUT", path, headers, json.dumps(document).encode()
            )

        assert (
            await put(
                "/mesh/partners/yard",
                {
                    "number": 1,
                    "hosts": ["yard"],
                    "address": f"{mesh.partner_gateway.host}:{mesh.partner_gateway.port}",
                    "credential": "secret-of-the-yard",
                },
            )
        )[0] == 200
        assert (
            await put(
                "/mesh/exports/yard",
                {"number": 1, "exports": [{"host": "yard", "prefix": "/open/", "kind": "upload"}]},
                "Authorization: Bearer secret-of-the-yard",
            )
        )[0] == 200
        clock = asyncio.get_running_loop().time
        async with asyncio.timeout(20):
            while not all(
                proxy.view.find_partner_route("yard", "/open/", clock()) for proxy in mesh.proxies
            ):
                await asyncio.sleep(0)
        photos = b"photo" * 50_000
        for side in (0, 1):
            head = (f"Attempt-Id: y{side}", "Deadline-Ms: 3000")
            status, _head, body = await send_request(
                SIDECAR_HOSTS[side], mesh.outbound_port, "POST", "/open/batch", head, photos, "yard"
            )
            assert (status, body) == (200, b"door")
            status, _head, _body = await send_request(
                SIDECAR_HOSTS[side], mesh.outbound_port, "GET", "/private/", head, name="yard"
            )
            assert status == 404
        assert mesh.partner_gateway.executions == [
            (f"y{side}", "POST", "/open/batch", photos) for side in (0, 1)
        ]

    run_with_mesh(test, tmp_path)
