"""Executors of a node over a fake group, for tests."""

from lavenderstack.core import clock
from lavenderstack.core.catalog import Catalog
from lavenderstack.core.position import START
from lavenderstack.core.statement import Statement, StatementKind
from lavenderstack.core.view import Plan, Target
from lavenderstack.core.view_proof import ViewProof
from lavenderstack.core.work_messages import Access, Work
from lavenderstack.node.backend_fake import FakeBackend, FakeGroup, FakeTarget
from lavenderstack.node.directory import Directory
from lavenderstack.node.executors import Executors

READ = Statement(StatementKind.READ, "READ a")
WRITE = Statement(StatementKind.WRITE, "WRITE a b", writes=True)
COMMIT = Statement(StatementKind.COMMIT, "COMMIT")


class ExecutorHarness:
    """An executor over a fake group whose primary is ``t1``."""

    def __init__(self, min_position=START, slots=2):
        names = ("t1", "t2", "t3")
        self.slots = slots
        self.targets = {name: FakeTarget(name, leads=name == "t1") for name in names}
        self.group = FakeGroup(self.targets)
        self.directory = Directory("n1", "z1", ViewProof(limit_s=5.0))
        self.directory.update_catalog(
            Catalog(version=1, keys={"d": "org"}, plans={"org": Plan("org", 1, 1)})
        )
        self.directory.proof.prove(clock.now())
        for revision, name in enumerate(names, 1):
            target = Target(name, "z1", "10.0.0.1", 1, slots, 30)
            self.directory.put_target(target, "g", False, name == "t1", revision)
        self.min_position = min_position

        async def min_position_for(group, max_age_s, now, within_s):
            return self.min_position

        def start_node():
            backend = FakeBackend(self.group)
            return Executors(self.directory, backend, min_position_for, lambda _: True)

        self.start_node = start_node
        self.executors = start_node()

    def restart_node(self):
        """Kill the node and start it again under its name."""
        for executor in self.executors.target_executors.values():
            executor.close()
        self.executors = self.start_node()

    def move_target(self):
        """Make ``t1`` known at another address, so that it gets a new executor."""
        moved = Target("t1", "z1", "10.0.0.2", 1, self.slots, 30)
        self.directory.put_target(moved, "g", False, True, 9)

    async def run(self, statement=READ, access=Access.WRITE, target="t1", **fields):
        """Run a statement of the organisation and return the answer."""
        work = Work(
            **{
                "request": "r1",
                "organisation": "org",
                "key_digest": "d",
                "version": 1,
                "group": "g",
                "target": target,
                "statement": statement,
                "access": access,
                "left_s": 0.5,
            }
            | fields
        )
        return await self.executors.work(work)
