"""How far a group's log is known to be acknowledged, by its primary and by the nodes.

Every acknowledgement passes through a node. So a replica that has received the highest
position that any node has acknowledged has every acknowledged commit.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from lavenderstack.core import clock
from lavenderstack.core.catalog import TargetState
from lavenderstack.core.failover import store_history
from lavenderstack.core.failover.acknowledged_end import AcknowledgedEnd
from lavenderstack.core.failover.isolation import is_isolated
from lavenderstack.core.failover.last_answer import LastAnswer, end_since
from lavenderstack.core.failover.store_history import ToldPosition
from lavenderstack.core.position import START, Position
from lavenderstack.core.work_messages import (
    GroupPosition,
    GroupPositionRequest,
    PrimaryPosition,
)
from lavenderstack.node.directory import Directory
from lavenderstack.node.failover.hold_requests import (
    HoldRequests,
    Told,
)
from lavenderstack.node.failover.primary_probe import PROBE_TIMEOUT_S
from lavenderstack.node.peers import Peers

# How long nodes may take to object to a promotion that the replica set allows.
OBJECTION_TIMEOUT_S = 0.1
# Above the term of any primary; used where that of the lost one isn't known, which is
# so too as long as its log is empty.
ANY_TERM = 2**62


@dataclass(frozen=True, slots=True)
class HeldEnd:
    """The highest position that nodes acknowledged when they were asked to hold back.

    ``everywhere`` tells that every node that may acknowledge commits holds them back,
    ``isolated`` that fewer than half of the nodes that were asked first answered.
    """

    position: Position
    everywhere: bool
    isolated: bool = False


class GroupPositions:
    """What this node, as the owner of groups, learns about their logs.

    ``identity`` names this node and its run, as in its claims. ``terms`` maps a group
    to the newest term that any of its targets reported.
    """

    def __init__(
        self,
        directory: Directory,
        peers: Peers,
        identity: str,
        terms: Mapping[str, int],
    ) -> None:
        self._terms = terms
        self._directory = directory
        self._peers = peers
        self._last_answers: dict[str, LastAnswer] = {}
        # The groups whose holds concern every term.
        self._every_term: set[str] = set()
        self._holds = HoldRequests(directory, peers, identity)

    def record_answer(
        self, primary: TargetState, answer: PrimaryPosition, asked_at: float
    ) -> None:
        """Remember a position that the primary reported after ``asked_at``."""
        group, position = primary.group, Position(*answer.position)
        before = self._last_answers.get(group)
        if before is not None and before.primary == primary.target.name:
            position = max(position, before.position)
        self._last_answers[group] = LastAnswer(
            primary.target.name,
            position,
            asked_at - answer.age_s,
            self._holds.nodes_seen_lately(),
            primary.leads_since,
        )

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
        names = [vm.name for vm in self._peers.live()]
        msg = GroupPositionRequest(group)
        return (await self._holds.ask(names, msg, OBJECTION_TIMEOUT_S)).highest

    async def hold(
        self, group: str, primary: str, timeout_s: float = OBJECTION_TIMEOUT_S
    ) -> HeldEnd:
        """Let all nodes hold back acknowledgements; return how far they have got.

        ``primary`` is the name of the lost one, empty if it isn't known.
        """
        names = self._holds.nodes_seen_lately()
        return await self._hold(group, primary, names, timeout_s)

    async def hold_for_planned(self, group: str, primary: str) -> HeldEnd:
        """Let all nodes hold back acknowledgements before a planned change."""
        names = self._holds.nodes_that_may_acknowledge()
        return await self._hold(group, primary, names, PROBE_TIMEOUT_S)

    def set_every_term(self, group: str, needed: bool) -> None:
        """Set whether holds of a group concern all terms, not just the primary's."""
        (self._every_term.add if needed else self._every_term.discard)(group)

    def holds(self, group: str) -> bool:
        """Return whether this node has asked for a hold that hasn't ended."""
        return self._holds.term(group) > 0

    def holds_every_term(self, group: str) -> bool:
        """Return whether nodes hold back commits of every term."""
        return self._holds.term(group) == ANY_TERM

    async def hold_below(self, group: str, term: int) -> None:
        """Hold back what was committed before a term, and nothing else any more."""
        names = self._holds.nodes_seen_lately()
        await self._holds.hold(group, term - 1, names, PROBE_TIMEOUT_S)

    async def held_before(self, group: str, epoch: int) -> bool:
        """Return whether a node holds for an owner before the one with this epoch."""
        names = self._holds.nodes_seen_lately()
        msg = GroupPositionRequest(group)
        told = await self._holds.ask(names, msg, OBJECTION_TIMEOUT_S)
        return told.held_before(epoch)

    async def _hold(
        self, group: str, primary: str, names: frozenset[str], timeout_s: float
    ) -> HeldEnd:
        term = self._term(group, self._last_answer(group, primary))
        told = await self._holds.hold(group, term, names, timeout_s)
        return HeldEnd(told.highest, told.hold_back(names), self._is_isolated(told))

    async def silent_nodes(self, group: str) -> list[str]:
        """Return the nodes that may acknowledge commits and give no answer."""
        names = self._holds.nodes_that_may_acknowledge()
        msg = GroupPositionRequest(group)
        told = await self._holds.ask(names, msg, PROBE_TIMEOUT_S)
        return sorted(names - told.answered())

    async def release_up_to(
        self, group: str, received: Position, everywhere: bool
    ) -> None:
        """Let nodes that hold back acknowledgements give those up to a position.

        With ``everywhere`` all nodes are asked, also those that registered or started
        again since; otherwise only those that acknowledge commits of the group.
        """
        names = self._holds.acknowledging(group)
        if everywhere:
            names = self._holds.nodes_that_may_acknowledge()
        term = self._holds.term(group)
        if term:
            await self._holds.hold(group, term, names, OBJECTION_TIMEOUT_S, received)

    def _is_isolated(self, told: Told) -> bool:
        asked = told.first.intersection(self._directory.view.vms)
        answered = asked & {*told.answered(), self._directory.name}
        return is_isolated(len(answered), len(asked))

    def release(self, group: str) -> None:
        """Let the nodes acknowledge commits again, as nobody takes over."""
        self._holds.release(group)

    def taken_over(self, group: str) -> None:
        """Leave holds to their end: all nodes were told which replica took over."""
        self._holds.forget(group)

    def observe_nodes(self) -> None:
        """Notice which nodes are registered now."""
        self._holds.nodes_seen_lately()

    def _last_answer(self, group: str, primary: str) -> LastAnswer | None:
        """Return the last answer of this primary, None if there was none."""
        last = self._last_answers.get(group)
        if last is None or primary not in ("", last.primary):
            return None
        return last

    def _term(self, group: str, last: LastAnswer | None) -> int:
        """Return the term of the primary that gave this answer, if it still leads it.

        It may have led again since, without an answer.
        """
        known = last.position.term if last else 0
        if not known or group in self._every_term:
            return ANY_TERM
        state = self._directory.targets.get(last.primary)
        is_same_lead = state is None or state.leads_since == last.leads_since
        is_newest = known >= self._terms.get(group, 0)
        return known if is_same_lead and is_newest else ANY_TERM

    async def acknowledged_end(self, group: str, primary: str) -> AcknowledgedEnd:
        """Return the highest position that may have been acknowledged, if it is known.

        Every acknowledgement passes through a node, so a replica that has received
        this has every acknowledged commit, whatever the other replicas hold. The nodes
        acknowledge no more of what they have sent before.
        """
        last = self._last_answer(group, primary)
        asked_at = clock.now()
        lately = self._holds.nodes_seen_lately()
        names = sorted(lately.union(last.nodes if last else ()))
        told = await self._holds.hold(
            group, self._term(group, last), names, PROBE_TIMEOUT_S
        )
        if not told.hold_back(lately):
            silent = [name for name in lately if not told.hold_back([name])]
            return AcknowledgedEnd(untold=tuple(sorted(silent)))
        told = told.answers
        end = (
            end_since(last, asked_at, told) if last else self._end_since_beginning(told)
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
