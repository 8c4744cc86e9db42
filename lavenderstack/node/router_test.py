"""Tests of routing and repeats, against holders that answer from a script."""

import pytest

from lavenderstack.core import clock
from lavenderstack.core.messages import Begin, Begun, End, Execute, Executed, Failed
from lavenderstack.core.outcome import Reason, Refused, Unknown
from lavenderstack.core.position import Position
from lavenderstack.core.request import Caller, Request
from lavenderstack.core.token import Watermark
from lavenderstack.core.view import Group, Target, View, Vm
from lavenderstack.node.leaders import Leaders
from lavenderstack.node.router import Router
from lavenderstack.node.streams import NotSent, StreamLost

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


def bench(*answers, leader="a"):
    targets = tuple(Target(n, f"z{n}", "h", 1, 5, 30) for n in "abc")
    vms = {"n9": Vm("n9", "z", "h", 9)}
    view = View(groups={"g": Group("g", targets, frozenset({"lipa"}))}, vms=vms)
    peers = FakePeers(answers)
    leaders = Leaders(peers.ask, lambda group: [])
    leaders.of("g").record_leader(1, leader)
    return Router("za", lambda: view, peers, leaders), peers


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
NEVER = NotSent("x")
ONCE = {"write": True, "idempotent": False}
PLAIN = {"write": True}
BEHIND = failed(Reason.BEHIND)
NO_ANSWER = failed(Reason.CONNECTION_LOST, run=True)
MOVED = failed(Reason.NOT_PRIMARY, primary="b", term=2)
BROKEN = failed(Reason.STATEMENT_FAILED)

# What is asked, what the holders answer, the targets asked, the outcome.
CASES = [
    ("read goes to a replica", {}, [done("c")], "c", None),
    ("fresh read goes to the primary", {"fresh": True}, [done("a")], "a", None),
    ("write goes to the primary", PLAIN, [done("a", "b")], "a", None),
    ("behind goes on to another, then the primary", {}, [BEHIND, BEHIND, done()],
     "cba", None),
    ("a request that never left goes to the next holder", ONCE, [NEVER, done()],
     "aa", None),
    ("a read is repeated when its answer is lost", {}, [LOST, done()], "cb", None),
    ("an idempotent write is repeated", PLAIN, [LOST, MOVED, done()], "aab", None),
    ("a non-idempotent write is sent once", ONCE, [LOST], "a", Unknown),
    ("so it is when the target's answer is lost", ONCE, [NO_ANSWER], "a", Unknown),
    ("a refusal that is true lets it go on", ONCE, [MOVED, done()], "ab", None),
    ("a failed statement is final", ONCE, [BROKEN], "a", Refused),
]  # fmt: skip


class TestRun:
    @pytest.mark.parametrize(
        ("options", "answers", "targets", "outcome"),
        [pytest.param(*case[1:], id=case[0]) for case in CASES],
    )
    async def test_what_is_repeated_and_where(self, options, answers, targets, outcome):
        router, peers = bench(*answers)
        router._leaders.of("g").record_position("c", Position(1, 1))
        if outcome is None:
            answer = await router.run(request(**options))
            assert answer.result == "ok"
        else:
            with pytest.raises(outcome):
                await router.run(request(**options))
        assert "".join(msg.target for _, msg in peers.sent) == targets

    async def test_once_given_up_the_outcome_of_a_lost_write_stays_unknown(self):
        router, _ = bench(LOST, failed(Reason.CROWDED))
        with pytest.raises(Unknown):
            await router.run(request(**PLAIN))

    async def test_the_answer_moves_the_sessions_mark(self):
        router, _ = bench(done("a", "b"))
        answer = await router.run(request(write=True, mark=Watermark(Position(1, 2))))
        assert answer.mark == Watermark(Position(1, 5), ("a", "b"))

    async def test_the_mark_and_the_admission_travel_on(self):
        router, peers = bench(failed(Reason.BEHIND, admitted=True), done())
        await router.run(request(mark=Watermark(Position(1, 4))))
        first, second = (msg for _, msg in peers.sent)
        assert first.min_position == second.min_position == Position(1, 4)
        assert (first.admitted, second.admitted) == (False, True)

    async def test_without_a_primary_it_is_refused_as_not_run(self):
        router, peers = bench(leader="")
        with pytest.raises(Refused) as caught:
            await router.run(request(write=True, deadline=clock.now() + 0.1))
        assert caught.value.reason == Reason.NO_PRIMARY
        assert caught.value.retry_after_s
        assert not peers.sent

    async def test_repeats_are_bounded_by_a_budget(self):
        router, peers = bench(*[BEHIND] * 50)
        router._budget.level = 3
        with pytest.raises(Refused):
            await router.run(request())
        assert len(peers.sent) == 4


TRANSACTION = "g~a~n9~1"


class TestTransactions:
    async def test_it_begins_where_the_primary_is_by_now(self):
        router, peers = bench(MOVED, Begun("t"))
        assert await router.begin("r", CALLER, "g", clock.now() + 1) == "t"
        assert [type(msg) for _, msg in peers.sent] == [Begin, Begin]
        assert peers.sent[1][1].target == "b"

    async def test_a_leader_that_left_the_group_is_no_primary(self):
        router, peers = bench(leader="gone")
        with pytest.raises(Refused) as caught:
            await router.begin("r", CALLER, "g", clock.now() + 0.1)
        assert caught.value.reason == Reason.NO_PRIMARY
        assert not peers.sent

    @pytest.mark.parametrize(
        ("answer", "outcome"),
        [(LOST, Unknown), (NEVER, Refused), (NO_ANSWER, Unknown), (BROKEN, Refused)],
    )
    async def test_a_lost_commit_has_an_unknown_outcome(self, answer, outcome):
        router, peers = bench(answer)
        with pytest.raises(outcome):
            await router.end("r", CALLER, TRANSACTION, True, clock.now() + 1, "o")
        assert isinstance(peers.sent[0][1], End)

    async def test_a_statement_inside_is_never_repeated(self):
        router, peers = bench(LOST)
        with pytest.raises(Refused):
            await router.run_pinned(request(**PLAIN), TRANSACTION)
        assert [type(msg) for _, msg in peers.sent] == [Execute]

    @pytest.mark.parametrize("name", ["", "g~a~n9", "g~a~gone~1", "~~~"])
    async def test_a_name_that_is_none_is_refused(self, name):
        router, _ = bench()
        with pytest.raises(Refused):
            await router.end("r", CALLER, name, True, clock.now() + 1, "o")
