"""Control calls with bad input: a 4xx that names the place, and nothing is lost.

Bytes go into the real connection and router; a fault inside a call shows as
the router's 503, which no reachable store accounts for here.
"""

import asyncio
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marblefold import wire_names
from marblefold.configuration.reading import read_configuration
from marblefold.configuration.row_encoding import encode_rows
from marblefold.inner_protocol.messages import kinds
from marblefold.maintenance.model import Document as MaintenanceDocument
from marblefold.ownership.claims import read_owners
from marblefold.partners.merging import merge
from tests.control_documents import BEARER, BODIES, CONFIGURATION, places_of, put_at
from tests.simulated_control import Control, pack_request

SUBJECTS = (
    wire_names.TRACE_PATH,
    wire_names.VERSION_PATH,
    wire_names.EVACUATION_PATH,
    wire_names.PARTNER_PATH,
    wire_names.WINDOW_PATH,
)
READS = (
    wire_names.CONFIGURATION_PATH,
    wire_names.STATE_PATH,
    wire_names.PARTNERS_PATH,
    wire_names.OWNERS_PATH,
    wire_names.MAINTENANCE_PATH,
    wire_names.TRACES_PATH,
    wire_names.DOUBLES_PATH,
    wire_names.HISTORY_PATH,
)

DEEP = json.loads("[" * 40 + "]" * 40)
ODD_VALUES = (
    *(-1, 0, 2**31, 2**32, 2**53, 2**64, 10**30, 10**400, 0.5, 1e15, 1e308, 1e-320, -(2**63)),
    *("", "\ud800", "\x00", "é" * 300, "9999-12-31T23:59:59+00:00", "²", "r7", "7"),
    *([], {}, [[]], {"": {}}, DEEP, float("nan"), float("inf"), None, True, False),
)
ODD = st.one_of(st.sampled_from(ODD_VALUES), st.text(max_size=5))


def next_of(name):
    """The document under the number after the one that holds."""
    document = BODIES[name][1]
    return {
        key: value + 1 if key in ("number", "config-version") else value
        for key, value in document.items()
    }


@st.composite
def spoilt_bodies(draw):
    """A call with a body in which one or two places are odd, or that is torn."""
    name = draw(st.sampled_from(sorted(BODIES)))
    document = next_of(name)
    for _ in range(draw(st.integers(1, 2))):
        place = draw(st.sampled_from([path for path in places_of(document) if path]))
        document = put_at(document, place, draw(ODD))
        if not isinstance(document, dict):
            break
    body = json.dumps(document).encode()
    if draw(st.integers(0, 4)) == 0:
        body = body[: draw(st.integers(0, len(body)))]
    if draw(st.integers(0, 6)) == 0:
        at = draw(st.integers(0, len(body)))
        body = body[:at] + draw(st.binary(min_size=1, max_size=3)) + body[at:]
    return name, body


def filled():
    """A control side that holds something in every register."""
    control = Control()
    for name, (path, document) in BODIES.items():
        headers = BEARER if name == "exports" else ()
        answer = control.call("PUT", path, json.dumps(document).encode(), headers)
        assert answer.status == 200, ascii(answer)
    return control


def read_all(stores):
    """Reads what holds as every registry and proxy would."""
    held = stores.held
    encode_rows(read_configuration(held["configuration"].value))
    merge(held["partners"].number, held["partners"].value)
    read_owners(held["owners"].value)
    MaintenanceDocument.read(held["maintenance"].value)
    for register, record in held.items():
        kinds.Accepted(register=register, number=record.number, value=record.value)


def check_answer(control, name, body, before):
    """Refused with its place and nothing changed, or held and readable by all."""
    control.stores.held = dict(before)
    answer = control.call("PUT", BODIES[name][0], body, BEARER)
    assert answer is not None and answer.status in (200, 400, 401, 403, 409, 413), ascii(answer)
    if answer.status != 200:
        assert answer.document[wire_names.REASON]
        assert control.stores.held == before
    read_all(control.stores)


@pytest.mark.parametrize("name", sorted(BODIES))
def test_each_odd_value_at_each_place_is_refused_or_holds_and_can_be_read(name):
    control = filled()
    before = dict(control.stores.held)
    document = next_of(name)
    faults = []
    for place in places_of(document):
        for index, value in enumerate(ODD_VALUES):
            body = json.dumps(put_at(document, place, value)).encode()
            try:
                check_answer(control, name, body, before)
            except Exception as error:
                faults.append((place, index, type(error).__name__, ascii(error)[:120]))
    assert not faults, f"{len(faults)} faults, the first: {faults[:3]}"


@settings(max_examples=200, deadline=None)
@given(spoilt_bodies())
def test_a_spoilt_or_torn_body_is_refused_or_holds_and_can_be_read(spoilt):
    name, body = spoilt
    control = filled()
    check_answer(control, name, body, dict(control.stores.held))


