"""The three programs together on loopback, against stand-in targets."""

import asyncio
import itertools
import json
import sys
import types
from datetime import datetime, timedelta, timezone

from marblefold.maintenance.planning import LiveSlots
from marblefold.node_config.reading import parse_config
from marblefold.proxy.program import ProxyProgram
from marblefold.registry.program import RegistryProgram
from marblefold.spec_store.program import StoreProgram

CORE = "127.0.0.11"
SIDES = ("127.0.0.21", "127.0.0.22")
# Each mesh has ports of its own: the programs end with their process, so their
# sockets stay while the tests run.
FIRST_PORTS = itertools.count(27300, 20)
BOUNDS = """
bounds.contact-window-ms=3000
bounds.ack-timeout-ms=4000
bounds.drain-timeout-ms=2000
bounds.grace-period-s=6
bounds.loss-slack-ms=200
bounds.spec-apply-ms=2000
bounds.retry-budget-ratio=0.2
bounds.retry-window-s=10
bounds.retry-budget-slack=60
bounds.cold-overage=1.5
bounds.cold-slack=5
bounds.evacuation-ms=5000
limits.memory-mb=300
limits.max-file-descriptors=4000
beat-wakeup-ms=1500
initial-start=true
"""
SPEC = {
    "spec-number": 3,
    "mapping-list": [
        {"name": "read", "host-name": "shop", "path-prefix": "/read/", "mapping-kind": "read_only",
         "time-limit-ms": 3000, "target-latency-ms": 1000, "attempt-limit": 2,
         "upstream": "quotes"},
        {"name": "book", "host-name": "shop", "path-prefix": "/book/", "mapping-kind": "mutating",
         "time-limit-ms": 3000, "target-latency-ms": 1000, "attempt-limit": 2,
         "upstream": "quotes"}],
    "upstream-list": [{"name": "quotes", "health-check-path": "/health"}],
    "limits": {},
}


class StandIn:
    """A target that keeps to the published protocol."""

    def __init__(self, host, port):
        self.host, self.port, self.instance, self.ran = host, port, f"i-{host}", []
        self.spoil = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                method, path, _version = lines[0].split(" ")
                headers = dict(line.split(": ", 1) for line in lines[1:] if line)
                body = await reader.readexactly(int(headers.get("Content-Length", 0)))
                writer.write(self.answer(method, path, headers, body))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def answer(self, method, path, headers, body):
        if path == "/health":
            return (f"HTTP/1.1 200 OK\r\nInstance-Id: {self.instance}\r\nServer-Load: 0,0,4\r\n"
                    "Content-Length: 0\r\n\r\n").encode()
        if headers["Expected-Instance"] != self.instance:
            return b"HTTP/1.1 421 no\r\nContent-Length: 0\r\n\r\n"
        attempt = headers["Attempt-Id"]
        if self.spoil == "refuse":
            return b"HTTP/1.1 503 no\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        self.ran.append((attempt, method, path, headers["Caller-Service"], body))
        if self.spoil == "garble":
            return b"this is no answer\r\n\r\n"
        seal = b"" if self.spoil == "no seal" else b"Server-Seal: s\r\n"
        return (f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nContent-Length: 4\r\n".encode()
                + seal + b"\r\ndone")


def make_watch(text):
    config = parse_config(text)

    async def run():
        await asyncio.Event().wait()

    return types.SimpleNamespace(config=config, listen=lambda _l: None, reread=None, run=run)


def make_config(host, first, extra):
    return (f"node-name=n-{host}\nzone=hall\nregion=here\nzones.hall=here\nip-address={host}\n"
            f"internal-port-range={first + 5},{first + 12}\nseed-mates={CORE}:{first + 1}\n"
            f"listen-addresses.control-plane={host}:{first + 1}\n{BOUNDS}{extra}")


async def ask(host, port, method, path, headers=(), body=b""):
    reader, writer = await asyncio.open_connection(host, port)
    lines = [f"{method} {path} HTTP/1.1", "Host: shop", "Connection: close",
             f"Content-Length: {len(body)}", *headers]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    data = await reader.read()
    writer.close()
    head, _sign, rest = data.partition(b"\r\n\r\n")
    return int(head.split(b" ")[1]), head, rest


