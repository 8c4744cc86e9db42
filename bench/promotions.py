"""Promote replicas at random moments, and check that no acknowledged commit is lost.

Usage:
  bench promotions [--count N] [--seed N] [--joins WHEN] [--late] [--go-on]

Options:
  --count N  Promotions to play [default: 10000].
  --seed N   Seed of the first play; each next one has the next seed [default: 1].
  --joins WHEN  When new replicas join: never, served (while the owner doesn't take the
                primary for lost) or always [default: never].
  --late     Leave orders without an answer and carry them out at any later step, unless
             their target has started again, and let owners die and others follow them.
  --go-on    Play on after a loss.

A play has a group of three targets, the real supervision of one node, and the answers
of three others, in one process. Between the checks targets stop receiving, lose their
registration while they live on, register again, crash and start without their log;
nodes fall silent and start again; the primary is lost, taken for lost, or leaves. While
an order is under way a primary that still runs commits through any node, and a replica
may register. A play ends after some promotions, or as the group can't go on.
"""

import asyncio
import logging
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from enum import StrEnum

import structlog
from docopt import docopt

from lavenderstack.core import clock
from lavenderstack.core.position import START, Position
from lavenderstack.core.view import Vm
from lavenderstack.core.work_messages import GroupPosition
from lavenderstack.node.backend import OrderRefused, OrderUnanswered
from lavenderstack.node.backend_fake import FakeTarget
from lavenderstack.node.failover import (
    order_settlement,
    promoter,
    receipt_reports,
    replica_sets,
    successor_choice,
)
from lavenderstack.node.failover.replacer_fake import ReplacerHarness

NODES = ("n1", "n2", "n3", "n4")
MAX_TARGETS = 6
PROMOTIONS_PER_PLAY = 8
STEPS_PER_PLAY = 300
MAX_COMMITS = 3
# The chance that a fault comes while an order is under way.
ORDERED_FAULT_CHANCE = 0.3
# The chance that a replica that joins is registered before it receives.
REGISTERED_CHANCE = 0.5
# The chance that an order gets no answer.
UNANSWERED_CHANCE = 0.5
# The chance in each step that one of those orders is carried out.
LATE_CHANCE = 0.2
# Turns of the event loop in which what replicas have received is reported.
REPORT_STEPS = 30
SHOWN_STEPS = 40


class Joins(StrEnum):
    """When new replicas join: ``SERVED`` is while the primary isn't taken for lost."""

    NEVER = "never"
    SERVED = "served"
    ALWAYS = "always"


@dataclass
class Node:
    """What a node has acknowledged since its start; a silent one doesn't tell."""

    position: Position = START
    started_at: float = float("-inf")
    silent: bool = False


