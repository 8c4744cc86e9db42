"""Chooses which replica takes over from a primary, and pauses the others for it.

The decisions are in ``core/failover/replacement.py``; here the replicas and the nodes
are asked for what they rest on. Whoever asks for a choice orders the promotion, or
resumes the replicas that were paused.
"""

import asyncio
from collections.abc import Callable, Container, Sequence
from dataclasses import dataclass, field

import structlog

from lavenderstack.core import clock, statement
from lavenderstack.core.catalog import TargetState
from lavenderstack.core.failover.replacement import (
    Obstacle,
    ReplicaState,
    choose_successor,
    commit_obstacle,
    most_advanced,
    takeover_obstacle,
)
from lavenderstack.core.position import Position
from lavenderstack.core.work_messages import PrimaryPosition
from lavenderstack.node.directory import Directory
from lavenderstack.node.failover.followers import Followers, format_positions
from lavenderstack.node.failover.group_positions import GroupPositions, HeldEnd
from lavenderstack.node.failover.primary_probe import PROBE_TIMEOUT_S, PrimaryProbe
from lavenderstack.node.failover.replica_sets import ReplicaSets

log = structlog.get_logger()

# How long a replica may take to catch up before a leaving primary is replaced.
CATCH_UP_TIMEOUT_S = 0.6
CATCH_UP_POLL_S = 0.05


@dataclass(frozen=True, slots=True)
class Choice:
    """The replica that takes over, or why none may, None if that is logged already.

    ``paused`` are the replicas that were paused for the choice. ``serving`` tells that
    the primary serves on while acknowledgements are held back.
    """

    chosen: ReplicaState | Obstacle | None
    paused: list[TargetState] = field(default_factory=list)
    serving: bool = False


