"""Asks the nodes which commits they acknowledged, and to acknowledge no more for now.

``core/failover/acknowledgement_hold.py`` explains what follows if all nodes hold back.
"""

import asyncio
import itertools
import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

import structlog

from lavenderstack.core import clock
from lavenderstack.core.failover.acknowledgement_hold import NO_HOLD, HoldNumber
from lavenderstack.core.position import START, Position
from lavenderstack.core.work_messages import GroupPosition, GroupPositionRequest
from lavenderstack.node.directory import Directory
from lavenderstack.node.peers import Peers
from lavenderstack.node.streams import NotSent, StreamLost

log = structlog.get_logger()

# Longer than a node without the store serves on, so that the first answer of a primary
# after that is later than its last acknowledgement.
NODE_MEMORY_S = 6.0
# In a large fleet asking all nodes takes the owner longer than they may take to answer.
# The first of them are asked this much ahead, and tell whether it is heard at all.
FIRST_ASKED = 40
HEAD_START_S = 0.005
RELEASE_TIMEOUT_S = 0.35
MAX_RELEASE_TRIES = 3


@dataclass(frozen=True, slots=True)
class Told:
    """The answers of the nodes that were asked, None for those that are silent.

    ``first`` are those that were asked first.
    """

    answers: dict[str, GroupPosition | None]
    first: frozenset[str] = frozenset()

    @property
    def highest(self) -> Position:
        """The highest position that a node has acknowledged."""
        told = (Position(*one.position) for one in self.answers.values() if one)
        return max(told, default=START)

    def acknowledging(self) -> set[str]:
        """Return the nodes that have acknowledged a commit since their start."""
        return {
            name
            for name, one in self.answers.items()
            if one is not None and Position(*one.position) > START
        }

    def answered(self) -> set[str]:
        """Return the nodes that gave an answer."""
        return {name for name, one in self.answers.items() if one is not None}

    def held_before(self, epoch: int) -> bool:
        """Return whether a node holds for an owner with an earlier epoch."""
        held = [one.held for one in self.answers.values() if one is not None]
        return any(number != NO_HOLD and number[0] < epoch for number in held)

    def hold_back(self, nodes: Iterable[str]) -> bool:
        """Return whether all these nodes hold back acknowledgements."""
        found = (self.answers.get(name) for name in nodes)
        return all(one is not None and one.holds for one in found)


@dataclass(frozen=True, slots=True)
class _Asked:
    """The last hold of a group, and all nodes that were asked for one.

    ``acknowledging`` are those that had acknowledged a commit of the group by then.
    """

    number: HoldNumber
    term: int
    names: frozenset[str]
    acknowledging: frozenset[str]


