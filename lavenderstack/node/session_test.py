"""Tests of a session: what it keeps, what it sends, and what it may say."""

import pytest

from lavenderstack.core import clock
from lavenderstack.core.catalog import Catalog, Consistency, Route
from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import Position
from lavenderstack.core.reply import TxState
from lavenderstack.core.statement import Kind, Statement
from lavenderstack.core.view import Vm
from lavenderstack.core.view_proof import ViewProof
from lavenderstack.core.work_messages import Access, Opens, WorkDone
from lavenderstack.node.counters import Counters
from lavenderstack.node.directory import Directory
from lavenderstack.node.dispatch import Placed
from lavenderstack.node.session import Services, Session

READ = Statement(Kind.READ, "READ a")
WRITE = Statement(Kind.WRITE, "WRITE a b", writes=True)
BEGIN = Statement(Kind.BEGIN, "BEGIN")
BEGIN_READ = Statement(Kind.BEGIN, "BEGIN READ", read_only=True)
COMMIT = Statement(Kind.COMMIT, "COMMIT")
ROLLBACK = Statement(Kind.ROLLBACK, "ROLLBACK")
PROMISES = {Reason.TRANSACTION_LOST, Reason.CROWDED, Reason.NOT_PRIMARY, Reason.BEHIND}


class FakeServices:
    """Answers of the dispatcher by turn; the last one is given again."""

    def __init__(self, answers=()):
        self.answers = list(answers)
        self.calls, self.steps, self.told, self.asked = [], [], [], 0
        self.refusal = None

    def _next(self, opened):
        if not self.answers:
            return WorkDone(rows=[], receipt="r", position=Position(1, 9), tx=opened)
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]

    async def run(self, call):
        self.calls.append(call)
        opened = "n1/t1/1" if call.opens and call.statement.kind != Kind.COMMIT else ""
        return Placed(self._next(opened), "n1", "t1")

    async def step(self, call, at, tx):
        self.steps.append((call, at, tx))
        return self._next("")

    async def admit(self, organisation):
        self.asked += 1
        return self.refusal

    def background(self, work):
        work.close()
        self.told.append("end")


def session(freshness=Consistency.SESSION, answers=()):
    fake = FakeServices(answers)
    directory = Directory("n1", "z1", ViewProof(limit_s=5.0))
    route = Route("db", "g", freshness, 1.0, 0.2, 2, 2.5)
    directory.update_catalog(
        Catalog(version=1, routes={"db": route}, keys={"d": "org"})
    )
    directory.proof.prove(clock.now())
    directory.put_member(Vm("n1", "z1", "10.0.0.1", 1))
    services = Services(directory, fake, fake, fake, Counters())
    return Session(services, "db", "org", "d"), fake


def lost(run, reason):
    return Failed(run=run, reason=reason)


class TestAccess:
    @pytest.mark.parametrize(
        ("freshness", "begin", "statement", "access", "opens"),
        [
            (Consistency.PRIMARY, None, READ, Access.CURRENT_READ, Opens.NOTHING),
            (Consistency.BOUNDED, None, READ, Access.AGED_READ, Opens.NOTHING),
            (Consistency.SESSION, None, READ, Access.AGED_READ, Opens.NOTHING),
            (Consistency.BOUNDED, None, WRITE, Access.WRITE, Opens.NOTHING),
            (Consistency.SESSION, BEGIN, READ, Access.WRITE, Opens.TRANSACTION),
            (Consistency.SESSION, BEGIN_READ, READ, Access.AGED_READ, Opens.READ_ONLY),
            # Found on a day of our own (STALE): a read-only transaction proves no lead.
            (Consistency.PRIMARY, BEGIN_READ, READ, Access.WRITE, Opens.TRANSACTION),
        ],
    )
    async def test_what_a_first_statement_needs(
        self, freshness, begin, statement, access, opens
    ):
        made, fake = session(freshness)
        if begin:
            await made.run("q", begin)
        await made.run("q", statement)
        assert (fake.calls[0].access, fake.calls[0].opens) == (access, opens)


class TestOwnWrites:
    async def test_a_read_after_a_write_must_see_it(self):
        made, fake = session()
        await made.run("q", WRITE)
        await made.run("q", READ)
        assert fake.calls[1].min_position == Position(1, 9)

    async def test_a_commit_counts_like_a_write(self):
        made, fake = session()
        for statement in (BEGIN, WRITE, COMMIT, READ):
            await made.run("q", statement)
        assert fake.calls[-1].min_position == Position(1, 9)


