"""Tests of what a target's connection keeps, and of the messages that it refuses."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from standins import line_server
from standins.line_group import GroupTarget, LineGroup
from standins.target_session import MAX_MESSAGE_B, Seen, TargetSession, read_line


class Conn:
    def __init__(self, group, reader, writer):
        self.group, self.reader, self.writer = group, reader, writer

    async def send(self, line):
        self.writer.write(f"{line}\r\n".encode())
        lines = []
        async with asyncio.timeout(5):
            while data := await read_line(self.reader):
                lines.append(data.decode())
                if lines[-1].startswith("READY"):
                    break
        return lines

    async def code(self, text):
        """Return the code of the error that answers a statement, or DONE."""
        answer = (await self.send(f"QUERY q {text}"))[-2]
        return answer.removeprefix("ERROR ").partition(" ")[0]


@asynccontextmanager
async def connected():
    targets = {name: GroupTarget(name, "z1") for name in ("a", "b")}
    group = LineGroup("g", targets)
    async with (
        line_server.serving(group, targets["a"]) as port,
        line_server.serving(group, targets["b"]),
    ):
        conn = Conn(group, *await asyncio.open_connection("127.0.0.1", port))
        await conn.send("CONNECT g org a")
        yield conn


class TestRecordOfARun:
    """A check can only find what the record of a run has."""

    async def test_text_shape_values_and_transaction_are_recorded(self):
        async with connected() as conn:
            for text in ("SET v  x ", "SET w ", "PREPARE s READ q WRITE y", "BEGIN"):
                assert await conn.code(text) == "DONE"
            assert await conn.code("EXEC s  item\tx") == "DONE"
            number = conn.group.runs[0].seen.connection
            values = (("v", " x "), ("w", ""))
            assert conn.group.runs[0].seen == Seen(
                "EXEC  item\tx", "s", "READ q WRITE y", values, number, 1
            )

    async def test_position_before_a_text_is_no_part_of_it(self):
        async with connected() as conn:
            assert await conn.code("SINCE 1.1 READ  a ") == "DONE"
            assert conn.group.runs[0].seen.text == "READ  a "

    def test_reset_drops_values_and_names(self):
        session = TargetSession()
        session.apply("SET", "v 1")
        session.apply("PREPARE", "s READ q")
        assert session.apply("RESET", "") == ["DONE -"]
        assert (session.values, session.prepared) == ((), {})


class TestLines:
    @pytest.mark.parametrize("part", ["\r", "\n", "\n\r", "\0", "\u0085", "\u2028"])
    async def test_only_cr_lf_ends_a_line(self, part):
        async with connected() as conn:
            text = f"READ a{part}b{part}"
            assert await conn.code(text) == "DONE"
            assert conn.group.runs[0].seen.text == text

    async def test_a_message_of_the_greatest_length_runs(self):
        async with connected() as conn:
            start = "QUERY q READ "
            answer = await conn.send(start + "x" * (MAX_MESSAGE_B - len(start)))
            assert answer[1].startswith("DONE")
            assert conn.group.too_long == []

    async def test_a_longer_message_is_noted_and_closes_the_connection(self):
        async with connected() as conn:
            assert await conn.send("QUERY q READ " + "x" * MAX_MESSAGE_B) == []
            assert len(conn.group.too_long) == 1
            assert conn.group.runs == []


class TestRefusals:
    @pytest.mark.parametrize(
        "text",
        [
            "",
            "READ",
            "read a",
            "RUBBISH a",
            "SET",
            "SET  v",
            "PREPARE s",
            "PREPARE s q7f",
            "PREPARE s READ",
            "COMMIT",
            "BEGIN WRITE",
            "RESET x",
        ],
    )
    async def test_what_is_no_statement_is_not_run(self, text):
        async with connected() as conn:
            assert await conn.code(text) == "MALFORMED"
            assert conn.group.runs == []

    async def test_an_unknown_name_is_not_run(self):
        async with connected() as conn:
            assert await conn.code("EXEC s a") == "NOSTMT"
            assert conn.group.runs == []

    async def test_a_transaction_in_a_transaction(self):
        async with connected() as conn:
            assert await conn.code("BEGIN") == "DONE"
            assert await conn.code("BEGIN") == "MALFORMED"
