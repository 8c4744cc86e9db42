"""Tests of the limit of cold targets over changes of who is the first choice."""

import math
import tracemalloc

import pytest
from hypothesis import example, given, seed, settings
from hypothesis import strategies as st

from lavenderstack.core.targets import cold_start
from lavenderstack.core.targets.cold_start import ColdLimits, FirstChoice, SendWindow

LIMITS = ColdLimits(excess=1.5, slack=1.0)
RATE = 6.0
TOTAL = 10
STEP_S = 0.25
STEPS = 60
NODES = 3


class Node:
    """A node with its own copy of who is first, which it updates when in contact."""

    def __init__(self):
        self.first = FirstChoice()
        self.window = SendWindow()
        self.held = 0
        self.is_first = False
        self.changed_at = -math.inf
        self.proof_at = -math.inf

    def learn(self, is_first, now):
        if is_first != self.is_first:
            self.changed_at = now
        self.is_first = is_first
        self.proof_at = now
        self.first.observe(is_first, self.changed_at, now)

    def _may_send(self, now):
        since = self.first.observe(self.is_first, self.changed_at, now)
        if since is None:
            return False
        at = cold_start.may_send_from(since, now - self.proof_at)
        return at is not None and now >= at

    def prepare(self, now):
        """Take a permit for a statement that is sent later; return whether it may."""
        limit = LIMITS.for_node(RATE)
        taken = self._may_send(now) and self.window.take(limit, now)
        self.held += taken
        return taken

    def send(self, now):
        """Send all that is prepared, and as much as is allowed; return how many."""
        while self.prepare(now):
            pass
        sent = 0
        while self.held:
            self.held -= 1
            if self._may_send(now):
                self.window.record_sent(now)
                sent += 1
            else:
                self.window.give_back()
        return sent


def most_in_a_second(sent):
    """Return the most statements in any one second, both ends included."""
    return max(
        (sum(n for at, n in sent if 0 <= at - start <= 1.0) for start, _ in sent),
        default=0,
    )


# Steps after which the next node becomes first, and that node.
CHANGES = st.lists(st.tuples(st.integers(1, 16), st.integers(0, NODES - 1)), max_size=8)
# Steps without contact, for each node: the first one and how many.
OUTAGES = st.lists(
    st.tuples(st.integers(0, STEPS), st.integers(1, 14)), min_size=NODES, max_size=NODES
)


def play(changes, outages):
    """Let all nodes send whenever they may; return what was sent when, by node.

    A node in contact knows at once who is first.
    """
    nodes = [Node() for _ in range(NODES)]
    begin, first = {}, 0
    at = 0
    for steps, node in changes:
        at += steps
        begin[at] = node
    sent = [[] for _ in nodes]
    for step in range(STEPS):
        now = 100.0 + step * STEP_S
        first = begin.get(step, first)
        for number, node in enumerate(nodes):
            start, length = outages[number]
            if not start <= step < start + length:
                node.learn(first == number, now)
            sent[number].append((now, node.send(now)))
    return sent


class TestAllNodesTogether:
    """Guards against a burst of several nodes that each keep their own limit."""

    @seed(20261204)
    @settings(max_examples=300, deadline=None, database=None)
    # The first node misses that it was not first for a while, the second that it isn't
    # any more.
    @example([(30, 1), (8, 0)], [(29, 10), (38, 10), (0, 1)])
    # Each change is missed by the node that was first.
    @example([(24, 1), (5, 2)], [(24, 10), (29, 10), (0, 1)])
    @given(CHANGES, OUTAGES)
    def test_they_never_exceed_the_limit(self, changes, outages):
        sent = play(changes, outages)
        assert most_in_a_second([one for node in sent for one in node]) <= TOTAL

    @pytest.mark.parametrize("missed_s", [0.0, 1.0, 2.5, 60.0])
    def test_two_holders_during_a_change_of_the_ring(self, missed_s):
        """The first one stops when its proof is too old; the next one waits for it."""
        missed = round(missed_s / STEP_S)
        before, after, _ = play([(28, 1)], [(28, missed), (0, 0), (0, 0)])
        assert most_in_a_second(before + after) <= TOTAL // 2
        # Both use what they may while they may.
        assert sum(count for _, count in before) >= 3 * TOTAL // 2
        assert sum(count for _, count in after) >= 3 * TOTAL // 2


class TestSendWindow:
    def test_a_statement_counts_from_when_it_is_sent_not_prepared(self):
        """Statements that waited for a connection would else be sent all at once."""
        window = SendWindow()
        assert window.take(1, 10.0)
        assert not window.take(1, 12.0)
        window.record_sent(12.0)
        assert not window.take(1, 13.0)
        assert window.take(1, 13.1)

    def test_a_huge_limit_takes_no_memory_and_raises_no_error(self):
        """One list entry for each permit made every wait as slow as the limit is high.

        An infinite limit raised an error, which ended the sweep of a node's targets.
        """
        assert ColdLimits(excess=1.5, slack=1.0).for_node(1.7e308) is None
        window = SendWindow()
        tracemalloc.start()
        assert window.expected_at(10**6, 10**6 - 1, 10.0) == 10.0
        assert window.expected_at(10**6, 10**6, 10.0) == 10.0 + cold_start.WINDOW_S
        assert tracemalloc.get_traced_memory()[1] < 10_000
        tracemalloc.stop()

    @pytest.mark.parametrize(("limit", "ahead"), [(2, 0), (2, 1), (4, 2), (5, 9)])
    def test_permits_are_expected_as_they_become_free(self, limit, ahead):
        window = SendWindow()
        for at in (10.0, 10.2, 10.4):
            window.take(3, at)
            window.record_sent(at)
        free_at = [10.6] * (limit - 3) + [11.05, 11.25, 11.45]
        waits = ahead // limit * cold_start.WINDOW_S
        expected = free_at[-limit:][ahead % limit] + waits
        assert window.expected_at(limit, ahead, 10.6) == pytest.approx(expected)
