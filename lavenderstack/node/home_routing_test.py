"""Tests of home regions and cold targets at the entry node."""

import pytest

from lavenderstack.core import clock
from lavenderstack.core.catalog import Catalog, GroupLimits
from lavenderstack.core.outcome import Reason
from lavenderstack.core.statement import Statement, StatementKind
from lavenderstack.core.targets.cold_start import ColdLimits
from lavenderstack.core.view import Plan, Vm
from lavenderstack.core.work_messages import Access, TransactionStart, WorkDone
from lavenderstack.node.call import TransactionLocation
from lavenderstack.node.dispatch_test import DispatcherHarness
from lavenderstack.node.streams import NotSent

READ = Statement(StatementKind.READ, "READ a")
WRITE = Statement(StatementKind.WRITE, "WRITE a b", writes=True)


def at_home(harness, *homes, regions=("r1", "r2", "r3"), version=2):
    """Give the organisation home regions; zones 1 to 3 are in ``regions``."""
    plan = Plan("org", 1, 1, home_regions=homes)
    limits = GroupLimits(30, False, cold_rate=2.0, cold_s=5.0)
    catalog = Catalog(version=version, plans={"org": plan}, groups={"g": limits})
    harness.directory.update_catalog(catalog)
    zones = ("z1", "z2", "z3")
    harness.directory.regions = dict(zip(zones, regions, strict=True))
    return harness


class TestHomes:
    @pytest.mark.parametrize("home", ["r2", "r3"])
    async def test_reads_stay_in_the_home_regions(self, home):
        harness = at_home(DispatcherHarness(), home)
        for _ in range(10):
            assert isinstance(await harness.run(READ, Access.AGED_READ), WorkDone)
        number = home[1]
        assert set(harness.targets) == {f"t{number}"}
        vms = harness.directory.view.vms
        zones = {vms[name].zone for name in harness.nodes}
        assert zones <= {f"z{number}", "z1"}

    @pytest.mark.parametrize(
        ("home", "statement", "access", "reason"),
        [
            ("r2", WRITE, Access.WRITE, Reason.OUTSIDE_HOMES),
            ("r9", READ, Access.AGED_READ, Reason.OUTSIDE_HOMES),
            ("r3", READ, Access.AGED_READ, Reason.EVACUATED),
        ],
    )
    async def test_what_nothing_at_home_can_run_is_refused_at_once(
        self, home, statement, access, reason
    ):
        harness = at_home(DispatcherHarness(), home)
        harness.directory.put_evacuation("z3", 50)
        began_at = clock.now()
        answer = await harness.run(statement, access)
        assert (answer.run, answer.reason) == (False, reason)
        assert answer.retry_after_s > 0
        assert clock.now() - began_at < 0.1
        assert harness.asked == []

    @pytest.mark.parametrize(
        ("regions", "holders"),
        [(("r1", "r2", "r2"), {"n1", "n3", "n4"}), (("r1", "r2", "r3"), {"n1"})],
    )
    async def test_without_a_node_in_the_zone_others_at_home_or_the_entry_are_used(
        self, regions, holders
    ):
        """Guards against a statement that is forwarded through another region."""
        harness = DispatcherHarness(t2=NotSent("no stream"))
        at_home(harness, "r2", regions=regions)
        harness.directory.drop_member("n2")
        for number in range(5, 9):
            harness.directory.put_member(Vm(f"n{number}", "z1", "10.0.0.1", number))
        for _ in range(10):
            await harness.run(READ, Access.AGED_READ, opens=TransactionStart.READ_ONLY)
        asked = zip(harness.targets, harness.nodes, strict=True)
        nodes = {node for target, node in asked if target == "t2"}
        assert nodes
        assert nodes <= holders

    async def test_an_open_transaction_is_not_continued_outside(self):
        harness = at_home(DispatcherHarness(), "r1")
        call = harness.call(WRITE, Access.WRITE, TransactionStart.NONE, 60.0)
        for node, target in (("n2", "t1"), ("n1", "t2")):
            location = TransactionLocation(node, target)
            answer = await harness.dispatcher.run_in_transaction(call, location, "tx")
            assert (answer.run, answer.reason) == (False, Reason.OUTSIDE_HOMES)
        assert harness.asked == []


class TestColdTargets:
    def cold(self, *names):
        harness = at_home(DispatcherHarness())
        harness.directory.cold_limits = ColdLimits(excess=1.5, slack=5.0)
        for name in names:
            state = harness.directory.targets[name]
            harness.directory.put_target(
                state.target, "g", False, state.leads, 20, 0, 60.0
            )
        return harness

    async def test_a_read_goes_to_a_warm_target(self):
        harness = self.cold("t1", "t3")
        for _ in range(10):
            await harness.run(READ, Access.AGED_READ, wrote_s_ago=0.0)
        assert set(harness.targets) == {"t2"}

    async def test_only_the_first_choice_is_asked_and_once(self):
        """A second read beside the first would count towards the limit as well."""
        harness = self.cold("t1")
        harness.answers["t1"] = 0.4
        await harness.run(READ, Access.CURRENT_READ)
        first = harness.peers.first_choice(harness.directory.targets["t1"].target)
        assert harness.nodes == [first.name]
        harness.peers.suspect(first.name)
        await harness.run(WRITE, Access.WRITE)
        assert harness.nodes == [first.name] * 2
