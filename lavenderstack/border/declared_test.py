"""Tests of translating the operators' lists: what nodes refuse is an error."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lavenderstack.border import declared, documents
from lavenderstack.core import keys
from lavenderstack.core.config.config_check import check
from lavenderstack.core.config.config_diff import compare
from lavenderstack.core.config.declared_config import Severity
from lavenderstack.core.documents import EMPTY, apply
from lavenderstack.core.entry import Change

SECRET = "a-key-that-must-not-be-shown"
DIGEST = keys.digest_of(SECRET)
TARGET = {"name": "t", "zone": "z", "host": "10.0.0.1", "port": 1, "slots": 5}
LISTS = {
    "plans": {"gold": {"rate": 5, "burst": 6}},
    "bought": {"o1": "gold"},
    "groups": {
        "g": {"targets": [TARGET | {"connections": 9}], "organisations": ["o1"]}
    },
    "keys": {DIGEST: {"organisation": "o1"}},
}


def translate(document):
    return declared.translate(document, b"")


def errors_of(document):
    found = translate(document)[1]
    return {f.place.text for f in found if f.severity is Severity.ERROR}


def replaced(document, path, value):
    """Return a copy of a document with another value at a path."""
    if not path:
        return value
    part, *rest = path
    copy = list(document) if isinstance(document, list) else dict(document)
    copy[part] = replaced(document[part], rest, value)
    return copy


def paths(document, prefix=()):
    yield prefix
    items = document.items() if isinstance(document, dict) else ()
    for name, child in enumerate(document) if isinstance(document, list) else items:
        yield from paths(child, (*prefix, name))


VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([10**400, -1, 0, 1e308, "", " ", "x/y", "a" * 300, "5"])
    | st.floats()
    | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5) | st.sampled_from(["g", "keys"]), inner)
    ),
    max_leaves=6,
)


def altered(document):
    """Draw the document with one or two values replaced by arbitrary ones."""
    once = st.builds(
        replaced, st.just(document), st.sampled_from([*paths(document)][1:]), VALUES
    )
    return once | once.flatmap(
        lambda new: st.builds(
            replaced, st.just(new), st.sampled_from([*paths(new)][1:]), VALUES
        )
    )


def keys_by_digest(entries):
    """Return keys as they are stored, also from what ``admin keys list`` prints."""
    rows = entries.get("keys") if entries.keys() <= {"keys", "revision"} else None
    if not isinstance(rows, list):
        return entries
    return {row.get("digest") if isinstance(row, dict) else "": row for row in rows}


def refused_by_nodes(document):
    """Return the lists that a node's parser refuses when they are stored."""
    stored = {
        ("lavenderstack/plans", "plans"): document["plans"],
        ("lavenderstack/bought", "bought"): document["bought"],
    }
    for name in ("groups", "keys"):
        entries = document[name]
        if not isinstance(entries, dict):
            return None
        entries = keys_by_digest(entries) if name == "keys" else entries
        for entry, value in entries.items():
            stored[f"lavenderstack/{name}/{entry}", name] = value
    refused = set()
    for (key, name), value in stored.items():
        change = Change(key, json.dumps(value).encode(), 1)
        if apply(EMPTY, [change], 0, "1", documents.parse).rejected:
            refused.add(name)
    return refused


class TestErrors:
    @pytest.mark.parametrize(
        ("path", "value", "where"),
        [
            (["plans", "gold", "rate"], -1, "plans.gold.rate"),
            (["bought", "o1"], 5, "bought.o1"),
            (["groups", "g", "targets"], [], "groups.g.targets"),
            (["groups"], {"a b": LISTS["groups"]["g"]}, "groups.a b"),
            (["keys"], {"aa": {"organisation": "o1"}}, "keys[0]"),
            (["keys"], {"keys": {"organisation": "o1"}}, "keys[0]"),
            (["keys"], {"keys": [{"digest": "aa"}]}, "keys.keys[0]"),
            (["plans"], None, "plans"),
        ],
    )
    def test_a_refused_value_is_the_only_finding(self, path, value, where):
        """Conclusions from a list with errors would send operators astray."""
        cfg, findings = translate(replaced(LISTS, path, value))
        assert [finding.place.text for finding in findings] == [where]
        assert check(cfg) == []

    def test_a_misspelt_field_is_a_warning(self):
        group = LISTS["groups"]["g"] | {"organisation": ["o1"]}
        (finding,) = translate(LISTS | {"groups": {"g": group}})[1]
        assert (finding.code, finding.severity) == ("unknown-field", Severity.WARNING)

    def test_lists_are_read_as_the_admin_command_shows_them(self):
        group = {"revision": 4, "entries": LISTS["groups"]["g"] | {"change_id": "c"}}
        row = {"digest": DIGEST, "organisation": "o1", "withdrawn": False}
        shown = {
            "plans": {"revision": 7, "entries": LISTS["plans"]},
            "groups": {"g": group},
            "keys": {"revision": 9, "keys": [row]},
        }
        cfg, findings = translate(LISTS | shown)
        assert (findings, check(cfg), cfg.revisions) == ([], [], {"plans": 7})
        assert compare(translate(LISTS)[0], cfg) == []


class TestAnyDocument:
    def test_a_listing_of_no_keys_is_taken(self):
        assert errors_of(LISTS | {"keys": {"keys": []}}) == set()
        assert refused_by_nodes(LISTS | {"keys": {"keys": []}}) == set()

    def test_keys_beside_a_listing_are_not_passed_over(self):
        keys = {"keys": [], DIGEST: {"organisation": 5}}
        assert errors_of(LISTS | {"keys": keys})
        assert refused_by_nodes(LISTS | {"keys": keys}) == {"keys"}

    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(altered(LISTS), altered(LISTS))
    def test_no_document_raises_and_valid_ones_are_taken(self, first, second):
        declared_first, declared_second = translate(first)[0], translate(second)[0]
        check(declared_first)
        compare(declared_first, declared_second)
        bad = {place.partition(".")[0].partition("[")[0] for place in errors_of(first)}
        if refused := refused_by_nodes(first):
            assert refused <= bad
