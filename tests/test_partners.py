"""Tests partners: numbers, grants, conflicts, lapses and the table of routes."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marblefold.partners.document import (
    PartnerChangeError,
    PartnersDocument,
    grant_partner,
    mark_lapsed,
    put_exports,
    withdraw_partner,
)
from marblefold.partners.partner_table import build_partner_table
from marblefold.partners.request_bodies import is_credential, read_exports, read_grant

SECRET = "a-long-enough-secret"


def grant(number=1, hosts=("one",), **more):
    return read_grant(
        json.dumps(
            {
                "number": number,
                "hosts": list(hosts),
                "address": "10.0.0.1:80",
                "credential": SECRET,
                **more,
            }
        ).encode()
    )


def exports(number, *routes):
    return read_exports(
        json.dumps(
            {
                "number": number,
                "exports": [
                    {"host": host, "prefix": prefix, "kind": "read_only"} for host, prefix in routes
                ],
            }
        ).encode()
    )


def get_refusal(change, *arguments):
    with pytest.raises(PartnerChangeError) as caught:
        change(*arguments)
    return caught.value


def test_only_routes_exported_by_an_active_partner_are_reachable():
    document = grant_partner(PartnersDocument({}), "yard", grant())
    document = put_exports(document, "yard", exports(4, ("one", "/open/")))
    table = build_partner_table(1, document.pack())
    assert table.find("ONE:80", "/open/x?q").upstreams == ("partner/yard",)
    assert table.find("one", "/private/") is None and table.find("two", "/open/") is None
    old = get_refusal(put_exports, document, "yard", exports(3))
    assert (old.status, old.number) == (409, 4)
    # The same exports again count as a heartbeat; others under the same number are refused.
    again = put_exports(document, "yard", exports(4, ("one", "/open/")))
    assert again.partners["yard"]["reads"] == 2
    assert get_refusal(put_exports, document, "yard", exports(4)).status == 409
    assert build_partner_table(2, withdraw_partner(document, "yard").pack()).routes == {}
    lapsed = mark_lapsed(document, "yard", 1)
    assert build_partner_table(2, lapsed.pack()).routes == {}
    assert mark_lapsed(again, "yard", 1) == again
    resumed = put_exports(lapsed, "yard", exports(4, ("one", "/open/")))
    assert build_partner_table(3, resumed.pack()).digest == table.digest


def test_a_route_belongs_to_one_partner_and_none_exports_beyond_its_grant():
    document = PartnersDocument({})
    for name in ("yard", "mill"):
        document = grant_partner(document, name, grant())
    document = put_exports(document, "yard", exports(1, ("one", "/a/")))
    conflict = get_refusal(
        put_exports, document, "mill", exports(1, ("one", "/b/"), ("one", "/a/"))
    )
    assert conflict.status == 409 and "exports[1].prefix" in conflict.reason[0]
    beyond = get_refusal(put_exports, document, "mill", exports(1, ("two", "/b/")))
    assert beyond.status == 400 and "exports[0].host" in beyond.reason[0]
    assert get_refusal(put_exports, document, "nobody", exports(1)).status == 404
    # The same grant again is accepted; another one under the same number is refused.
    assert grant_partner(document, "yard", grant()) == document
    assert get_refusal(grant_partner, document, "yard", grant(hosts=("two",))).status == 409
    withdrawn = withdraw_partner(document, "yard")
    assert get_refusal(grant_partner, withdrawn, "yard", grant()).status == 409


@pytest.mark.parametrize(
    "body, path",
    [
        (b"{", "body"),
        (b"[]", "body"),
        (
            b'{"number": 1, "exports": [{"host": "a", "prefix": "x", "kind": "read_only"}]}',
            "exports[0].prefix",
        ),
        (b'{"number": true, "exports": []}', "number"),
        (
            b'{"number": 1, "exports": [{"host": "a", "prefix": "/x/", "kind": "odd"}]}',
            "exports[0].kind",
        ),
        (b'{"number": 1, "exports": [], "more": 1}', "more"),
    ],
)
def test_invalid_exports_are_refused_with_the_path_of_the_error(body, path):
    with pytest.raises(ExceptionGroup) as caught:
        read_exports(body)
    assert any(path in error.reason for error in caught.value.exceptions)


def test_a_credential_is_never_shown():
    digest = grant().credential
    assert SECRET not in digest
    assert is_credential(SECRET, digest) and not is_credential("another", digest)
    with pytest.raises(ExceptionGroup) as caught:
        grant(credential=12345678901234567)
    assert "12345678901234567" not in str([error.reason for error in caught.value.exceptions])


HOSTS_AND_PREFIXES = st.lists(
    st.tuples(st.sampled_from(["one", "two"]), st.sampled_from(["/", "/a/", "/a/b/", "/c/"])),
    unique=True,
    max_size=5,
)


@given(
    HOSTS_AND_PREFIXES, st.sampled_from(["/", "/a", "/a/", "/a/b/c", "/c/x", "/d/"]), st.randoms()
)
def test_the_table_matches_a_simple_model_for_exports_in_any_order(routes, path, random):
    document = grant_partner(PartnersDocument({}), "yard", grant(hosts=("one", "two")))
    document = put_exports(document, "yard", exports(1, *routes))
    shuffled = list(routes)
    random.shuffle(shuffled)
    other = put_exports(
        grant_partner(PartnersDocument({}), "yard", grant(hosts=("two", "one"))),
        "yard",
        exports(1, *shuffled),
    )
    table = build_partner_table(1, document.pack())
    assert table.digest == build_partner_table(7, other.pack()).digest
    best = ""
    for host, prefix in routes:
        if host == "one" and path.startswith(prefix) and len(prefix) > len(best):
            best = prefix
    found = table.find("one", path)
    assert (found.prefix if found else "") == best