class Mesh:
    """One core machine and two sidecars with their targets."""

    def __init__(self, folder):
        self.news = asyncio.Event()
        first = next(FIRST_PORTS)
        self.control, self.outbound, self.ready = first + 1, first + 2, first + 3
        self.targets = [StandIn(host, first + 4) for host in SIDES]
        core = make_config(CORE, first, f"data-directory={folder}/store\n")
        self.store = StoreProgram(make_watch(core))
        self.registry = RegistryProgram(make_watch(core))
        self.proxies = [ProxyProgram(make_watch(make_config(host, first, (
            f"listen-addresses.outbound={host}:{first + 2}\n"
            f"listen-addresses.readiness={host}:{first + 3}\n"
            f"app-address={host}:{first + 4}\nupstream=quotes\n")))) for host in SIDES]
        for proxy in self.proxies:
            self.watch(proxy.view)

    def watch(self, view):
        take = view.take

        def note(entry):
            try:
                return take(entry)
            finally:
                self.news.set()

        view.take = note

    async def until(self, condition):
        async with asyncio.timeout(20):
            while not condition():
                self.news.clear()
                await self.news.wait()

    async def start(self):
        for target in self.targets:
            await target.start()
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(program.run()) for program in (
            self.store, self.registry, *self.proxies)]
        # A program that listens shows it by taking a connection.
        status, _head, _body = await self.put_spec(SPEC)
        assert status == 200
        await self.until(lambda: all(
            proxy.view.table and len(proxy.view.targets("quotes")) == 2
            for proxy in self.proxies))

    async def put_spec(self, spec):
        while True:
            try:
                return await ask(CORE, self.control, "PUT", "/mesh/spec", body=json.dumps(spec).encode())
            except ConnectionError:
                await asyncio.sleep(0)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def run(test, folder):
    async def whole():
        mesh = Mesh(folder)
        await mesh.start()
        try:
            await test(mesh)
        finally:
            await mesh.stop()
    asyncio.run(whole())


def request(mesh, path, attempt, method="GET", headers=(), body=b"", side=0):
    return ask(SIDES[side], mesh.outbound, method, path,
               (f"Attempt-Id: {attempt}", "Deadline-Ms: 3000", *headers), body)


def test_a_request_runs_once_unchanged_and_comes_back_whole(tmp_path):
    async def test(mesh):
        status, head, body = await request(
            mesh, "/book/a%20b?x=1&x=2", "id1", "POST", ("Caller-Service: liar",), b"payload")
        assert (status, body) == (200, b"done") and b"Server-Seal: s" in head
        ran = mesh.targets[0].ran + mesh.targets[1].ran
        assert ran == [("id1", "POST", "/book/a%20b?x=1&x=2", "quotes", b"payload")]
        assert (await request(mesh, "/nowhere/", "id2"))[0] == 404
        assert (await ask(SIDES[0], mesh.ready, "GET", "/-/readiness"))[0] == 200
        assert (await ask(CORE, mesh.control, "GET", "/mesh/spec"))[2] == json.dumps(SPEC).encode()
        assert (await ask(CORE, mesh.control, "POST", "/mesh/spec"))[0] == 405
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
        beat = {"upstream": "quotes", "address": f"{SIDES[0]}:1", "zone": "hall",
                "capacity-slots": 4, "state": "draining", "cold-remaining-ms": 0, "beat-number": 9}
        path = f"/mesh/targets/{mesh.targets[0].instance}"
        status, _head, _body = await ask(
            SIDES[0], mesh.control, "PUT", path, body=json.dumps(beat).encode())
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
            sys.executable, "-m", "marblefold", "plan",
            f"--from_system={CORE}:{mesh.control}", f"--drain={mesh.targets[0].instance}",
            "--json", stdout=asyncio.subprocess.PIPE)
        output, _errors = await process.communicate()
        assert process.returncode == 0
        assert json.loads(output)["capacity"] == [
            {"upstream": "quotes", "before": 8, "after": 4, "floor": 0}]
    run(test, tmp_path)


async def windows(mesh, *words):
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "marblefold", "windows", f"--system={CORE}:{mesh.control}", *words,
        stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE)
    output, errors = await process.communicate()
    return process.returncode, output.decode(), errors.decode()


def test_a_window_set_on_the_command_line_empties_its_zone_and_gives_it_back(tmp_path):
    async def test(mesh):
        start = datetime.now(timezone.utc)
        wish = ["--zone=hall", f"--start={start.isoformat()}", "--length_s=3600",
                f"--latest_end={(start + timedelta(hours=2)).isoformat()}"]
        assert (await windows(mesh, "set", "w", *wish))[0] == 0
        # The duty settles after a start; here its round is made at once.
        duty = mesh.registry.maintenance
        await mesh.until(lambda: duty.document.windows)
        duty._surroundings.live_slots = lambda: LiveSlots({})
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
