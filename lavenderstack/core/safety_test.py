"""Random proposals, message losses, duplicates and delays never break safety.

Safety means that no acknowledged write is lost and no read is older than proved.
"""

import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lavenderstack.core.failover.evidence import PRIMARY, GroupEvidence, Observation
from lavenderstack.core.failover.promotion import (
    Adopted,
    Leading,
    PrimaryElected,
    ProposalFailed,
    Proposer,
    RefusedTerm,
    SendAdopt,
    SendFollow,
    SendLead,
    Tick,
    TimedOut,
    Wait,
    follow_actions,
)
from lavenderstack.core.position import START, Position

NAMES = "abc"
STEP_S = 0.003


@dataclass
class Target:
    """A target; ``log`` holds pairs of position and time of the write, each once."""

    name: str
    term: int = 0
    role: str = "replica"
    primary: str = ""
    log: list = field(default_factory=list)

    @property
    def last(self):
        return self.log[-1][0] if self.log else START

    def call(self, action):
        match action:
            case SendAdopt(_, term) if term > self.term:
                self.term, self.role, self.primary = term, "replica", ""
                return Adopted(self.name, term, self.last)
            case SendLead(_, term) if term == self.term and self.primary in (
                "",
                self.name,
            ):
                self.role, self.primary = PRIMARY, self.name
                return Leading(self.name, term)
            case SendFollow(_, term, primary) if term >= self.term:
                if not (term == self.term and self.role == PRIMARY):
                    self.term, self.role, self.primary = term, "replica", primary
                return None
            case _:
                return RefusedTerm(self.name, action.term, self.term)

    def pull(self, other, max_entries):
        """Copy at most ``max_entries`` entries of the log of the followed primary."""
        if other.term != self.term or other.role != PRIMARY or self.role == PRIMARY:
            return
        common = 0
        while self.log[common : common + 1] == other.log[common : common + 1] != []:
            common += 1
        new = other.log[common : common + max_entries]
        if new:
            self.log[common:] = new


@dataclass
class Write:
    entry: tuple
    committed_at: float | None = None
    acknowledged_at: float | None = None