class SuccessorChoice:
    """Chooses successors for the groups that this node owns."""

    def __init__(
        self,
        directory: Directory,
        probe: PrimaryProbe,
        replicas: Followers,
        positions: GroupPositions,
        sets: ReplicaSets,
    ) -> None:
        self._directory = directory
        self._probe = probe
        self._replicas = replicas
        self._positions = positions
        self._sets = sets

    async def in_place_of_lost(
        self,
        group: str,
        lost: TargetState | None,
        may_act: Callable[[], bool],
        ordered: Container[str] = (),
    ) -> Choice:
        """Choose the replica with the longest log in place of a lost primary.

        The replicas are paused first, if ``may_act`` still allows that then. Of equals,
        one is taken that is ``ordered`` already.
        """
        name = lost.target.name if lost else ""
        replicated = self._directory.is_replicated(group)
        if not replicated or self._sets.is_complete(group, name):
            followers = self._followers(group, lost)
            states, end = await asyncio.gather(
                self._replicas.pause(group, followers),
                self._positions.hold(group, name),
            )
        else:
            followers = self._followers(group, lost)
            required = await self._sets.required_position(group, name, followers)
            if required is None or not may_act():
                return Choice(None)
            end = HeldEnd(required, everywhere=True)
            followers = self._followers(group, lost)
            states = await self._replicas.pause(group, followers)
        chosen = choose_successor(states, replicated, ordered)
        if replicated and self._has_joined(group, lost, followers):
            chosen = Obstacle.SILENT_REPLICA
        if isinstance(chosen, ReplicaState):
            obstacle, end = await self._commit_obstacle(group, name, chosen, end)
            chosen = obstacle or chosen
        if self._has_other_primary(group, name):
            chosen = Obstacle.LED
        if isinstance(chosen, Obstacle):
            self._sets.log_blocked(group, chosen, states, end.position)
            return Choice(chosen, followers)
        log.warning(
            "replacer: primary lost",
            group=group,
            lost=name,
            chosen=chosen.name,
            followers=format_positions(states),
            primary=self._positions.describe_last_answer(group),
            held=end.everywhere,
        )
        return Choice(chosen, followers)

    async def _commit_obstacle(
        self, group: str, lost: str, chosen: ReplicaState, end: HeldEnd
    ) -> tuple[Obstacle | None, HeldEnd]:
        """Return what the answers of the nodes say against a chosen replica, or None.

        Where that depends on nodes that gave no answer, all are asked once more. The
        last answers of the nodes are returned as well.
        """
        unregistered = bool(self._sets.unregistered(group, lost))
        obstacle = self._answers_obstacle(group, chosen, unregistered, end)
        if obstacle in (Obstacle.SILENT_NODE, Obstacle.ISOLATED):
            end = await self._positions.hold(group, lost, PROBE_TIMEOUT_S)
            obstacle = self._answers_obstacle(group, chosen, unregistered, end)
        return obstacle, end

    def _answers_obstacle(
        self, group: str, chosen: ReplicaState, unregistered: bool, end: HeldEnd
    ) -> Obstacle | None:
        if end.isolated:
            return Obstacle.ISOLATED
        if not self._directory.is_replicated(group):
            return None
        return commit_obstacle(chosen, end.position, unregistered, end.everywhere)

    async def in_place_of_leaving(
        self, primary: TargetState, ordered: str | None = None
    ) -> Choice:
        """Choose a replica in place of one that leaves or whose zone is evacuated.

        Only the ``ordered`` one may be chosen, if there is one.

        The other replicas are paused, and the candidate catches up with them. Then all
        nodes hold back acknowledgements beyond what the candidate has received, since
        another replica may join at any time until it has taken over.
        """
        group = primary.group
        followers = self._followers(group, primary)
        staying = [one for one in followers if not one.leaving]
        states = await self._replicas.send(staying, statement.STATUS)
        eligible = [
            one for one in states if not one.evacuated and ordered in (None, one.name)
        ]
        candidate = most_advanced(eligible)
        if candidate is None:
            log.info("replacer: no replica to take over yet", group=group)
            return Choice(None)
        replicated = self._directory.is_replicated(group)
        # Asked before anything is paused or held back: a silent node may hold nothing.
        silent = await self._positions.silent_nodes(group) if replicated else []
        if silent:
            return _postponed(group, Obstacle.SILENT_NODE, nodes=silent)
        others = [one for one in followers if one.target.name != candidate.name]
        paused = await self._replicas.pause(group, others)
        until = clock.now() + CATCH_UP_TIMEOUT_S
        state = next(s for s in followers if s.target.name == candidate.name)
        while True:
            end = await self._end_of_log(primary)
            candidate = (await self._replicas.send([state], statement.STATUS))[0]
            obstacle = takeover_obstacle(candidate, paused, replicated)
            if obstacle is None:
                if await self._is_caught_up(primary, candidate, end):
                    break
                obstacle = Obstacle.MISSING_REPLICA
            if clock.now() > until:
                return _postponed(group, obstacle, others)
            await asyncio.sleep(CATCH_UP_POLL_S)
        if replicated:
            held = await self._positions.hold_for_planned(group, primary.target.name)
            candidate = (await self._replicas.send([state], statement.STATUS))[0]
            obstacle = takeover_obstacle(candidate, paused, replicated)
            obstacle = obstacle or commit_obstacle(
                candidate, held.position, True, held.everywhere
            )
            if obstacle is not None:
                return _postponed(group, obstacle, others)
        log.info(
            "replacer: primary leaves",
            group=group,
            leaving=primary.target.name,
            chosen=candidate.name,
            followers=format_positions([candidate, *paused]),
        )
        return Choice(candidate, others, serving=replicated)

    def _has_joined(
        self, group: str, lost: TargetState | None, paused: list[TargetState]
    ) -> bool:
        """Return whether a replica has registered since the others were paused."""
        known = {state.run for state in paused}
        return any(one.run not in known for one in self._followers(group, lost))

    def _has_other_primary(self, group: str, lost: str) -> bool:
        """Return whether a target other than the lost one is the primary by now."""
        primary = self._directory.primary(group)
        return primary is not None and primary.target.name != lost

    async def _is_caught_up(
        self, primary: TargetState, candidate: ReplicaState, end: Position | None
    ) -> bool:
        """Return whether a candidate has every commit of a leaving primary.

        ``end`` is what the primary's log held before the candidate was asked, None if
        it gave no answer. The other followers are paused, so nothing more is
        acknowledged without the candidate.
        """
        group = primary.group
        if not self._directory.is_replicated(group):
            return True
        if end is not None:
            return candidate.received >= end
        told = await self._positions.highest_told(group)
        complete = self._sets.is_complete(group, primary.target.name)
        return complete and candidate.received >= told

    async def _end_of_log(self, primary: TargetState) -> Position | None:
        """Return where the primary's log ends now, None if it gives no answer."""
        answer = await self._probe.ask(primary, max_age_s=0.0)
        is_position = isinstance(answer, PrimaryPosition)
        return Position(*answer.position) if is_position else None

    def _followers(self, group: str, primary: TargetState | None) -> list[TargetState]:
        name = primary.target.name if primary else ""
        return self._directory.followers(group, name)


def _postponed(
    group: str,
    obstacle: Obstacle,
    paused: Sequence[TargetState] = (),
    nodes: Sequence[str] = (),
) -> Choice:
    """Return that no replica may take over from a leaving primary yet.

    ``nodes`` are those whose silence is the obstacle.
    """
    log.info(
        "replacer: replacement postponed",
        group=group,
        obstacle=obstacle.name,
        nodes=list(nodes),
    )
    return Choice(obstacle, list(paused))
