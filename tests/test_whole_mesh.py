"""The three programs together on loopback, against stand-in targets."""

import asyncio
import json
import sys
from datetime import UTC, datetime, timedelta

from marblefold.maintenance.planning import LiveSlots
from marblefold.request_path.mesh_view import KnownOwner
from tests.mesh_on_loopback import CONFIGURATION, CORE, SIDES, Mesh, ask


def run(test, folder, sites=("", "")):
    async def whole():
        mesh = Mesh(folder, sites)
        await mesh.start()
        try:
            await test(mesh)
        finally:
            await mesh.stop()

    asyncio.run(whole())


def request(mesh, path, attempt, method="GET", headers=(), body=b"", side=0):
    return ask(
        SIDES[side],
        mesh.outbound,
        method,
        path,
        (f"Attempt-Id: {attempt}", "Deadline-Ms: 3000", *headers),
        body,
    )


def test_a_request_runs_once_unchanged_and_comes_back_whole(tmp_path):
    async def test(mesh):
        status, head, body = await request(
            mesh, "/book/a%20b?x=1&x=2", "id1", "POST", ("Caller-Service: liar",), b"payload"
        )
        assert (status, body) == (200, b"done") and b"Server-Seal: s" in head
        ran = mesh.targets[0].ran + mesh.targets[1].ran
        assert ran == [("id1", "POST", "/book/a%20b?x=1&x=2", "quotes", b"payload")]
        assert (await request(mesh, "/nowhere/", "id2"))[0] == 404
        assert (await ask(SIDES[0], mesh.ready, "GET", "/-/readiness"))[0] == 200
        assert (await ask(CORE, mesh.control, "GET", "/mesh/configuration"))[2] == json.dumps(
            CONFIGURATION
        ).encode()
        assert (await ask(CORE, mesh.control, "POST", "/mesh/configuration"))[0] == 405
        assert (await ask(CORE, mesh.control, "GET", "/else"))[0] == 404

    run(test, tmp_path)


def test_a_spoilt_answer_is_repeated_for_reads_only(tmp_path):
    async def test(mesh):
        for number, spoil in enumerate(("garble", "no seal")):
            for target in mesh.targets:
                target.ran.clear()
                target.spoil = spoil
            status, head, _body = await request(mesh, "/book/x", f"b{number}", "POST")
            assert status == 502 and b"Retry-After" not in head
            assert len(mesh.targets[0].ran + mesh.targets[1].ran) == 1
            await request(mesh, "/read/x", f"r{number}")
            assert len(mesh.targets[0].ran + mesh.targets[1].ran) == 3

    run(test, tmp_path)


def test_what_no_target_ran_is_promised_with_a_time_to_come_back(tmp_path):
    async def test(mesh):
        for target in mesh.targets:
            target.spoil = "refuse"
        status, head, _body = await request(mesh, "/book/x", "b", "POST")
        assert status == 503 and b"Retry-After" in head
        assert mesh.targets[0].ran + mesh.targets[1].ran == []

    run(test, tmp_path)


def test_a_drain_is_obeyed_before_it_is_acknowledged_and_evacuations_reach_all(tmp_path):
    async def test(mesh):
        beat = {
            "upstream": "quotes",
            "address": f"{SIDES[0]}:1",
            "zone": "hall",
            "capacity-slots": 4,
            "state": "draining",
            "cold-remaining-ms": 0,
            "call-sequence": 9,
        }
        path = f"/mesh/targets/{mesh.targets[0].instance}"
        status, _head, _body = await ask(
            SIDES[0], mesh.control, "PUT", path, body=json.dumps(beat).encode()
        )
        assert status == 200
        for number in range(6):
            assert (await request(mesh, "/read/x", f"d{number}", side=number % 2))[0] == 200
        assert mesh.targets[0].ran == [] and len(mesh.targets[1].ran) == 6
        assert (await ask(CORE, mesh.control, "PUT", "/mesh/evacuations/nowhere"))[0] == 404
        assert (await ask(CORE, mesh.control, "PUT", "/mesh/evacuations/hall"))[0] == 200
        await mesh.until(lambda: all("hall" in proxy.view.evacuated for proxy in mesh.proxies))
        assert (await request(mesh, "/read/x", "e"))[0] == 503
        assert (await ask(CORE, mesh.control, "DELETE", "/mesh/evacuations/hall"))[0] == 200
        await mesh.until(lambda: not any(proxy.view.evacuated for proxy in mesh.proxies))
        assert (await request(mesh, "/read/x", "f"))[0] == 200

    run(test, tmp_path)


def test_the_planner_reads_a_running_system(tmp_path):
    async def test(mesh):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "marblefold",
            "plan",
            f"--from_system={CORE}:{mesh.control}",
            f"--drain={mesh.targets[0].instance}",
            "--json",
            stdout=asyncio.subprocess.PIPE,
        )
        output, _errors = await process.communicate()
        assert process.returncode == 0
        assert json.loads(output)["capacity"] == [
            {"upstream": "quotes", "before": 8, "after": 4, "floor": 0}
        ]

    run(test, tmp_path)