class Simulation:
    """Targets, two proposers, and messages in transit.

    The first holder's evidence confirms writes, the second's proves reads. A partition
    isolates one target together with the second holder and the second proposer.
    The arguments ``x`` and ``y`` of each operation are random numbers that select the
    target, proposer, holder or message it affects and how.
    """

    def __init__(self):
        self.now = 0
        self.targets = {name: Target(name) for name in NAMES}
        self.proposers = [Proposer(NAMES, random.Random(i)) for i in range(2)]
        self.evidence = [GroupEvidence(NAMES), GroupEvidence(NAMES)]
        self.in_transit = []
        self.writes = []
        self.reads = []
        self.primaries = {}
        self.isolated = ""
        self.replaced_at = {}

    def step(self, op, x, y):
        self.now += 1
        getattr(self, op)(x, y)
        self.check()

    def propose(self, x, y):
        proposer = self.proposers[x % 2]
        known = self.targets[NAMES[y % 3]].term
        voters = NAMES.replace(NAMES[x % 3], "") if y > 7 else ""
        excluded = NAMES[x % 3] if y % 4 == 0 else ""
        actions = proposer.propose(known, self.now * STEP_S, voters, (), excluded)
        self.send(x % 2, actions)

    def send(self, proposer_index, actions):
        self.in_transit += [
            ("call", proposer_index, action)
            for action in actions
            if not isinstance(action, Wait | PrimaryElected | ProposalFailed)
        ]

    def deliver(self, x, y):
        """Deliver any message; y decides whether a duplicate stays in transit."""
        deliverable = [
            message for message in self.in_transit if self.is_deliverable(message)
        ]
        if not deliverable:
            return
        message = deliverable[x % len(deliverable)]
        if y % 6:
            self.in_transit.remove(message)
        getattr(self, "on_" + message[0])(*message[1:])

    def is_deliverable(self, message):
        match message:
            case ("call", proposer_index, action):
                return self.reaches(proposer_index, action.target)
            case ("probe", (name, holder), _):
                return self.reaches(holder, name)
        return True

    def reaches(self, side, name):
        return not self.isolated or (side == 1) == (name == self.isolated)

    def partition(self, x, y):
        """Isolate a target, often a supposed primary, or end the partition."""
        leading = [t.name for t in self.targets.values() if t.role == PRIMARY]
        names = leading if leading and y % 3 else NAMES
        self.isolated = "" if self.isolated else names[x % len(names)]

    def lose(self, x, y):
        """Lose a message; a lost call may appear as a timeout."""
        if self.in_transit and y % 3 == 0:
            kind, proposer_index, action = self.in_transit.pop(x % len(self.in_transit))
            if kind == "call":
                event = TimedOut(action.target, action.term)
                self.in_transit.append(("event", proposer_index, event))

    def on_call(self, proposer_index, action):
        target = self.targets[action.target]
        event = target.call(action)
        if isinstance(event, Leading):
            other = self.primaries.setdefault(
                action.term, (target.name, list(target.log))
            )
            assert other[0] == target.name, "two primaries in one term"
        if event is not None:
            self.in_transit.append(("event", proposer_index, event))

    def on_event(self, proposer_index, event):
        self.send(
            proposer_index,
            self.proposers[proposer_index].handle_event(event, self.now * STEP_S),
        )

    def tick(self, x, y):
        self.on_event(x % 2, Tick())

    def write(self, x, y):
        """Write to targets that consider themselves primary; answers are in transit."""
        for target in self.targets.values():
            if target.role == PRIMARY and (y % 2 or target.name == NAMES[x % 3]):
                position = Position(target.term, len(target.log) + 1)
                target.log.append((position, self.now))
                self.writes.append(Write(target.log[-1]))
                self.in_transit.append(("done", self.writes[-1], None))

    def on_done(self, write, _):
        if write.committed_at is None:
            write.committed_at = self.now

    def read(self, x, y):
        """Read from every target that considers itself the primary."""
        for target in self.targets.values():
            if target.role == PRIMARY:
                self.reads.append((self.now, target.term, list(target.log)))

    def pull(self, x, y):
        replica = self.targets[NAMES[x % 3]]
        disconnected = self.isolated in (replica.name, replica.primary)
        if replica.primary in self.targets and not disconnected:
            replica.pull(self.targets[replica.primary], 1 + y % 3)

    def probe(self, x, y):
        self.in_transit.append(("probe", (NAMES[x % 3], y % 2), self.now))

    def on_probe(self, target_and_holder, asked_at):
        name, holder = target_and_holder
        target = self.targets[name]
        seen = Observation(
            name, target.term, target.last, asked_at, target.role, target.primary
        )
        self.in_transit.append(("seen", seen, holder))

    def on_seen(self, seen, holder):
        self.evidence[holder].add_observation(seen)

    def follow(self, x, y):
        primary = self.evidence[y % 2].primary()
        seen = {name: self.evidence[y % 2].seen(name) for name in NAMES}
        known = {name: observation for name, observation in seen.items() if observation}
        if primary:
            self.send(x % 2, follow_actions(known, primary))

    def acknowledged(self, before):
        return [
            w.entry
            for w in self.writes
            if w.acknowledged_at and w.acknowledged_at < before
        ]

    def acknowledged_terms(self):
        return len({entry[0].term for entry in self.acknowledged(self.now)})

    def check(self):
        for term in {target.term for target in self.targets.values()}:
            if sum(t.term >= term for t in self.targets.values()) > 1:
                self.replaced_at.setdefault(term, self.now)
        self.check_writes()
        self.check_reads()

    def check_writes(self):
        for write in self.writes:
            position = write.entry[0]
            if write.committed_at is None or write.acknowledged_at:
                continue
            if self.evidence[0].confirmed(position, write.committed_at) is None:
                continue
            write.acknowledged_at = self.now
            for term, at in self.replaced_at.items():
                assert term <= position.term or at > write.committed_at, (
                    "the primary had been replaced"
                )
        for term, (_, log) in self.primaries.items():
            for write in self.writes:
                if write.acknowledged_at and write.entry[0].term < term:
                    assert write.entry in log, "an acknowledged write was lost"

    def check_reads(self):
        for at, term, log in self.reads:
            if self.evidence[1].term_holds(term, at):
                assert set(self.acknowledged(at)) <= set(log), "a fresh read was stale"
        for target in self.targets.values():
            age = self.evidence[1].proved_age(target.last, self.now)
            if age is not None:
                acknowledged = self.acknowledged(self.now - age)
                assert set(acknowledged) <= set(target.log), (
                    "data was older than proved"
                )


OPS = ["propose", "lose", "tick", "write", "read", "follow"]
RARE_OPS = ["propose", "partition"]
FREQUENT_OPS = ["deliver"] * 20 + ["pull"] * 4 + ["probe"] * 3 + ["write"]
steps = st.lists(
    st.tuples(
        st.sampled_from(OPS + FREQUENT_OPS + RARE_OPS),
        st.integers(0, 1000),
        st.integers(0, 11),
    ),
    max_size=150,
)


class TestInterleavings:
    @given(steps)
    @settings(max_examples=150, derandomize=True, deadline=None, database=None)
    def test_random_steps(self, script):
        simulation = Simulation()
        for step in script:
            simulation.step(*step)

    @pytest.mark.parametrize("seeds", [range(at, at + 8) for at in range(0, 24, 8)])
    def test_long_runs(self, seeds):
        """Long random runs reach acknowledgements in several terms of one group."""
        simulations = [self.long_run(random.Random(seed)) for seed in seeds]
        assert (
            sum(simulation.acknowledged_terms() >= 2 for simulation in simulations) >= 5
        )
        assert (
            sum(
                len(simulation.acknowledged(simulation.now))
                for simulation in simulations
            )
            >= 100
        )

    def long_run(self, rng):
        simulation = Simulation()
        often = OPS[1:] + FREQUENT_OPS * 3
        simulation.step("propose", 0, 0)
        for _ in range(2000):
            op = rng.choice(RARE_OPS if rng.random() < 0.008 else often)
            simulation.step(op, rng.randrange(1000), rng.randrange(12))
        return simulation
