"""Contract tests of targets, run against the stand-in process and the fake."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager

import msgpack
import pytest

from lavenderstack.border import target as adapter
from lavenderstack.border.target import TargetErrorCode, TargetLost, TargetRefused
from lavenderstack.core.position import Position
from standins.target import Limits, serve
from standins.target_fake import FakeGroup

TIMEOUT_S = 2.0
WAIT_TIMEOUT_S = 10.0
NAMES = ["a", "b", "c"]


async def wait_until(condition):
    """Wait until a condition holds, for at most ``WAIT_TIMEOUT_S`` seconds."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while True:
            if await condition():
                return
            await asyncio.sleep(0.005)


class ProcessGroup:
    """Three stand-in targets in this event loop, reached over loopback."""

    def __init__(self, servers):
        self.targets = [target for target, _ in servers]
        self.ports = [port for _, port in servers]

    async def connect(self, index):
        return await adapter.connect(
            "127.0.0.1", self.ports[index], "studio", TIMEOUT_S
        )

    def port(self, index):
        return self.ports[index]

    def lose_answer(self, index):
        self.targets[index].fault("lost_answer", 1)

    async def wait_until_replicated(self, index, position):
        log = self.targets[index].log

        async def reached():
            return log.last == position

        await wait_until(reached)


class FakeBackedGroup:
    """Three fake targets, with the same methods as ``ProcessGroup``."""

    def __init__(self):
        self.fake = FakeGroup("studio", NAMES)
        self.targets = self.fake.targets

    async def connect(self, index):
        return await self.fake.connect("", index, "studio", TIMEOUT_S)

    def port(self, index):
        return index

    def lose_answer(self, index):
        self.targets[index].lose_answers = 1

    async def wait_until_replicated(self, index, position):
        assert self.fake.replicate(index)
        assert self.targets[index].log.last == position


@asynccontextmanager
async def process_group(**limits):
    async with AsyncExitStack() as stack:
        serving = [serve(name, "studio", Limits(**limits)) for name in NAMES]
        servers = [await stack.enter_async_context(server) for server in serving]
        yield ProcessGroup(servers)


@pytest.fixture(params=["process", "fake"])
async def group(request):
    if request.param == "fake":
        yield FakeBackedGroup()
        return
    async with process_group() as started_group:
        yield started_group


async def adopt_and_lead(conn, term):
    await conn.adopt(term, TIMEOUT_S)
    return await conn.lead(term, NAMES, TIMEOUT_S)


async def promote(group, primary_index, term, followers):
    """Make one target primary of a term and others its replicas.

    Returns the connection to the primary.
    """
    conn = await group.connect(primary_index)
    await adopt_and_lead(conn, term)
    for index in followers:
        follower = await group.connect(index)
        addr = ("127.0.0.1", group.port(primary_index))
        await follower.follow(term, NAMES[primary_index], *addr, TIMEOUT_S)
    return conn


def put(conn, value, *, term=1, idempotency_key="", key="k"):
    return conn.run(
        "put",
        ["t", key, value],
        TIMEOUT_S,
        write=True,
        term=term,
        idempotency_key=idempotency_key,
    )


def get(conn, key="k"):
    return conn.run("get", ["t", key], TIMEOUT_S)


async def expect_refusal(call):
    with pytest.raises(TargetRefused) as raised:
        await call
    return raised.value


class TestTransactions:
    async def test_writes_are_invisible_before_the_commit(self, group):
        conn, other = await promote(group, 0, 1, []), await group.connect(0)
        await conn.begin(1, TIMEOUT_S)
        await put(conn, 5)
        assert (await get(conn)).result == 5
        assert (await get(other)).result is None
        reply = await conn.commit(TIMEOUT_S)
        assert (await get(other)).result == 5
        assert reply.last == Position(1, 2)

    @pytest.mark.parametrize("end", ["rollback", "close"])
    async def test_rollback_or_close_discards_the_writes(self, group, end):
        conn, other = await promote(group, 0, 1, []), await group.connect(0)
        await conn.begin(1, TIMEOUT_S)
        await put(conn, 5)
        await (conn.rollback(TIMEOUT_S) if end == "rollback" else asyncio.sleep(0))
        conn.close()
        reply = await get(other)
        assert (reply.result, reply.last) == (None, Position(1, 1))

    async def test_the_second_of_two_conflicting_commits_is_refused(self, group):
        conn, other = await promote(group, 0, 1, []), await group.connect(0)
        for each_conn in (conn, other):
            await each_conn.begin(1, TIMEOUT_S)
            await each_conn.run("add", ["t", "k", 1], TIMEOUT_S, write=True)
        await conn.commit(TIMEOUT_S)
        assert (
            await expect_refusal(other.commit(TIMEOUT_S))
        ).code == TargetErrorCode.STATEMENT_FAILED
        assert (await get(other)).result == 1


