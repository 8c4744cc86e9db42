"""Tests of the rate over all nodes, with allotters that don't know of each other."""

from bisect import bisect_left

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lavenderstack.core.attachment import (
    ATTACHED_S,
    CHANGE_S,
    AttachedNodes,
    Attachment,
    CoordinatorState,
)
from lavenderstack.core.coordinator_quota import (
    CoordinatorQuota,
    FallbackQuota,
    PrefetchedTokens,
    first_tokens,
)
from lavenderstack.core.members import SUSPECT_FOR_S
from lavenderstack.core.view import Plan

PLAN = Plan("org", rate=60.0, burst=60.0)
NODES = 6
STEP_S = 0.05
WINDOW_S = 5.0


def allowed(plan):
    """Return what the platform allows in a window."""
    return (plan.rate * WINDOW_S + plan.burst) * 1.1 + 20


def stay(allotment, node, nodes, start, end):
    """Let a node ask again and again from one moment to another."""
    for step in range(1 + round((end - start) / STEP_S)):
        allotment.attach(node, nodes, start + step * STEP_S)


class Fleet:
    """Entries that want as much as they can get, and two allotters."""

    def __init__(self):
        self.now = 0.0
        self.allotters = {"a": CoordinatorQuota(), "b": CoordinatorQuota()}
        self.attachments = [Attachment() for _ in range(NODES)]
        self.own = [FallbackQuota() for _ in range(NODES)]
        self.silent_until = [0.0] * NODES
        self.admitted = []

    def step(self, chosen):
        """Let each entry ask the allotter that it believes in."""
        self.now += STEP_S
        for number, name in enumerate(chosen):
            self.admitted += [self.now] * self.draw(number, name)

    def draw(self, number, name, present=CoordinatorState.SILENT):
        """Ask ``name``, as far as the entry may.

        The question is lost where ``-`` stands before the name, and the answer where it
        stands after it; one that gave no answer is passed over for a while.
        """
        attachment = self.attachments[number]
        if name is None or self.now < self.silent_until[number]:
            return self.own_part(number)
        first = name.strip("-")
        if not attachment.allotter:
            present = CoordinatorState.ENDED
        if attachment.should_detach(first, present, self.now):
            self.allotters[attachment.allotter].detach(f"n{number}", NODES, self.now)
            attachment.record_detached()
        chosen = attachment.choose(first, present, self.now)
        if not chosen:
            return self.own_part(number)
        attachment.ask(chosen, self.now)
        if name.startswith("-"):
            attachment.record_not_sent(chosen)
            return self.own_part(number)
        attachment.record_sent()
        allotment = self.allotters[chosen]
        allotment.attach(f"n{number}", NODES, self.now)
        if name.endswith("-"):
            self.silent_until[number] = self.now + SUSPECT_FOR_S
            return self.own_part(number)
        return allotment.draw("org", PLAN, 3, NODES, self.now, prefetch=2).tokens

    def own_part(self, number):
        return self.own[number].take("org", PLAN, NODES, self.now).tokens

    def most_in_a_window(self):
        times = self.admitted
        ends = (bisect_left(times, at + WINDOW_S) for at in times)
        return max((end - start for start, end in enumerate(ends)), default=0)


