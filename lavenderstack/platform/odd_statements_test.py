"""Tests of statements with odd texts, sent by callers to a real node process."""

from lavenderstack.platform import line_protocol
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


class TestLongestLines:
    """A statement that a target can't be sent must cost no connection to it."""

    def texts(self):
        """Return texts of the longest lines, by whether they are valid."""
        room = line_protocol.MAX_LINE_B - len("QUERY q1 \r\n")
        return {
            "SET v " + "x" * (room - 6): True,
            "WRITE item " + "x" * (room - 11): True,
            "READ " + "x" * (room - 5): False,
            "PREPARE s WRITE " + "x" * (room - 16): False,
            "EXEC w item " + "x" * (room - 12): False,
            "WRITE item " + "x" * (room - 9): False,
        }

    async def test_what_targets_cannot_take_is_refused_and_the_rest_runs(
        self, tmp_path
    ):
        async with run_node(tmp_path) as node:
            for text, valid in self.texts().items():
                caller = await connect_when_known(node, "CONNECT db2 k1")
                await caller.query("PREPARE w WRITE q")
                answer = await caller.query(text)
                assert answer[0].startswith("DONE" if valid else "ERROR MALFORMED")
                assert answer[-1].startswith("READY I")
                assert (await caller.query("WRITE a b"))[0].startswith("DONE i-1.")
            assert not node.targets[0].too_long

    async def test_a_session_keeps_no_more_texts_than_one_of_the_longest(
        self, tmp_path
    ):
        async with run_node(tmp_path) as node:
            caller = await connect_when_known(node, "CONNECT db2 k1")
            long = "x" * 600_000
            assert (await caller.query(f"SET v {long}"))[0] == "DONE -"
            for text in (f"SET w {long}", f"PREPARE s READ {long}"):
                assert (await caller.query(text))[0].startswith("ERROR MALFORMED")
            assert (await caller.query("WRITE a b"))[0].startswith("DONE i-1.")
            assert node.targets[0].values[-1] == ("q1", {"v": long})


class TestControlCharacters:
    """Only CR LF ends a line, and only a blank ends a field."""

    TEXT = "a\rb\nc\0\t\x85\u2028\r"

    async def test_they_reach_the_target_in_every_field(self, tmp_path):
        async with run_node(tmp_path) as node:
            caller = await connect_when_known(node, "CONNECT db2 k1")
            target, text = node.targets[0], self.TEXT
            assert (await caller.query(f"SET {text} {text}"))[0] == "DONE -"
            await caller.query(f"PREPARE {text} WRITE {text}")
            exec_text = f"EXEC {text} {text} {text} {text}"
            assert (await caller.query(exec_text, text))[0].startswith("DONE i-1.")
            assert target.shapes[-1] == (text, f"WRITE {text}", text, f"{text} {text}")
            assert target.values[-1] == (text, {text: text})
            write = f"WRITE {text} {text}"
            assert (await caller.query(write, text))[0].startswith("DONE i-1.")
            assert target.executed[-1][1:] == (text, write)

    async def test_text_that_is_not_utf_8_costs_only_its_session(self, tmp_path):
        async with run_node(tmp_path) as node:
            other = await connect_when_known(node, "CONNECT db2 k1")
            await other.query("WRITE a b")
            opened = node.targets[0].open_connections
            caller = await node.caller("CONNECT db2 k1")
            caller.writer.write(b"QUERY q1 WRITE a \xff\r\n")
            assert await caller.answer() == ["ERROR MALFORMED not UTF-8 text"]
            assert (await other.query("WRITE a b"))[0].startswith("DONE i-1.")
            assert node.targets[0].open_connections == opened
            assert len(node.targets[0].effects) == 2


class TestValuesOfSessions:
    """Sessions share connections; a statement runs with its session's values only."""

    SETS = ("SET v ", "SET v  ", "SET v x", "SET v x ", "SET V x", "SET v\t x", "")

    async def test_values_that_differ_in_details_are_kept_apart(self, tmp_path):
        async with run_node(tmp_path) as node:
            callers = [await connect_when_known(node, "CONNECT db2 k1")]
            callers += [await node.caller("CONNECT db2 k1") for _ in self.SETS[1:]]
            for caller, text in zip(callers, self.SETS, strict=True):
                if text:
                    await caller.query(text)
            for _ in range(2):
                for caller, text in zip(callers, self.SETS, strict=True):
                    await caller.query("WRITE a b")
                    values = [text.split(" ", 2)[1:]] if text else []
                    assert node.targets[0].values[-1] == ("q1", dict(values))
