"""Tests of the probe of one target, against one over loopback."""

from lavenderstack.core.view import Target
from lavenderstack.node.probe import TargetProbe
from standins.target import Limits, serve


class TestClose:
    async def test_a_later_query_is_answered_and_leaves_no_connection_open(self):
        async with serve("a", "studio", Limits()) as (_, port):
            probe = TargetProbe(Target("a", "z", "127.0.0.1", port, 2, 20), "studio")
            await probe.query()
            probe.close()
            assert (await probe.query()).role
            assert probe._conn.broken
