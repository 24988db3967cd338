"""Tests that invalid control calls get a 4xx with the location and change nothing.

The bytes pass through the production connection and router.  An unhandled exception
in a call appears as the router's 503, which has no other cause while the stores are
reachable.
"""

import asyncio
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from marblefold import wire_names
from marblefold.configuration.reading import read_configuration
from marblefold.configuration.row_encoding import encode_rows
from marblefold.inner_protocol.messages import messages_pb2
from marblefold.maintenance.model import MaintenanceDocument
from marblefold.ownership.claims import read_owners
from marblefold.partners.partner_table import build_partner_table
from tests.control_documents import BEARER, BODIES, CONFIGURATION, list_paths, replace_at
from tests.simulated_control import SimulatedControl, pack_request

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


def make_next_document(name):
    """Returns the document with the number after the current one."""
    document = BODIES[name][1]
    return {
        key: value + 1 if key in ("number", "config-version") else value
        for key, value in document.items()
    }


@st.composite
def corrupted_bodies(draw):
    """Draws a call whose body has one or two odd values, or is truncated or corrupted."""
    name = draw(st.sampled_from(sorted(BODIES)))
    document = make_next_document(name)
    for _ in range(draw(st.integers(1, 2))):
        changed_path = draw(st.sampled_from([path for path in list_paths(document) if path]))
        document = replace_at(document, changed_path, draw(ODD))
        if not isinstance(document, dict):
            break
    body = json.dumps(document).encode()
    if draw(st.integers(0, 4)) == 0:
        body = body[: draw(st.integers(0, len(body)))]
    if draw(st.integers(0, 6)) == 0:
        at = draw(st.integers(0, len(body)))
        body = body[:at] + draw(st.binary(min_size=1, max_size=3)) + body[at:]
    return name, body


def make_filled_control():
    """Returns a control server with content in every register."""
    control = SimulatedControl()
    for name, (path, document) in BODIES.items():
        headers = BEARER if name == "exports" else ()
        answer = control.call("PUT", path, json.dumps(document).encode(), headers)
        assert answer.status == 200, ascii(answer)
    return control


def read_all(stores):
    """Parses the registers as every registry and proxy would."""
    registers = stores.registers
    encode_rows(read_configuration(registers["configuration"].value))
    build_partner_table(registers["partners"].number, registers["partners"].value)
    read_owners(registers["owners"].value)
    MaintenanceDocument.read(registers["maintenance"].value)
    for register, record in registers.items():
        messages_pb2.Accepted(register=register, number=record.number, value=record.value)


def check_answer(control, name, body, before):
    """The call is rejected with a reason and changes nothing, or its result is readable by all."""
    control.stores.registers = dict(before)
    answer = control.call("PUT", BODIES[name][0], body, BEARER)
    assert answer is not None and answer.status in (200, 400, 401, 403, 409, 413), ascii(answer)
    if answer.status != 200:
        assert answer.document[wire_names.REASON]
        assert control.stores.registers == before
    read_all(control.stores)


@pytest.mark.parametrize("name", sorted(BODIES))
def test_each_odd_value_at_each_path_is_rejected_or_stored_and_readable(name):
    control = make_filled_control()
    before = dict(control.stores.registers)
    document = make_next_document(name)
    failures = []
    for path in list_paths(document):
        for index, value in enumerate(ODD_VALUES):
            body = json.dumps(replace_at(document, path, value)).encode()
            try:
                check_answer(control, name, body, before)
            except Exception as error:
                failures.append((path, index, type(error).__name__, ascii(error)[:120]))
    assert not failures, f"{len(failures)} failures, the first: {failures[:3]}"


