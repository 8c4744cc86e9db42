"""Tests of writing log lines without blocking."""

import asyncio
import os
import time

import pytest

from lavenderstack.border.log_writer import MAX_BUFFERED_B, LogWriter


@pytest.fixture
def pipe():
    ends = os.pipe()
    yield ends
    for end in ends:
        try:
            os.close(end)
        except OSError:
            continue


class TestLogWriter:
    async def test_lines_are_written_in_one_batch(self, pipe):
        read, write = pipe
        writer = LogWriter(write)
        writer.msg("one")
        writer.msg("two")
        await asyncio.sleep(0.1)
        assert os.read(read, 100) == b"one\ntwo\n"

    async def test_a_reader_that_stops_reading_does_not_block_the_writer(self, pipe):
        writer = LogWriter(pipe[1])
        began = time.monotonic()
        for _ in range(5000):
            writer.msg("x" * 200)
            writer.flush()
        assert time.monotonic() - began < 5.0
        assert writer.dropped > 0
        assert writer._buffered_b <= MAX_BUFFERED_B + 201

    async def test_buffered_lines_arrive_complete_once_reading_resumes(self, pipe):
        read, write = pipe
        writer = LogWriter(write)
        for number in range(3000):
            writer.msg(f"{number:06d}" + "x" * 60)
            writer.flush()
        received = os.read(read, 1 << 20)
        while not writer.flush():
            received += os.read(read, 1 << 20)
        os.set_blocking(read, False)
        try:
            while data := os.read(read, 1 << 20):
                received += data
        except BlockingIOError:
            pass
        lines = received.decode().splitlines()
        assert all(len(line) == 66 for line in lines)
        assert [line[:6] for line in lines] == sorted(line[:6] for line in lines)

    async def test_a_closed_reader_drops_lines_without_an_error(self, pipe):
        read, write = pipe
        writer = LogWriter(write)
        os.close(read)
        writer.msg("one")
        assert writer.flush()
        assert writer.dropped == 1


class TestDroppedLines:
    async def test_each_line_that_a_closed_reader_did_not_get_whole_counts(self, pipe):
        read, write = pipe
        writer = LogWriter(write)
        for _ in range(1000):
            writer.msg("x" * 199)
        assert not writer.flush()
        received = os.read(read, 1 << 20)
        os.close(read)
        assert writer.flush()
        assert received.count(b"\n") + writer.dropped == 1000

    @pytest.mark.parametrize("length", [66, 1000])
    async def test_a_line_that_was_begun_is_completed_when_others_are_dropped(
        self, pipe, length
    ):
        read, write = pipe
        writer = LogWriter(write)
        count = 3 * MAX_BUFFERED_B // length
        for number in range(count):
            writer.msg(f"{number:06d}".ljust(length, "x"))
            writer.flush()
        received = b""
        while not writer.flush():
            received += os.read(read, 1 << 20)
        os.close(write)
        while data := os.read(read, 1 << 20):
            received += data
        lines = received.decode().splitlines()
        assert {len(line) for line in lines} == {length}
        assert len(lines) + writer.dropped == count
        assert writer.dropped > 0
        assert lines[-1].startswith(f"{count - 1:06d}")
