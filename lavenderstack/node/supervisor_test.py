"""Tests of the supervisor."""

import asyncio

import pytest

from lavenderstack.node import supervisor
from lavenderstack.node.supervisor import Part, PartFailed


@pytest.fixture(autouse=True)
def _no_delay(monkeypatch):
    monkeypatch.setattr(supervisor, "INITIAL_DELAY_S", 0.0)


class TestRun:
    async def test_crashed_part_is_restarted_and_others_keep_running(self):
        starts = {"bad": 0, "good": 0}
        recovered = asyncio.Event()

        async def bad():
            starts["bad"] += 1
            if starts["bad"] < 3:
                raise RuntimeError("crash")
            recovered.set()

        async def good():
            starts["good"] += 1
            await recovered.wait()

        await supervisor.run([Part("bad", bad), Part("good", good)])
        assert starts == {"bad": 3, "good": 1}

    async def test_part_that_keeps_failing_ends_all_parts(self):
        cleaned = []

        async def bad():
            raise RuntimeError("crash")

        async def good():
            try:
                await asyncio.Event().wait()
            finally:
                cleaned.append("good")

        with pytest.raises(ExceptionGroup) as caught:
            await supervisor.run([Part("bad", bad), Part("good", good)])
        (failure,) = caught.value.exceptions
        assert isinstance(failure, PartFailed)
        assert cleaned == ["good"]
