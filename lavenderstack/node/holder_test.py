"""Tests of the holder against stand-ins of a group's targets, over loopback."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace

import pytest

from lavenderstack.border import target as adapter
from lavenderstack.core import clock
from lavenderstack.core.evidence import Observation
from lavenderstack.core.group_messages import ProbeReply, ProbeRequest
from lavenderstack.core.messages import Begin, Begun, End, Execute, Executed, Failed
from lavenderstack.core.outcome import Reason, Refused
from lavenderstack.core.position import Position
from lavenderstack.core.view import Group, Key, Plan, Target, View, Vm
from lavenderstack.node import target_holder, transactions
from lavenderstack.node.confirm import running_confirmer
from lavenderstack.node.holder import Holders
from lavenderstack.node.target_holder import TargetHolder
from standins.replica_log import ReplicaLog
from standins.target import Limits, serve

NAMES = ["a", "b", "c"]
DIGEST = "d" * 64
T = 2.0


class FakeControl:
    """Control parts that let everything pass until told otherwise."""

    def __init__(self, view):
        self.view = view
        self.fresh = True
        self.admitted = 0

    def usable(self, now):
        return self.fresh

    async def admit(self, organisation, deadline):
        self.admitted += 1

    def withdraw(self):
        self.view = replace(self.view, keys={DIGEST: Key(DIGEST, "lipa", True)})

    def leave(self, name):
        vm = Vm(name, "z", "127.0.0.1", 1, "target", "leaving")
        self.view = replace(self.view, vms={name: vm})


class Bench:
    """A node's holders, and the stand-ins behind them; target ``a`` leads."""

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
                "left_s": T,
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
            left_s=T,
        )
        return await self.holders.handle(msg)

    async def end(self, name, commit=True, organisation="lipa"):
        msg = End(
            request="r",
            organisation=organisation,
            key_digest=DIGEST,
            transaction=name,
            commit=commit,
            left_s=T,
        )
        return await self.holders.handle(msg)


async def lead(group):
    """Make the first target the primary of term 1."""
    conns = []
    for target in group.targets:
        conns.append(await adapter.connect(target.host, target.port, "studio", T))
        await conns[-1].adopt(1, T)
    await conns[0].lead(1, NAMES[1:], T)
    first = group.targets[0]
    for conn in conns[1:]:
        await conn.follow(1, first.name, first.host, first.port, T)
    for conn in conns:
        conn.close()


@asynccontextmanager
async def bench(**limits):
    async with AsyncExitStack() as stack:
        targets, entries = [], []
        for name in NAMES:
            serving = serve(name, "studio", Limits(**limits))
            target, port = await stack.enter_async_context(serving)
            targets.append(target)
            entries.append(Target(name, "z", "127.0.0.1", port, 2, 20))
        group = Group("studio", tuple(entries), frozenset({"lipa"}))
        await lead(group)
        view = View(
            plans={"p": Plan("p", 10, 10)},
            bought={"lipa": "p"},
            keys={DIGEST: Key(DIGEST, "lipa")},
            groups={"studio": group},
        )
        control = FakeControl(view)
        holders = None

        async def ask(name):
            seen = await holders.look(ProbeRequest("studio", name))
            if not seen.answered:
                raise ConnectionError(name)
            return Observation(name, seen.term, seen.last, 0.0, seen.role, seen.primary)

        confirmer = await stack.enter_async_context(running_confirmer(NAMES, ask))

        def make(target, group):
            return TargetHolder("n1", target, group, control, confirmer)

        holders = Holders(control, make)
        sweeper = asyncio.ensure_future(holders.run())
        try:
            yield Bench(holders, control, dict(zip(NAMES, targets, strict=True)))
        finally:
            sweeper.cancel()
            await asyncio.gather(sweeper, return_exceptions=True)


