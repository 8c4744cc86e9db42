"""Tests of building the view: no older revisions and no invalid documents."""

import json
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lavenderstack.border.documents import parse
from lavenderstack.core import documents
from lavenderstack.core.documents import EMPTY, StoreChanged, apply, apply_listing
from lavenderstack.core.entry import Change
from lavenderstack.core.view import Key, Ownership, Plan

PREFIXES = documents.PREFIXES


def put(key, value, revision):
    return Change(key, json.dumps(value).encode(), revision)


def key_change(revision, withdrawn=False, name="aa"):
    value = {"organisation": "o1", "withdrawn": withdrawn}
    return put(f"lavenderstack/keys/{name}", value, revision)


def apply_changes(*changes, snapshot=EMPTY, revision=0, store_id="1"):
    return apply(snapshot, changes, revision, store_id, parse)


class TestDocuments:
    def test_each_kind_of_document_sets_its_field(self):
        target = dict(name="t", zone="z", host="h", port=1, slots=5, connections=9)
        group = {"targets": [target], "organisations": ["o1"]}
        vm = {"zone": "z", "host": "h", "port": 1}
        plans = {"entries": {"p": {"rate": 5, "burst": 6}}, "change_id": "c"}
        view = apply_changes(
            put("lavenderstack/plans", plans, 1),
            put("lavenderstack/bought", {"o1": "p"}, 2),
            key_change(3),
            put("lavenderstack/groups/g", group, 4),
            put("lavenderstack/duties/d", {"node": "n", "epoch": 2}, 5),
            put("lavenderstack/secrets/s", {"secret": "x" * 16}, 6),
            put("platform/vms/n", vm, 7),
            put("lavenderstack/other/thing", 1, 8),
        ).view
        assert view.plan_of("o1") == Plan("p", 5, 6)
        assert view.keys["aa"] == Key("aa", "o1")
        assert view.groups["g"].targets[0].connections == 9
        assert dict(view.duties) == {"d": Ownership("n", 2)}
        assert dict(view.secrets) == {"s": "x" * 16}
        assert [vm.name for vm in view.entry_vms()] == ["n"]
        assert view.revision == 8

    @pytest.mark.parametrize(
        ("path", "valid", "invalid"),
        [
            ("plans", {"p": {"rate": 5, "burst": 6}}, b"{"),
            ("plans", {"p": {"rate": 5, "burst": 6}}, b'{"p":{"rate":-1,"burst":1}}'),
            (
                "plans",
                {"p": {"rate": 5, "burst": 6}},
                b'{"p":{"rate":1e999,"burst":1}}',
            ),
            ("bought", {"o1": "p"}, b'["o1"]'),
            ("keys/aa", {"organisation": "o1"}, b"\xff\xfe"),
            ("duties/d", {"node": "n", "epoch": 1}, b'{"node":"n","epoch":0}'),
        ],
    )
    def test_an_invalid_document_keeps_the_previous_one_and_is_reported(
        self, path, valid, invalid
    ):
        name = f"lavenderstack/{path}"
        before = apply_changes(put(name, valid, 2))
        after = apply_changes(Change(name, invalid, 3), snapshot=before)
        field = documents.location_of(name).field
        assert getattr(after.view, field) == getattr(before.view, field) != {}
        assert [(r.key, r.revision) for r in after.rejected] == [(name, 3)]
        corrected = apply_changes(put(name, valid, 4), snapshot=after)
        assert corrected.rejected == ()


