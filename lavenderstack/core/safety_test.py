"""Any interleaving of proposers, losses, duplicates, delays and pauses is safe."""

import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lavenderstack.core.evidence import PRIMARY, GroupEvidence, Observation
from lavenderstack.core.position import START, Position
from lavenderstack.core.promotion import (
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

NAMES = "abc"
STEP_S = 0.003


@dataclass
class Target:
    """A target: ``log`` is a list of positions, each entry unique to its leader."""

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

    def pull(self, other, most):
        """Take over at most ``most`` entries of the followed primary's log."""
        if other.term != self.term or other.role != PRIMARY or self.role == PRIMARY:
            return
        same = 0
        while self.log[same : same + 1] == other.log[same : same + 1] != []:
            same += 1
        new = other.log[same : same + most]
        if new:
            self.log[same:] = new


@dataclass
class Write:
    entry: tuple
    after: float | None = None
    acked_at: float | None = None


class World:
    """Targets, two proposers, and messages under way.

    Writes are proved by one holder's evidence, reads by that of another. A zone
    that is cut off holds one target, the reading holder and the second proposer.
    """

    def __init__(self):
        self.now = 0
        self.targets = {name: Target(name) for name in NAMES}
        self.proposers = [Proposer(NAMES, random.Random(i)) for i in range(2)]
        self.evidence = [GroupEvidence(NAMES), GroupEvidence(NAMES)]
        self.flight = []
        self.writes = []
        self.reads = []
        self.led = {}
        self.cut_off = ""
        self.replaced_at = {}

    def step(self, op, x, y):
        self.now += 1
        getattr(self, op)(x, y)
        self.check()

    def propose(self, x, y):
        proposer = self.proposers[x % 2]
        known = self.targets[NAMES[y % 3]].term
        voters = NAMES.replace(NAMES[x % 3], "") if y > 7 else ""
        self.send(x % 2, proposer.propose(known, self.now * STEP_S, voters))

    def send(self, who, actions):
        self.flight += [
            ("call", who, action)
            for action in actions
            if not isinstance(action, Wait | PrimaryElected | ProposalFailed)
        ]

    def deliver(self, x, y):
        """Deliver any message; y decides whether it is also kept as a duplicate."""
        passing = [message for message in self.flight if self.passes(message)]
        if not passing:
            return
        message = passing[x % len(passing)]
        if y % 6:
            self.flight.remove(message)
        getattr(self, "on_" + message[0])(*message[1:])

    def passes(self, message):
        match message:
            case ("call", who, action):
                return self.reaches(who, action.target)
            case ("look", (name, holder), _):
                return self.reaches(holder, name)
        return True

    def reaches(self, side, name):
        return not self.cut_off or (side == 1) == (name == self.cut_off)

    def cut(self, x, y):
        """Cut off a target, often one that believes it leads, or mend the cut."""
        leading = [t.name for t in self.targets.values() if t.role == PRIMARY]
        names = leading if leading and y % 3 else NAMES
        self.cut_off = "" if self.cut_off else names[x % len(names)]

    def lose(self, x, y):
        """Lose a message; a lost call may show as a time-out."""
        if self.flight and y % 3 == 0:
            kind, who, action = self.flight.pop(x % len(self.flight))
            if kind == "call":
                event = TimedOut(action.target, action.term)
                self.flight.append(("event", who, event))

    def on_call(self, who, action):
        target = self.targets[action.target]
        event = target.call(action)
        if isinstance(event, Leading):
            other = self.led.setdefault(action.term, (target.name, list(target.log)))
            assert other[0] == target.name, "two targets led one term"
        if event is not None:
            self.flight.append(("event", who, event))

    def on_event(self, who, event):
        self.send(who, self.proposers[who].handle_event(event, self.now * STEP_S))

    def tick(self, x, y):
        self.on_event(x % 2, Tick())

    def write(self, x, y):
        """Write at any target that believes it leads; its answer is under way."""
        for target in self.targets.values():
            if target.role == PRIMARY and (y % 2 or target.name == NAMES[x % 3]):
                position = Position(target.term, len(target.log) + 1)
                target.log.append((position, self.now))
                self.writes.append(Write(target.log[-1]))
                self.flight.append(("done", self.writes[-1], None))

    def on_done(self, write, _):
        if write.after is None:
            write.after = self.now

    def read(self, x, y):
        """Read from every target that believes it leads."""
        for target in self.targets.values():
            if target.role == PRIMARY:
                self.reads.append((self.now, target.term, list(target.log)))

    def pull(self, x, y):
        replica = self.targets[NAMES[x % 3]]
        severed = self.cut_off in (replica.name, replica.primary)
        if replica.primary in self.targets and not severed:
            replica.pull(self.targets[replica.primary], 1 + y % 3)

    def look(self, x, y):
        self.flight.append(("look", (NAMES[x % 3], y % 2), self.now))

    def on_look(self, asked, asked_at):
        name, holder = asked
        target = self.targets[name]
        seen = Observation(
            name, target.term, target.last, asked_at, target.role, target.primary
        )
        self.flight.append(("seen", seen, holder))

    def on_seen(self, seen, holder):
        self.evidence[holder].add_observation(seen)

    def follow(self, x, y):
        leader = self.evidence[y % 2].leader()
        seen = {name: self.evidence[y % 2].seen(name) for name in NAMES}
        known = {name: one for name, one in seen.items() if one}
        if leader:
            self.send(x % 2, follow_actions(known, leader))

    def acked(self, before):
        return [w.entry for w in self.writes if w.acked_at and w.acked_at < before]

    def acked_terms(self):
        return len({entry[0].term for entry in self.acked(self.now)})

    def check(self):
        for term in {target.term for target in self.targets.values()}:
            if sum(t.term >= term for t in self.targets.values()) > 1:
                self.replaced_at.setdefault(term, self.now)
        self.check_writes()
        self.check_reads()

    def check_writes(self):
        for write in self.writes:
            position = write.entry[0]
            if write.after is None or write.acked_at:
                continue
            if self.evidence[0].confirmed(position, write.after) is None:
                continue
            write.acked_at = self.now
            for term, at in self.replaced_at.items():
                assert term <= position.term or at > write.after, "was replaced"
        for term, (_, log) in self.led.items():
            for write in self.writes:
                if write.acked_at and write.entry[0].term < term:
                    assert write.entry in log, "an acknowledged write was lost"

    def check_reads(self):
        for at, term, log in self.reads:
            if self.evidence[1].term_holds(term, at):
                assert set(self.acked(at)) <= set(log), "a fresh read was stale"
        for target in self.targets.values():
            age = self.evidence[1].proved_age(target.last, self.now)
            if age is not None:
                acked = self.acked(self.now - age)
                assert set(acked) <= set(target.log), "data was older than proved"


OPS = ["propose", "lose", "tick", "write", "read", "follow"]
RARE = ["propose", "cut"]
OFTEN = ["deliver"] * 20 + ["pull"] * 4 + ["look"] * 3 + ["write"]
steps = st.lists(
    st.tuples(
        st.sampled_from(OPS + OFTEN + RARE), st.integers(0, 1000), st.integers(0, 11)
    ),
    max_size=150,
)


class TestInterleavings:
    @given(steps)
    @settings(max_examples=150, derandomize=True, deadline=None, database=None)
    def test_drawn(self, script):
        world = World()
        for step in script:
            world.step(*step)

    @pytest.mark.parametrize("seeds", [range(at, at + 8) for at in range(0, 24, 8)])
    def test_long(self, seeds):
        """Long random runs reach acknowledgements in several terms of one group."""
        worlds = [self.long_run(random.Random(seed)) for seed in seeds]
        assert sum(world.acked_terms() >= 2 for world in worlds) >= 5
        assert sum(len(world.acked(world.now)) for world in worlds) >= 100

    def long_run(self, rng):
        world = World()
        often = OPS[1:] + OFTEN * 3
        world.step("propose", 0, 0)
        for _ in range(2000):
            op = rng.choice(RARE if rng.random() < 0.008 else often)
            world.step(op, rng.randrange(1000), rng.randrange(12))
        return world