class TestRate:
    def test_all_of_the_rate_can_be_used(self):
        fleet = Fleet()
        for _ in range(400):
            fleet.step(["a"] * NODES)
        later = [t for t in fleet.admitted if t > 10.0]
        assert len(later) >= 0.96 * PLAN.rate * 10.0

    def test_one_allotter_never_passes_the_plan(self):
        fleet = Fleet()
        for _ in range(300):
            fleet.step(["a"] * NODES)
        assert fleet.most_in_a_window() <= allowed(PLAN)

    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(10, 120),
                st.lists(st.sampled_from(["a", "b", None]), min_size=6, max_size=6),
            ),
            min_size=1,
            max_size=6,
        )
    )
    def test_entries_that_disagree_on_the_allotter_never_pass_it(self, phases):
        fleet = Fleet()
        for steps, chosen in phases:
            for _ in range(steps):
                fleet.step(chosen)
        assert fleet.most_in_a_window() <= allowed(PLAN)

    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(2, 80),
                st.lists(
                    st.tuples(
                        st.sampled_from(["a", "b", "-a", "-b", "a-", "b-", None]),
                        st.sampled_from(
                            [CoordinatorState.SERVES, CoordinatorState.SILENT]
                        ),
                    ),
                    min_size=6,
                    max_size=6,
                ),
            ),
            min_size=1,
            max_size=8,
        )
    )
    def test_nor_do_entries_whose_questions_and_answers_get_lost(self, phases):
        fleet = Fleet()
        for steps, chosen in phases:
            for _ in range(steps):
                fleet.now += STEP_S
                for number, (name, present) in enumerate(chosen):
                    drawn = fleet.draw(number, name, present)
                    fleet.admitted += [fleet.now] * drawn
        assert fleet.most_in_a_window() <= allowed(PLAN)

    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.integers(1, 60), min_size=1, max_size=4), st.booleans())
    def test_a_planned_change_never_passes_it(self, phases, told):
        """Allotters that leave one after the other, each known to do so or not."""
        fleet = Fleet()
        present = CoordinatorState.LEAVING if told else CoordinatorState.SERVES
        for phase, steps in enumerate(phases):
            for _ in range(steps + 50 * (not told)):
                fleet.now += STEP_S
                for number in range(NODES):
                    drawn = fleet.draw(number, "ab"[phase % 2], present)
                    fleet.admitted += [fleet.now] * drawn
        assert fleet.most_in_a_window() <= allowed(PLAN)

    def test_a_lowered_limit_binds_at_once(self):
        allotment = CoordinatorQuota()
        allotment.attach("n1", 1, 0.0)
        allotment.draw("org", PLAN, 5, 1, 0.0)
        smaller = Plan("org", rate=2.0, burst=2.0)
        drawn = 0
        for step in range(1, 100):
            allotment.attach("n1", 1, step * 0.1)
            drawn += allotment.draw("org", smaller, 5, 1, step * 0.1).tokens
        # One start of unknown state, and two a second over ten seconds.
        assert drawn <= first_tokens(smaller) + 2.0 * 10


class TestAllotment:
    def test_a_node_that_stopped_asking_takes_its_part_along(self):
        attached = AttachedNodes()
        attached.note("n1", 4, 0.0)
        attached.note("n2", 4, 0.0)
        assert attached.attached_fraction(4) == 0.5
        attached.note("n1", 4, ATTACHED_S)
        attached.advance(4, ATTACHED_S + 0.1)
        assert attached.attached_fraction(4) == 0.25

    def test_it_counts_to_the_moment_at_which_it_ended(self):
        attached = AttachedNodes()
        attached.note("n1", 2, 0.0)
        attached.note("n2", 2, 0.0)
        attached.advance(2, 100.0)
        assert attached.filled_s == pytest.approx(ATTACHED_S)

    def test_one_that_takes_leave_counts_no_longer(self):
        attached = AttachedNodes()
        attached.note("n1", 1, 0.0)
        attached.drop("n1", 1, 0.1)
        attached.advance(1, 100.0)
        assert attached.filled_s == pytest.approx(0.1)

    def test_nothing_accrues_while_nobody_is_attached(self):
        """Found by the test of planned changes: 419 of 416 allowed."""
        allotment = CoordinatorQuota()
        allotment.attach("n1", 1, 0.0)
        allotment.draw("org", PLAN, 100, 1, 0.0)
        allotment.detach("n1", 1, 0.0)
        allotment.attach("n1", 1, 100.0)
        assert allotment.draw("org", PLAN, 100, 1, 100.0).tokens == 0

    def test_a_refusal_tells_when_a_token_will_be_there(self):
        allotment = CoordinatorQuota()
        allotment.attach("n1", 1, 0.0)
        plan = Plan("org", rate=10.0, burst=1.0)
        allotment.draw("org", plan, 50, 1, 0.0)
        granted = allotment.draw("org", plan, 1, 1, 0.0)
        assert granted.tokens == 0
        assert 0.0 < granted.retry_after_s <= 0.1 + 1e-9

    def test_an_organisation_at_its_limit_gets_no_tokens_ahead(self):
        """Found on brandt quiet-1: tokens drawn ahead ended unused."""
        allotment = CoordinatorQuota()
        allotment.attach("n1", 1, 0.0)
        plan = Plan("org", rate=10.0, burst=10.0)
        granted = allotment.draw("org", plan, 1, 1, 0.0, prefetch=50)
        assert granted.tokens == 1
        stay(allotment, "n1", 1, 0.0, 10.0)
        full = allotment.draw("org", plan, 1, 1, 10.0, prefetch=50)
        assert full.tokens == 5

    def test_after_a_start_callers_are_not_refused_what_is_theirs(self):
        """Found on lipa scale-1: buckets began with a seventh of a few tokens."""
        allotment = CoordinatorQuota()
        allotment.attach("n1", 1, 0.0)
        assert allotment.draw("org", PLAN, 100, 7, 0.0).tokens >= 10


