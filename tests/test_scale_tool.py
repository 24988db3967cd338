"""The scale tool: its command line, and one small run of real and hollow nodes."""

import json
import os
import subprocess
import sys

# Ports of this process: several suites may run on one machine. Each run takes twenty.
PORT = 26000 + os.getpid() % 160 * 40


def run(*words):
    return subprocess.run(
        [sys.executable, "-m", "tools.scale", *words], capture_output=True, text=True
    )


def test_what_cannot_be_run_ends_with_usage():
    for words in (
        ("--nodes=3",),
        ("--nodes=9000",),
        ("--phase=dance",),
        ("dance",),
        ("--nodes=9", "--real=9"),
        ("--seconds=x",),
    ):
        done = run(*words)
        assert done.returncode == 2 and "Traceback" not in done.stderr, done.stderr


def test_a_small_run_measures_and_leaves_nothing_behind(tmp_path):
    out = tmp_path / "out.json"
    done = run(
        "--nodes=8",
        "--core=1",
        "--real=1",
        "--each=4",
        "--seconds=1",
        "--settle=0",
        "--phase=change",
        f"--first_port={PORT}",
        f"--out={out}",
    )
    assert done.returncode == 0, done.stderr
    (found,) = json.loads(out.read_text())["runs"]
    assert found["change"]["everywhere-s"] > 0 and found["start"]["targets-known-s"] > 0
    assert found["change"]["connection-bytes-a-node-second"] > 0
    left = subprocess.run(
        ["pgrep", "-f", f"tools.scale.hollow 8 1 22 {PORT} "], capture_output=True
    )
    assert left.stdout == b""


def test_a_run_that_cannot_finish_says_partial(tmp_path):
    out = tmp_path / "out.json"
    # A port that is taken: no registry can listen there.
    import socket

    taken = socket.socket()
    taken.bind(("127.2.0.1", PORT + 20))
    taken.listen()
    done = run(
        "--nodes=8",
        "--core=1",
        "--real=1",
        "--longest=5",
        f"--first_port={PORT + 20}",
        f"--out={out}",
    )
    taken.close()
    assert done.returncode == 1
    document = json.loads(out.read_text())
    assert document["partial"] and document["runs"][0]["partial"].startswith("start")