@settings(max_examples=200, deadline=None)
@given(corrupted_bodies())
def test_a_corrupted_body_is_rejected_or_stored_and_readable(corrupted):
    name, body = corrupted
    control = make_filled_control()
    check_answer(control, name, body, dict(control.stores.registers))


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
def test_a_wrong_method_or_path_is_rejected_and_changes_nothing(method, path, segment, query, body):
    control = make_filled_control()
    before = dict(control.stores.registers)
    answer = control.call(method, path.replace("{}", segment) + query, body)
    allowed = (200, 400, 404, 405, 409, 413, 431)
    assert answer is not None and answer.status in allowed, ascii(answer)
    if answer.status != 200:
        assert control.stores.registers == before
    read_all(control.stores)


@pytest.mark.parametrize("name", sorted(BODIES))
def test_a_request_truncated_anywhere_changes_nothing(name):
    path, document = BODIES[name]
    data = pack_request("PUT", path, json.dumps(document).encode(), BEARER)
    control = make_filled_control()
    before = dict(control.stores.registers)

    async def run():
        for end in range(len(data)):
            assert await control.send(data[:end], closes=True) is None

    asyncio.run(run())
    assert control.stores.registers == before


@pytest.mark.parametrize("name", sorted(BODIES))
def test_an_order_sent_twice_is_acknowledged_twice(name):
    control = make_filled_control()
    before = {register: content.value for register, content in control.stores.registers.items()}
    path, document = BODIES[name]
    again = control.call("PUT", path, json.dumps(document).encode(), BEARER)
    assert again.status == 200, ascii(again)
    if name != "exports":  # A repeated export shows that the partner is alive and is counted.
        assert {
            register: content.value for register, content in control.stores.registers.items()
        } == before


def test_too_large_bodies_get_413_and_all_calls_get_503_without_stores():
    control = make_filled_control()
    for path, size in ((wire_names.FLOORS_PATH, 5000), (wire_names.OWNERS_PATH, 2**20 + 1)):
        assert control.call("PUT", path, b" " * size).status == 413
    control.stores.is_reachable = False
    before = dict(control.stores.registers)
    for path, document in BODIES.values():
        answer = control.call("PUT", path, json.dumps(document).encode(), BEARER)
        assert answer.status == 503 and b"Retry-After" in answer.head
    for method in ("PUT", "DELETE"):
        path = wire_names.EVACUATION_PATH.format("hall-a")
        assert control.call(method, path).status == 503
    assert control.stores.registers == before


def test_an_exception_in_a_call_is_answered_with_503_and_logged():
    control = SimulatedControl()

    async def fail(_call):
        raise RuntimeError("an error in the call")

    control.router.add("GET", "/fails", fail)
    answer = control.call("GET", "/fails")
    assert answer.status == 503 and "fault" in answer.document[wire_names.REASON]


def test_other_content_under_the_same_number_gets_409_with_the_current_number():
    control = make_filled_control()
    path = wire_names.CONFIGURATION_PATH
    other = json.dumps({**CONFIGURATION, "limits": {}}).encode()
    answer = control.call("PUT", path, other)
    assert answer.status == 409 and answer.document["config-version"] == 7
    lower = json.dumps({**CONFIGURATION, "config-version": 3, "limits": {}}).encode()
    assert control.call("PUT", path, lower).status == 200
    assert control.call("GET", path).document == CONFIGURATION


@pytest.mark.parametrize("version", ["%C2%B2", "r", "9" * 5000, "-1", "1e3", "%ff", "r99"])
def test_an_invalid_or_unknown_version_is_rejected(version, tmp_path):
    control = SimulatedControl(str(tmp_path))
    answer = control.call("GET", wire_names.VERSION_PATH.format(version))
    assert answer.status in (400, 404) and answer.document[wire_names.REASON]


@pytest.mark.parametrize("state, status", [("running", 409), ("finished", 200)])
def test_a_repeated_window_order_does_not_run_the_window_twice(state, status):
    control = make_filled_control()
    content = control.stores.registers["maintenance"]
    value = content.value.replace(b'"planned"', b'"%s"' % state.encode())
    assert value != content.value
    control.stores.registers["maintenance"] = content._replace(value=value)
    path, document = BODIES["window"]
    assert control.call("PUT", path, json.dumps(document).encode()).status == status
    assert control.stores.registers["maintenance"].value == value
