"""Tests of moving primaries out of evacuated zones, and of not leading back in."""

from structlog.testing import capture_logs

from lavenderstack.core.catalog import Catalog, GroupLimits
from lavenderstack.core.statement import StatementKind
from lavenderstack.core.view import Target
from lavenderstack.node.failover.replacer_fake import ReplacerHarness


def obstacles(lines):
    return [line["obstacle"] for line in lines if "obstacle" in line]


class TestPlanned:
    async def test_a_replica_outside_takes_over_with_every_commit(self):
        harness = ReplacerHarness()
        await harness.check()
        harness.group.commit(harness.targets["t1"])
        harness.directory.put_evacuation("z1", 50)
        await harness.check()
        assert harness.primary != "t1"
        assert harness.group.incomplete == []

    async def test_the_candidate_is_outside_of_every_evacuated_zone(self):
        harness = ReplacerHarness()
        await harness.check()
        harness.directory.put_evacuation("z1", 50)
        harness.directory.put_evacuation("z3", 51)
        await harness.check()
        assert harness.primary == "t2"

    async def test_a_candidate_that_lacks_commits_is_not_promoted(self):
        harness = ReplacerHarness()
        await harness.check()
        harness.targets["t2"].deaf = True
        harness.group.commit(harness.targets["t1"])
        harness.directory.put_evacuation("z1", 50)
        harness.directory.put_evacuation("z3", 51)
        await harness.check()
        assert harness.group.epochs == []
        assert not harness.targets["t3"].paused
        harness.targets["t2"].deaf = False
        harness.group.commit(harness.targets["t1"])
        await harness.check()
        assert harness.primary == "t2"

    async def test_a_zone_that_is_evacuated_meanwhile_is_not_led_into(self):
        """The candidate's zone is evacuated while the other replicas are paused."""
        harness = ReplacerHarness()
        await harness.check()
        harness.directory.put_evacuation("z1", 50)
        harness.directory.put_evacuation("z3", 51)
        pause = harness.replacer._replicas.pause

        async def pause_and_evacuate(group, states):
            found = await pause(group, states)
            harness.directory.put_evacuation("z2", 52)
            return found

        harness.replacer._replicas.pause = pause_and_evacuate
        with capture_logs() as lines:
            await harness.check()
        assert harness.group.epochs == []
        assert obstacles(lines) == ["EVACUATED"]

    async def test_with_all_zones_evacuated_the_primary_stays_and_it_is_logged(self):
        harness = ReplacerHarness()
        await harness.check()
        for zone in ("z1", "z2", "z3"):
            harness.directory.put_evacuation(zone, 50)
        with capture_logs() as lines:
            await harness.check(3)
        assert harness.group.epochs == []
        assert harness.orders(StatementKind.PAUSE) == []
        assert obstacles(lines) == ["EVACUATED"]

    async def test_a_group_waits_for_its_turn(self):
        harness = ReplacerHarness()
        harness.group.on_promote = harness.put_target
        names = [f"a{number:03}" for number in range(100)]
        for revision, name in enumerate(names, 100):
            target = Target(name, "z1", "10.0.0.1", 1, 2, 30)
            harness.directory.put_target(target, name, False, True, revision)
        limits = {name: GroupLimits(30, True) for name in [*names, "g"]}
        plans = harness.directory.catalog.plans
        catalog = Catalog(version=2, groups=limits, plans=plans)
        harness.directory.update_catalog(catalog)
        await harness.check()
        harness.directory.put_evacuation("z1", 500)
        await harness.check()
        assert harness.group.epochs == []
        turns = harness.directory.turns
        learned_at, at = turns._turns["g"]
        assert at == learned_at + 100 / 40
        turns._turns["g"] = (learned_at, learned_at)
        await harness.check()
        assert harness.primary != "t1"


class TestLost:
    async def test_of_equals_one_outside_takes_over(self):
        harness = ReplacerHarness()
        await harness.check()
        harness.group.commit(harness.targets["t1"])
        harness.directory.put_evacuation("z3", 50)
        harness.primary_answers = False
        await harness.check()
        assert harness.primary == "t2"

    async def test_one_inside_with_all_commits_is_not_promoted_until_the_return(self):
        harness = ReplacerHarness()
        await harness.check()
        harness.targets["t2"].deaf = True
        harness.commit_through("n1")
        harness.directory.put_evacuation("z3", 50)
        harness.primary_answers = False
        with capture_logs() as lines:
            await harness.check()
        assert harness.group.epochs == []
        assert "EVACUATED" in obstacles(lines)
        harness.directory.drop_evacuation("z3", 51)
        await harness.check()
        assert harness.primary == "t3"
        assert harness.group.incomplete == []