@dataclass
class Play:
    """One play; ``steps`` are what happened, for the report of a loss."""

    seed: int
    joins: Joins = Joins.NEVER
    late: bool = False
    steps: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.nodes = {name: Node() for name in NODES}
        self.joining: list[str] = []
        self.harness = ReplacerHarness()
        for name in NODES[2:]:
            self.harness.directory.put_member(Vm(name, "z3", "10.0.0.3", 1))
        # Orders that had no answer.
        self.in_flight: list[tuple] = []
        self.carry_out = self.harness.group.promote
        self.harness.group.promote = self._promote
        self._show_nodes()

    async def run(self) -> int:
        """Play; return how many promotions there were."""
        await self.harness.claims.claim("g")
        await self.harness.check(2)
        for _ in range(STEPS_PER_PLAY):
            while self.joining:
                self.harness.put_target(self.joining.pop())
            self._act(self.rng.choice(self._actions()))
            self._write()
            await self._carry_out_late()
            self._write()
            # The owner follows the store, however long a play takes.
            self.harness.directory.proof.prove(clock.now())
            await self.harness.check()
            self._learn_acknowledged()
            if self.lost or len(self.harness.group.epochs) >= PROMOTIONS_PER_PLAY:
                break
        return len(self.harness.group.epochs)

    @property
    def lost(self) -> list[str]:
        """The targets that were promoted without an acknowledged commit."""
        return self.harness.group.incomplete

    def _act(self, action: Callable[[], None]) -> None:
        self.steps.append(action.__name__.strip("_"))
        action()
        self._show_nodes()

    def _actions(self) -> list[Callable[[], None]]:
        return [
            self._change_deafness,
            self._end_registration,
            self._register_again,
            self._crash_replica,
            self._start_again,
            self._silence_node,
            self._let_nodes_answer,
            self._restart_node,
            self._lose_primary,
            self._let_primary_leave,
            self._heal,
            *([self._join] if self.joins is not Joins.NEVER else []),
            *([self._change_owner] if self.late else []),
        ]

    def _show_nodes(self) -> None:
        """Let the owner get the answers of the nodes that aren't silent."""
        now = clock.now()
        self.harness.observed = {
            name: GroupPosition(node.position, now - node.started_at)
            for name, node in self.nodes.items()
            if not node.silent
        }

    def _write(self) -> None:
        """Commit through nodes, those too that the owner doesn't reach."""
        for _ in range(self.rng.randint(0, MAX_COMMITS)):
            name = self.rng.choice(NODES)
            self.steps.append(f"write through {name}")
            before = self.harness.group.acknowledged
            self.harness.commit_through(name)
            if self.harness.group.acknowledged > before:
                primary = self.harness.targets[self.harness.primary]
                self.nodes[name].position = primary.position
            self._show_nodes()

    async def _promote(self, *order) -> None:
        """Carry out an order, after other things have happened, or leave it for later.

        Raises ``OrderUnanswered`` if it is left, ``OrderRefused`` as the platform does.
        """
        self._act_while_ordered()
        for _ in range(REPORT_STEPS):
            await asyncio.sleep(0)
        self._learn_acknowledged()
        if self.late and self.rng.random() < UNANSWERED_CHANCE:
            self.in_flight.append(order)
            self.steps.append(f"{order[1]} ordered without an answer")
            raise OrderUnanswered("carried out later")
        await self.carry_out(*order)

    def _learn_acknowledged(self) -> None:
        """Take over what nodes have acknowledged once it wasn't held back any more."""
        for name, one in self.harness.observed.items():
            node = self.nodes[name]
            node.position = max(node.position, Position(*one.position))

    async def _carry_out_late(self) -> None:
        """Carry out an order that had no answer, unless a later one was carried out."""
        if self.late and self.in_flight and self.rng.random() < LATE_CHANCE:
            order = self.in_flight.pop(self.rng.randrange(len(self.in_flight)))
            if not self.harness.targets[order[1]].reachable:
                # The platform refuses an order of a target that isn't running.
                return
            self.steps.append(f"order of {order[1]} carried out late")
            with suppress(OrderRefused):
                await self.carry_out(*order)

    def _change_owner(self) -> None:
        self.harness.change_owner()

    def _act_while_ordered(self) -> None:
        self.steps.append("order under way")
        actions = [self._register_again, self._change_deafness]
        if self.joins is not Joins.NEVER:
            actions.insert(0, self._join)
        for action in actions:
            if self.rng.random() < ORDERED_FAULT_CHANCE:
                self._act(action)
        self._write()

    def _replicas(self) -> list[str]:
        targets = self.harness.targets
        return [name for name in targets if not targets[name].leads]

    def _is_registered(self, name: str) -> bool:
        return name in self.harness.directory.targets

    def _change_deafness(self) -> None:
        target = self.harness.targets[self.rng.choice(self._replicas())]
        target.deaf = not target.deaf

    def _end_registration(self) -> None:
        name = self.rng.choice(self._replicas())
        if self._is_registered(name):
            self.harness.end_registration(name)

    def _register_again(self) -> None:
        for name in self._replicas():
            if self.harness.targets[name].reachable:
                self.harness.put_target(name)

    def _crash_replica(self) -> None:
        name = self.rng.choice(self._replicas())
        if self._is_registered(name):
            self.harness.drop_target(name)

    def _start_again(self) -> None:
        for name in self._replicas():
            target = self.harness.targets[name]
            if not target.reachable:
                target.reachable = True
                target.resume()
                # It has lost its log; no owner can make these orders harmless.
                self.in_flight = [one for one in self.in_flight if one[1] != name]
                self.harness.restart_target(name)

    def _silence_node(self) -> None:
        self.nodes[self.rng.choice(NODES[1:])].silent = True

    def _let_nodes_answer(self) -> None:
        for node in self.nodes.values():
            node.silent = False

    def _restart_node(self) -> None:
        name = self.rng.choice(NODES[1:])
        self.nodes[name] = Node(started_at=clock.now())
        self.harness.end_hold(name)
        self.harness.waiting.pop(name, None)

    def _join(self) -> None:
        """Start a replica, which receives now and is registered by the next step."""
        if self.joins is Joins.SERVED and not self.harness.primary_answers:
            return
        name = f"t{len(self.harness.targets) + 1}"
        if len(self.harness.targets) < MAX_TARGETS:
            self.harness.targets[name] = FakeTarget(name)
            if self.rng.random() < REGISTERED_CHANCE:
                self.harness.put_target(name)
            else:
                self.joining.append(name)

    def _lose_primary(self) -> None:
        self.harness.primary_answers = False

    def _let_primary_leave(self) -> None:
        self.harness.put_target(self.harness.primary, leaving=True)

    def _heal(self) -> None:
        self.harness.primary_answers = True
        for target in self.harness.targets.values():
            target.deaf = False
        self._start_again()
        self._register_again()
        self._let_nodes_answer()


@contextmanager
def without_pauses() -> Iterator[None]:
    """Let the supervision try again at once, since no time passes between checks."""
    names = (
        (replica_sets, "BLOCKED_RETRY_S"),
        (replica_sets, "PROOF_RETRY_S"),
        (order_settlement, "RELEASE_RETRY_S"),
        (order_settlement, "EFFECT_LIMIT_S"),
        (successor_choice, "CATCH_UP_TIMEOUT_S"),
        (promoter, "ORDER_RETRY_S"),
        (receipt_reports, "REPORT_INTERVAL_S"),
    )
    before = [getattr(module, name) for module, name in names]
    for module, name in names:
        setattr(module, name, 0.0)
    try:
        yield
    finally:
        for (module, name), value in zip(names, before, strict=True):
            setattr(module, name, value)


async def play_until(
    count: int,
    seed: int,
    go_on: bool,
    joins: Joins = Joins.NEVER,
    late: bool = False,
) -> tuple[int, list[Play]]:
    """Play until there were ``count`` promotions; return how many, and the losses."""
    promotions, losses = 0, []
    with without_pauses():
        while promotions < count and (go_on or not losses):
            play = Play(seed, joins, late)
            promotions += await play.run()
            losses += [play] * bool(play.lost)
            seed += 1
    print(f"last seed {seed - 1}")
    return promotions, losses


def main(argv: list[str]) -> int:
    """Run the command; return the exit status, 1 if a commit was lost."""
    args = docopt(__doc__, argv)
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    count, seed = int(args["--count"]), int(args["--seed"])
    promotions, losses = asyncio.run(
        play_until(count, seed, args["--go-on"], Joins(args["--joins"]), args["--late"])
    )
    print(f"{promotions} promotions, {len(losses)} plays that lost a commit")
    for play in losses:
        print(f"LOST seed {play.seed}: {', '.join(play.steps[-SHOWN_STEPS:])}")
    return 1 if losses else 0
