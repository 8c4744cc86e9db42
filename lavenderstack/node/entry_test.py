"""Tests of the entry: who may ask for what, and what a session carries."""

from dataclasses import replace

import pytest

from lavenderstack.border.callers import Ask, StatementBody
from lavenderstack.core import token
from lavenderstack.core.keys import digest_of
from lavenderstack.core.outcome import Reason, Refused
from lavenderstack.core.position import Position
from lavenderstack.core.request import Answer
from lavenderstack.core.token import Session, Watermark
from lavenderstack.core.view import Group, Key, View
from lavenderstack.node.entry import Entry
from lavenderstack.node.metrics import Metrics

SECRET = b"secret"
MARK = Watermark(Position(1, 7), ("a",))
GROUPS = {
    "g": Group("g", (), frozenset({"lipa"}), frozenset({"prices"})),
    "h": Group("h", (), frozenset({"brandt"})),
}


def key_of(organisation, withdrawn=False):
    digest = digest_of(f"{organisation}-key")
    return Key(digest, organisation, withdrawn)


def view(*keys):
    known = {key.digest: key for key in keys}
    return View(1, keys=known, groups=GROUPS, secrets={"token": "secret"})


class FakeRelay:
    """A view, and the one that a question would bring."""

    def __init__(self):
        self.view = view(key_of("lipa"), key_of("brandt"))
        self.next = None
        self.fresh = True
        self.questions = 0

    def usable(self, now):
        return self.fresh

    async def refresh_view(self, after_revision, timeout_s):
        self.questions += 1
        self.view = self.next or self.view
        return self.next is not None


class FakeRouter:
    """Answers everything and remembers what it was asked."""

    def __init__(self):
        self.requests = []

    def passed(self, groups):
        return {}

    async def run(self, req):
        self.requests.append(req)
        return Answer("r", MARK)


def made():
    relay, router = FakeRelay(), FakeRouter()
    return Entry(relay, router, Metrics()), relay, router


def ask(key="lipa-key", group="g", session="", **body):
    fields = StatementBody(**{"statement": "s", **body})
    return Ask("r1", key, session, fields, group)


def session(organisation="lipa", groups=("g",)):
    marks = {group: Watermark(Position(1, 3)) for group in groups}
    return token.encode(Session(organisation, marks), [SECRET])


class TestWhoAsks:
    @pytest.mark.parametrize(
        ("asked", "reason"),
        [
            (ask(key=""), Reason.NO_KEY),
            (ask(key="unknown"), Reason.KEY_REFUSED),
            (ask(group="h"), Reason.NOT_ALLOWED),
            (ask(group="nowhere"), Reason.UNKNOWN_GROUP),
            (ask(session="forged"), Reason.BAD_TOKEN),
            (ask(session=session("brandt")), Reason.BAD_TOKEN),
            (ask(session=session(groups=map(str, range(64)))), Reason.BAD_TOKEN),
        ],
    )
    async def test_who_may_not_is_refused_and_nothing_is_run(self, asked, reason):
        entry, _, router = made()
        with pytest.raises(Refused) as caught:
            await entry.statement(asked)
        assert caught.value.reason == reason
        assert not router.requests

    async def test_a_withdrawn_key_is_refused(self):
        entry, relay, _ = made()
        relay.view = view(key_of("lipa", withdrawn=True))
        with pytest.raises(Refused) as caught:
            await entry.statement(ask())
        assert caught.value.reason == Reason.KEY_REFUSED
        assert not relay.questions

    async def test_a_key_granted_a_moment_ago_is_asked_for(self):
        entry, relay, _ = made()
        relay.next = replace(relay.view, revision=2)
        relay.view = view()
        assert (await entry.statement(ask())).result == "r"
        assert relay.questions == 1

    async def test_a_view_that_is_not_proved_recent_serves_no_key(self):
        entry, relay, router = made()
        relay.fresh = False
        with pytest.raises(Refused) as caught:
            await entry.statement(ask())
        assert caught.value.reason == Reason.STALE_VIEW
        assert caught.value.retry_after_s
        opened = await entry.open_statement(ask(key="", statement="prices"))
        assert opened.result == "r"


class TestSessions:
    async def test_the_mark_comes_from_the_token_and_goes_into_the_next(self):
        entry, _, router = made()
        done = await entry.statement(ask(session=session()))
        assert router.requests[0].mark.position == Position(1, 3)
        held = token.decode(done.session, [SECRET], "lipa")
        assert held.watermarks["g"] == MARK

    @pytest.mark.parametrize(
        ("body", "once"),
        [
            ({}, ""),
            ({"write": True, "idempotent": False}, "lipa:r1"),
            ({"write": True}, "lipa:~"),
        ],
    )
    async def test_each_write_has_an_id_that_its_group_remembers(self, body, once):
        entry, _, router = made()
        await entry.statement(ask(**body))
        assert router.requests[0].once.startswith(once)
        assert bool(router.requests[0].once) == bool(once)


class TestOpenRoutes:
    @pytest.mark.parametrize(
        "asked",
        [
            ask(statement="s"),
            ask(statement="prices", write=True),
            ask(statement="prices", group="h"),
        ],
    )
    async def test_only_the_listed_reads_are_open(self, asked):
        entry, _, router = made()
        with pytest.raises(Refused) as caught:
            await entry.open_statement(asked)
        assert caught.value.reason == Reason.NOT_ALLOWED
        assert not router.requests

    async def test_an_open_statement_runs_for_nobody(self):
        entry, _, router = made()
        await entry.open_statement(ask(statement="prices"))
        assert router.requests[0].caller.organisation == ""
