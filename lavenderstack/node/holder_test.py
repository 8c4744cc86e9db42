"""Tests of the holder against simulated targets of one group, over loopback."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace

import pytest

from lavenderstack.border import target as adapter
from lavenderstack.core import clock
from lavenderstack.core.failover.evidence import Observation
from lavenderstack.core.failover.group_messages import ProbeReply, ProbeRequest
from lavenderstack.core.messages import Begin, Begun, End, Execute, Executed, Failed
from lavenderstack.core.outcome import Reason, Refused
from lavenderstack.core.position import Position
from lavenderstack.core.view import Group, Key, Plan, Target, View, Vm
from lavenderstack.node import target_holder, transactions
from lavenderstack.node.confirm import running_confirmer
from lavenderstack.node.evacuation.zone_evacuations_test import FakeEvacuations
from lavenderstack.node.holder import Holders
from lavenderstack.node.target_holder import TargetHolder
from standins.replica_log import ReplicaLog
from standins.target import Limits, serve

NAMES = ["a", "b", "c"]
DIGEST = "d" * 64
TIMEOUT_S = 2.0


class FakeControl:
    """A control interface that admits everything, until a test changes it."""

    def __init__(self, view):
        self.view = view
        self.fresh = True
        self.admitted = 0
        self.evacuations = FakeEvacuations()

    def usable(self, now):
        return self.fresh

    async def admit(self, organisation, deadline):
        self.admitted += 1

    def withdraw(self):
        self.view = replace(self.view, keys={DIGEST: Key(DIGEST, "lipa", True)})

    def leave(self, name):
        vm = Vm(name, "z", "127.0.0.1", 1, "target", "leaving")
        self.view = replace(self.view, vms={name: vm})


class HoldersHarness:
    """A node's holders and their simulated targets; ``a`` is the primary."""

    def __init__(self, holders, control, targets):
        self.holders = holders
        self.control = control
        self.targets = targets

    async def run(self, statement, *args, target="a", **options):
        msg = Execute(
            **{
                "request": "r",
                "organisation": "lipa",
                "key_digest": DIGEST,
                "group": "studio",
                "target": target,
                "statement": statement,
                "args": list(args),
                "write": False,
                "left_s": TIMEOUT_S,
                **options,
            }
        )
        return await self.holders.handle(msg)

    async def put(self, key, value, **options):
        return await self.run("put", "t", key, value, write=True, **options)

    async def begin(self, organisation="lipa"):
        msg = Begin(
            request="r",
            organisation=organisation,
            key_digest=DIGEST,
            group="studio",
            target="a",
            left_s=TIMEOUT_S,
        )
        return await self.holders.handle(msg)

    async def end(self, name, commit=True, organisation="lipa"):
        msg = End(
            request="r",
            organisation=organisation,
            key_digest=DIGEST,
            transaction=name,
            commit=commit,
            left_s=TIMEOUT_S,
        )
        return await self.holders.handle(msg)


async def make_first_primary(group):
    """Make the first target the primary of term 1."""
    conns = []
    for target in group.targets:
        conns.append(
            await adapter.connect(target.host, target.port, "studio", TIMEOUT_S)
        )
        await conns[-1].adopt(1, TIMEOUT_S)
    await conns[0].lead(1, NAMES[1:], TIMEOUT_S)
    first = group.targets[0]
    for conn in conns[1:]:
        await conn.follow(1, first.name, first.host, first.port, TIMEOUT_S)
    for conn in conns:
        conn.close()


@asynccontextmanager
async def running_holders(**limits):
    async with AsyncExitStack() as stack:
        targets, view_targets = [], []
        for name in NAMES:
            serving = serve(name, "studio", Limits(**limits))
            target, port = await stack.enter_async_context(serving)
            targets.append(target)
            view_targets.append(Target(name, "z", "127.0.0.1", port, 2, 20))
        group = Group("studio", tuple(view_targets), frozenset({"lipa"}))
        await make_first_primary(group)
        view = View(
            plans={"p": Plan("p", 10, 10)},
            bought={"lipa": "p"},
            keys={DIGEST: Key(DIGEST, "lipa")},
            groups={"studio": group},
        )
        control = FakeControl(view)
        holders = None

        async def ask(name):
            reply = await holders.probe(ProbeRequest("studio", name))
            if not reply.answered:
                raise ConnectionError(name)
            return Observation(
                name, reply.term, reply.last, 0.0, reply.role, reply.primary
            )

        confirmer = await stack.enter_async_context(running_confirmer(NAMES, ask))

        def make(target, group):
            return TargetHolder("n1", target, group, control, confirmer)

        holders = Holders(control, make)
        maintenance = asyncio.ensure_future(holders.run())
        try:
            yield HoldersHarness(
                holders, control, dict(zip(NAMES, targets, strict=True))
            )
        finally:
            maintenance.cancel()
            await asyncio.gather(maintenance, return_exceptions=True)


