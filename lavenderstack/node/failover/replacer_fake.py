"""A fake group with a fake platform, and the node that owns it, for tests.

``ReplacerHarness`` runs the real ``Replacer`` of one node. The other nodes are answers
that it gives for them.
"""

import msgspec

from lavenderstack.core import clock
from lavenderstack.core.catalog import Catalog, GroupLimits, RecordedOwnership
from lavenderstack.core.failover.acknowledgement_hold import NO_HOLD, HoldNumber
from lavenderstack.core.failover.replica_set import ReplicaSet, TargetRun
from lavenderstack.core.members import Members
from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import START, Position
from lavenderstack.core.view import Plan, Target, Vm
from lavenderstack.core.view_proof import ViewProof
from lavenderstack.core.work_messages import (
    GroupPosition,
    GroupPositionRequest,
    LeadAcknowledged,
    LeadTaken,
    PrimaryPosition,
    PrimaryPositionRequest,
)
from lavenderstack.node.backend import ClaimLost
from lavenderstack.node.backend_fake import FakeBackend, FakeGroup, FakeTarget
from lavenderstack.node.counters import Counters
from lavenderstack.node.directory import Directory
from lavenderstack.node.failover.replacer import Replacer
from lavenderstack.node.peers import Peers
from lavenderstack.node.streams import StreamLost, StreamPool


class FakeClaims:
    """In-memory claims of one node; each claim or renewal has a higher epoch."""

    def __init__(self, directory):
        self.identity = "n1#1"
        self.valid_s = 3.0
        self.epoch = 10
        self.released = []
        self.recorded = []
        self._directory = directory

    def valid_until(self):
        """Return until when the lease is valid."""
        return clock.now() + self.valid_s

    async def claim(self, group):
        """Claim a group that nobody owns."""
        if group in self._directory.ownerships:
            raise ClaimLost("taken")
        await self.renew_epoch(group, 0)

    async def renew_epoch(self, group, epoch):
        """Give the claim a higher epoch."""
        self.epoch += 1
        self._directory.put_ownership(
            group, RecordedOwnership(self.identity, self.epoch)
        )

    async def record_replicas(self, group, epoch, replicas, revision):
        """Record a replica set under the present epoch."""
        if self._directory.ownerships[group].epoch != epoch:
            raise ClaimLost("another epoch")
        if self._directory.replica_set_revision(group) != revision:
            raise ClaimLost("another record")
        self.recorded.append(replicas)
        return 10 + len(self.recorded)

    async def release(self, group, epoch):
        """Release a claim."""
        self.released.append(group)
        self._directory.drop_ownership(group)


