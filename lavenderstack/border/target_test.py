"""The contract of a target, run against the stand-in process and the fake."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager

import msgpack
import pytest

from lavenderstack.border import target as adapter
from lavenderstack.border.target import TargetErrorCode, TargetLost, TargetRefused
from lavenderstack.core.position import Position
from standins.target import Limits, serve
from standins.target_fake import FakeGroup

T = 2.0
LIMIT_S = 10.0
NAMES = ["a", "b", "c"]


async def until(condition):
    """Wait for a condition with a generous deadline."""
    async with asyncio.timeout(LIMIT_S):
        while True:
            if await condition():
                return
            await asyncio.sleep(0.005)


class ProcessGroup:
    """Three stand-ins in this event loop, spoken to over loopback."""

    def __init__(self, served):
        self.targets = [target for target, _ in served]
        self.ports = [port for _, port in served]

    async def connect(self, i):
        return await adapter.connect("127.0.0.1", self.ports[i], "studio", T)

    def port(self, i):
        return self.ports[i]

    def lose_answer(self, i):
        self.targets[i].fault("lost_answer", 1)

    async def replicated(self, i, position):
        log = self.targets[i].log

        async def reached():
            return log.last == position

        await until(reached)


class FakeOfGroup:
    """The fake behind the same few calls."""

    def __init__(self):
        self.fake = FakeGroup("studio", NAMES)
        self.targets = self.fake.targets

    async def connect(self, i):
        return await self.fake.connect("", i, "studio", T)

    def port(self, i):
        return i

    def lose_answer(self, i):
        self.targets[i].lose_answers = 1

    async def replicated(self, i, position):
        assert self.fake.replicate(i)
        assert self.targets[i].log.last == position


@asynccontextmanager
async def process_group(**limits):
    async with AsyncExitStack() as stack:
        serving = [serve(name, "studio", Limits(**limits)) for name in NAMES]
        served = [await stack.enter_async_context(each) for each in serving]
        yield ProcessGroup(served)


@pytest.fixture(params=["process", "fake"])
async def group(request):
    if request.param == "fake":
        yield FakeOfGroup()
        return
    async with process_group() as made:
        yield made


async def lead(conn, term):
    await conn.adopt(term, T)
    return await conn.lead(term, NAMES, T)


async def promote(group, leader, term, others):
    """Make one target lead a term and others follow it; return its connection."""
    conn = await group.connect(leader)
    await lead(conn, term)
    for i in others:
        other = await group.connect(i)
        addr = ("127.0.0.1", group.port(leader))
        await other.follow(term, NAMES[leader], *addr, T)
    return conn


def put(conn, value, *, term=1, once="", key="k"):
    return conn.run("put", ["t", key, value], T, write=True, term=term, once=once)


def get(conn, key="k"):
    return conn.run("get", ["t", key], T)


def begin(term):
    return lambda conn: conn.begin(term, T)


def write(**options):
    return lambda conn: put(conn, 1, **options)


def adopt(term):
    return lambda conn: conn.adopt(term, T)


def led(term):
    return lambda conn: lead(conn, term)


def follow(term):
    return lambda conn: conn.follow(term, "b", "127.0.0.1", 1, T)


def commit(once=""):
    return lambda conn: conn.commit(T, once)


def run(statement, *args, write=True, term=1):
    return lambda conn: conn.run(statement, list(args), T, write=write, term=term)


REFUSALS = {
    "a term is granted once": ([adopt(1)], adopt(1), TargetErrorCode.OLD_TERM),
    "a lower term is refused": ([adopt(2)], adopt(1), TargetErrorCode.OLD_TERM),
    "to lead needs the term adopted": (
        [adopt(1)],
        lambda conn: conn.lead(2, NAMES, T),
        TargetErrorCode.OLD_TERM,
    ),
    "a proposer that woke up late may not lead": (
        [adopt(1), adopt(2)],
        lambda conn: conn.lead(1, NAMES, T),
        TargetErrorCode.OLD_TERM,
    ),
    "a follower of a term does not lead it": (
        [follow(1)],
        lambda conn: conn.lead(1, NAMES, T),
        TargetErrorCode.OLD_TERM,
    ),
    "to follow an older term": ([adopt(2)], follow(1), TargetErrorCode.OLD_TERM),
    "a primary does not follow its own term": (
        [led(1)],
        follow(1),
        TargetErrorCode.OLD_TERM,
    ),
    "a write before any term": ([], write(), TargetErrorCode.NOT_PRIMARY),
    "a write on a replica": ([adopt(1)], write(), TargetErrorCode.NOT_PRIMARY),
    "a write without a term": ([led(1)], write(term=0), TargetErrorCode.NOT_PRIMARY),
    "a write of the term before": (
        [led(1), led(2)],
        write(),
        TargetErrorCode.NOT_PRIMARY,
    ),
    "a write of a term to come": ([led(1)], write(term=2), TargetErrorCode.NOT_PRIMARY),
    "a write after a new term": (
        [led(1), adopt(2)],
        write(),
        TargetErrorCode.NOT_PRIMARY,
    ),
    "a read that asks for the primary": (
        [led(1), adopt(2)],
        run("get", "t", "k", write=False),
        TargetErrorCode.NOT_PRIMARY,
    ),
    "a transaction after a new term": (
        [led(1), adopt(2)],
        begin(1),
        TargetErrorCode.NOT_PRIMARY,
    ),
    "a commit after a new term": (
        [led(1), begin(1), write(), adopt(2)],
        commit(),
        TargetErrorCode.NOT_PRIMARY,
    ),
    "a commit after leading anew": (
        [led(1), begin(1), write(), led(2)],
        commit(),
        TargetErrorCode.NOT_PRIMARY,
    ),
    "a repeated write": (
        [led(1), write(once="r")],
        write(once="r"),
        TargetErrorCode.ALREADY_RUN,
    ),
    "a write repeated in a later term": (
        [led(1), write(once="r"), led(2)],
        write(once="r", term=2),
        TargetErrorCode.ALREADY_RUN,
    ),
    "a repeated commit": (
        [led(1), write(once="r"), begin(1), write()],
        commit("r"),
        TargetErrorCode.ALREADY_RUN,
    ),
    "a commit without a transaction": (
        [led(1)],
        commit(),
        TargetErrorCode.NO_TRANSACTION,
    ),
    "a rollback without a transaction": (
        [led(1)],
        lambda conn: conn.rollback(T),
        TargetErrorCode.NO_TRANSACTION,
    ),
    "a commit after a refused one": (
        [led(1), begin(1), adopt(2), lambda conn: refused(commit()(conn)), led(3)],
        commit(),
        TargetErrorCode.NO_TRANSACTION,
    ),
    "a write that calls itself a read": (
        [led(1)],
        run("put", "t", "k", 1, write=False),
        TargetErrorCode.STATEMENT_FAILED,
    ),
    "an insert of a key that exists": (
        [led(1), write()],
        run("insert", "t", "k", 1),
        TargetErrorCode.STATEMENT_FAILED,
    ),
    "an unknown statement": ([led(1)], run("drop"), TargetErrorCode.STATEMENT_FAILED),
    "wrong arguments": ([led(1)], run("put", "t"), TargetErrorCode.STATEMENT_FAILED),
}


async def refused(call):
    with pytest.raises(TargetRefused) as raised:
        await call
    return raised.value


class TestRefusals:
    @pytest.mark.parametrize("name", REFUSALS)
    async def test_a_refused_call_changes_nothing(self, group, name):
        before, call, code = REFUSALS[name]
        conn = await group.connect(0)
        for step in before:
            await step(conn)
        known = await conn.state(T)
        assert (await refused(call(conn))).code == code
        assert await conn.state(T) == known
        assert not conn.broken


class TestTransactions:
    async def test_nobody_sees_it_before_its_commit(self, group):
        conn, other = await promote(group, 0, 1, []), await group.connect(0)
        await conn.begin(1, T)
        await put(conn, 5)
        assert (await get(conn)).result == 5
        assert (await get(other)).result is None
        ran = await conn.commit(T)
        assert (await get(other)).result == 5
        assert ran.last == Position(1, 2)

    @pytest.mark.parametrize("end", ["rollback", "close"])
    async def test_it_leaves_nothing_behind(self, group, end):
        conn, other = await promote(group, 0, 1, []), await group.connect(0)
        await conn.begin(1, T)
        await put(conn, 5)
        await (conn.rollback(T) if end == "rollback" else asyncio.sleep(0))
        conn.close()
        ran = await get(other)
        assert (ran.result, ran.last) == (None, Position(1, 1))

    async def test_of_two_that_touch_one_key_the_second_is_refused(self, group):
        conn, other = await promote(group, 0, 1, []), await group.connect(0)
        for each in (conn, other):
            await each.begin(1, T)
            await each.run("add", ["t", "k", 1], T, write=True)
        await conn.commit(T)
        assert (await refused(other.commit(T))).code == TargetErrorCode.STATEMENT_FAILED
        assert (await get(other)).result == 1


class TestReplication:
    async def test_a_replica_reaches_the_position_and_the_data(self, group):
        primary = await promote(group, 0, 1, [1])
        ran = await put(primary, 7)
        await group.replicated(1, ran.last)
        replica = await group.connect(1)
        assert (await get(replica)).result == 7

    async def test_a_remembered_id_survives_a_promotion(self, group):
        primary = await promote(group, 0, 1, [1])
        ran = await put(primary, 7, once="r")
        await group.replicated(1, ran.last)
        successor = await promote(group, 1, 2, [])
        exc = await refused(put(successor, 7, term=2, once="r"))
        assert (exc.code, exc.detail) == (TargetErrorCode.ALREADY_RUN, "1:2")

    async def test_an_abandoned_branch_is_cut_off(self, group):
        primary = await promote(group, 0, 1, [1])
        kept = await put(primary, 1)
        await group.replicated(1, kept.last)
        successor = await promote(group, 1, 2, [])
        for value in (2, 3, 4):
            await put(primary, value, once=f"r{value}")
        ran = await put(successor, 9, term=2)
        assert ran.last > primary_last(group) and ran.last.seq < primary_last(group).seq
        await primary.follow(2, "b", "127.0.0.1", group.port(1), T)
        await group.replicated(0, ran.last)
        assert (await get(primary)).result == 9
        again = await promote(group, 0, 3, [])
        await put(again, 2, term=3, once="r2")

    async def test_a_replica_that_adopted_a_new_term_takes_nothing_of_the_old(
        self, group
    ):
        primary = await promote(group, 0, 1, [1])
        await group.replicated(1, Position(1, 1))
        replica = await group.connect(1)
        await replica.adopt(2, T)
        await put(primary, 7)
        await asyncio.sleep(0.05)
        if isinstance(group, FakeOfGroup):
            assert not group.fake.replicate(1)
        assert (await replica.state(T)).last == Position(1, 1)


def primary_last(group):
    return group.targets[0].log.last


class TestLostAnswers:
    async def test_the_write_took_effect_and_the_connection_is_broken(self, group):
        conn = await promote(group, 0, 1, [])
        group.lose_answer(0)
        with pytest.raises(TargetLost):
            await put(conn, 7, once="r")
        assert conn.broken
        other = await group.connect(0)
        assert (await get(other)).result == 7
        assert (
            await refused(put(other, 7, once="r"))
        ).code == TargetErrorCode.ALREADY_RUN


class TestConnections:
    async def test_one_too_many_is_refused(self):
        async with process_group(connections=2) as group:
            conns = [await group.connect(0) for _ in range(2)]
            assert (
                await refused(group.connect(0))
            ).code == TargetErrorCode.TOO_MANY_CONNECTIONS
            conns[0].close()

            async def admitted():
                try:
                    return await group.connect(0)
                except TargetRefused:
                    return None

            await until(admitted)

    async def test_calls_that_overlap_on_a_connection_are_seen(self):
        async with process_group() as group:
            conn = await group.connect(0)
            first = asyncio.ensure_future(conn.run("sleep", [50], T))
            await asyncio.sleep(0)
            conn._transport.write(msgpack.packb([0, 99, "state", []]))
            await first
            assert group.targets[0].witness.overlaps == 1

    async def test_no_more_run_at_once_than_there_are_slots(self):
        async with process_group(slots=2) as group:
            conns = [await group.connect(0) for _ in range(5)]
            await asyncio.gather(*(conn.run("sleep", [5], T) for conn in conns))
            assert group.targets[0].witness.most_running == 2


class TestFaults:
    async def test_silent_connections_stay_silent_and_new_ones_work(self):
        async with process_group() as group:
            conn = await promote(group, 0, 1, [1])
            await group.replicated(1, Position(1, 1))
            group.targets[0].fault("silent", 1)
            with pytest.raises(TargetLost):
                await conn.state(0.1)
            ran = await put(await group.connect(0), 1)
            await group.replicated(1, ran.last)

    async def test_a_frozen_target_acts_late_and_on_what_it_had_read(self):
        async with process_group() as group:
            conn = await promote(group, 0, 1, [])
            group.targets[0].fault("freeze_s", 0.2)
            with pytest.raises(TargetLost):
                await conn.run("put", ["t", "k", 1], 0.05, write=True, term=1)
            other = await group.connect(0)

            async def written():
                return (await get(other)).result == 1

            await until(written)

    async def test_a_target_that_was_down_keeps_its_log(self):
        async with process_group() as group:
            conn = await promote(group, 0, 1, [])
            await put(conn, 1)
            group.targets[0].fault("down_s", 0.1)
            with pytest.raises(TargetLost):
                await conn.state(T)

            async def up():
                try:
                    return await group.connect(0)
                except (adapter.TargetUnreachable, TargetRefused):
                    return None

            await until(up)
            assert (await get(await group.connect(0))).result == 1

    async def test_strings_in_calls_are_kept_for_the_checks(self):
        async with process_group() as group:
            conn = await promote(group, 0, 1, [])
            await put(conn, {"nested": ["secret"]})
            control = await adapter.connect("127.0.0.1", group.port(0), "control", T)
            record = (await control._call("seen", [], T))[0]
            assert "secret" in record["strings"]
            assert record["written"] == [[1, 2, ""]]
