"""A region rehearsed and then really lost: the real programs, one of them killed."""

import asyncio
import json
import os
import sys

from tests.mesh_on_loopback import CORE, SIDES, Mesh, ask

PLACES = (("hall", "here"), ("yard", "there"))


def request(mesh, path, attempt, method="GET"):
    return ask(
        SIDES[0], mesh.outbound, method, path, (f"Attempt-Id: {attempt}", "Deadline-Ms: 3000")
    )


async def rehearse(mesh, *words):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "marblefold",
        "rehearse",
        f"--registry={CORE}:{mesh.control}",
        *words,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    return process.returncode, output.decode(), errors.decode()


def test_a_region_is_lost_as_it_was_rehearsed(tmp_path):
    async def test():
        mesh = Mesh(tmp_path, places=PLACES)
        # The proxy of the other region is a process of its own, to be killed.
        mesh.proxies.pop()
        (tmp_path / "boot.conf").write_text(mesh.configs[1])
        far = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "marblefold",
            "proxy",
            stdout=asyncio.subprocess.DEVNULL,
            env={**os.environ, "MARBLEFOLD_NODE_FILE": str(tmp_path / "boot.conf")},
        )
        await mesh.start()
        near = mesh.proxies[0]
        try:
            # Counts are told twice, with requests between: a rate is known.
            assert (await request(mesh, "/read/x", "first"))[0] == 200
            near._traffic.send_report()
            for number in range(12):
                kind = ("/read/x", "GET") if number % 2 else ("/book/x", "POST")
                assert (await request(mesh, kind[0], f"w{number}", kind[1]))[0] == 200
            near._traffic.send_report()
            registry = mesh.registry
            # All of them: a count told of itself in between would be taken for the last,
            # and the one after it for a rate over no time at all.
            async with asyncio.timeout(10):
                while count_told(registry) < 13:
                    await asyncio.sleep(0)
            # As if ten seconds lay between the counts, which no test waits for.
            for node, heard in registry._traffic_rates._previous.items():
                registry._traffic_rates._previous[node] = heard._replace(
                    received_at=heard.received_at - 10.0
                )
            before = state_of(mesh)
            status, shown, errors = await rehearse(
                mesh, "--lose_region=there", "--as_json", f"--save={tmp_path}/kept.json"
            )
            assert status in (0, 1), errors
            forecast = json.loads(shown)
            # Nothing was touched: no run, no configuration, no entry changed by it.
            assert state_of(mesh) == before
            kinds = {row["route"]: row for row in forecast["services"]}
            assert set(kinds) == {"read", "book"}
            for row in kinds.values():
                assert set(row["zones-after"]) == {"hall"} and row["stalls-after"] == 0
            assert [row for row in forecast["capacity"] if row["upstream"] == "quotes"][0][
                "slots-after"
            ] == 4 and forecast["control"]["has-majority"]
            status, again, _errors = await rehearse(mesh, "--lose_region=nowhere")
            assert status == 2 and "nowhere" in _errors
            # An order and a lookup are held at the far target when it goes dark.
            held = await hold_at_far(mesh)
            far.kill()
            await far.wait()
            ends = await asyncio.gather(*held)
            outcomes = sorted(status for status, _head, _body in ends)
            # As forecast: the order may go through twice, the lookup is carried.
            assert outcomes == [200, 502]
            for number in range(12):
                kind = ("/read/x", "GET") if number % 2 else ("/book/x", "POST")
                assert (await request(mesh, kind[0], f"a{number}", kind[1]))[0] == 200
            ran = [attempt for attempt, *_rest in mesh.targets[0].ran]
            assert {f"a{number}" for number in range(12)} <= set(ran)
            assert len([attempt for attempt in ran if attempt.startswith("order")]) == 0
        finally:
            if far.returncode is None:
                far.kill()
            await mesh.stop()

    asyncio.run(test())


def count_told(registry):
    return sum(
        row.requests
        for node, heard in registry._traffic_rates._last.items()
        if node in registry._traffic_rates._previous
        for row in heard.notice.routes
    )


def state_of(mesh):
    view = mesh.proxies[0].view
    return (
        view.table.number,
        sorted(view._versions.items()),
        set(view.evacuated),
        [len(target.ran) for target in mesh.targets],
        mesh.registry.catalogue.revision,
    )


async def hold_at_far(mesh):
    """An order and a lookup under way at the far target; the tasks that wait for them."""
    near_target, far_target = mesh.targets
    reached = []

    async def stay(headers):
        reached.append(headers["Attempt-Id"])
        await asyncio.Event().wait()

    far_target.in_run = stay
    # Only the far one is selected while the near one says that it is draining.
    view = mesh.proxies[0].view
    node = f"n-{SIDES[0]}"
    kept = view._targets["quotes"][node]
    view._targets["quotes"][node] = kept._replace(is_draining=True)
    tasks = [
        asyncio.create_task(request(mesh, "/book/x", "order", "POST")),
        asyncio.create_task(request(mesh, "/read/x", "lookup")),
    ]
    async with asyncio.timeout(10):
        while len(reached) < 2:
            await asyncio.sleep(0)
    view._targets["quotes"][node] = kept
    return tasks
