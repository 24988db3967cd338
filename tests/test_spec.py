"""Specs: what is read, what is refused and where, and which mapping is found."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marblefold.operator_spec.laying_out import lay_out
from marblefold.operator_spec.mapping_table import MappingTable
from marblefold.operator_spec.reading import InvalidSpec, read_spec
from marblefold.operator_spec.rows import read_rows

MAPPING = {
    "name": "r1", "host-name": "Shop.example", "path-prefix": "/a/", "mapping-kind": "read_only",
    "time-limit-ms": 1500, "target-latency-ms": 400, "priority": 2, "attempt-limit": 2,
    "upstream-split": [{"upstream": "quotes", "weight": 90}, {"upstream": "orders", "weight": 10}],
}


def make_spec(**changes):
    spec = {
        "spec-number": 7,
        "mapping-list": [dict(MAPPING)],
        "upstream-list": [
            {"name": "quotes", "coldstart-per-s": 22.0, "cold-start-s": 3.0, "protocol": "h1"},
            {"name": "orders"}],
        "limits": {"max-header-bytes": 16384},
    }
    spec.update(changes)
    return json.dumps(spec).encode()


def changed(**fields):
    mapping = {**MAPPING, **fields}
    return make_spec(**{"mapping-list": [
        {name: value for name, value in mapping.items() if value is not None}]})


def test_a_spec_is_read_and_survives_being_laid_out():
    table = MappingTable(read_rows(lay_out(read_spec(make_spec()))))
    mapping = table.find("shop.example:80", "/a/x?y=/b/")
    assert (mapping.name, mapping.weights) == ("r1", (90.0, 10.0))
    assert mapping.time_limit.total_seconds() == 1.5
    assert table.number == 7 and table.upstreams["quotes"].coldstart_per_s == 22.0


@pytest.mark.parametrize("body, place", [
    (make_spec()[:-20], "body"),
    (b"[]", "body"),
    (b"[" * 100000, "body"),
    (make_spec(**{"spec-number": "r7"}), "spec-number"),
    (make_spec(**{"spec-number": None}), "spec-number"),
    (make_spec(**{"mapping-list": [MAPPING, {**MAPPING, "name": "r2"}]}), "same host and prefix"),
    (changed(**{"time-limit-ms": 600001}), "time-limit-ms"),
    (changed(**{"time-limit-ms": None}), "time-limit-ms"),
    (changed(**{"attempt-limit": 0}), "attempt-limit"),
    (changed(**{"path-prefix": "a/"}), "path-prefix"),
    (changed(**{"mapping-kind": "odd"}), "mapping-kind"),
    (changed(**{"upstream-split": None, "upstream": "nobody"}), "nobody"),
    (changed(**{"upstream-split": None}), "upstream"),
    (changed(**{"upstream-split": [{"upstream": "quotes", "weight": 0}]}), "weight"),
    (changed(**{"upstream-split": [{"upstream": "quotes"}]}), "weight"),
])
def test_an_invalid_spec_is_refused_with_the_place_of_each_fault(body, place):
    with pytest.raises(InvalidSpec) as caught:
        read_spec(body)
    assert any(place in fault for fault in caught.value.faults), caught.value.faults


def test_all_faults_are_told_at_once():
    body = make_spec(**{"mapping-list": [
        {**MAPPING, "attempt-limit": 0}, {**MAPPING, "name": "b", "mapping-kind": "odd"}]})
    with pytest.raises(InvalidSpec) as caught:
        read_spec(body)
    assert len(caught.value.faults) == 3


PREFIXES = st.lists(st.sampled_from("abc"), max_size=3).map(
    lambda parts: "/" + "".join(part + "/" for part in parts))


@given(
    prefixes=st.sets(PREFIXES, max_size=6),
    path=st.lists(st.sampled_from(["a", "b", "c", ""]), max_size=5).map(
        lambda parts: "/" + "/".join(parts)),
    query=st.sampled_from(["", "?", "?x=/a/b/"]),
)
def test_the_longest_prefix_is_found(prefixes, path, query):
    mappings = [{**MAPPING, "name": prefix, "path-prefix": prefix} for prefix in prefixes]
    table = MappingTable(read_rows(lay_out(read_spec(make_spec(**{"mapping-list": mappings})))))
    fitting = [prefix for prefix in prefixes if path.startswith(prefix)]
    found = table.find("SHOP.example", path + query)
    assert (found.name if found else None) == (max(fitting, key=len) if fitting else None)
    assert table.find("other.example", path) is None