class TestStatements:
    async def test_an_acknowledged_write_is_held_by_a_majority(self):
        async with bench() as it:
            done = await it.put("k", 1)
            assert isinstance(done, Executed)
            assert len(done.holders) >= 2
            held = [it.targets[name].log.last for name in done.holders]
            assert all(last >= done.position for last in held)

    async def test_a_session_reads_its_write_from_a_replica_that_holds_it(self):
        async with bench() as it:
            done = await it.put("k", 1)
            replica = next(name for name in done.holders if name != "a")
            read = await it.run(
                "get", "t", "k", target=replica, min_position=done.position, wait_s=T
            )
            assert read.result == 1

    async def test_a_fresh_read_is_proved_for_the_term_that_the_target_led(
        self, monkeypatch
    ):
        """Also by a target that would serve reads after it was replaced."""
        async with bench() as it:
            await it.put("k", 1)
            assert (await it.run("get", "t", "k", fresh=True)).result == 1
            monkeypatch.setattr(ReplicaLog, "require_primary", lambda log, term: None)
            for target in it.targets.values():
                target.log.adopt(2)
            it.targets["b"].log.lead(2)
            read = await it.run("get", "t", "k", fresh=True)
            assert (read.run, read.reason) == (False, Reason.NO_PRIMARY)

    async def test_a_replica_that_lags_is_refused_not_read(self):
        async with bench() as it:
            it.targets["c"].fault("lag_ms", 60_000)
            done = await it.put("k", 1)
            read = await it.run(
                "get", "t", "k", target="c", min_position=done.position, wait_s=0.02
            )
            assert (read.run, read.reason) == (False, Reason.BEHIND)

    async def test_a_replica_that_is_nearly_there_is_waited_for(self):
        async with bench() as it:
            it.targets["c"].fault("lag_ms", 50)
            done = await it.put("k", 1)
            read = await it.run(
                "get", "t", "k", target="c", min_position=done.position, wait_s=T
            )
            assert read.result == 1

    async def test_a_repeated_request_id_is_answered_and_not_run_again(self):
        async with bench() as it:
            add = ("add", "t", "n", 1)
            first = await it.run(*add, write=True, once="lipa:r1")
            again = await it.run(*add, write=True, once="lipa:r1")
            assert isinstance(first, Executed)
            assert (first.repeated, again.repeated) == (False, True)
            assert (await it.run("get", "t", "n")).result == 1

    async def test_a_read_of_stated_age_has_a_proved_age(self):
        async with bench() as it:
            await it.put("k", 1)
            read = await it.run("get", "t", "k", target="b", max_age_s=1.0, wait_s=T)
            assert 0 <= read.age_s <= 1.0


FAULTS_OF_WRITES = [
    ("lost_answer", 1, True, Reason.CONNECTION_LOST),
    ("freeze_s", 60, True, Reason.CONNECTION_LOST),
]


class TestFaults:
    @pytest.mark.parametrize(("kind", "value", "run", "reason"), FAULTS_OF_WRITES)
    async def test_a_write_whose_answer_is_lost_has_an_unknown_outcome(
        self, kind, value, run, reason
    ):
        async with bench() as it:
            await it.put("k", 1)
            it.targets["a"].fault(kind, value)
            failed = await it.put("k", 2, left_s=0.3)
            assert isinstance(failed, Failed)
            assert (failed.run, failed.reason) == (run, reason)

    async def test_a_replaced_primary_acknowledges_nothing(self):
        async with bench() as it:
            assert isinstance(await it.put("k", 1), Executed)
            for name in ("b", "c"):
                port = it.control.view.groups["studio"].targets[NAMES.index(name)].port
                conn = await adapter.connect("127.0.0.1", port, "studio", T)
                await conn.adopt(2, T)
                conn.close()
            failed = await it.put("k", 2)
            assert (failed.run, failed.reason) == (True, Reason.UNCONFIRMED)

    async def test_silent_idle_connections_are_found_before_a_write_is_sent(
        self, monkeypatch
    ):
        monkeypatch.setattr("lavenderstack.node.pool.CHECK_AFTER_S", 0.0)
        async with bench() as it:
            await it.put("k", 1)
            it.targets["a"].fault("silent", 1)
            done = await it.put("k", 2)
            assert isinstance(done, Executed)