class TestStatements:
    async def test_acknowledged_write_is_stored_by_a_majority(self):
        async with running_holders() as node:
            done = await node.put("k", 1)
            assert isinstance(done, Executed)
            assert len(done.holders) >= 2
            held = [node.targets[name].log.last for name in done.holders]
            assert all(last >= done.position for last in held)

    async def test_session_reads_its_write_from_a_replica_that_has_it(self):
        async with running_holders() as node:
            done = await node.put("k", 1)
            replica = next(name for name in done.holders if name != "a")
            read = await node.run(
                "get",
                "t",
                "k",
                target=replica,
                min_position=done.position,
                wait_s=TIMEOUT_S,
            )
            assert read.result == 1

    async def test_fresh_read_is_confirmed_in_the_term_of_the_primary(
        self, monkeypatch
    ):
        """Even a target that would still serve reads after its replacement fails."""
        async with running_holders() as node:
            await node.put("k", 1)
            assert (await node.run("get", "t", "k", fresh=True)).result == 1
            monkeypatch.setattr(ReplicaLog, "require_primary", lambda log, term: None)
            for target in node.targets.values():
                target.log.adopt(2)
            node.targets["b"].log.lead(2)
            read = await node.run("get", "t", "k", fresh=True)
            assert (read.run, read.reason) == (False, Reason.NO_PRIMARY)

    async def test_read_from_a_lagging_replica_is_refused(self):
        async with running_holders() as node:
            node.targets["c"].fault("lag_ms", 60_000)
            done = await node.put("k", 1)
            read = await node.run(
                "get", "t", "k", target="c", min_position=done.position, wait_s=0.02
            )
            assert (read.run, read.reason) == (False, Reason.BEHIND)

    async def test_read_waits_for_a_replica_that_is_slightly_behind(self):
        async with running_holders() as node:
            node.targets["c"].fault("lag_ms", 50)
            done = await node.put("k", 1)
            read = await node.run(
                "get",
                "t",
                "k",
                target="c",
                min_position=done.position,
                wait_s=TIMEOUT_S,
            )
            assert read.result == 1

    async def test_repeated_request_id_is_not_run_again(self):
        async with running_holders() as node:
            add = ("add", "t", "n", 1)
            first = await node.run(*add, write=True, idempotency_key="lipa:r1")
            again = await node.run(*add, write=True, idempotency_key="lipa:r1")
            assert isinstance(first, Executed)
            assert (first.repeated, again.repeated) == (False, True)
            assert (await node.run("get", "t", "n")).result == 1

    async def test_read_with_max_age_returns_its_age(self):
        async with running_holders() as node:
            await node.put("k", 1)
            read = await node.run(
                "get", "t", "k", target="b", max_age_s=1.0, wait_s=TIMEOUT_S
            )
            assert 0 <= read.age_s <= 1.0


LOST_ANSWER_FAULTS = [
    ("lost_answer", 1, True, Reason.CONNECTION_LOST),
    ("freeze_s", 60, True, Reason.CONNECTION_LOST),
]


class TestFaults:
    @pytest.mark.parametrize(("kind", "value", "run", "reason"), LOST_ANSWER_FAULTS)
    async def test_write_with_a_lost_answer_has_an_unknown_outcome(
        self, kind, value, run, reason
    ):
        async with running_holders() as node:
            await node.put("k", 1)
            node.targets["a"].fault(kind, value)
            failed = await node.put("k", 2, left_s=0.3)
            assert isinstance(failed, Failed)
            assert (failed.run, failed.reason) == (run, reason)

    async def test_replaced_primary_acknowledges_no_write(self):
        async with running_holders() as node:
            assert isinstance(await node.put("k", 1), Executed)
            for name in ("b", "c"):
                port = (
                    node.control.view.groups["studio"].targets[NAMES.index(name)].port
                )
                conn = await adapter.connect("127.0.0.1", port, "studio", TIMEOUT_S)
                await conn.adopt(2, TIMEOUT_S)
                conn.close()
            failed = await node.put("k", 2)
            assert (failed.run, failed.reason) == (True, Reason.UNCONFIRMED)

    async def test_silent_idle_connections_are_detected_before_a_write(
        self, monkeypatch
    ):
        monkeypatch.setattr("lavenderstack.node.pool.CHECK_AFTER_S", 0.0)
        async with running_holders() as node:
            await node.put("k", 1)
            node.targets["a"].fault("silent", 1)
            done = await node.put("k", 2)
            assert isinstance(done, Executed)


