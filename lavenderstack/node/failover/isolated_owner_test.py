"""Tests of an owner whose own VM is cut off or too slow to hear any answer."""

import structlog

from lavenderstack.core.failover import isolation
from lavenderstack.core.position import START
from lavenderstack.core.view import Vm
from lavenderstack.core.work_messages import GroupPosition
from lavenderstack.node.failover import hold_requests
from lavenderstack.node.failover.replacer_fake import ReplacerHarness

OTHERS = ("n2", "n3", "n4")


def _known_first(names, count):
    return sorted(names, key=lambda name: name.startswith("late"))


class TestIsolatedOwner:
    """It took two live primaries for lost (lipa-central-now-grown, trouble-2)."""

    async def isolated(self):
        harness = ReplacerHarness()
        await harness.claims.claim("g")
        for name in OTHERS[1:]:
            harness.directory.put_member(Vm(name, "z3", "10.0.0.3", 1))
        self.answer(harness)
        await harness.check(2)
        harness.primary_answers = False
        for name in OTHERS:
            del harness.observed[name]
        return harness

    def answer(self, harness):
        for name in OTHERS:
            harness.observed[name] = GroupPosition(START, uptime_s=60.0)

    async def test_it_replaces_no_primary(self):
        harness = await self.isolated()
        with structlog.testing.capture_logs() as lines:
            await harness.check()
        assert harness.group.epochs == []
        assert not harness.targets["t2"].paused
        assert "ISOLATED" in [one.get("obstacle") for one in lines]

    async def test_many_silent_nodes_besides_do_not_stop_a_replacement(
        self, monkeypatch
    ):
        """In a large fleet the answers of those asked last come too late."""
        harness = await self.isolated()
        monkeypatch.setattr(hold_requests, "FIRST_ASKED", len(OTHERS) + 1)
        monkeypatch.setattr(hold_requests.random, "sample", _known_first)
        for number in range(20):
            vm = Vm(f"late{number}", "z3", "10.0.0.3", 1)
            harness.directory.put_member(vm)
        self.answer(harness)
        await harness.check()
        assert harness.primary != "t1"

    async def test_it_replaces_a_lost_primary_once_it_is_answered(self):
        harness = await self.isolated()
        await harness.check()
        self.answer(harness)
        await harness.check()
        assert harness.primary != "t1"
        assert harness.group.incomplete == []

    async def test_replicas_are_resumed_before_another_node_may_pause_them(
        self, monkeypatch
    ):
        """A resume after the release would undo the next owner's pause."""
        monkeypatch.setattr(isolation, "ISOLATED_LIMIT_S", 0.0)
        harness = await self.isolated()
        release, paused = harness.claims.release, []

        async def release_and_look(group, epoch):
            paused.extend(name for name in ("t2", "t3") if harness.targets[name].paused)
            await release(group, epoch)

        harness.claims.release = release_and_look
        await harness.check()
        assert harness.claims.released == ["g"]
        assert paused == []

    async def test_it_leaves_the_group_to_others_after_a_while(self, monkeypatch):
        monkeypatch.setattr(isolation, "ISOLATED_LIMIT_S", 0.0)
        harness = await self.isolated()
        await harness.check()
        assert harness.claims.released == ["g"]
        await harness.check(2)
        assert harness.directory.ownerships == {}