class TestRate:
    async def test_a_transaction_counts_once(self):
        made, fake = session()
        for statement in (BEGIN, READ, WRITE, COMMIT):
            await made.run("q", statement)
        assert fake.asked == 1

    async def test_a_refusal_fails_the_transaction_and_sends_nothing(self):
        made, fake = session()
        fake.refusal = Failed(run=False, reason=Reason.OVER_RATE, retry_after_s=0.2)
        await made.run("q", BEGIN)
        reply = await made.run("q", WRITE)
        assert reply.reason is Reason.OVER_RATE
        assert "200 ms" in reply.detail
        assert reply.state is TxState.FAILED
        assert fake.calls == []


class TestOutcomes:
    @pytest.mark.parametrize(
        ("failed", "reason"),
        [
            (lost(True, Reason.CONNECTION_LOST), Reason.OUTCOME_UNKNOWN),
            (lost(True, Reason.TIMED_OUT), Reason.TIMED_OUT),
            (lost(True, Reason.STATEMENT_FAILED), Reason.STATEMENT_FAILED),
            (lost(False, Reason.NOT_PRIMARY), Reason.NOT_PRIMARY),
        ],
    )
    async def test_of_a_single_write(self, failed, reason):
        made, _ = session(answers=[failed])
        reply = await made.run("q", WRITE)
        assert reply.reason is reason
        assert (reply.reason in PROMISES) == (not failed.run)

    @pytest.mark.parametrize("reason", [Reason.CONNECTION_LOST, Reason.TIMED_OUT])
    async def test_before_its_commit_nothing_of_a_transaction_is_kept(self, reason):
        made, fake = session(
            answers=[
                WorkDone(rows=[], receipt="r", position=Position(1, 1), tx="n1/t1/1"),
                lost(True, reason),
            ]
        )
        for statement in (BEGIN, WRITE):
            await made.run("q", statement)
        reply = await made.run("q", WRITE)
        assert reply.reason is Reason.TRANSACTION_LOST
        assert reply.state is TxState.FAILED
        assert fake.told == ["end"]

    async def test_a_commit_without_an_answer_is_unknown(self):
        made, _ = session(
            answers=[
                WorkDone(rows=[], receipt="r", position=Position(1, 1), tx="n1/t1/1"),
                lost(True, Reason.CONNECTION_LOST),
            ]
        )
        for statement in (BEGIN, WRITE):
            await made.run("q", statement)
        reply = await made.run("q", COMMIT)
        assert reply.reason is Reason.OUTCOME_UNKNOWN
        assert reply.state is TxState.NONE

    async def test_a_commit_that_never_left_is_a_rollback(self):
        made, _ = session(
            answers=[
                WorkDone(rows=[], receipt="r", position=Position(1, 1), tx="n1/t1/1"),
                lost(False, Reason.UNREACHABLE),
            ]
        )
        for statement in (BEGIN, WRITE):
            await made.run("q", statement)
        assert (await made.run("q", COMMIT)).reason is Reason.TRANSACTION_LOST

    async def test_in_a_failed_transaction_only_its_end_is_taken(self):
        made, fake = session(answers=[lost(False, Reason.NOT_PRIMARY)])
        await made.run("q", BEGIN)
        await made.run("q", WRITE)
        assert (await made.run("q", READ)).reason is Reason.BAD_REQUEST
        assert (await made.run("q", COMMIT)).reason is Reason.TRANSACTION_LOST
        assert made.state is TxState.NONE
        assert len(fake.calls) == 1


class TestKeys:
    async def test_a_withdrawn_key_is_refused_on_an_open_session(self):
        made, fake = session()
        made.services.directory.update_catalog(
            Catalog(version=2, routes=made.services.directory.catalog.routes)
        )
        assert (await made.run("q", READ)).reason is Reason.KEY_REFUSED
        assert fake.calls == []

    async def test_without_a_recent_proof_the_reason_is_another(self):
        made, fake = session()
        made.services.directory.proof.at = clock.now() - 5.0
        assert (await made.run("q", READ)).reason is Reason.STALE_VIEW
        assert fake.calls == []

    async def test_a_dropped_route_is_told_from_a_refused_key(self):
        made, _ = session()
        made.services.directory.update_catalog(Catalog(version=2, keys={"d": "org"}))
        assert (await made.run("q", READ)).reason is Reason.UNKNOWN_GROUP


class TestNames:
    async def test_an_unknown_prepared_name_sends_nothing(self):
        made, fake = session()
        execute = Statement(Kind.EXECUTE, "EXEC s 1", "s", "1")
        assert (await made.run("q", execute)).reason is Reason.NO_PREPARED
        assert fake.calls == []

    async def test_a_prepared_write_counts_as_a_write(self):
        made, fake = session()
        prepare = Statement(Kind.PREPARE, "PREPARE s WRITE q", "s", "q", writes=True)
        await made.run("q", prepare)
        await made.run("q", Statement(Kind.EXECUTE, "EXEC s 1", "s", "1"))
        assert fake.calls[0].access is Access.WRITE
        assert not fake.calls[0].repeatable
