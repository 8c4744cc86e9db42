"""Tests of routing and retries, against holders with scripted answers."""

import pytest

from lavenderstack.core import clock
from lavenderstack.core.messages import Begin, Begun, End, Execute, Executed, Failed
from lavenderstack.core.outcome import Reason, Refused, Unknown
from lavenderstack.core.position import Position
from lavenderstack.core.request import Caller, Request
from lavenderstack.core.token import Watermark
from lavenderstack.core.view import Group, Target, View, Vm
from lavenderstack.node.evacuation.zone_evacuations_test import FakeEvacuations
from lavenderstack.node.primaries import Primaries
from lavenderstack.node.router import Router
from lavenderstack.node.streams import InvalidRequest, NotSent, StreamLost

CALLER = Caller("lipa", "d")


class FakePeers:
    """Holders of three targets; each answer is a message or an error to raise."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.sent = []

    def holders(self, target):
        return [Vm(f"{target.name}-h1", "z", "h", 1), Vm("other", "z", "h", 2)]

    async def ask(self, vm, msg, timeout_s):
        if type(msg).__name__ == "PrimaryRequest":
            return None
        self.sent.append((vm.name, msg))
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def make_router(*answers, primary="a"):
    targets = tuple(Target(n, f"z{n}", "h", 1, 5, 30) for n in "abc")
    vms = {"n9": Vm("n9", "z", "h", 9)}
    view = View(groups={"g": Group("g", targets, frozenset({"lipa"}))}, vms=vms)
    peers = FakePeers(answers)
    primaries = Primaries(peers.ask, lambda group: [])
    primaries.of("g").record_primary(1, primary)
    evacuations = FakeEvacuations()
    return Router("za", lambda: view, peers, primaries, evacuations), peers


def request(**options):
    fields = {
        "id": "r",
        "caller": CALLER,
        "group": "g",
        "statement": "s",
        "args": [],
        "deadline": clock.now() + 1.0,
        **options,
    }
    return Request(**fields)


def done(*holders):
    return Executed(result="ok", position=Position(1, 5), holders=list(holders))


def failed(reason, run=False, **options):
    return Failed(run=run, reason=reason, **options)


LOST = StreamLost("x")
UNSENT = NotSent("x")
NON_IDEMPOTENT = {"write": True, "idempotent": False}
WRITE = {"write": True}
BEHIND = failed(Reason.BEHIND)
NO_ANSWER = failed(Reason.CONNECTION_LOST, run=True)
MOVED = failed(Reason.NOT_PRIMARY, primary="b", term=2)
STATEMENT_FAILED = failed(Reason.STATEMENT_FAILED)

# Request options, answers of the holders, targets asked in order, outcome.
CASES = [
    ("read goes to a replica", {}, [done("c")], "c", None),
    ("fresh read goes to the primary", {"fresh": True}, [done("a")], "a", None),
    ("write goes to the primary", WRITE, [done("a", "b")], "a", None),
    ("a replica that is behind is followed by another, then the primary", {},
     [BEHIND, BEHIND, done()], "cba", None),
    ("an unsent request goes to the next holder", NON_IDEMPOTENT, [UNSENT, done()],
     "aa", None),
    ("a read is repeated when its answer is lost", {}, [LOST, done()], "cb", None),
    ("an idempotent write is repeated", WRITE, [LOST, MOVED, done()], "aab", None),
    ("a non-idempotent write is sent once", NON_IDEMPOTENT, [LOST], "a", Unknown),
    ("a write whose answer is lost at the target is unknown", NON_IDEMPOTENT,
     [NO_ANSWER], "a", Unknown),
    ("a non-idempotent write is retried after a refusal", NON_IDEMPOTENT,
     [MOVED, done()], "ab", None),
    ("a failed statement is final", NON_IDEMPOTENT, [STATEMENT_FAILED], "a", Refused),
]  # fmt: skip


class TestRun:
    @pytest.mark.parametrize(
        ("options", "answers", "targets", "outcome"),
        [pytest.param(*case[1:], id=case[0]) for case in CASES],
    )
    async def test_retries_and_their_targets(self, options, answers, targets, outcome):
        router, peers = make_router(*answers)
        router._primaries.of("g").record_position("c", Position(1, 1))
        if outcome is None:
            answer = await router.run(request(**options))
            assert answer.result == "ok"
        else:
            with pytest.raises(outcome):
                await router.run(request(**options))
        assert "".join(msg.target for _, msg in peers.sent) == targets

    async def test_lost_write_stays_unknown_after_a_refused_retry(self):
        router, _ = make_router(LOST, failed(Reason.CROWDED))
        with pytest.raises(Unknown):
            await router.run(request(**WRITE))

    async def test_request_that_no_node_can_receive_is_refused_at_once(self):
        router, peers = make_router(InvalidRequest("too long"))
        with pytest.raises(Refused) as caught:
            await router.run(request())
        assert caught.value.reason is Reason.BAD_REQUEST
        assert len(peers.sent) == 1

    async def test_answer_advances_the_sessions_watermark(self):
        router, _ = make_router(done("a", "b"))
        answer = await router.run(
            request(write=True, watermark=Watermark(Position(1, 2)))
        )
        assert answer.watermark == Watermark(Position(1, 5), ("a", "b"))

    async def test_retry_keeps_the_watermark_and_the_admission(self):
        router, peers = make_router(failed(Reason.BEHIND, admitted=True), done())
        await router.run(request(watermark=Watermark(Position(1, 4))))
        first, second = (msg for _, msg in peers.sent)
        assert first.min_position == second.min_position == Position(1, 4)
        assert (first.admitted, second.admitted) == (False, True)

    async def test_without_a_primary_the_write_is_refused(self):
        router, peers = make_router(primary="")
        with pytest.raises(Refused) as caught:
            await router.run(request(write=True, deadline=clock.now() + 0.1))
        assert caught.value.reason == Reason.NO_PRIMARY
        assert caught.value.retry_after_s
        assert not peers.sent

    async def test_retries_are_bounded_by_a_budget(self):
        router, peers = make_router(*[BEHIND] * 50)
        router._budget.level = 3
        with pytest.raises(Refused):
            await router.run(request())
        assert len(peers.sent) == 4


TRANSACTION = "g~a~n9~1"


class TestTransactions:
    async def test_begin_follows_a_moved_primary(self):
        router, peers = make_router(MOVED, Begun("t"))
        assert await router.begin("r", CALLER, "g", clock.now() + 1) == "t"
        assert [type(msg) for _, msg in peers.sent] == [Begin, Begin]
        assert peers.sent[1][1].target == "b"

    async def test_primary_that_left_the_group_is_not_used(self):
        router, peers = make_router(primary="gone")
        with pytest.raises(Refused) as caught:
            await router.begin("r", CALLER, "g", clock.now() + 0.1)
        assert caught.value.reason == Reason.NO_PRIMARY
        assert not peers.sent

    @pytest.mark.parametrize(
        ("answer", "outcome"),
        [
            (LOST, Unknown),
            (UNSENT, Refused),
            (NO_ANSWER, Unknown),
            (STATEMENT_FAILED, Refused),
        ],
    )
    async def test_a_lost_commit_has_an_unknown_outcome(self, answer, outcome):
        router, peers = make_router(answer)
        with pytest.raises(outcome):
            await router.end("r", CALLER, TRANSACTION, True, clock.now() + 1, "o")
        assert isinstance(peers.sent[0][1], End)

    async def test_statement_in_a_transaction_is_not_retried(self):
        router, peers = make_router(LOST)
        with pytest.raises(Refused):
            await router.run_in_transaction(request(**WRITE), TRANSACTION)
        assert [type(msg) for _, msg in peers.sent] == [Execute]

    @pytest.mark.parametrize("name", ["", "g~a~n9", "g~a~gone~1", "~~~"])
    async def test_malformed_transaction_name_is_refused(self, name):
        router, _ = make_router()
        with pytest.raises(Refused):
            await router.end("r", CALLER, name, True, clock.now() + 1, "o")