class TestReplication:
    async def test_a_replica_reaches_the_position_and_the_data(self, group):
        primary = await promote(group, 0, 1, [1])
        reply = await put(primary, 7)
        await group.wait_until_replicated(1, reply.last)
        replica = await group.connect(1)
        assert (await get(replica)).result == 7

    async def test_an_idempotency_key_survives_a_promotion(self, group):
        primary = await promote(group, 0, 1, [1])
        reply = await put(primary, 7, idempotency_key="r")
        await group.wait_until_replicated(1, reply.last)
        new_primary = await promote(group, 1, 2, [])
        exc = await expect_refusal(put(new_primary, 7, term=2, idempotency_key="r"))
        assert (exc.code, exc.detail) == (TargetErrorCode.ALREADY_RUN, "1:2")

    async def test_a_former_primary_discards_its_unreplicated_entries(self, group):
        primary = await promote(group, 0, 1, [1])
        replicated_write = await put(primary, 1)
        await group.wait_until_replicated(1, replicated_write.last)
        new_primary = await promote(group, 1, 2, [])
        for value in (2, 3, 4):
            await put(primary, value, idempotency_key=f"r{value}")
        reply = await put(new_primary, 9, term=2)
        assert (
            reply.last > last_position(group)
            and reply.last.seq < last_position(group).seq
        )
        await primary.follow(2, "b", "127.0.0.1", group.port(1), TIMEOUT_S)
        await group.wait_until_replicated(0, reply.last)
        assert (await get(primary)).result == 9
        primary_again = await promote(group, 0, 3, [])
        await put(primary_again, 2, term=3, idempotency_key="r2")

    async def test_a_replica_that_adopted_a_new_term_ignores_the_old_one(self, group):
        primary = await promote(group, 0, 1, [1])
        await group.wait_until_replicated(1, Position(1, 1))
        replica = await group.connect(1)
        await replica.adopt(2, TIMEOUT_S)
        await put(primary, 7)
        await asyncio.sleep(0.05)
        if isinstance(group, FakeBackedGroup):
            assert not group.fake.replicate(1)
        assert (await replica.state(TIMEOUT_S)).last == Position(1, 1)


def last_position(group):
    return group.targets[0].log.last


class TestLostAnswers:
    async def test_the_write_took_effect_and_the_connection_is_broken(self, group):
        conn = await promote(group, 0, 1, [])
        group.lose_answer(0)
        with pytest.raises(TargetLost):
            await put(conn, 7, idempotency_key="r")
        assert conn.broken
        other = await group.connect(0)
        assert (await get(other)).result == 7
        assert (
            await expect_refusal(put(other, 7, idempotency_key="r"))
        ).code == TargetErrorCode.ALREADY_RUN


class TestConnections:
    async def test_a_connection_over_the_limit_is_refused(self):
        async with process_group(connections=2) as group:
            conns = [await group.connect(0) for _ in range(2)]
            assert (
                await expect_refusal(group.connect(0))
            ).code == TargetErrorCode.TOO_MANY_CONNECTIONS
            conns[0].close()

            async def admitted():
                try:
                    return await group.connect(0)
                except TargetRefused:
                    return None

            await wait_until(admitted)

    async def test_overlapping_calls_on_a_connection_are_counted(self):
        async with process_group() as group:
            conn = await group.connect(0)
            first = asyncio.ensure_future(conn.run("sleep", [50], TIMEOUT_S))
            await asyncio.sleep(0)
            conn._transport.write(msgpack.packb([0, 99, "state", []]))
            await first
            assert group.targets[0].call_record.overlaps == 1

    async def test_slots_limit_the_statements_that_run_at_once(self):
        async with process_group(slots=2) as group:
            conns = [await group.connect(0) for _ in range(5)]
            await asyncio.gather(*(conn.run("sleep", [5], TIMEOUT_S) for conn in conns))
            assert group.targets[0].call_record.most_running == 2


class TestFaults:
    async def test_silent_connections_stay_silent_and_new_ones_work(self):
        async with process_group() as group:
            conn = await promote(group, 0, 1, [1])
            await group.wait_until_replicated(1, Position(1, 1))
            group.targets[0].fault("silent", 1)
            with pytest.raises(TargetLost):
                await conn.state(0.1)
            reply = await put(await group.connect(0), 1)
            await group.wait_until_replicated(1, reply.last)

    async def test_a_frozen_target_runs_received_calls_later(self):
        async with process_group() as group:
            conn = await promote(group, 0, 1, [])
            group.targets[0].fault("freeze_s", 0.2)
            with pytest.raises(TargetLost):
                await conn.run("put", ["t", "k", 1], 0.05, write=True, term=1)
            other = await group.connect(0)

            async def written():
                return (await get(other)).result == 1

            await wait_until(written)

    async def test_a_target_that_was_down_keeps_its_log(self):
        async with process_group() as group:
            conn = await promote(group, 0, 1, [])
            await put(conn, 1)
            group.targets[0].fault("down_s", 0.1)
            with pytest.raises(TargetLost):
                await conn.state(TIMEOUT_S)

            async def reconnected():
                try:
                    return await group.connect(0)
                except (adapter.TargetUnreachable, TargetRefused):
                    return None

            await wait_until(reconnected)
            assert (await get(await group.connect(0))).result == 1

    async def test_strings_and_writes_in_calls_are_recorded(self):
        async with process_group() as group:
            conn = await promote(group, 0, 1, [])
            await put(conn, {"nested": ["secret"]})
            control = await adapter.connect(
                "127.0.0.1", group.port(0), "control", TIMEOUT_S
            )
            record = (await control._call("seen", [], TIMEOUT_S))[0]
            assert "secret" in record["strings"]
            assert record["written"] == [[1, 2, ""]]
