"""The history of configurations: kept in order, bounded, and never in the way."""

import asyncio
import json
import os

import pytest

from marblefold.errors import MeshError
from marblefold.history.recorder import HistoryRecorder
from marblefold.history.versions import Versions
from marblefold.http_connections.call_router import Call


def open_versions(folder, **more):
    versions = Versions(str(folder), **more)
    versions.open()
    return versions


def body_of(number):
    return json.dumps({"config-version": number}).encode()


def numbers(versions):
    return [version.number for version in versions.newest_first()]


def test_what_is_put_is_read_again_after_a_start(tmp_path):
    versions = open_versions(tmp_path / "history")
    assert [versions.add(number, body_of(number)) for number in (3, 7, 7, 5, 12)] == [
        True,
        True,
        False,
        False,
        True,
    ]
    again = open_versions(tmp_path / "history")
    assert numbers(again) == [12, 7, 3] and again.damage == ""
    assert again.read(7) == body_of(7)
    with pytest.raises(MeshError):
        again.read(5)


def test_old_versions_are_let_go(tmp_path):
    versions = open_versions(tmp_path / "history", max_versions=5)
    for number in range(1, 40):
        versions.add(number, body_of(number))
        assert len(numbers(versions)) <= 10
    kept = numbers(open_versions(tmp_path / "history"))
    assert kept[0] == 39 and len(kept) >= 5 and versions.read(kept[-1]) == body_of(kept[-1])
    assert sorted(os.listdir(tmp_path)) == ["history"]


def test_a_damaged_history_is_put_aside_and_begun_anew(tmp_path):
    versions = open_versions(tmp_path / "history")
    versions.add(1, body_of(1))
    for root, _folders, files in os.walk(tmp_path / "history" / "objects"):
        for name in files:
            path = os.path.join(root, name)
            os.chmod(path, 0o644)
            with open(path, "wb") as file:
                file.write(b"torn")
    again = open_versions(tmp_path / "history")
    assert again.damage and numbers(again) == []
    assert again.add(2, body_of(2)) and (tmp_path / "history.damaged").exists()


def test_a_registry_answers_from_it_and_serves_on_without_it(tmp_path):
    async def test():
        recorder = HistoryRecorder(str(tmp_path))
        run = asyncio.create_task(recorder.run())
        for number in (1, 2):
            recorder.record(number, body_of(number))
        async with asyncio.timeout(20):
            while len(json.loads((await recorder._list(Call("", b""))).body)["versions"]) < 2:
                await asyncio.sleep(0)
        assert json.loads((await recorder._show(Call("r2", b""))).body) == {"config-version": 2}
        assert (await recorder._show(Call("9", b""))).status == 404
        assert (await recorder._show(Call("two", b""))).status == 400
        run.cancel()
        # No folder: nothing is kept, nothing waits.
        none = HistoryRecorder("")
        none.record(1, body_of(1))
        assert none._queue.qsize() == 0 and (await none._list(Call("", b""))).status == 404
        # A folder that cannot be made: told, and nothing else.
        (tmp_path / "file").write_text("")
        stuck = HistoryRecorder(str(tmp_path / "file"))
        for number in range(40):
            stuck.record(number, body_of(number))
        assert stuck._queue.qsize() <= 16
        run = asyncio.create_task(stuck.run())
        async with asyncio.timeout(20):
            while stuck._queue.qsize():
                await asyncio.sleep(0)
        assert not run.done()
        run.cancel()

    asyncio.run(test())
