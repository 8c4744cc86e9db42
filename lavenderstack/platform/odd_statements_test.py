"""Tests of statements with odd texts, sent by callers to a real node process."""

from lavenderstack.platform.node_test import connect_when_known, run_node


class TestRequestIds:
    """A target must not get a statement under an id that no caller has sent."""

    async def test_empty_and_reserved_ids_are_refused_before_anything_runs(
        self, tmp_path
    ):
        async with run_node(tmp_path) as node:
            caller = await connect_when_known(node, "CONNECT db2 k1")
            for line in ("QUERY  WRITE x y", "QUERY - WRITE x y", "QUERY", "QUERY id"):
                answer = await caller.send(line)
                assert [one.split(" ")[:2] for one in answer] == [
                    ["ERROR", "MALFORMED"],
                    ["READY", "I"],
                ]
            assert not node.targets[0].effects
            assert (await caller.query("WRITE x y"))[0].startswith("DONE i-1.")