class HoldRequests:
    """The holds that this node, as the owner of groups, has asked for.

    ``identity`` names this node and its run, as in its claims.
    """

    def __init__(self, directory: Directory, peers: Peers, identity: str) -> None:
        self._directory = directory
        self._peers = peers
        self._identity = identity
        self._attempts = itertools.count(1)
        self._asked: dict[str, _Asked] = {}
        # By node: the clock time at which it was last registered.
        self._seen_at: dict[str, float] = {}
        # The nodes that were last registered as leaving.
        self._leaving: set[str] = set()
        self._releases: dict[str, asyncio.Task] = {}

    def nodes_seen_lately(self) -> frozenset[str]:
        """Return the nodes that are registered or were so lately.

        A node whose registration has ended may serve on until its own proof has. Called
        at each check, so that it notices when a registration ends.
        """
        now = clock.now()
        vms = self._directory.view.vms
        self._seen_at.update(dict.fromkeys(vms, now))
        self._leaving.difference_update(vms)
        self._leaving.update(vm.name for vm in vms.values() if vm.state == "leaving")
        for name in [n for n, at in self._seen_at.items() if now - at > NODE_MEMORY_S]:
            del self._seen_at[name]
        self._leaving.intersection_update(self._seen_at)
        return frozenset(self._seen_at)

    def nodes_that_may_acknowledge(self) -> frozenset[str]:
        """Return the nodes seen lately, without those that have ended as planned.

        A node that stops is registered as leaving until its last statement has ended.
        """
        seen = self.nodes_seen_lately()
        return seen - self._leaving.difference(self._directory.view.vms)

    async def hold(
        self,
        group: str,
        term: int,
        names: Collection[str],
        timeout_s: float,
        received: Position = START,
    ) -> Told:
        """Ask nodes to hold back acknowledgements of primaries of up to ``term``.

        Commits up to ``received`` are not held back.
        """
        number = HoldNumber(self._epoch(group), next(self._attempts))
        before = self._asked.get(group)
        asked = before.names.union(names) if before else frozenset(names)
        active = before.acknowledging if before else frozenset()
        self._asked[group] = _Asked(number, term, asked, active)
        msg = GroupPositionRequest(group, term, number, received=received)
        told = await self.ask(names, msg, timeout_s)
        latest = self._asked.get(group)
        if latest is not None:
            active = latest.acknowledging.union(told.acknowledging())
            self._asked[group] = replace(latest, acknowledging=active)
        return told

    def acknowledging(self, group: str) -> frozenset[str]:
        """Return the nodes that had acknowledged commits when they were last asked."""
        asked = self._asked.get(group)
        return asked.acknowledging if asked is not None else frozenset()

    def term(self, group: str) -> int:
        """Return the term up to which acknowledgements are held, 0 without a hold."""
        asked = self._asked.get(group)
        return asked.term if asked is not None else 0

    def forget(self, group: str) -> None:
        """Leave a hold to its end, since a replica has taken over."""
        self._asked.pop(group, None)

    def _epoch(self, group: str) -> int:
        """Return the epoch of this node's claim, 0 if it has none any more.

        Attempts count from 1 in each process, so under the epoch of another owner they
        would be taken for later or earlier ones of that owner.
        """
        claim = self._directory.ownerships.get(group)
        is_own = claim is not None and claim.node == self._identity
        return claim.epoch if is_own else 0

    async def ask(
        self, names: Collection[str], msg: GroupPositionRequest, timeout_s: float
    ) -> Told:
        """Ask nodes which position of a group they have acknowledged."""
        names = random.sample(list(names), len(names))
        first, others = names[:FIRST_ASKED], names[FIRST_ASKED:]
        async with asyncio.TaskGroup() as tasks:
            asked = [
                tasks.create_task(self._ask_node(name, msg, timeout_s))
                for name in first
            ]
            if others:
                await asyncio.sleep(HEAD_START_S)
            asked += [
                tasks.create_task(self._ask_node(name, msg, timeout_s))
                for name in others
            ]
        answers = (task.result() for task in asked)
        return Told(dict(zip(names, answers, strict=True)), frozenset(first))

    async def _ask_node(
        self, name: str, msg: GroupPositionRequest, timeout_s: float
    ) -> GroupPosition | None:
        """Ask a node which position it has acknowledged, None if it doesn't answer."""
        try:
            answer = await self._peers.call(name, msg, timeout_s)
        except (NotSent, StreamLost, TimeoutError) as exc:
            log.info("replacer: node silent", holder=name, error=repr(exc))
            return None
        return answer if isinstance(answer, GroupPosition) else None

    def release(self, group: str) -> None:
        """Let the nodes acknowledge commits again, in the background."""
        asked = self._asked.pop(group, None)
        if asked is None:
            return
        before = self._releases.get(group)
        if before is not None:
            # The later release has a higher number and ends the earlier holds as well.
            before.cancel()
        self._releases[group] = asyncio.ensure_future(self._release(group, asked))

    async def _release(self, group: str, asked: _Asked) -> None:
        names = asked.names
        msg = GroupPositionRequest(group, hold=asked.number, release=True)
        for _ in range(MAX_RELEASE_TRIES):
            told = await self.ask(sorted(names), msg, RELEASE_TIMEOUT_S)
            names = [name for name, one in told.answers.items() if one is None]
            if not names:
                return
            await asyncio.sleep(RELEASE_TIMEOUT_S)
        log.info("replacer: hold not released", group=group, nodes=sorted(names))
