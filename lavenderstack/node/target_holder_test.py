"""Tests that a holder which is replaced leaves no transaction open at its target."""

from lavenderstack.border.target import TargetConn
from lavenderstack.core.messages import Begun, Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.node.holder_test import running_holders


class TestTransactionBegunWhileReplaced:
    async def test_it_is_refused_and_keeps_no_connection(self, monkeypatch):
        async with running_holders() as node:
            assert isinstance(await node.begin(), Begun)
            old = node.holders._holders["a"]
            begin = TargetConn.begin

            async def begin_while_replaced(conn, term, timeout_s):
                old.retire()
                await begin(conn, term, timeout_s)

            monkeypatch.setattr(TargetConn, "begin", begin_while_replaced)
            failed = await node.begin()
            assert isinstance(failed, Failed)
            assert (failed.run, failed.reason) == (False, Reason.UNREACHABLE)
            assert failed.retry_after_s
            assert len(old.transactions) == 0
            assert old._pool.in_use == 0
