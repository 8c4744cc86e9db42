"""The rules of the stand-in's log, under any order of proposals, writes and pulls.

Many tests trust the stand-in, so it is tested as the product is: whatever happens,
an entry that a majority held in the term of its primary is in every later primary.
"""

from contextlib import suppress
from itertools import pairwise

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lavenderstack.border.target import TargetRefused
from standins.replica_log import PRIMARY, ReplicaLog
from standins.session import Session

NAMES = ["a", "b", "c"]
MAJORITY = 2
PLACE = st.integers(0, 2)
LATE = st.sampled_from([0, 0, 0, 1, 2])


class Group(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.logs = {name: ReplicaLog(name) for name in NAMES}
        self.term = 0
        self.granted = []
        self.led = []
        self.kept = {}
        self.value = 0

    @rule(first=PLACE, other=st.integers(1, 2))
    def propose(self, first, other):
        """Make a majority adopt a term; the proposer may be slow to go on."""
        self.term += 1
        asked = [self.logs[NAMES[i % 3]] for i in (first, first + other)]
        for log in asked:
            log.adopt(self.term)
        best = max(asked, key=lambda log: log.last)
        self.granted.append((self.term, best.name))

    @rule(first=PLACE, other=st.integers(1, 2), replica=PLACE)
    def promote(self, first, other, replica):
        """Go through a whole promotion, as most of them go."""
        self.propose(first, other)
        self.lead(0)
        self.follow(replica, 0)

    @rule(late=LATE)
    def lead(self, late):
        """Let a proposer go on, perhaps long after."""
        for term, name in self.granted[-1 - late :][:1]:
            with suppress(TargetRefused):
                self.logs[name].lead(term)
                self.led.append((term, name))

    @rule(replica=PLACE, late=LATE)
    def follow(self, replica, late):
        """Tell a target to follow whoever leads a term, perhaps an old one."""
        for term, name in self.led[-1 - late :][:1]:
            with suppress(TargetRefused):
                self.logs[NAMES[replica]].follow(term, name)

    @rule(place=PLACE, most=st.integers(1, 3))
    def replicate(self, place, most):
        """Let a replica pull a part of what its primary has."""
        replica = self.logs[NAMES[place]]
        primary = self.logs.get(replica.primary)
        if primary is None or primary is replica:
            return
        after = replica.last
        with suppress(TargetRefused):
            while not (pulled := primary.pull(after, replica.term)).matched:
                after = replica.before(after)
            replica.accept(after, pulled.entries[:most], replica.term)

    @rule(place=PLACE)
    def write(self, place):
        """Write on a primary, also on one that was replaced unawares."""
        log = self.logs[NAMES[place]]
        self.value += 1
        args = ["t", self.value % 3, self.value]
        with suppress(TargetRefused):
            Session(log).run("put", args, True, log.term, f"r{self.value}")

    @invariant()
    def one_target_leads_a_term(self):
        leaders = dict(self.led)
        assert all(leaders[term] == name for term, name in self.led)

    @invariant()
    def what_a_majority_held_is_in_every_later_primary(self):
        for log in self.logs.values():
            if log.role == PRIMARY:
                self._note_kept(log)
        for position, (term, entry) in self.kept.items():
            for log in self.logs.values():
                if log.role == PRIMARY and log.term >= term:
                    assert log.entries[position.seq - 1] == entry

    def _note_kept(self, log):
        same = [each for each in self.logs.values() if each.term == log.term]
        # An entry of an earlier term may be held by a majority and still be lost.
        own = [e for e in log.entries if e.position.term == log.term]
        for entry in own:
            if sum(each.holds(entry.position) for each in same) >= MAJORITY:
                self.kept.setdefault(entry.position, (log.term, entry))

    @invariant()
    def logs_that_share_an_entry_share_all_before(self):
        for one, other in pairwise([*self.logs.values(), self.logs["a"]]):
            shared = 0
            for seq in range(min(len(one.entries), len(other.entries)), 0, -1):
                if one.entries[seq - 1] == other.entries[seq - 1]:
                    shared = seq
                    break
            assert one.entries[:shared] == other.entries[:shared]

    @invariant()
    def the_tables_are_the_log_applied(self):
        for log in self.logs.values():
            seqs = [entry.position.seq for entry in log.entries]
            assert seqs == list(range(1, len(seqs) + 1))
            rows = {c.key: c.value for e in log.entries for c in e.changes}
            assert log.tables.get("t", {}) == rows
            assert log.remembered == {
                e.idempotency_key: e.position for e in log.entries if e.idempotency_key
            }


TestGroup = Group.TestCase
TestGroup.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=50, deadline=None
)