async def windows(mesh, *words):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "marblefold",
        "windows",
        f"--system={CORE}:{mesh.control}",
        *words,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    return process.returncode, output.decode(), errors.decode()


def test_a_window_set_on_the_command_line_empties_its_zone_and_gives_it_back(tmp_path):
    async def test(mesh):
        start = datetime.now(UTC)
        wish = [
            "--zone=hall",
            f"--start={start.isoformat()}",
            "--length_s=3600",
            f"--latest_end={(start + timedelta(hours=2)).isoformat()}",
        ]
        assert (await windows(mesh, "set", "w", *wish))[0] == 0
        # The duty settles after a start; here its round is made at once.
        duty = mesh.registry.maintenance
        duty._mesh_state.is_maintenance_leader = lambda: False
        await mesh.until(lambda: duty.document.windows)
        duty._mesh_state.live_slots = lambda: LiveSlots({})
        await duty.step()
        await mesh.until(lambda: all("hall" in proxy.view.evacuated for proxy in mesh.proxies))
        status, shown, _errors = await windows(mesh, "list")
        assert status == 0 and "window w: running in hall" in shown
        assert (await windows(mesh, "set", "w", *wish))[0] == 1
        assert (await windows(mesh, "floors", "--floor=quotes=9"))[0] == 1
        assert (await windows(mesh, "floors", "--floor=quotes=8"))[0] == 0
        assert (await windows(mesh, "withdraw", "w"))[0] == 0
        await duty.step()
        await mesh.until(lambda: not any(proxy.view.evacuated for proxy in mesh.proxies))
        assert (await windows(mesh, "withdraw", "none"))[0] == 1
        assert (await windows(mesh, "dance"))[0] == 2
        status, _shown, errors = await windows(mesh, "set", "x", "--zone=nowhere", *wish[1:])
        assert status == 1 and "zone" in errors

    run(test, tmp_path)


def test_a_stray_site_is_refused_as_owner_and_each_order_is_placed_once(tmp_path):
    async def test(mesh):
        word = {"number": 1, "services": {"quotes": ["north"]}}
        body = json.dumps(word).encode()
        assert (await ask(CORE, mesh.control, "PUT", "/mesh/owners", body=body))[0] == 200
        real, stray = mesh.proxies
        clock = asyncio.get_running_loop().time
        await mesh.until(
            lambda: all(
                proxy.view.owners.get("quotes", (0, 0, 0))[2] == 1 for proxy in mesh.proxies
            )
        )
        async with asyncio.timeout(20):
            while not real.view.leases.epoch("quotes", clock()):
                await asyncio.sleep(0)
        for number in range(6):
            status, _head, _body = await request(
                mesh, "/book/x", f"o{number}", "POST", body=b"order", side=number % 2
            )
            assert status == 200
        # Also those that came in beside the stray went to the owner, once each.
        assert sorted(ran[0] for ran in mesh.targets[0].ran) == [f"o{n}" for n in range(6)]
        assert mesh.targets[1].ran == []
        # A node whose view is wrong sends one to the stray: its guard refuses.
        stray.view.owners["quotes"] = KnownOwner("stray", "127.0.0.99:1", 1)
        for target in list(stray.view._targets["quotes"].values()):
            stray.view._targets["quotes"][target.node] = target._replace(
                site="stray", site_agent="127.0.0.99:1"
            )
        del stray.view._targets["quotes"][f"n-{SIDES[0]}"]
        status, head, _body = await request(mesh, "/book/x", "late", "POST", side=1)
        assert status == 503 and b"Retry-After" in head and mesh.targets[1].ran == []
        shown = json.loads((await ask(CORE, mesh.control, "GET", "/mesh/owners"))[2])
        owned = shown["services"]["quotes"]
        assert owned["owner"] == "north" and owned["clash-with"][0].startswith("stray@")
        assert (
            await ask(
                CORE,
                mesh.control,
                "PUT",
                "/mesh/owners",
                body=json.dumps({"number": 1, "services": {"quotes": ["stray"]}}).encode(),
            )
        )[0] == 409
        assert (await ask(CORE, mesh.control, "PUT", "/mesh/owners", body=b'{"number": 2}'))[
            0
        ] == 400

    run(test, tmp_path, ("north", "stray"))


def test_a_proxy_carries_what_a_partner_exports_and_nothing_private(tmp_path):
    async def test(mesh):
        async def put(path, document, *headers):
            return await ask(
                CORE, mesh.control, "PUT", path, headers, json.dumps(document).encode()
            )

        assert (
            await put(
                "/mesh/partners/yard",
                {
                    "number": 1,
                    "hosts": ["yard"],
                    "address": f"{mesh.door.host}:{mesh.door.port}",
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
            status, _head, body = await ask(
                SIDES[side], mesh.outbound, "POST", "/open/batch", head, photos, "yard"
            )
            assert (status, body) == (200, b"door")
            status, _head, _body = await ask(
                SIDES[side], mesh.outbound, "GET", "/private/", head, name="yard"
            )
            assert status == 404
        assert mesh.door.ran == [(f"y{side}", "POST", "/open/batch", photos) for side in (0, 1)]

    run(test, tmp_path)
