"""Tests of replacing primaries, over a fake group and a fake platform."""

import asyncio

import pytest

from lavenderstack.core import clock
from lavenderstack.core.catalog import Catalog, GroupLimits, RecordedOwnership
from lavenderstack.core.members import Members
from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.statement import Kind
from lavenderstack.core.view import Plan, Target, Vm
from lavenderstack.core.view_proof import ViewProof
from lavenderstack.core.work_messages import PrimaryPosition, PrimaryPositionRequest
from lavenderstack.node.backend import ClaimLost, OrderUnanswered
from lavenderstack.node.backend_fake import FakeBackend, FakeGroup, FakeTarget
from lavenderstack.node.counters import Counters
from lavenderstack.node.directory import Directory
from lavenderstack.node.peers import Peers
from lavenderstack.node.replacer import Replacer
from lavenderstack.node.streams import StreamPool


class FakeClaims:
    """Claims of one node; epochs grow, also when an answer is lost."""

    def __init__(self, directory):
        self.identity = "n1#1"
        self.valid_s = 3.0
        self.epoch = 10
        self.released = []
        self._directory = directory

    def valid_until(self):
        return clock.now() + self.valid_s

    async def claim(self, duty):
        if duty in self._directory.claims:
            raise ClaimLost("taken")
        await self.renew_epoch(duty, 0)

    async def renew_epoch(self, duty, epoch):
        self.epoch += 1
        self._directory.put_ownership(
            duty, RecordedOwnership(self.identity, self.epoch)
        )

    async def release(self, duty, epoch):
        self.released.append(duty)
        self._directory.drop_ownership(duty)


class Bench:
    """One node, ``n1``, with the duty for a group whose leader is ``t1``."""

    def __init__(self, zone="z2"):
        names = ("t1", "t2", "t3")
        self.targets = {name: FakeTarget(name, leads=name == "t1") for name in names}
        self.group = FakeGroup(self.targets)
        self.group.on_promote = self.report
        directory = self.directory = Directory("n1", zone, ViewProof(limit_s=5.0))
        limits = {"g": GroupLimits(30, replicated=True)}
        plans = {"org": Plan("org", 1, 1)}
        directory.update_catalog(Catalog(version=1, groups=limits, plans=plans))
        directory.proof.prove(clock.now())
        directory.put_member(Vm("n1", zone, "10.0.0.1", 1))
        directory.put_member(Vm("n2", "z3", "10.0.0.2", 1))
        self.revision = 0
        for name in names:
            self.put(name)
        self.claims = FakeClaims(directory)
        self.peers = Peers("n1", lambda: directory.view, StreamPool(), Members("n1"))
        self.heard = True
        self.peers.ask = self.ask
        self.replacer = Replacer(
            directory,
            self.peers,
            FakeBackend(self.group),
            self.claims,
            self.group,
            Counters(),
        )

    def put(self, name, leaving=False):
        self.revision += 1
        zone = {"t1": "z1", "t2": "z2", "t3": "z3"}[name]
        target = Target(name, zone, "10.0.0.1", 1, 2, 30)
        leads = self.targets[name].leads
        self.directory.put_target(target, "g", leaving, leads, self.revision)

    def report(self, _):
        for name in self.targets:
            self.put(name)

    async def ask(self, vm, msg, timeout_s):
        assert isinstance(msg, PrimaryPositionRequest)
        if self.heard and self.targets[msg.target].leads:
            return PrimaryPosition(self.targets[msg.target].position, 0.0)
        return Failed(run=False, reason=Reason.UNREACHABLE)

    async def look(self, times=1):
        for _ in range(times):
            await self.replacer._look("g")

    @property
    def leader(self):
        return next(name for name, one in self.targets.items() if one.leads)

    def orders(self, kind):
        return [name for name, one in self.targets.items() if kind in one.orders]


