"""Tests of the changes that a node keeps for the nodes that ask it."""

from lavenderstack.platform.recent_changes import MAX_RECENT_B, RecentChanges
from lavenderstack.platform.store import Item

LARGE = "A" * 1_400_000  # a value of 1 MiB in base64


def kept_b(recent):
    return sum(len(item.value) for item in recent._recent)


class TestSize:
    """Five hundred large values would take more than a node's memory."""

    def test_the_oldest_changes_are_dropped_and_asked_for_as_a_whole(self):
        entries = {}
        recent = RecentChanges(entries)
        for rev in range(1, 60):
            entries["op/x"] = Item("op/x", rev, LARGE)
            recent.record(entries["op/x"])
            assert kept_b(recent) <= MAX_RECENT_B
        oldest = recent._recent[0].rev
        items, whole = recent.since(oldest - 1)
        assert [item.rev for item in items] == list(range(oldest, 60))
        assert not whole
        items, whole = recent.since(oldest - 2)
        assert (list(items), whole) == ([entries["op/x"]], True)

    def test_a_single_larger_change_is_passed_on(self):
        recent = RecentChanges({})
        recent.record(Item("op/x", 1, "A"))
        recent.record(Item("op/x", 2, "A" * (MAX_RECENT_B + 1)))
        items, whole = recent.since(1)
        assert ([item.rev for item in items], whole) == ([2], False)

    def test_a_listing_counts_as_well(self):
        entries = {f"op/{i}": Item(f"op/{i}", 5 + i, LARGE) for i in range(20)}
        recent = RecentChanges(entries)
        recent.begin_after_listing(4)
        assert kept_b(recent) <= MAX_RECENT_B
        assert recent.since(4)[1]
        assert not recent.since(24)[1]

    def test_more_changes_than_are_kept_while_pages_are_read(self):
        """The first of them were missing from what other nodes were sent."""
        entries = {f"op/{i}": Item(f"op/{i}", 5 + i) for i in range(600)}
        recent = RecentChanges(entries)
        recent.begin_after_listing(4)
        items, whole = recent.since(4)
        assert (len(items), whole) == (600, True)