class TestAdmission:
    async def test_key_withdrawn_while_queued_is_refused_before_use(self):
        async with running_holders() as node:
            busy = [
                asyncio.ensure_future(node.run("sleep", 300, target="b"))
                for _ in range(2)
            ]
            await asyncio.sleep(0.05)
            queued = asyncio.ensure_future(node.run("get", "t", "k", target="b"))
            await asyncio.sleep(0.05)
            node.control.withdraw()
            failed = await queued
            assert (failed.run, failed.reason) == (False, Reason.KEY_REFUSED)
            await asyncio.gather(*busy)

    async def test_leaving_target_gets_no_new_work(self):
        async with running_holders() as node:
            node.control.leave("b")
            failed = await node.run("get", "t", "k", target="b")
            assert (failed.run, failed.reason) == (False, Reason.LEAVING)

    async def test_leaving_primary_takes_writes_only_briefly(self, monkeypatch):
        async with running_holders() as node:
            node.control.leave("a")
            assert isinstance(await node.put("k", 1), Executed)
            monkeypatch.setattr(target_holder, "LEAVING_GRACE_S", 0.0)
            failed = await node.put("k", 2)
            assert (failed.run, failed.reason) == (False, Reason.LEAVING)

    async def test_request_is_charged_to_its_rate_once(self):
        async with running_holders() as node:
            node.targets["c"].fault("lag_ms", 60_000)
            done = await node.put("k", 1)
            behind = await node.run(
                "get", "t", "k", target="c", min_position=done.position
            )
            assert behind.admitted
            counted = node.control.admitted
            await node.run("get", "t", "k", admitted=behind.admitted)
            assert node.control.admitted == counted

    async def test_request_over_its_rate_reaches_no_target(self):
        async with running_holders() as node:

            async def refuse(organisation, deadline):
                raise Refused(Reason.OVER_RATE, retry_after_s=0.5)

            node.control.admit = refuse
            failed = await node.put("k", 1)
            assert (failed.reason, failed.retry_after_s) == (Reason.OVER_RATE, 0.5)
            assert node.targets["a"].log.last == Position(1, 1)


class TestTransactions:
    async def test_commit_applies_all_writes_and_rollback_none(self):
        async with running_holders() as node:
            kept, dropped = await node.begin(), await node.begin()
            assert isinstance(kept, Begun)
            await node.put("k", 1, transaction=kept.transaction)
            await node.put("x", 1, transaction=dropped.transaction)
            assert (await node.run("get", "t", "k")).result is None
            assert isinstance(await node.end(kept.transaction), Executed)
            await node.end(dropped.transaction, commit=False)
            assert (await node.run("get", "t", "k")).result == 1
            assert (await node.run("get", "t", "x")).result is None

    async def test_transactions_never_share_a_connection(self):
        async with running_holders() as node:
            open_transactions = [await node.begin() for _ in range(4)]
            for begun in open_transactions:
                await node.put(begun.transaction, 1, transaction=begun.transaction)
            held = node.holders._holders["a"].transactions._open.values()
            assert len({id(transaction.conn) for transaction in held}) == 4

    async def test_statement_that_waited_for_the_commit_does_not_run(self):
        async with running_holders(run_ms=30) as node:
            begun = await node.begin()
            ending = asyncio.ensure_future(node.end(begun.transaction))
            await asyncio.sleep(0)
            late = await node.run("get", "t", "k", transaction=begun.transaction)
            assert isinstance(await ending, Executed)
            assert isinstance(late, Failed)

    async def test_repeated_commit_is_not_reported_as_not_run(self):
        async with running_holders() as node:
            begun = await node.begin()
            node.targets["a"].fault("lost_answer", 1)
            for _ in range(2):
                failed = await node.end(begun.transaction)
                assert failed.run
            assert not (await node.end(begun.transaction, organisation="x")).run

    async def test_other_organisation_cannot_use_the_transaction(self):
        async with running_holders() as node:
            begun = await node.begin()
            failed = await node.end(begun.transaction, organisation="brandt")
            assert (failed.run, failed.reason) == (False, Reason.TRANSACTION_LOST)

    async def test_abandoned_transaction_is_rolled_back(self, monkeypatch):
        monkeypatch.setattr(transactions, "IDLE_LIMIT_S", 0.0)
        async with running_holders() as node:
            begun = await node.begin()
            await node.put("k", 1, transaction=begun.transaction)
            held = node.holders._holders["a"]
            held.sweep(clock.now() + 1)
            failed = await node.end(begun.transaction)
            assert (failed.run, failed.reason) == (False, Reason.TRANSACTION_LOST)
            assert held._pool.in_use == 0


class TestProbe:
    async def test_probe_reports_a_target_that_does_not_answer(self):
        async with running_holders() as node:
            node.targets["b"].fault("freeze_s", 60)
            assert await node.holders.probe(ProbeRequest("studio", "b")) == ProbeReply(
                answered=False
            )
