"""The scale tool: its command line, and small runs of real and hollow nodes."""

import json
import os
import subprocess
import sys

# Ports of this process, since several test suites may run on one machine; a run uses up to 20.
FIRST_PORT = 26000 + os.getpid() % 160 * 40


def run(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "tools.scale", *arguments], capture_output=True, text=True
    )


def test_invalid_arguments_print_usage():
    for arguments in (
        ("--nodes=3",),
        ("--nodes=9000",),
        ("--phase=unknown",),
        ("unknown",),
        ("--nodes=9", "--real=9"),
        ("--seconds=x",),
    ):
        completed = run(*arguments)
        assert completed.returncode == 2 and "Traceback" not in completed.stderr, completed.stderr


def test_a_small_run_reports_results_and_leaves_no_process(tmp_path):
    out = tmp_path / "out.json"
    completed = run(
        "--nodes=8",
        "--core=1",
        "--real=1",
        "--each=4",
        "--seconds=1",
        "--settle=0",
        "--phase=change",
        f"--first_port={FIRST_PORT}",
        f"--out={out}",
    )
    assert completed.returncode == 0, completed.stderr
    (results,) = json.loads(out.read_text())["runs"]
    assert results["change"]["everywhere-s"] > 0 and results["start"]["targets-known-s"] > 0
    assert results["change"]["connection-bytes-a-node-second"] > 0
    remaining = subprocess.run(
        ["pgrep", "-f", f"tools.scale.hollow 8 1 22 {FIRST_PORT} "], capture_output=True
    )
    assert remaining.stdout == b""


def test_a_run_that_cannot_complete_is_marked_partial(tmp_path):
    out = tmp_path / "out.json"
    # The port of the registry is in use, so that it cannot listen there.
    import socket

    listener = socket.socket()
    listener.bind(("127.2.0.1", FIRST_PORT + 20))
    listener.listen()
    completed = run(
        "--nodes=8",
        "--core=1",
        "--real=1",
        "--longest=5",
        f"--first_port={FIRST_PORT + 20}",
        f"--out={out}",
    )
    listener.close()
    assert completed.returncode == 1
    document = json.loads(out.read_text())
    assert document["partial"] and document["runs"][0]["partial"].startswith("start")
