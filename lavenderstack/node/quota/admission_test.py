"""Tests of admission with the quota coordinator, in one process without sockets."""

import asyncio
from contextlib import suppress

import pytest

from lavenderstack.core.members import Members
from lavenderstack.core.messages import Ping, Pong
from lavenderstack.core.outcome import Reason, Refused
from lavenderstack.core.quota.ledger import LEASED_BURST_SHARE
from lavenderstack.core.quota.share_messages import DrawRequest, NotCoordinator
from lavenderstack.core.view import Ownership, Plan, View, Vm
from lavenderstack.node.peers import Peers
from lavenderstack.node.quota import admission
from lavenderstack.node.quota.admission import Admission
from lavenderstack.node.quota.quota_coordinator import QuotaCoordinator
from lavenderstack.node.streams import NotSent, StreamPool
from lavenderstack.node.takeover import CANDIDATE_DELAY_S, SILENT_AFTER_S

NAMES = ("a", "b", "c")
BURST = 60


class FakeOwnership:
    """Ownership as seen by ``vm``; one VM owns all shards, see ``Cluster.owner``."""

    def __init__(self, cluster, vm):
        self.cluster = cluster
        self.vm = vm

    def owns(self, name, now):
        owner, epoch = self.cluster.owner
        return epoch if owner == self.vm else None

    def pending(self, name):
        return False

    async def claim(self, name, stopped_epoch=0):
        owner, epoch = self.cluster.owner
        if owner is None or epoch == stopped_epoch:
            self.cluster.owner = (self.vm, epoch + 1)


class Cluster:
    """Nodes with a manual clock; ``owner`` is the owner of all shards, with its epoch.

    ``clock_step_s`` is added to the clock each time it is read.
    """

    def __init__(self, rate=10.0, names=NAMES):
        self.names = names
        self.time = 100.0
        self.clock_step_s = 0.0
        self.owner = ("a", 1)
        self.down = set()
        self.view = None
        self.set_plan(rate, BURST)
        self.coordinators = {
            vm: QuotaCoordinator(
                vm, FakeOwnership(self, vm), self.get_view, self.call, self.now
            )
            for vm in names
        }
        self.nodes = {
            vm: Admission(vm, self.get_view, self.call, self.now) for vm in names
        }

    def set_plan(self, rate, burst):
        vms = {vm: Vm(vm, "z", "127.0.0.1", 1) for vm in self.names}
        revision = self.view.revision + 1 if self.view else 1
        plans = {"p": Plan("p", rate, burst)}
        self.view = View(revision, plans, {"o": "p"}, vms=vms)

    def get_view(self):
        owner, epoch = self.owner
        ownerships = {
            f"allotter-{i}": Ownership(owner, epoch) for i in range(64) if owner
        }
        return View(self.view.revision, self.view.plans, self.view.bought,
                    vms=self.view.vms, duties=ownerships)  # fmt: skip

    def now(self):
        self.time += self.clock_step_s
        return self.time

    async def call(self, vm, body, timeout_s):
        if vm in self.down:
            raise NotSent("down")
        await asyncio.sleep(0)
        if isinstance(body, Ping):
            return Pong()
        handlers = {**self.coordinators[vm].handlers(), **self.nodes[vm].handlers()}
        return await handlers[type(body)](body)

    async def renew(self, vm):
        node = self.nodes[vm]
        node.follow_plans()
        for owner, shares in node._due_renewals().items():
            await node._renew(owner, shares)

    async def admitted(self, vm, count):
        async def admit_one():
            with suppress(Refused):
                await self.nodes[vm].admit("o", self.time + 9.0)
                return 1
            return 0

        return sum(await asyncio.gather(*(admit_one() for _ in range(count))))


