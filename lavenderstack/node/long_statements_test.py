"""Tests of statements, session values and answers too long for a message of a node."""

import pytest

from lavenderstack.core.message_size import MAX_TEXTS_B
from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.statement import Prepared, Statement, StatementKind
from lavenderstack.core.work_messages import Access, TransactionStart, WorkDone
from lavenderstack.node.call import TransactionLocation
from lavenderstack.node.dispatch_test import DispatcherHarness
from lavenderstack.node.executor_fake import COMMIT, WRITE, ExecutorHarness
from lavenderstack.node.streams import InvalidRequest

LINE = "x" * (1024 * 1024 - 100)
EXECUTE = Statement(
    StatementKind.EXECUTE, f"EXEC s {LINE}", name="s", body=LINE, writes=True
)
READ = Statement(StatementKind.READ, "READ a")


def long_call(harness, statement=EXECUTE, access=Access.WRITE, values=2):
    call = harness.call(statement, access)
    call.prepared = Prepared(writes=True, shape=LINE)
    call.values = {f"v{number}": LINE for number in range(values)}
    return call


class TestStatementsTooLong:
    """They ended every request on the stream to the holder as unknown."""

    @pytest.mark.parametrize("text", [LINE, "ü" * (len(LINE) // 2)])
    @pytest.mark.parametrize("access", [Access.WRITE, Access.AGED_READ])
    async def test_refused_without_asking_a_holder(self, access, text):
        harness = DispatcherHarness()
        call = long_call(harness, READ, access, values=0)
        call.values = {f"v{number}": text for number in range(4)}
        answer = (await harness.dispatcher.run(call)).answer
        assert (answer.run, answer.reason) == (False, Reason.BAD_REQUEST)
        assert "4128768" in answer.detail
        assert harness.asked == []

    async def test_longest_execution_without_values_is_sent(self):
        harness = DispatcherHarness()
        call = long_call(harness, values=0)
        assert not isinstance((await harness.dispatcher.run(call)).answer, Failed)

    async def test_refused_in_an_open_transaction(self):
        harness = DispatcherHarness()
        answer = await harness.dispatcher.run_in_transaction(
            long_call(harness), TransactionLocation("n1", "t1"), "n1/t1/x"
        )
        assert (answer.run, answer.reason) == (False, Reason.BAD_REQUEST)
        assert harness.asked == []

    async def test_invalid_request_is_not_tried_at_other_nodes(self):
        harness = DispatcherHarness(t1=InvalidRequest("can't be encoded"))
        answer = await harness.run(EXECUTE, Access.WRITE)
        assert (answer.run, answer.reason) == (False, Reason.BAD_REQUEST)
        assert len(harness.asked) == 1


class TestAnswersTooLong:
    """They ended every request on the stream to the entry node as unknown."""

    def harness(self, rows=5):
        harness = ExecutorHarness()
        harness.targets["t1"].rows = [LINE] * rows
        return harness

    def assert_ended(self, harness):
        """Guard against a transaction or slot that nobody can end any more."""
        assert harness.executors.open_transactions == 0
        executor = harness.executors.target_executors["t1"]
        assert executor.slots.running == 0

    async def test_a_read_is_answered_as_failed(self):
        harness = self.harness()
        answer = await harness.run(READ, Access.CURRENT_READ)
        assert (answer.run, answer.reason) == (True, Reason.STATEMENT_FAILED)
        assert "4128768" in answer.detail
        self.assert_ended(harness)

    async def test_many_short_rows_count_with_their_headers(self):
        harness = self.harness()
        harness.targets["t1"].rows = [""] * (MAX_TEXTS_B // 4)
        answer = await harness.run(READ, Access.CURRENT_READ)
        assert (answer.run, answer.reason) == (True, Reason.STATEMENT_FAILED)

    async def test_the_longest_answer_is_passed_on(self):
        assert isinstance(await self.harness(3).run(READ), WorkDone)

    async def test_the_outcome_of_a_write_is_unknown(self):
        harness = self.harness()
        answer = await harness.run(WRITE, Access.WRITE)
        assert (answer.run, answer.reason) == (True, Reason.OUTCOME_UNKNOWN)

    @pytest.mark.parametrize(
        "opens", [TransactionStart.READ_WRITE, TransactionStart.READ_ONLY]
    )
    async def test_the_transaction_that_was_opened_is_rolled_back(self, opens):
        harness = self.harness()
        answer = await harness.run(READ, opens=opens)
        assert (answer.run, answer.reason) == (True, Reason.STATEMENT_FAILED)
        self.assert_ended(harness)

    async def test_an_open_transaction_is_rolled_back(self):
        harness = self.harness(1)
        opened = await harness.run(READ, opens=TransactionStart.READ_WRITE)
        harness.targets["t1"].rows = [LINE] * 5
        answer = await harness.run(WRITE, tx=opened.tx)
        assert (answer.run, answer.reason) == (True, Reason.STATEMENT_FAILED)
        self.assert_ended(harness)

    async def test_the_outcome_of_a_commit_is_unknown(self):
        harness = self.harness(1)
        opened = await harness.run(READ, opens=TransactionStart.READ_WRITE)
        harness.targets["t1"].rows = [LINE] * 5
        answer = await harness.run(COMMIT, tx=opened.tx)
        assert (answer.run, answer.reason) == (True, Reason.OUTCOME_UNKNOWN)
        self.assert_ended(harness)