class ReplacerHarness:
    """Node ``n1``, which can own a group whose primary is ``t1``.

    With ``primary_answers`` false, no holder gets an answer from the primary; with
    ``primary_full`` it refuses connections since it has too many.
    """

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
        self.started_ms = {}
        for name in names:
            self.put_target(name)
        # What the former owner of the group recorded.
        runs = frozenset(TargetRun(name) for name in ("t2", "t3"))
        directory.put_replica_set("g", ReplicaSet("t1", runs), 1)
        self.claims = FakeClaims(directory)
        self.peers = Peers("n1", lambda: directory.view, StreamPool(), Members("n1"))
        # What each node answers when asked which positions it observed.
        self.observed = {
            name: GroupPosition(START, uptime_s=60.0) for name in ("n1", "n2")
        }
        # How far the nodes acknowledge commits that hold back the others, and the term
        # up to which they do.
        self.holding: dict[str, Position] = {}
        self.held_terms: dict[str, int] = {}
        # The numbers of the holds in force at the nodes, without those that are final.
        self.hold_numbers: dict[str, HoldNumber] = {}
        # By node: commits that wait for the end of its hold; all that were rolled back.
        self.waiting: dict[str, list[Position]] = {}
        self.rolled_back: set[Position] = set()
        # The new primaries that were announced to each node.
        self.announced: list[tuple[str, str]] = []
        self.primary_answers = True
        self.primary_full = False
        self.peers.ask = self.ask
        self.replacer = self._new_replacer()

    def _new_replacer(self):
        return Replacer(
            self.directory,
            self.peers,
            FakeBackend(self.group),
            self.claims,
            self.group,
            Counters(),
        )

    def restart_target(self, name):
        """Start a target again under its name, without its log."""
        self.targets[name].received = 0
        self.started_ms[name] = 1_000 + self.revision
        self.put_target(name)

    def put_target(self, name, leaving=False):
        """Let a target report itself."""
        self.revision += 1
        zone = {"t1": "z1", "t3": "z3"}.get(name, "z2")
        port = int(name[1:])
        target = Target(name, zone, "10.0.0.1", port, 2, 30)
        leads = self.targets[name].leads
        started_ms = self.started_ms.get(name, 0)
        self.directory.put_target(
            target, "g", leaving, leads, self.revision, started_ms
        )
        self.directory.as_of = self.revision

    def commit_through(self, node):
        """Commit a write that a node acknowledges to its caller, unless it holds."""
        primary, acknowledged = self.targets[self.primary], self.group.acknowledged
        self.group.commit(primary)
        if self._is_held(node, primary.position):
            self.group.acknowledged = acknowledged
            self.waiting.setdefault(node, []).append(primary.position)
            return
        self.observed[node] = GroupPosition(primary.position, uptime_s=60.0)

    def _is_held(self, node, position):
        if node not in self.holding or position.term > self.held_terms[node]:
            return False
        return position > self.holding[node]

    def _acknowledge_released(self, node):
        """Acknowledge what waits at a node and isn't held back any more."""
        waiting = self.waiting.pop(node, [])
        held = [one for one in waiting if self._is_held(node, one)]
        if held:
            self.waiting[node] = held
        answer = self.observed.get(node)
        highest = answer.position if isinstance(answer, GroupPosition) else START
        for position in sorted(set(waiting) - set(held)):
            if position.term < highest.term:
                # Answered as unknown.
                continue
            if position in self.rolled_back:
                self.group.incomplete.append(f"{position} acknowledged by {node}")
            self.group.acknowledged = max(self.group.acknowledged, position.seq)
            if node in self.observed:
                self.observed[node] = GroupPosition(position, uptime_s=60.0)

    def end_hold(self, node):
        """End a node's hold, also as it starts anew."""
        for holds in (self.holding, self.held_terms, self.hold_numbers):
            holds.pop(node, None)

    def change_owner(self):
        """Let the owner die and another process own the group."""
        process = int(self.claims.identity.partition("#")[2]) + 1
        self.claims.identity = f"n1#{process}"
        self.claims.epoch += 1
        ownership = RecordedOwnership(self.claims.identity, self.claims.epoch)
        self.directory.put_ownership("g", ownership)
        self.replacer = self._new_replacer()

    def act_before_promotion(self, act):
        """Call ``act`` when an order is under way and has not taken effect yet."""
        promote = self.group.promote

        async def promote_later(*args):
            act()
            await promote(*args)

        self.group.promote = promote_later

    def end_registration(self, name):
        """End a target's report while it lives on; the set is proved without it."""
        self.revision += 1
        self.directory.drop_target(name, self.revision)
        self.directory.as_of = self.revision

    def put_new_target(self, name, revision):
        """Let another replica join, which has nothing yet."""
        self.targets[name] = FakeTarget(name)
        target = Target(name, "z2", "10.0.0.4", 1, 2, 30)
        self.directory.put_target(target, "g", False, False, revision)

    def drop_target(self, name):
        """Crash a target for so long that its report ends."""
        self.targets[name].reachable = False
        self.revision += 1
        self.directory.drop_target(name, self.revision)
        self.directory.as_of = self.revision

    def report(self, _):
        """Let all registered targets report themselves after a promotion."""
        leader = self.targets[self.primary]
        for positions in self.waiting.values():
            self.rolled_back.update(
                one
                for one in positions
                if one.term < leader.term and one.seq > leader.received
            )
        for name in list(self.directory.targets):
            if name in self.targets:
                self.put_target(name)

    async def ask(self, vm, msg, timeout_s):
        """Answer a message as the node ``vm`` does."""
        if isinstance(msg, LeadTaken):
            self.announced.append((vm.name, msg.target))
            self.hold_numbers.pop(vm.name, None)
            # What is held back is answered as unknown.
            self.waiting.pop(vm.name, None)
            return LeadAcknowledged()
        if isinstance(msg, GroupPositionRequest):
            if vm.name not in self.observed:
                raise StreamLost("no answer")
            return self._position_of(vm.name, msg)
        assert isinstance(msg, PrimaryPositionRequest)
        if self.primary_full:
            return Failed(run=False, reason=Reason.NO_CONNECTION)
        if self.primary_answers and self.targets[msg.target].leads:
            return PrimaryPosition(self.targets[msg.target].position, 0.0)
        return Failed(run=False, reason=Reason.UNREACHABLE)

    def _position_of(self, node, msg):
        """Answer as a node does that knows holds, unless its answer is None."""
        answer = self.observed[node]
        if msg.release:
            if self.hold_numbers.get(node, NO_HOLD) <= msg.hold:
                self.end_hold(node)
                self._acknowledge_released(node)
        elif msg.hold != NO_HOLD:
            if msg.hold < self.hold_numbers.get(node, NO_HOLD):
                return answer
            told = answer.position if isinstance(answer, GroupPosition) else START
            self.holding[node] = max(told, msg.received)
            self.held_terms[node] = msg.term
            self._acknowledge_released(node)
            self.hold_numbers[node] = msg.hold
        if not isinstance(answer, GroupPosition) or node not in self.holding:
            return answer
        held = self.hold_numbers.get(node, NO_HOLD)
        return msgspec.structs.replace(answer, holds=True, held=held)

    async def check(self, times=1):
        """Let the owner check the group."""
        for _ in range(times):
            await self.replacer._check_group("g")
            await self.replacer._sets.settled()

    @property
    def primary(self):
        """The name of the present primary."""
        return next(name for name, one in self.targets.items() if one.leads)

    def orders(self, kind):
        """Return the targets that got an order of this kind."""
        return [name for name, one in self.targets.items() if kind in one.orders]