class TestAdmit:
    async def test_all_nodes_together_admit_one_burst(self):
        cluster = Cluster()
        counts = [await cluster.admitted(vm, 40) for vm in NAMES]
        assert counts == [40, 20, 0]

    async def test_a_share_is_spent_without_the_coordinator(self):
        cluster = Cluster()
        assert not cluster.nodes["b"].try_admit("o", cluster.time)
        await cluster.admitted("b", 1)
        cluster.time += 1.0
        await cluster.renew("b")
        cluster.down = set(NAMES)
        taken = sum(cluster.nodes["b"].try_admit("o", cluster.time) for _ in range(50))
        assert BURST * LEASED_BURST_SHARE - 1 <= taken <= BURST * LEASED_BURST_SHARE

    async def test_a_refusal_says_when_to_retry(self):
        cluster = Cluster()
        await cluster.admitted("a", BURST)
        with pytest.raises(Refused) as caught:
            await cluster.nodes["b"].admit("o", cluster.time + 9)
        assert caught.value.reason is Reason.OVER_RATE
        assert 0.1 <= caught.value.retry_after_s <= 1.0

    async def test_requests_are_refused_if_the_coordinator_is_silent(self):
        cluster = Cluster()
        cluster.down, cluster.clock_step_s = set(NAMES), 0.05
        assert await cluster.admitted("b", 5) == 0

    async def test_a_request_waits_through_a_short_change_of_owner(self, monkeypatch):
        monkeypatch.setattr(admission, "DRAW_TIMEOUT_S", 0.01)
        cluster = Cluster()
        cluster.clock_step_s = 0.005
        cluster.down = {"a"}
        admitting = asyncio.ensure_future(cluster.admitted("b", 3))
        await asyncio.sleep(0.005)
        cluster.down = set()
        assert await admitting == 3

    async def test_a_cancelled_request_stops_waiting_and_takes_no_token(self):
        cluster = Cluster()
        cluster.down = set(NAMES)
        admitting = asyncio.ensure_future(cluster.nodes["b"].admit("o", 999.0))
        await asyncio.sleep(0)
        admitting.cancel()
        await asyncio.gather(admitting, return_exceptions=True)
        assert not cluster.nodes["b"].queues["o"].waiting
        cluster.down = set()
        cluster.time += 1.0
        assert await cluster.admitted("b", 70) == BURST

    async def test_an_organisation_without_a_plan_is_refused(self):
        with pytest.raises(Refused) as caught:
            await Cluster().nodes["a"].admit("unknown", 999.0)
        assert caught.value.reason is Reason.NOT_ALLOWED

    async def test_open_routes_have_a_token_bucket_of_their_own(self):
        cluster = Cluster()
        node = cluster.nodes["a"]
        for _ in range(int(admission.OPEN_BURST)):
            node.admit_open(cluster.time)
        with pytest.raises(Refused):
            node.admit_open(cluster.time)
        assert await cluster.admitted("a", 100) == BURST


class TestPlans:
    async def test_a_smaller_plan_applies_without_the_coordinator(self):
        cluster = Cluster()
        await cluster.admitted("b", 1)
        cluster.time += 1.0
        await cluster.renew("b")
        cluster.down = set(NAMES)
        cluster.set_plan(1.0, 0.0)
        cluster.nodes["b"].follow_plans()
        assert not cluster.nodes["b"].try_admit("o", cluster.time)

    async def test_a_larger_plan_reaches_the_coordinator(self):
        cluster = Cluster()
        assert await cluster.admitted("b", 100) == BURST
        cluster.set_plan(1000.0, BURST)
        for vm in NAMES:
            await cluster.renew(vm)
        await cluster.admitted("b", 1)
        cluster.time += 1.0
        assert await cluster.admitted("c", 100) > 40


class TestOwners:
    async def test_a_node_that_is_not_owner_grants_nothing(self):
        cluster = Cluster()
        request = DrawRequest("b#1", "o", 1, 5, 1.0)
        assert (
            await cluster.coordinators["c"].on_draw_request(request) == NotCoordinator()
        )

    async def test_a_new_owner_waits_for_the_leases_of_the_old_one(self):
        cluster = Cluster(rate=40.0)
        await cluster.admitted("b", 100)
        cluster.owner = ("c", 2)
        cluster.clock_step_s = 0.05
        assert await cluster.admitted("b", 5) == 0
        cluster.time += 4.0
        await cluster.admitted("b", 1)
        cluster.time += 1.0
        assert await cluster.admitted("b", 10) > 5

    async def test_an_owner_of_a_later_epoch_starts_with_new_ledgers(self):
        cluster = Cluster()
        assert await cluster.admitted("b", 1) == 1
        cluster.owner = ("a", 3)
        assert await cluster.admitted("b", 10) == 0

    async def test_an_owner_that_lacked_proof_for_a_while_keeps_its_ledgers(self):
        cluster = Cluster()
        assert await cluster.admitted("b", 100) == BURST
        cluster.owner = (None, 1)
        request = DrawRequest("b#1", "o", 1, 5, 1.0)
        assert (
            await cluster.coordinators["a"].on_draw_request(request) == NotCoordinator()
        )
        cluster.owner = ("a", 1)
        assert await cluster.admitted("c", 10) == 0

    async def test_a_planned_stop_hands_over_the_remaining_tokens(self):
        cluster = Cluster()
        used = await cluster.admitted("b", 20)
        cluster.time += 1.0
        await cluster.renew("b")
        await cluster.nodes["a"].stop()
        receivers = {}

        async def call(vm, body, timeout_s):
            receivers[body.shard] = vm
            return await cluster.coordinators[vm].on_handover(body)

        cluster.coordinators["a"]._call = call
        await cluster.coordinators["a"].stop()
        assert receivers
        assert cluster.owner in {(vm, 2) for vm in receivers.values()}
        left = sum([await cluster.admitted(vm, 60) for vm in ("b", "c")])
        assert used == 20
        assert BURST - 20 <= left + 1 <= BURST - 20 + 12

    async def test_closed_ledgers_grant_nothing(self):
        cluster = Cluster()
        await cluster.admitted("b", 1)

        cluster.down = set(NAMES)
        await cluster.coordinators["a"].stop()
        cluster.down = set()
        request = DrawRequest("b#1", "o", 9, 5, 1.0)
        assert (
            await cluster.coordinators["a"].on_draw_request(request) == NotCoordinator()
        )

    async def test_unowned_shards_are_claimed(self):
        cluster = Cluster()
        cluster.owner = (None, 0)
        for coordinator in cluster.coordinators.values():
            await coordinator.claim_vacant()
        assert cluster.owner[0] in NAMES


