"""Contract table of the calls that a target refuses.

Runs against the stand-in process and the fake, with the fixture of ``target_test``.
"""

import pytest

from lavenderstack.border import target_test
from lavenderstack.border.target import TargetErrorCode, TargetRefused
from lavenderstack.border.target_test import (
    NAMES,
    TIMEOUT_S,
    adopt_and_lead,
    expect_refusal,
    put,
)

group = target_test.group


def begin(term):
    return lambda conn: conn.begin(term, TIMEOUT_S)


def write(**options):
    return lambda conn: put(conn, 1, **options)


def adopt(term):
    return lambda conn: conn.adopt(term, TIMEOUT_S)


def lead(term):
    return lambda conn: adopt_and_lead(conn, term)


def follow(term):
    return lambda conn: conn.follow(term, "b", "127.0.0.1", 1, TIMEOUT_S)


def commit(idempotency_key=""):
    return lambda conn: conn.commit(TIMEOUT_S, idempotency_key)


def run(statement, *args, write=True, term=1):
    return lambda conn: conn.run(
        statement, list(args), TIMEOUT_S, write=write, term=term
    )


REFUSALS = {
    "a term is adopted only once": ([adopt(1)], adopt(1), TargetErrorCode.OLD_TERM),
    "a lower term is refused": ([adopt(2)], adopt(1), TargetErrorCode.OLD_TERM),
    "a target leads only a term that it has adopted": (
        [adopt(1)],
        lambda conn: conn.lead(2, NAMES, TIMEOUT_S),
        TargetErrorCode.OLD_TERM,
    ),
    "a target is not made primary of an outdated term": (
        [adopt(1), adopt(2)],
        lambda conn: conn.lead(1, NAMES, TIMEOUT_S),
        TargetErrorCode.OLD_TERM,
    ),
    "a follower of a term does not lead it": (
        [follow(1)],
        lambda conn: conn.lead(1, NAMES, TIMEOUT_S),
        TargetErrorCode.OLD_TERM,
    ),
    "following an earlier term": ([adopt(2)], follow(1), TargetErrorCode.OLD_TERM),
    "a primary does not follow its own term": (
        [lead(1)],
        follow(1),
        TargetErrorCode.OLD_TERM,
    ),
    "a write before any term": ([], write(), TargetErrorCode.NOT_PRIMARY),
    "a write on a replica": ([adopt(1)], write(), TargetErrorCode.NOT_PRIMARY),
    "a write without a term": ([lead(1)], write(term=0), TargetErrorCode.NOT_PRIMARY),
    "a write of an earlier term": (
        [lead(1), lead(2)],
        write(),
        TargetErrorCode.NOT_PRIMARY,
    ),
    "a write of a later term": ([lead(1)], write(term=2), TargetErrorCode.NOT_PRIMARY),
    "a write after a new term": (
        [lead(1), adopt(2)],
        write(),
        TargetErrorCode.NOT_PRIMARY,
    ),
    "a read that needs the primary of an earlier term": (
        [lead(1), adopt(2)],
        run("get", "t", "k", write=False),
        TargetErrorCode.NOT_PRIMARY,
    ),
    "a transaction after a new term": (
        [lead(1), adopt(2)],
        begin(1),
        TargetErrorCode.NOT_PRIMARY,
    ),
    "a commit after a new term": (
        [lead(1), begin(1), write(), adopt(2)],
        commit(),
        TargetErrorCode.NOT_PRIMARY,
    ),
    "a commit after becoming primary of a later term": (
        [lead(1), begin(1), write(), lead(2)],
        commit(),
        TargetErrorCode.NOT_PRIMARY,
    ),
    "a repeated write": (
        [lead(1), write(idempotency_key="r")],
        write(idempotency_key="r"),
        TargetErrorCode.ALREADY_RUN,
    ),
    "a write repeated in a later term": (
        [lead(1), write(idempotency_key="r"), lead(2)],
        write(idempotency_key="r", term=2),
        TargetErrorCode.ALREADY_RUN,
    ),
    "a repeated commit": (
        [lead(1), write(idempotency_key="r"), begin(1), write()],
        commit("r"),
        TargetErrorCode.ALREADY_RUN,
    ),
    "a commit without a transaction": (
        [lead(1)],
        commit(),
        TargetErrorCode.NO_TRANSACTION,
    ),
    "a rollback without a transaction": (
        [lead(1)],
        lambda conn: conn.rollback(TIMEOUT_S),
        TargetErrorCode.NO_TRANSACTION,
    ),
    "a commit after a refused one": (
        [
            lead(1),
            begin(1),
            adopt(2),
            lambda conn: expect_refusal(commit()(conn)),
            lead(3),
        ],
        commit(),
        TargetErrorCode.NO_TRANSACTION,
    ),
    "a write sent as a read": (
        [lead(1)],
        run("put", "t", "k", 1, write=False),
        TargetErrorCode.STATEMENT_FAILED,
    ),
    "an insert of a key that exists": (
        [lead(1), write()],
        run("insert", "t", "k", 1),
        TargetErrorCode.STATEMENT_FAILED,
    ),
    "an unknown statement": ([lead(1)], run("drop"), TargetErrorCode.STATEMENT_FAILED),
    "wrong arguments": ([lead(1)], run("put", "t"), TargetErrorCode.STATEMENT_FAILED),
}


class TestRefusals:
    @pytest.mark.parametrize("name", REFUSALS)
    async def test_a_refused_call_changes_nothing(self, group, name):
        steps, call, code = REFUSALS[name]
        conn = await group.connect(0)
        for step in steps:
            await step(conn)
        status_before = await conn.state(TIMEOUT_S)
        assert (await expect_refusal(call(conn))).code == code
        assert await conn.state(TIMEOUT_S) == status_before
        assert not conn.broken


class TestArguments:
    @pytest.mark.parametrize(
        "value",
        [2**64, -(2**63) - 1, 10**400, "\ud800"],
        ids=["above 64 bits", "below 64 bits", "400 digits", "surrogate"],
    )
    async def test_one_that_can_not_be_sent_leaves_the_connection_usable(self, value):
        async with target_test.process_group() as started:
            conn = await started.connect(0)
            with pytest.raises(TargetRefused) as caught:
                await conn.run("get", ["t", value], TIMEOUT_S)
            assert caught.value.code == TargetErrorCode.STATEMENT_FAILED
            assert not conn.broken
            assert (await conn.state(TIMEOUT_S)).term == 0
            conn.close()
