"""Tests of the stand-in's log under any order of proposals, writes and pulls.

Many tests rely on the stand-in, so it is tested as strictly as the product: an entry
that a majority held in the term of its primary must be in the log of every later
primary.
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
REPLICA_INDEX = st.integers(0, 2)
# Index from the end of the proposals or primaries; mostly the latest is used.
RECORDS_AGO = st.sampled_from([0, 0, 0, 1, 2])


class Group(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.logs = {name: ReplicaLog(name) for name in NAMES}
        self.term = 0
        self.proposals = []
        self.primaries = []
        self.committed = {}
        self.value = 0

    @rule(first=REPLICA_INDEX, other=st.integers(1, 2))
    def propose(self, first, other):
        """Make a majority adopt a term; its winner may become primary later."""
        self.term += 1
        voters = [self.logs[NAMES[i % 3]] for i in (first, first + other)]
        for log in voters:
            log.adopt(self.term)
        winner = max(voters, key=lambda log: log.last)
        self.proposals.append((self.term, winner.name))

    @rule(first=REPLICA_INDEX, other=st.integers(1, 2), replica=REPLICA_INDEX)
    def promote(self, first, other, replica):
        """Complete a promotion without delay, which is the usual case."""
        self.propose(first, other)
        self.lead(0)
        self.follow(replica, 0)

    @rule(records_ago=RECORDS_AGO)
    def lead(self, records_ago):
        """Make the winner of one of the last three proposals primary, if it accepts."""
        for term, name in self.proposals[-1 - records_ago :][:1]:
            with suppress(TargetRefused):
                self.logs[name].lead(term)
                self.primaries.append((term, name))

    @rule(replica=REPLICA_INDEX, records_ago=RECORDS_AGO)
    def follow(self, replica, records_ago):
        """Make a target follow one of the last three primaries, if it accepts."""
        for term, name in self.primaries[-1 - records_ago :][:1]:
            with suppress(TargetRefused):
                self.logs[NAMES[replica]].follow(term, name)

    @rule(index=REPLICA_INDEX, max_entries=st.integers(1, 3))
    def replicate(self, index, max_entries):
        """Make a replica pull some of the entries of its primary."""
        replica = self.logs[NAMES[index]]
        primary = self.logs.get(replica.primary)
        if primary is None or primary is replica:
            return
        after = replica.last
        with suppress(TargetRefused):
            while not (pulled := primary.pull(after, replica.term)).matched:
                after = replica.last_of_earlier_term(after)
            replica.accept(after, pulled.entries[:max_entries], replica.term)

    @rule(index=REPLICA_INDEX)
    def write(self, index):
        """Write on a primary, also on one that does not know it was replaced."""
        log = self.logs[NAMES[index]]
        self.value += 1
        args = ["t", self.value % 3, self.value]
        with suppress(TargetRefused):
            Session(log).run("put", args, True, log.term, f"r{self.value}")

    @invariant()
    def each_term_has_one_primary(self):
        primary_of_term = dict(self.primaries)
        assert all(primary_of_term[term] == name for term, name in self.primaries)

    @invariant()
    def committed_entries_are_in_every_later_primary(self):
        for log in self.logs.values():
            if log.role == PRIMARY:
                self._record_committed(log)
        for position, (term, entry) in self.committed.items():
            for log in self.logs.values():
                if log.role == PRIMARY and log.term >= term:
                    assert log.entries[position.seq - 1] == entry

    def _record_committed(self, log):
        same_term = [other for other in self.logs.values() if other.term == log.term]
        # An entry of an earlier term may be held by a majority and still be lost.
        own_term_entries = [e for e in log.entries if e.position.term == log.term]
        for entry in own_term_entries:
            if sum(other.has_entry(entry.position) for other in same_term) >= MAJORITY:
                self.committed.setdefault(entry.position, (log.term, entry))

    @invariant()
    def logs_with_a_common_entry_agree_before_it(self):
        for first_log, second_log in pairwise([*self.logs.values(), self.logs["a"]]):
            shared = 0
            for seq in range(
                min(len(first_log.entries), len(second_log.entries)), 0, -1
            ):
                if first_log.entries[seq - 1] == second_log.entries[seq - 1]:
                    shared = seq
                    break
            assert first_log.entries[:shared] == second_log.entries[:shared]

    @invariant()
    def tables_result_from_applying_the_log(self):
        for log in self.logs.values():
            seqs = [entry.position.seq for entry in log.entries]
            assert seqs == list(range(1, len(seqs) + 1))
            rows = {c.key: c.value for e in log.entries for c in e.changes}
            assert log.tables.get("t", {}) == rows
            assert log.idempotency_keys == {
                e.idempotency_key: e.position for e in log.entries if e.idempotency_key
            }


TestGroup = Group.TestCase
TestGroup.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=50, deadline=None
)
