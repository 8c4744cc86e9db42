"""Tests of who holds a connection to a target, and of what is set on it."""

import asyncio

import pytest

from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.reply import TxState
from lavenderstack.core.statement import Prepared, Statement, StatementKind
from lavenderstack.core.work_messages import (
    Access,
    EndWork,
    TransactionStart,
    WorkDone,
)
from lavenderstack.node.backend import ConnectionLost
from lavenderstack.node.executor_fake import WRITE, ExecutorHarness
from lavenderstack.node.targets.connection_setup import MAX_PREPARED_NAMES


class TestConnectionSetup:
    """Values and prepared statements count as set once the target has confirmed them.

    Found by the review: after a target had lost the lead, it refused what was sent to
    prepare a connection, and later sessions ran with the values of an earlier one.
    """

    FIRST, SECOND = {"v": "first"}, {"v": "second"}
    SHAPE = Prepared(False, "q")
    EXECUTE = Statement(StatementKind.EXECUTE, "EXEC s a", "s", "a")

    async def lose_the_lead_in_a_transaction(self, harness):
        """Return a connection on which the setup of a later statement was refused."""
        opens = TransactionStart.READ_WRITE
        opened = await harness.run(WRITE, opens=opens, values=self.FIRST)
        targets = harness.targets
        targets["t1"].leads, targets["t2"].leads = False, True
        answer = await harness.run(
            self.EXECUTE, tx=opened.tx, values=self.SECOND, prepared=self.SHAPE
        )
        assert (answer.run, answer.reason) == (False, Reason.NOT_PRIMARY)
        await asyncio.sleep(0.01)

    async def test_a_session_never_runs_with_the_values_of_another(self):
        harness = ExecutorHarness()
        await self.lose_the_lead_in_a_transaction(harness)
        answer = await harness.run(access=Access.AGED_READ, values=self.SECOND)
        assert isinstance(answer, WorkDone)
        assert harness.targets["t1"].executed[-1][-1] == self.SECOND

    async def test_a_prepared_statement_is_known_where_it_is_executed(self):
        harness = ExecutorHarness()
        await self.lose_the_lead_in_a_transaction(harness)
        answer = await harness.run(
            self.EXECUTE,
            access=Access.AGED_READ,
            values=self.SECOND,
            prepared=self.SHAPE,
        )
        assert isinstance(answer, WorkDone)

    @pytest.mark.parametrize("access", list(Access))
    @pytest.mark.parametrize("opens", list(TransactionStart))
    async def test_nothing_is_answered_that_ran_without_its_values(self, access, opens):
        harness = ExecutorHarness()
        harness.targets["t1"].refused = frozenset({StatementKind.SET_VALUE})
        answer = await harness.run(access=access, opens=opens, values=self.FIRST)
        assert isinstance(answer, Failed)
        await asyncio.sleep(0.01)
        harness.targets["t1"].refused = frozenset()
        assert isinstance(await harness.run(values=self.FIRST), WorkDone)
        assert harness.targets["t1"].executed[-1][-1] == self.FIRST

    async def run_after_another_session(self, harness, refused, access):
        """Run a statement with other values than the connection has."""
        await harness.run(WRITE, values=self.FIRST)
        target = harness.targets["t1"]
        target.refused = frozenset({refused})
        executed = len(target.executed)
        answer = await harness.run(
            self.EXECUTE, access=access, values=self.SECOND, prepared=self.SHAPE
        )
        return answer, target.executed[executed:]

    SETUP = (StatementKind.RESET, StatementKind.SET_VALUE, StatementKind.PREPARE)

    @pytest.mark.parametrize("access", [Access.WRITE, Access.AGED_READ])
    @pytest.mark.parametrize("refused", SETUP)
    async def test_nothing_runs_on_a_connection_that_is_not_prepared(
        self, refused, access
    ):
        """Found by the review: a write was sent together with RESET and SET.

        The target refused these, and the write ran with another session's values.
        """
        harness = ExecutorHarness()
        answer, executed = await self.run_after_another_session(
            harness, refused, access
        )
        assert isinstance(answer, WorkDone) or not answer.run
        assert [one[-1] for one in executed if one[-1] != self.SECOND] == []

    @pytest.mark.parametrize("refused", SETUP)
    async def test_nothing_runs_in_a_transaction_that_is_not_prepared(self, refused):
        """Guards against a value that is set within a transaction and refused."""
        harness = ExecutorHarness()
        opens = TransactionStart.READ_WRITE
        opened = await harness.run(WRITE, opens=opens, values=self.FIRST)
        target = harness.targets["t1"]
        executed = len(target.executed)
        target.refused = frozenset({refused})
        answer = await harness.run(
            self.EXECUTE, tx=opened.tx, values=self.SECOND, prepared=self.SHAPE
        )
        assert (answer.run, answer.reason) == (False, Reason.TRANSACTION_LOST)
        assert target.executed[executed:] == []

    async def test_a_statement_is_not_sent_once_its_transaction_was_ended(self):
        """Guards against one that is sent after the wait for what prepares it."""
        harness = ExecutorHarness()
        opens = TransactionStart.READ_WRITE
        opened = await harness.run(WRITE, opens=opens, values=self.FIRST)
        running = asyncio.ensure_future(
            harness.run(WRITE, tx=opened.tx, values=self.SECOND)
        )
        await asyncio.sleep(0)
        await harness.executors.end(EndWork(opened.tx))
        answer = await running
        assert not answer.run
        assert len(harness.targets["t1"].executed) == 1

    async def test_a_prepared_connection_gets_the_statement_at_once(self):
        """Guards against a mend that asks something before each statement."""
        harness = ExecutorHarness()
        await harness.run(WRITE, values=self.FIRST)
        conn = harness.executors.for_target("t1").connections._idle[0].conn
        sent, send = [], conn.send

        def record(commands):
            sent.append([one.statement.kind for one in commands])
            return send(commands)

        conn.send = record
        await harness.run(WRITE, values=self.FIRST)
        assert sent == [[WRITE.kind]]

    async def test_names_on_a_connection_are_bounded(self):
        """Callers may prepare ever new shapes, and a connection may stay for days."""
        harness = ExecutorHarness()
        for number in range(2 * MAX_PREPARED_NAMES + 1):
            answer = await harness.run(
                self.EXECUTE,
                access=Access.AGED_READ,
                values=self.FIRST,
                prepared=Prepared(False, str(number)),
            )
            assert isinstance(answer, WorkDone)
        assert harness.targets["t1"].resets == 2
        assert {run[-1]["v"] for run in harness.targets["t1"].executed} == {"first"}