class TestReserve:
    """One record, which only the allotter that owns it may change."""

    def allotter(self, now, full=True):
        made = CoordinatorQuota()
        made.attach("n1", 1, now)
        made.create_buckets({"org": PLAN})
        if full:
            stay(made, "n1", 1, now, now + 5.0)
        return made

    def test_a_successor_starts_with_what_was_reserved(self):
        """Found on lipa trouble-2: after a restart callers were refused their own."""
        first = self.allotter(0.0)
        recorded = first.update_reserves({"org": PLAN}, 1, 5.0)
        second = self.allotter(10.0, full=False)
        second.adopt_reserve(recorded, 1, 10.0)
        assert second.draw("org", PLAN, 100, 1, 10.0).tokens >= 0.6 * PLAN.burst

    def test_what_is_reserved_is_not_handed_out_before_it_is_withdrawn(self):
        first = self.allotter(0.0)
        recorded = first.update_reserves({"org": PLAN}, 1, 5.0)["org"]
        granted = first.draw("org", PLAN, 100, 1, 5.0)
        assert granted.tokens <= PLAN.burst - recorded
        assert first.needs_reserve("org", 1)
        first.reserved.pop("org")
        assert first.draw("org", PLAN, 100, 1, 5.0).tokens >= recorded - 1

    def test_a_small_burst_is_not_reserved(self):
        """Found at 73 nodes: the record changed with each operation."""
        first = CoordinatorQuota()
        first.attach("n1", 1, 0.0)
        small = {"org": Plan("org", 3.0, 3.0)}
        first.create_buckets(small)
        stay(first, "n1", 1, 0.0, 5.0)
        assert first.update_reserves(small, 1, 5.0) == {}

    def test_one_that_was_withdrawn_is_left_alone_for_a_while(self):
        first = self.allotter(0.0)
        assert first.update_reserves({"org": PLAN}, 1, 5.0) != {}
        first.withdraw("org", 5.0)
        assert first.update_reserves({"org": PLAN}, 1, 6.0) == {}
        assert first.update_reserves({"org": PLAN}, 1, 16.0) != {}

    def test_one_that_was_overtaken_counts_its_reserve_as_spent(self):
        first = self.allotter(0.0)
        first.update_reserves({"org": PLAN}, 1, 5.0)
        before = first.buckets["org"].level
        first.adopt_reserve({}, 1, 5.0)
        assert first.buckets["org"].level <= before - 0.6 * PLAN.burst

    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 150), st.integers(0, 40), st.integers(1, 6))
    def test_a_death_never_lets_a_window_pass_the_plan(self, alive, calm, wanted):
        now, admitted = 0.0, []
        first = self.allotter(now, full=False)
        recorded = {}
        for step in range(calm * 10 + alive):
            now += STEP_S
            first.attach("n1", 1, now)
            demand = wanted if step >= calm * 10 else 0
            if demand and first.needs_reserve("org", demand):
                recorded = {}
                first.withdraw("org", now)
            admitted += [now] * first.draw("org", PLAN, demand, 1, now).tokens
            if step % 20 == 0:
                recorded = first.update_reserves({"org": PLAN}, 1, now)
        second = self.allotter(now, full=False)
        second.adopt_reserve(recorded, 1, now)
        for _ in range(100):
            now += STEP_S
            second.attach("n1", 1, now)
            admitted += [now] * second.draw("org", PLAN, wanted, 1, now).tokens
        fleet = Fleet()
        fleet.admitted = admitted
        assert fleet.most_in_a_window() <= allowed(PLAN)