class TestGates:
    async def test_a_key_withdrawn_while_queued_is_refused_at_the_moment_of_use(self):
        async with bench() as it:
            busy = [
                asyncio.ensure_future(it.run("sleep", 300, target="b"))
                for _ in range(2)
            ]
            await asyncio.sleep(0.05)
            queued = asyncio.ensure_future(it.run("get", "t", "k", target="b"))
            await asyncio.sleep(0.05)
            it.control.withdraw()
            failed = await queued
            assert (failed.run, failed.reason) == (False, Reason.KEY_REFUSED)
            await asyncio.gather(*busy)

    async def test_a_leaving_target_gets_no_new_work(self):
        async with bench() as it:
            it.control.leave("b")
            failed = await it.run("get", "t", "k", target="b")
            assert (failed.run, failed.reason) == (False, Reason.LEAVING)

    async def test_a_leaving_primary_takes_writes_only_for_a_short_while(
        self, monkeypatch
    ):
        async with bench() as it:
            it.control.leave("a")
            assert isinstance(await it.put("k", 1), Executed)
            monkeypatch.setattr(target_holder, "LEAVING_GRACE_S", 0.0)
            failed = await it.put("k", 2)
            assert (failed.run, failed.reason) == (False, Reason.LEAVING)

    async def test_a_request_is_counted_against_its_rate_once(self):
        async with bench() as it:
            it.targets["c"].fault("lag_ms", 60_000)
            done = await it.put("k", 1)
            behind = await it.run(
                "get", "t", "k", target="c", min_position=done.position
            )
            assert behind.admitted
            counted = it.control.admitted
            await it.run("get", "t", "k", admitted=behind.admitted)
            assert it.control.admitted == counted

    async def test_a_refusal_by_the_rate_reaches_no_target(self):
        async with bench() as it:

            async def refuse(organisation, deadline):
                raise Refused(Reason.OVER_RATE, retry_after_s=0.5)

            it.control.admit = refuse
            failed = await it.put("k", 1)
            assert (failed.reason, failed.retry_after_s) == (Reason.OVER_RATE, 0.5)
            assert it.targets["a"].log.last == Position(1, 1)


class TestTransactions:
    async def test_a_commit_shows_all_and_a_rollback_nothing(self):
        async with bench() as it:
            kept, dropped = await it.begin(), await it.begin()
            assert isinstance(kept, Begun)
            await it.put("k", 1, transaction=kept.transaction)
            await it.put("x", 1, transaction=dropped.transaction)
            assert (await it.run("get", "t", "k")).result is None
            assert isinstance(await it.end(kept.transaction), Executed)
            await it.end(dropped.transaction, commit=False)
            assert (await it.run("get", "t", "k")).result == 1
            assert (await it.run("get", "t", "x")).result is None

    async def test_statements_of_transactions_never_share_a_connection(self):
        async with bench() as it:
            open_ones = [await it.begin() for _ in range(4)]
            for begun in open_ones:
                await it.put(begun.transaction, 1, transaction=begun.transaction)
            held = it.holders._held["a"].transactions._open.values()
            assert len({id(each.conn) for each in held}) == 4

    async def test_a_statement_that_waited_for_the_commit_does_not_run(self):
        async with bench(run_ms=30) as it:
            begun = await it.begin()
            ending = asyncio.ensure_future(it.end(begun.transaction))
            await asyncio.sleep(0)
            late = await it.run("get", "t", "k", transaction=begun.transaction)
            assert isinstance(await ending, Executed)
            assert isinstance(late, Failed)

    async def test_a_commit_that_was_sent_before_is_not_called_lost(self):
        async with bench() as it:
            begun = await it.begin()
            it.targets["a"].fault("lost_answer", 1)
            for _ in range(2):
                failed = await it.end(begun.transaction)
                assert failed.run
            assert not (await it.end(begun.transaction, organisation="x")).run

    async def test_another_organisation_does_not_find_the_transaction(self):
        async with bench() as it:
            begun = await it.begin()
            failed = await it.end(begun.transaction, organisation="brandt")
            assert (failed.run, failed.reason) == (False, Reason.TRANSACTION_LOST)

    async def test_an_abandoned_transaction_is_rolled_back(self, monkeypatch):
        monkeypatch.setattr(transactions, "IDLE_LIMIT_S", 0.0)
        async with bench() as it:
            begun = await it.begin()
            await it.put("k", 1, transaction=begun.transaction)
            held = it.holders._held["a"]
            held.sweep(clock.now() + 1)
            failed = await it.end(begun.transaction)
            assert (failed.run, failed.reason) == (False, Reason.TRANSACTION_LOST)
            assert held._pool.lent == 0


class TestLook:
    async def test_a_target_that_does_not_answer_is_reported_so(self):
        async with bench() as it:
            it.targets["b"].fault("freeze_s", 60)
            assert await it.holders.look(ProbeRequest("studio", "b")) == ProbeReply(
                answered=False
            )
