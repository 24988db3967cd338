"""The partners' words: numbers, grants, clashes, lapses, and the merged table."""

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


def exports(number, *places):
    return read_exports(
        json.dumps(
            {
                "number": number,
                "exports": [
                    {"host": host, "prefix": prefix, "kind": "read_only"} for host, prefix in places
                ],
            }
        ).encode()
    )


def refusal(change, *arguments):
    with pytest.raises(PartnerChangeError) as caught:
        change(*arguments)
    return caught.value


def test_only_what_is_exported_by_a_word_that_stands_is_reachable():
    document = grant_partner(PartnersDocument({}), "yard", grant())
    document = put_exports(document, "yard", exports(4, ("one", "/open/")))
    table = build_partner_table(1, document.pack())
    assert table.find("ONE:80", "/open/x?q").upstreams == ("partner/yard",)
    assert table.find("one", "/private/") is None and table.find("two", "/open/") is None
    old = refusal(put_exports, document, "yard", exports(3))
    assert (old.status, old.number) == (409, 4)
    # The same word again is a sign of life; another under its number is not.
    again = put_exports(document, "yard", exports(4, ("one", "/open/")))
    assert again.partners["yard"]["reads"] == 2
    assert refusal(put_exports, document, "yard", exports(4)).status == 409
    assert build_partner_table(2, withdraw_partner(document, "yard").pack()).routes == {}
    silent = mark_lapsed(document, "yard", 1)
    assert build_partner_table(2, silent.pack()).routes == {}
    assert mark_lapsed(again, "yard", 1) == again
    back = put_exports(silent, "yard", exports(4, ("one", "/open/")))
    assert build_partner_table(3, back.pack()).digest == table.digest


def test_a_place_belongs_to_one_partner_and_none_speaks_beyond_its_grant():
    document = PartnersDocument({})
    for name in ("yard", "mill"):
        document = grant_partner(document, name, grant())
    document = put_exports(document, "yard", exports(1, ("one", "/a/")))
    clash = refusal(put_exports, document, "mill", exports(1, ("one", "/b/"), ("one", "/a/")))
    assert clash.status == 409 and "exports[1].prefix" in clash.reason[0]
    beyond = refusal(put_exports, document, "mill", exports(1, ("two", "/b/")))
    assert beyond.status == 400 and "exports[0].host" in beyond.reason[0]
    assert refusal(put_exports, document, "nobody", exports(1)).status == 404
    # The very same grant again was taken before; another one under its number is not.
    assert grant_partner(document, "yard", grant()) == document
    assert refusal(grant_partner, document, "yard", grant(hosts=("two",))).status == 409
    withdrawn = withdraw_partner(document, "yard")
    assert refusal(grant_partner, withdrawn, "yard", grant()).status == 409


@pytest.mark.parametrize(
    "body, place",
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
def test_bad_words_are_refused_with_their_place(body, place):
    with pytest.raises(ExceptionGroup) as caught:
        read_exports(body)
    assert any(place in fault.reason for fault in caught.value.exceptions)


def test_a_credential_is_never_shown():
    held = grant().credential
    assert SECRET not in held
    assert is_credential(SECRET, held) and not is_credential("another", held)
    with pytest.raises(ExceptionGroup) as caught:
        grant(credential=12345678901234567)
    assert "12345678901234567" not in str([fault.reason for fault in caught.value.exceptions])


PLACES = st.lists(
    st.tuples(st.sampled_from(["one", "two"]), st.sampled_from(["/", "/a/", "/a/b/", "/c/"])),
    unique=True,
    max_size=5,
)


@given(PLACES, st.sampled_from(["/", "/a", "/a/", "/a/b/c", "/c/x", "/d/"]), st.randoms())
def test_the_merged_table_finds_what_a_slow_model_finds_in_any_order(places, path, random):
    document = grant_partner(PartnersDocument({}), "yard", grant(hosts=("one", "two")))
    document = put_exports(document, "yard", exports(1, *places))
    shuffled = list(places)
    random.shuffle(shuffled)
    other = put_exports(
        grant_partner(PartnersDocument({}), "yard", grant(hosts=("two", "one"))),
        "yard",
        exports(1, *shuffled),
    )
    table = build_partner_table(1, document.pack())
    assert table.digest == build_partner_table(7, other.pack()).digest
    best = ""
    for host, prefix in places:
        if host == "one" and path.startswith(prefix) and len(prefix) > len(best):
            best = prefix
    found = table.find("one", path)
    assert (found.prefix if found else "") == best