SEGMENTS = st.one_of(
    st.sampled_from(["", "%", "%ff", "%00", "a/b", "²", "..", "hall-a", "yard", "night", "é"]),
    st.sampled_from(["x" * 300, "9" * 5000, "%ed%a0%80", "\udcff", "-1", "r7"]),
)


@settings(max_examples=300, deadline=None)
@given(
    method=st.sampled_from(["GET", "PUT", "DELETE", "POST", "HEAD", "OPTIONS", "PATCH", "ODD"]),
    path=st.sampled_from((*READS, *SUBJECTS, "*", "/", "//x")),
    segment=SEGMENTS,
    query=st.sampled_from(["", "?", "?limit=nan", "?limit=1e400", "?kind=%ff", "?skip=-1&x=%"]),
    body=st.sampled_from([b"", b"{", b"null", b"\xff"]),
)
def test_a_wrong_method_or_path_is_told_so_and_loses_nothing(method, path, segment, query, body):
    control = filled()
    before = dict(control.stores.held)
    answer = control.call(method, path.replace("{}", segment) + query, body)
    allowed = (200, 400, 404, 405, 409, 413, 431)
    assert answer is not None and answer.status in allowed, ascii(answer)
    if answer.status != 200:
        assert control.stores.held == before
    read_all(control.stores)


@pytest.mark.parametrize("name", sorted(BODIES))
def test_a_request_that_breaks_off_anywhere_changes_nothing(name):
    path, document = BODIES[name]
    data = pack_request("PUT", path, json.dumps(document).encode(), BEARER)
    control = filled()
    before = dict(control.stores.held)

    async def run():
        for end in range(len(data)):
            assert await control.send(data[:end], ends=True) is None

    asyncio.run(run())
    assert control.stores.held == before


@pytest.mark.parametrize("name", sorted(BODIES))
def test_an_order_sent_twice_is_acknowledged_twice(name):
    control = filled()
    before = {register: held.value for register, held in control.stores.held.items()}
    path, document = BODIES[name]
    again = control.call("PUT", path, json.dumps(document).encode(), BEARER)
    assert again.status == 200, ascii(again)
    if name != "exports":  # The same word again is a sign of life, and counted.
        assert {one: held.value for one, held in control.stores.held.items()} == before


def test_bodies_over_their_bound_get_413_and_without_stores_all_get_503():
    control = filled()
    for path, size in ((wire_names.FLOORS_PATH, 5000), (wire_names.OWNERS_PATH, 2**20 + 1)):
        assert control.call("PUT", path, b" " * size).status == 413
    control.stores.is_reachable = False
    before = dict(control.stores.held)
    for path, document in BODIES.values():
        answer = control.call("PUT", path, json.dumps(document).encode(), BEARER)
        assert answer.status == 503 and b"Retry-After" in answer.head
    for method in ("PUT", "DELETE"):
        path = wire_names.EVACUATION_PATH.format("hall-a")
        assert control.call(method, path).status == 503
    assert control.stores.held == before


def test_a_fault_inside_a_call_is_answered_with_503_and_logged():
    control = Control()

    async def fail(_call):
        raise RuntimeError("a fault of our own")

    control.router.add("GET", "/fails", fail)
    answer = control.call("GET", "/fails")
    assert answer.status == 503 and "fault" in answer.document[wire_names.REASON]


def test_two_contents_of_one_number_get_409_with_the_number_that_holds():
    control = filled()
    path = wire_names.CONFIGURATION_PATH
    other = json.dumps({**CONFIGURATION, "limits": {}}).encode()
    answer = control.call("PUT", path, other)
    assert answer.status == 409 and answer.document["config-version"] == 7
    lower = json.dumps({**CONFIGURATION, "config-version": 3, "limits": {}}).encode()
    assert control.call("PUT", path, lower).status == 200
    assert control.call("GET", path).document == CONFIGURATION


@pytest.mark.parametrize("version", ["%C2%B2", "r", "9" * 5000, "-1", "1e3", "%ff", "r99"])
def test_a_version_that_is_none_is_told_so(version, tmp_path):
    control = Control(str(tmp_path))
    answer = control.call("GET", wire_names.VERSION_PATH.format(version))
    assert answer.status in (400, 404) and answer.document[wire_names.REASON]


@pytest.mark.parametrize("state, status", [("running", 409), ("finished", 200)])
def test_a_window_whose_order_comes_again_does_not_run_twice(state, status):
    control = filled()
    held = control.stores.held["maintenance"]
    value = held.value.replace(b'"planned"', b'"%s"' % state.encode())
    assert value != held.value
    control.stores.held["maintenance"] = held._replace(value=value)
    path, document = BODIES["window"]
    assert control.call("PUT", path, json.dumps(document).encode()).status == status
    assert control.stores.held["maintenance"].value == value
