"""Tests of fetching all entries from another node that changes between two pages."""

import asyncio
import json
from functools import partial

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from structlog.testing import capture_logs

from lavenderstack.border.store_fake import FakeStore
from lavenderstack.core.entry import Change
from lavenderstack.core.relay_messages import ChangesReport, PageRequest
from lavenderstack.node import framing, relay_handlers, relay_links, wire
from lavenderstack.node.relay_state import RelayState

ADDR = ("other", 1)
SENT_AT = 100.0
KEYS = [f"lavenderstack/keys/{letter * 2}" for letter in "abcde"]
VALUE = json.dumps({"organisation": "o", "withdrawn": False}).encode()


class OtherNode:
    """A node that answers with one entry a page, and changes before some of them.

    ``before_page`` has what to do before a page is answered, by the page's number.
    """

    def __init__(self, store_id="1"):
        self.before_page, self.pages = {}, 0
        self.restart(store_id)

    def restart(self, store_id):
        self.relay, self.store_id = new_relay(None), store_id
        if store_id:
            self.apply([Change(key, VALUE, 2 + i) for i, key in enumerate(KEYS)])

    def apply(self, changes):
        last = max(change.revision for change in changes)
        self.relay.apply_changes(changes, last, self.store_id)

    def report(self, revision):
        return relay_handlers.build_report(self.relay, revision, SENT_AT)

    async def call(self, addr, body, timeout_s):
        assert isinstance(body, PageRequest)
        self.before_page.get(self.pages, lambda: None)()
        self.pages += 1
        page = relay_handlers.build_page(self.relay, body.after)
        more = page.more or len(page.entries) > 1
        return msgspec.structs.replace(page, entries=page.entries[:1], more=more)


def new_relay(pool):
    return RelayState("n1", "z1", FakeStore(), pool, clock=lambda: SENT_AT)


def full_report(store_id, revision):
    return ChangesReport(
        store_id=store_id,
        revision=revision,
        age_s=0.0,
        held_s=0.0,
        unreachable=False,
        reader=True,
        changes=None,
    )


async def apply_report(relay, report):
    return await relay_links.apply_report(relay, ADDR, report, SENT_AT, "z2")


class TestFetchAll:
    async def test_pages_of_one_store_do_not_prove_by_the_report_of_another(self):
        relay = new_relay(OtherNode("1"))
        assert not await apply_report(relay, full_report("2", 3))
        assert not relay.usable(SENT_AT)
        assert not relay.freshness.reports

    async def test_another_store_between_two_pages_is_refused_and_logged(self):
        other = OtherNode("1")
        other.before_page[2] = lambda: other.restart("2")
        relay = new_relay(other)
        with capture_logs() as lines:
            assert not await apply_report(relay, full_report("1", 3))
        assert not relay.snapshot.entries
        events = [line["event"] for line in lines]
        assert events == ["relay: entries of another store refused"]

    async def test_a_node_that_restarts_between_two_pages_is_no_other_store(self):
        other = OtherNode("1")
        other.before_page[2] = lambda: other.restart("")
        relay = new_relay(other)
        with capture_logs() as lines:
            assert not await apply_report(relay, full_report("1", 3))
        assert not relay.snapshot.entries
        assert not lines


class TestLargeEntries:
    def test_each_is_reached_in_frames_that_can_be_sent(self):
        """Guards against a follower that stalls at an entry longer than a page."""
        relay = new_relay(None)
        large = b"x" * 1_500_000
        changes = [Change(f"lavenderstack/x/{i}", large, 2 + i) for i in range(5)]
        relay.apply_changes(changes, 6, "1")
        assert relay_handlers.build_report(relay, 1, SENT_AT).changes is None
        after, keys = "", []
        while after != changes[-1].key:
            page = relay_handlers.build_page(relay, after)
            framing.encode(wire.Frame(1, True, page))
            keys += [entry.key for entry in page.entries]
            after = keys[-1]
        assert keys == [change.key for change in changes]


class StuckNode(OtherNode):
    """A node whose pages don't advance though it says that others follow."""

    def __init__(self, entries):
        super().__init__()
        self.entries = entries

    async def call(self, addr, body, timeout_s):
        self.pages += 1
        assert self.pages < 50, "asked for pages without end"
        page = relay_handlers.build_page(self.relay, "")
        entries = page.entries[: self.entries]
        return msgspec.structs.replace(page, entries=entries, more=True)


class TestPagesThatDoNotAdvance:
    @pytest.mark.parametrize("entries", [0, 1, 3])
    async def test_nothing_is_applied_and_another_node_is_asked(self, entries):
        other = StuckNode(entries)
        relay = new_relay(other)
        assert not await apply_report(relay, full_report("1", 3))
        assert other.pages <= 2
        assert not relay.snapshot.entries


PAGE_AND_CHANGE = st.tuples(
    st.integers(0, len(KEYS)), st.sampled_from(KEYS), st.sampled_from([VALUE, None])
)


class TestEntriesThatChangeBetweenPages:
    """The asker holds older entries, and some of the changes before it asks."""

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(
        st.lists(PAGE_AND_CHANGE, max_size=8),
        st.sets(st.integers(0, 7)),
        st.sets(st.sampled_from(KEYS)),
    )
    def test_none_is_lost_and_no_deleted_one_is_kept(self, changes, forwarded, held):
        asyncio.run(self._run(sorted(changes, key=lambda c: c[0]), forwarded, held))

    async def _run(self, changes, forwarded, held):
        other = OtherNode("1")
        relay = new_relay(other)
        relay.apply_listing([Change(key, VALUE, 1) for key in held], 1, "1")
        made = []
        for index, (page, key, value) in enumerate(changes):
            made.append(Change(key, value, 10 + index))
            if index in forwarded:
                relay.apply_changes([made[-1]], 0, "1")
            other.before_page[page] = partial(other.apply, list(made))
        assert await apply_report(relay, full_report("1", 6))
        other.apply([Change("lavenderstack/last", b"", 20), *made])
        while relay.snapshot.revision < 20:
            assert await apply_report(relay, other.report(relay.snapshot.revision))
        assert dict(relay.snapshot.entries) == dict(other.relay.snapshot.entries)
        assert relay.view.keys == other.relay.view.keys
