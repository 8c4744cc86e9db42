"""How far a group's log is known to be acknowledged, by its primary and by the nodes.

Every acknowledgement passes through a node. So a replica that has received the highest
position that any node has acknowledged has every acknowledged commit.
"""

import asyncio
from dataclasses import dataclass

import structlog

from lavenderstack.core import clock, replica_set, store_history
from lavenderstack.core.acknowledged_end import AcknowledgedEnd
from lavenderstack.core.catalog import TargetState
from lavenderstack.core.position import START, Position
from lavenderstack.core.replica_set import AcknowledgedPosition
from lavenderstack.core.store_history import ToldPosition
from lavenderstack.core.work_messages import (
    GroupPosition,
    GroupPositionRequest,
    PrimaryPosition,
)
from lavenderstack.node.directory import Directory
from lavenderstack.node.failover.primary_probe import PROBE_TIMEOUT_S
from lavenderstack.node.peers import Peers
from lavenderstack.node.streams import NotSent, StreamLost

log = structlog.get_logger()

# Longer than a node without the store serves on, so that the first answer of a primary
# after that is later than its last acknowledgement.
NODE_MEMORY_S = 6.0
# How long nodes may take to object to a promotion that the replica set allows.
OBJECTION_TIMEOUT_S = 0.1
# Above the term of any primary; used where that of the lost one isn't known.
ANY_TERM = 2**62


@dataclass(frozen=True, slots=True)
class _LastAnswer:
    """The last position that a group's primary reported to this node.

    ``at`` is the clock time in seconds from which on the answer holds, ``nodes`` are
    the nodes that were registered then or shortly before.
    """

    primary: str
    position: Position
    at: float
    nodes: frozenset[str]


class GroupPositions:
    """What this node, as the owner of groups, learns about their logs."""

    def __init__(self, directory: Directory, peers: Peers) -> None:
        self._directory = directory
        self._peers = peers
        self._last_answers: dict[str, _LastAnswer] = {}
        # By node: the clock time at which it was last registered.
        self._seen_at: dict[str, float] = {}

    def record_answer(
        self, primary: TargetState, answer: PrimaryPosition, asked_at: float
    ) -> None:
        """Remember a position that the primary reported after ``asked_at``."""
        group, position = primary.group, Position(*answer.position)
        before = self._last_answers.get(group)
        if before is not None and before.primary == primary.target.name:
            position = max(position, before.position)
        self._last_answers[group] = _LastAnswer(
            primary.target.name,
            position,
            asked_at - answer.age_s,
            self._nodes_seen_lately(),
        )

    def _nodes_seen_lately(self) -> frozenset[str]:
        """Return the nodes that are registered or were so lately.

        A node whose registration has ended may serve on until its own proof has.
        """
        now = clock.now()
        self._seen_at.update(dict.fromkeys(self._directory.view.vms, now))
        for name in [n for n, at in self._seen_at.items() if now - at > NODE_MEMORY_S]:
            del self._seen_at[name]
        return frozenset(self._seen_at)

    def describe_last_answer(self, group: str) -> str:
        """Return how far the primary's log was known to go, for a log line."""
        last = self._last_answers.get(group)
        if last is None:
            return "unknown"
        age_s = clock.now() - last.at
        return f"{last.primary} {tuple(last.position)}, {age_s:.2f} s old"

    async def highest_told(self, group: str) -> Position:
        """Return the highest position that nodes acknowledged, as far as they tell.

        It stops the promotion of a replica that has less, though the replica set allows
        it: a target may live on without a report, or have started again unnoticed.
        """
        msg = GroupPositionRequest(group)
        names = [vm.name for vm in self._peers.live()]
        answers = await asyncio.gather(
            *(self._ask_node(name, msg, OBJECTION_TIMEOUT_S) for name in names)
        )
        told = [Position(*one.position) for one in answers if one is not None]
        return max(told, default=START)

    async def acknowledged_end(self, group: str, primary: str) -> AcknowledgedEnd:
        """Return the highest position that may have been acknowledged, if it is known.

        Every acknowledgement passes through a node, so a replica that has received
        this has every acknowledged commit, whatever the other replicas hold. The nodes
        acknowledge no more of what they have sent before.
        """
        last = self._last_answers.get(group)
        if last is not None and primary not in ("", last.primary):
            last = None
        asked_at = clock.now()
        names = sorted({*self._directory.view.vms, *(last.nodes if last else ())})
        msg = GroupPositionRequest(group, last.position.term if last else ANY_TERM)
        answers = await asyncio.gather(
            *(self._ask_node(name, msg, PROBE_TIMEOUT_S) for name in names)
        )
        told = dict(zip(names, answers, strict=True))
        end = (
            _end_since(last, asked_at, told)
            if last
            else self._end_since_beginning(told)
        )
        if end.position is not None:
            return end
        return self._end_by_targets(group, primary, told) or end

    def _end_since_beginning(
        self, told: dict[str, GroupPosition | None]
    ) -> AcknowledgedEnd:
        """Return what all nodes that were ever registered acknowledged."""
        nodes = self._directory.history.nodes()
        if nodes is None:
            return AcknowledgedEnd()
        positions = {
            name: ToldPosition(one.run, Position(*one.position)) if one else None
            for name, one in told.items()
        }
        return AcknowledgedEnd(
            store_history.highest_told(nodes, positions),
            tuple(store_history.untold(nodes, positions)),
        )

    def _end_by_targets(
        self, group: str, primary: str, told: dict[str, GroupPosition | None]
    ) -> AcknowledgedEnd | None:
        """Return what the registered nodes acknowledged, if the targets have the rest.

        All nodes that are registered must tell, since a target may have started again
        without its log and not have reported that yet.
        """
        runs = self._directory.history.targets(group)
        present = self._directory.members(group, primary).present
        answers = [told.get(name) for name in self._directory.view.vms]
        if None in answers or not store_history.holds_every_commit(runs, present):
            return None
        positions = (Position(*one.position) for one in answers)
        return AcknowledgedEnd(max(positions, default=START))

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


def _end_since(
    last: _LastAnswer, asked_at: float, told: dict[str, GroupPosition | None]
) -> AcknowledgedEnd:
    """Return the end of the primary's log in its last answer and what came after."""
    age_s = asked_at - last.at
    proved = {name: _proved_by(one, name in last.nodes) for name, one in told.items()}
    untold = (
        name
        for name, one in proved.items()
        if replica_set.highest_acknowledged(last.position, age_s, [one]) is None
    )
    return AcknowledgedEnd(
        replica_set.highest_acknowledged(last.position, age_s, proved.values()),
        tuple(sorted(untold)),
    )


def _proved_by(
    answer: GroupPosition | None, was_registered: bool
) -> AcknowledgedPosition | None:
    """Return what a node's answer proves.

    A node that was registered at the primary's last answer must have run since then. A
    later one has passed on nothing before its registration.
    """
    if answer is None:
        return None
    uptime_s = answer.uptime_s if was_registered else float("inf")
    return AcknowledgedPosition(Position(*answer.position), uptime_s)