class TestRevisionOrder:
    @pytest.mark.parametrize(
        ("changes", "revision", "withdrawn"),
        [
            ([key_change(3, True), key_change(2, False)], 3, True),
            ([key_change(2, False), key_change(3, True)], 2, True),
            ([key_change(3, True), key_change(3, True)], 0, True),
            ([key_change(5, True), key_change(4, False)], 0, True),
        ],
    )
    def test_the_higher_revision_of_a_key_wins(self, changes, revision, withdrawn):
        snapshot = EMPTY
        for change in changes:
            snapshot = apply_changes(change, snapshot=snapshot, revision=revision)
        assert snapshot.view.keys["aa"].withdrawn is withdrawn

    def test_a_deleted_key_does_not_come_back(self):
        deleted = Change("lavenderstack/keys/aa", None, 4)
        snapshot = apply_changes(key_change(2), deleted)
        assert dict(apply_changes(key_change(3), snapshot=snapshot).view.keys) == {}

    def test_older_answers_of_a_restarted_store_change_nothing(self):
        snapshot = apply_changes(key_change(3), key_change(6, True), revision=6)
        after_listing = apply_listing(
            snapshot, PREFIXES, [key_change(3)], 5, "1", parse
        )
        assert after_listing is snapshot
        assert apply_changes(key_change(3), snapshot=snapshot, revision=5) is snapshot

    @pytest.mark.parametrize("store_id", ["2", ""])
    def test_changes_of_another_store_are_refused(self, store_id):
        snapshot = apply_changes(key_change(3), revision=3)
        with pytest.raises(StoreChanged):
            apply_changes(
                key_change(9, True), snapshot=snapshot, revision=9, store_id=store_id
            )
        with pytest.raises(StoreChanged):
            apply_listing(snapshot, PREFIXES, [], 9, store_id, parse)

    def test_a_listing_deletes_missing_entries_but_keeps_later_ones(self):
        snapshot = apply_changes(key_change(2), key_change(9, name="bb"), revision=2)
        after_listing = apply_listing(snapshot, PREFIXES, [], 5, "1", parse)
        assert set(after_listing.view.keys) == {"bb"}
        assert after_listing.revision == 5

    def test_deletions_before_a_listing_are_reported_as_unknown(self):
        after_listing = apply_listing(EMPTY, PREFIXES, [key_change(2)], 9, "1", parse)
        assert after_listing.changes_since(8) is None
        assert after_listing.changes_since(9) == ()
        late = key_change(5, name="bb")
        assert set(apply_changes(late, snapshot=after_listing).view.keys) == {"aa"}

    def test_discarded_deletions_are_reported_as_unknown(self, monkeypatch):
        monkeypatch.setattr(documents, "MAX_DELETIONS", 1)
        deleted = [Change(f"lavenderstack/keys/{n}", None, 10 + n) for n in range(3)]
        snapshot = apply_changes(*deleted, revision=12)
        assert snapshot.changes_since(10) is None
        assert [c.revision for c in snapshot.changes_since(11)] == [12]


@st.composite
def histories(draw):
    """Draw the changes of a store and a seed for the order of their delivery."""
    length = draw(st.integers(1, 12))
    changes = []
    for revision in range(2, 2 + length):
        name = draw(st.sampled_from(["aa", "bb", "cc"]))
        path = f"lavenderstack/keys/{name}"
        if draw(st.booleans()):
            changes.append(key_change(revision, draw(st.booleans()), name))
        else:
            changes.append(Change(path, None, revision))
    return changes, draw(st.integers(0, 2**32))


class TestAnyOrder:
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(histories())
    def test_a_delta_between_nodes_gives_the_same_view(self, history):
        """``changes_since`` completes a view that got some changes out of order."""
        changes, seed = history
        rng = random.Random(seed)
        cut = rng.randrange(len(changes) + 1)
        full = apply_changes(*changes, revision=changes[-1].revision)
        partial = apply_changes(
            *changes[:cut], revision=changes[cut - 1].revision if cut else 0
        )
        out_of_order = [c for c in changes if rng.random() < 0.5]
        rng.shuffle(out_of_order)
        for change in out_of_order:
            updated = apply_changes(change, snapshot=partial)
            assert updated.newest >= partial.newest
            partial = updated
        delta = full.changes_since(partial.revision)
        partial = apply_changes(*delta, snapshot=partial, revision=full.revision)
        assert partial.view.keys == full.view.keys
        assert partial.revision == full.revision


class TestChangesSince:
    @pytest.mark.parametrize("max_changes", [1, 3, 1000])
    @pytest.mark.parametrize("order", [1, -1])
    def test_changes_since_does_not_depend_on_how_many_are_kept(
        self, monkeypatch, max_changes, order
    ):
        monkeypatch.setattr(documents, "MAX_RECENT_CHANGES", max_changes)
        changes = [key_change(n, name=f"k{n % 4}") for n in range(2, 12)]
        changes.append(Change("lavenderstack/keys/k1", None, 12))
        snapshot = apply_changes(*changes[:3])
        for change in changes[3:][::order]:
            snapshot = apply_changes(change, snapshot=snapshot)
        latest = {change.key: change for change in changes}
        for revision in range(13):
            expected = [c for c in latest.values() if c.revision > revision]
            expected.sort(key=lambda change: change.revision)
            assert list(snapshot.changes_since(revision)) == expected