class TestTakeover:
    async def shards_to_claim(self, cluster, vm, at):
        planner = cluster.coordinators[vm]._takeover_planner
        return await planner.shards_to_claim(cluster.get_view(), 100.0 + at)

    async def first_claim(self, cluster, names, until=20):
        """Return which VM claims a shard first and after how many seconds."""
        for second in range(until):
            for vm in names:
                if await self.shards_to_claim(cluster, vm, second):
                    return vm, second
        return None, until

    async def test_a_working_owner_keeps_its_shards(self):
        cluster = Cluster()
        assert await self.first_claim(cluster, ("b", "c")) == (None, 20)

    async def test_a_silent_owner_is_replaced(self):
        cluster = Cluster()
        cluster.down = {"a"}
        vm, second = await self.first_claim(cluster, ("b", "c"))
        assert vm is not None
        assert second == SILENT_AFTER_S

    async def test_the_next_candidate_follows_when_the_first_is_gone_too(self):
        cluster = Cluster(names=("a", "b", "c", "d", "e"))
        cluster.down = {"a", "b"}
        claims = {}
        for second in range(20):
            for vm in ("c", "d", "e"):
                for shard in await self.shards_to_claim(cluster, vm, second):
                    claims.setdefault(shard, second)
        assert len(claims) == 64
        assert max(claims.values()) <= SILENT_AFTER_S + CANDIDATE_DELAY_S

    @pytest.mark.parametrize(("down", "takes_over"), [("cd", True), ("ac", False)])
    async def test_of_two_halves_one_takes_over(self, down, takes_over):
        cluster = Cluster(names=("a", "b", "c", "d"))
        cluster.owner = (down[0], 1)
        cluster.down = set(down)
        left = [vm for vm in cluster.names if vm not in down]
        vm, _ = await self.first_claim(cluster, left)
        assert (vm is not None) is takes_over

    async def test_a_candidate_that_is_cut_off_claims_nothing(self):
        cluster = Cluster()
        cluster.down = {"a", "c"}
        assert await self.first_claim(cluster, ("b",)) == (None, 20)


class TestRecall:
    async def test_tokens_of_other_nodes_are_recalled_before_a_refusal(self):
        cluster = Cluster(rate=20.0)
        await cluster.admitted("b", 1)
        cluster.time += 1.0
        await cluster.renew("b")
        assert cluster.nodes["b"].queues["o"].share.bucket.level > 10
        cluster.time += 1.0
        assert await cluster.admitted("c", 100) == BURST
        assert not cluster.nodes["b"].try_admit("o", cluster.time)


class TestPeers:
    async def test_a_call_to_an_unknown_vm_is_not_sent(self):
        cluster = Cluster()
        peers = Peers("a", cluster.get_view, StreamPool(), Members("a"))
        peers.set_handlers(cluster.coordinators["a"].handlers())
        with pytest.raises(NotSent):
            await peers.call("unknown", NotCoordinator(), 0.1)
        request = DrawRequest("a#1", "o", 1, 5, 1.0)
        assert (await peers.call("a", request, 0.1)).tokens == 5