class TestAttachment:
    def attached(self, allotter="a", at=0.0):
        attachment = Attachment()
        attachment.ask(allotter, at)
        attachment.record_sent()
        return attachment

    def changed(self):
        """Return one that changed from ``a`` to ``b`` at 5 s."""
        attachment = self.attached()
        attachment.ask("b", 5.0)
        attachment.record_sent()
        return attachment

    def test_another_allotter_is_asked_only_after_the_first_forgot_us(self):
        attachment = self.changed()
        assert attachment.choose("b", CoordinatorState.SERVES, 5.5) == "b"
        assert attachment.choose("c", CoordinatorState.SILENT, 5.0 + CHANGE_S) == ""
        assert attachment.choose("c", CoordinatorState.SILENT, 5.01 + CHANGE_S) == "c"

    def test_one_that_has_ended_is_left_as_soon_as_it_forgot_us(self):
        attachment = self.attached()
        chosen = attachment.choose("b", present=CoordinatorState.ENDED, now=ATTACHED_S)
        assert chosen == ""
        chosen = attachment.choose(
            "b", present=CoordinatorState.ENDED, now=ATTACHED_S + 0.01
        )
        assert chosen == "b"

    def test_one_that_serves_is_kept_until_it_may_be_left(self):
        """Found on grown scale-1: the own part was used beside an allotter."""
        attachment = self.changed()
        assert attachment.choose("a", CoordinatorState.SERVES, 5.1 + ATTACHED_S) == "b"

    def test_one_that_was_told_is_left_at_once(self):
        attachment = self.changed()
        assert attachment.should_detach("c", CoordinatorState.SERVES, 5.01 + CHANGE_S)
        assert not attachment.should_detach(
            "c", CoordinatorState.SERVES, 5.0 + CHANGE_S
        )
        assert not attachment.should_detach(
            "b", CoordinatorState.SERVES, 5.01 + CHANGE_S
        )
        assert not attachment.should_detach(
            "c", CoordinatorState.SILENT, 5.01 + CHANGE_S
        )
        assert attachment.should_detach("c", CoordinatorState.LEAVING, 5.1)
        attachment.record_detached()
        assert attachment.choose("c", CoordinatorState.LEAVING, 5.1) == "c"

    def test_a_question_that_never_left_attaches_to_nobody(self):
        """Found on grown scale-1: dead allotters were kept for 2.5 s each."""
        attachment = self.attached()
        attachment.ask("b", 1.0)
        attachment.record_not_sent("b")
        assert attachment.choose("c", CoordinatorState.ENDED, 1.0) == "c"

    def test_the_first_allotter_is_no_change(self):
        """Found on grown scale-1: nodes that had just started were locked to one."""
        attachment = self.attached(at=10.0)
        chosen = attachment.choose(
            "b", CoordinatorState.SILENT, 10.0 + ATTACHED_S + 0.01
        )
        assert chosen == "b"

    def test_a_silent_one_that_may_not_be_left_is_probed(self):
        attachment = self.changed()
        assert attachment.choose("c", CoordinatorState.SILENT, 6.0) == ""
        assert attachment.choose("c", CoordinatorState.SILENT, 6.0, probing=True) == "b"

    def test_one_that_may_have_arrived_does(self):
        attachment = self.attached()
        attachment.ask("b", 5.0)
        attachment.record_sent()
        attachment.ask("b", 5.1)
        attachment.record_not_sent("b")
        assert attachment.choose("c", CoordinatorState.SILENT, 5.2 + ATTACHED_S) == ""


class TestStock:
    def test_tokens_drawn_ahead_end(self):
        stock = PrefetchedTokens(tokens=3, expires_at=1.0)
        assert stock.take(0.9)
        assert not stock.take(1.1)
        assert stock.tokens == 0
