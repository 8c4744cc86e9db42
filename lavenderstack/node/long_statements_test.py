"""Tests of statements, session values and answers too long for a message of a node."""

import pytest

from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.statement import Prepared, Statement, StatementKind
from lavenderstack.core.work_messages import Access
from lavenderstack.node.call import TransactionLocation
from lavenderstack.node.dispatch_test import DispatcherHarness
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