class TestLostPrimary:
    async def test_the_replica_that_received_most_takes_over(self):
        bench = Bench()
        bench.targets["t2"].received = 4
        bench.targets["t3"].received = 7
        await bench.look()
        bench.heard = False
        await bench.look()
        assert bench.leader == "t3"

    async def test_nobody_takes_over_while_a_replica_is_silent(self):
        bench = Bench()
        bench.targets["t3"].reachable = False
        await bench.look()
        bench.heard = False
        await bench.look(2)
        assert bench.leader == "t1"
        assert bench.group.epochs == []

    async def test_replicas_are_resumed_when_nobody_takes_over(self):
        """Found on brandt trouble-1: they stayed paused for the rest of the day."""
        bench = Bench()
        bench.targets["t3"].reachable = False
        await bench.look()
        bench.heard = False
        await bench.look()
        assert not bench.targets["t2"].paused

    async def test_a_node_whose_lease_is_old_pauses_nobody(self):
        """Found on brandt trouble-1: LOST 29 times."""
        bench = Bench()
        await bench.look()
        bench.heard = False
        bench.claims.valid_s = 0.0
        await bench.look(2)
        assert bench.orders(Kind.PAUSE) == []

    async def test_a_node_whose_view_is_old_pauses_nobody(self):
        bench = Bench()
        await bench.look()
        bench.heard = False
        bench.directory.proof.at = clock.now() - 4.0
        await bench.look(2)
        assert bench.orders(Kind.PAUSE) == []

    async def test_a_follower_that_leads_stops_it(self):
        bench = Bench()
        await bench.look()
        bench.heard = False
        bench.targets["t2"].leads, bench.targets["t1"].leads = True, False
        await bench.look(2)
        assert bench.group.epochs == []
        assert not bench.targets["t3"].paused

    async def test_a_primary_that_answers_one_holder_stays(self):
        bench = Bench()
        await bench.look(3)
        assert bench.group.epochs == []


class TestLeavingPrimary:
    async def test_a_replica_that_stays_takes_over_with_every_commit(self):
        bench = Bench()
        await bench.look()
        bench.group.commit(bench.targets["t1"])
        bench.put("t1", leaving=True)
        await bench.look()
        assert bench.leader != "t1"
        assert bench.targets[bench.leader].received >= bench.group.acknowledged

    async def test_it_waits_for_the_candidate_to_have_what_others_received(self):
        bench = Bench()
        await bench.look()
        bench.targets["t2"].received = 9
        bench.targets["t3"].received = 3
        bench.put("t2", leaving=True)
        bench.put("t1", leaving=True)
        await bench.look()
        assert bench.group.epochs == []
        assert not bench.targets["t2"].paused


class TestEpochs:
    async def test_every_order_has_an_epoch_of_its_own(self):
        bench = Bench()
        await bench.look()
        for _ in range(2):
            bench.heard = False
            await bench.look()
            bench.heard = True
            await bench.look()
        assert len(set(bench.group.epochs)) == 2
        assert bench.group.epochs == sorted(bench.group.epochs)

    async def test_an_order_without_an_answer_is_repeated_as_it_was(self):
        bench = Bench()
        await bench.look()
        sent = []
        promote = bench.group.promote

        async def lossy(group, target, node, epoch):
            sent.append((target, epoch))
            if len(sent) < 3:
                raise OrderUnanswered("lost")
            await promote(group, target, node, epoch)

        bench.replacer._orders = type("Lossy", (), {"promote": staticmethod(lossy)})
        bench.heard = False
        await bench.look()
        assert len(sent) == 3
        assert len(set(sent)) == 1


class TestDuty:
    async def test_a_free_duty_is_claimed_in_turn(self):
        bench = Bench()
        bench.replacer._turn = lambda group: 1
        await bench.look()
        assert bench.directory.claims == {}
        await asyncio.sleep(0.65)
        await bench.look()
        assert bench.directory.claims["g"].node == bench.claims.identity

    async def test_a_duty_of_another_node_is_left_alone(self):
        bench = Bench()
        bench.directory.put_ownership("g", RecordedOwnership("n2#1", 5))
        bench.heard = False
        await bench.look(3)
        assert bench.group.epochs == []
        assert bench.orders(Kind.PAUSE) == []

    async def test_a_holder_in_the_primarys_zone_hands_it_over(self):
        bench = Bench(zone="z1")
        await bench.claims.claim("g")
        await bench.look()
        assert bench.claims.released == ["g"]

    @pytest.mark.parametrize("zone", ["z2", "z3"])
    async def test_a_holder_in_another_zone_keeps_it(self, zone):
        bench = Bench(zone=zone)
        await bench.look(3)
        assert bench.claims.released == []