class TestProbes:
    """A connection may be used again only if no transaction is open on it."""

    async def probe(self, harness):
        health = harness.executors.for_target("t1").health
        return await health.primary_position(0.0)

    async def count_open(self, harness):
        await asyncio.sleep(0.01)
        return len(harness.executors.for_target("t1").connections)

    async def test_one_that_stays_in_its_transaction_is_closed(self):
        """The answer to ROLLBACK was awaited and not read."""
        harness = ExecutorHarness()
        harness.targets["t1"].refused = frozenset({StatementKind.ROLLBACK})
        await self.probe(harness)
        assert await self.count_open(harness) == 0

    async def test_one_that_stays_in_its_transaction_gets_no_write(self):
        harness = ExecutorHarness()
        await harness.run(WRITE)
        pooled = harness.executors.for_target("t1").connections._idle[0]
        pooled.used_at -= 5.0
        harness.targets["t1"].refused = frozenset({StatementKind.ROLLBACK})
        await harness.run(WRITE, request="r2")
        assert pooled.conn.closed

    async def test_a_cancelled_probe_keeps_no_connection(self):
        harness = ExecutorHarness()
        await harness.run(WRITE)
        harness.targets["t1"].silent = True
        probing = asyncio.ensure_future(self.probe(harness))
        await asyncio.sleep(0.02)
        probing.cancel()
        assert await self.count_open(harness) == 0


class TestOwnership:
    """A connection is handed out once, and given back once."""

    OPENS = TransactionStart.READ_WRITE

    async def test_a_rollback_beside_a_running_statement_gives_it_back_once(self):
        """Found by the review: two sessions used one connection at the same time.

        The statement that failed after its transaction had been ended gave the
        connection back a second time.
        """
        harness = ExecutorHarness()
        opened = await harness.run(WRITE, opens=self.OPENS)
        target = harness.targets["t1"]
        target.work_s, target.refused = 0.05, frozenset()
        running = asyncio.ensure_future(harness.run(WRITE, tx=opened.tx))
        await asyncio.sleep(0.02)
        await harness.executors.end(EndWork(opened.tx))
        target.failing = True
        answer = await running
        target.failing = False
        assert isinstance(answer, Failed)
        await asyncio.sleep(0.02)
        connections = harness.executors.for_target("t1").connections
        assert len(connections._idle) == len(connections) == 1
        assert connections._idle[0].conn.state is TxState.NONE

    async def test_a_statement_that_succeeds_after_the_end_is_rolled_back(self):
        harness = ExecutorHarness()
        opened = await harness.run(WRITE, opens=self.OPENS)
        harness.targets["t1"].work_s = 0.05
        running = asyncio.ensure_future(harness.run(WRITE, tx=opened.tx))
        await asyncio.sleep(0.02)
        await harness.executors.end(EndWork(opened.tx))
        await running
        await asyncio.sleep(0.02)
        connections = harness.executors.for_target("t1").connections
        assert connections._idle[0].conn.state is TxState.NONE
        assert harness.executors.open_transactions == 0

    async def test_a_former_holder_can_neither_use_nor_close_nor_return_it(self):
        harness = ExecutorHarness()
        connections = harness.executors.for_target("t1").connections
        former = await connections.acquire("org", {})
        connections.release(former)
        present = await connections.acquire("org", {})
        connections.release(former)
        connections.discard(former)
        assert connections._idle == []
        assert not present.conn.closed
        with pytest.raises(ConnectionLost):
            former.conn.send([])
        connections.release(present)
        assert len(connections._idle) == len(connections) == 1
