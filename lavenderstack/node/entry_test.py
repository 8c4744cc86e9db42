"""Tests of the entry: authorisation, session tokens and idempotency keys."""

from dataclasses import replace

import pytest

from lavenderstack.border.callers import CallerRequest, StatementBody, TransactionBody
from lavenderstack.core import token
from lavenderstack.core.keys import digest_of
from lavenderstack.core.outcome import Reason, Refused
from lavenderstack.core.position import Position
from lavenderstack.core.request import Answer
from lavenderstack.core.token import Session, Watermark
from lavenderstack.core.view import Group, Key, View
from lavenderstack.node.entry import Entry
from lavenderstack.node.metrics import Metrics
from lavenderstack.node.transactions import TransactionName

SECRET = b"secret"
MAX_HEADER_B = 8190  # of a field of a request that aiohttp accepts
WATERMARK = Watermark(Position(1, 7), ("a",))
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
    """Serves a view; ``next`` is the view that a refresh brings, or None."""

    def __init__(self):
        self.view = view(key_of("lipa"), key_of("brandt"))
        self.next = None
        self.fresh = True
        self.refreshes = 0

    def usable(self, now):
        return self.fresh

    async def refresh_view(self, after_revision, timeout_s):
        self.refreshes += 1
        self.view = self.next or self.view
        return self.next is not None


class FakeRouter:
    """Answers every request and records it."""

    def __init__(self):
        self.requests = []

    def reached_by_all(self, groups):
        return {}

    async def run(self, req):
        self.requests.append(req)
        return Answer("r", WATERMARK)

    async def end(self, *args):
        self.requests.append(args)
        return WATERMARK


def make_entry():
    relay, router = FakeRelay(), FakeRouter()
    return Entry(relay, router, Metrics()), relay, router


def caller_request(key="lipa-key", group="g", session="", **body):
    fields = StatementBody(**{"statement": "s", **body})
    return CallerRequest("r1", key, session, fields, group)


def session(organisation="lipa", groups=("g",)):
    watermarks = {group: Watermark(Position(1, 3)) for group in groups}
    return token.encode(Session(organisation, watermarks), [SECRET])


class TestAuthorisation:
    @pytest.mark.parametrize(
        ("call", "reason"),
        [
            (caller_request(key=""), Reason.NO_KEY),
            (caller_request(key="unknown"), Reason.KEY_REFUSED),
            (caller_request(key="\udcff"), Reason.KEY_REFUSED),
            (caller_request(session="\udcff"), Reason.BAD_TOKEN),
            (caller_request(group="h"), Reason.NOT_ALLOWED),
            (caller_request(group="nowhere"), Reason.UNKNOWN_GROUP),
            (caller_request(session="forged"), Reason.BAD_TOKEN),
            (caller_request(session=session("brandt")), Reason.BAD_TOKEN),
            (
                caller_request(session=session(groups=map(str, range(64)))),
                Reason.BAD_TOKEN,
            ),
        ],
    )
    async def test_unauthorised_request_is_refused_and_not_run(self, call, reason):
        entry, _, router = make_entry()
        with pytest.raises(Refused) as caught:
            await entry.statement(call)
        assert caught.value.reason == reason
        assert not router.requests

    async def test_a_withdrawn_key_is_refused(self):
        entry, relay, _ = make_entry()
        relay.view = view(key_of("lipa", withdrawn=True))
        with pytest.raises(Refused) as caught:
            await entry.statement(caller_request())
        assert caught.value.reason == Reason.KEY_REFUSED
        assert not relay.refreshes

    async def test_unknown_key_triggers_a_refresh_of_the_view(self):
        entry, relay, _ = make_entry()
        relay.next = replace(relay.view, revision=2)
        relay.view = view()
        assert (await entry.statement(caller_request())).result == "r"
        assert relay.refreshes == 1

    @pytest.mark.parametrize("statement", ["prices", "unknown"])
    async def test_a_stale_view_serves_and_judges_nothing(self, statement):
        entry, relay, router = make_entry()
        relay.fresh = False
        opened = caller_request(key="", statement=statement)
        for running in (
            entry.statement(caller_request()),
            entry.open_statement(opened),
        ):
            with pytest.raises(Refused) as caught:
                await running
            assert caught.value.reason == Reason.STALE_VIEW
            assert caught.value.retry_after_s
        relay.fresh = True
        opened = await entry.open_statement(caller_request(key="", statement="prices"))
        assert opened.result == "r"


class TestSessions:
    async def test_watermark_is_read_from_the_token_and_updated(self):
        entry, _, router = make_entry()
        done = await entry.statement(caller_request(session=session()))
        assert router.requests[0].watermark.position == Position(1, 3)
        decoded = token.decode(done.session, [SECRET], "lipa")
        assert decoded.watermarks["g"] == WATERMARK

    @pytest.mark.parametrize(
        ("body", "idempotency_key"),
        [
            ({}, ""),
            ({"write": True, "idempotent": False}, "lipa:r1"),
            ({"write": True}, "lipa:~"),
        ],
    )
    async def test_each_write_has_an_idempotency_key(self, body, idempotency_key):
        entry, _, router = make_entry()
        await entry.statement(caller_request(**body))
        assert router.requests[0].idempotency_key.startswith(idempotency_key)
        assert bool(router.requests[0].idempotency_key) == bool(idempotency_key)


class TestOpenStatements:
    @pytest.mark.parametrize(
        "call",
        [
            caller_request(statement="s"),
            caller_request(statement="prices", write=True),
            caller_request(statement="prices", group="h"),
        ],
    )
    async def test_only_the_listed_reads_are_open(self, call):
        entry, _, router = make_entry()
        with pytest.raises(Refused) as caught:
            await entry.open_statement(call)
        assert caught.value.reason == Reason.NOT_ALLOWED
        assert not router.requests

    async def test_open_statement_runs_without_an_organisation(self):
        entry, _, router = make_entry()
        await entry.open_statement(caller_request(statement="prices"))
        assert router.requests[0].caller.organisation == ""


class TestIdempotencyKeys:
    @staticmethod
    async def key_for(organisation, request_id):
        entry, relay, router = make_entry()
        allowed = Group("g", (), frozenset({organisation}))
        relay.view = replace(view(key_of(organisation)), groups={"g": allowed})
        body = StatementBody(statement="s", write=True, idempotent=False)
        call = CallerRequest(request_id, f"{organisation}-key", "", body, "g")
        await entry.statement(call)
        return router.requests[0].idempotency_key

    async def test_a_write_is_not_taken_for_a_repeat_of_another_organisations(self):
        pairs = [("a:b", "c"), ("a", "b:c"), ("a:b", "c:d"), ("a", "b:c:d")]
        pairs += [("a:b:c", "d"), ("a:", "b"), ("a", ":b"), ("a/b", "c"), ("a/b:", "c")]
        names, ids = ("l", "l:x", "l::x", "l:x:"), ("r", "x:r", ":x:r", ":r", "x::r")
        pairs += [(name, request_id) for name in names for request_id in ids]
        keys = [await self.key_for(*pair) for pair in pairs]
        assert len(set(keys)) == len(pairs)

    async def test_an_ordinary_key_is_the_same_in_builds_that_run_side_by_side(self):
        assert await self.key_for("lipa", "r:1") == "lipa:r:1"


class TestLengthOfTokens:
    """A token that is given can be sent back in a header field, whatever the names."""

    @staticmethod
    async def use_groups(groups):
        """Run a statement in each group in one session; return the last token."""
        entry, relay, _ = make_entry()
        organisations = frozenset({"lipa"})
        by_name = {name: Group(name, (), organisations) for name in groups}
        relay.view = replace(relay.view, groups=by_name)
        text = ""
        for name in groups:
            call = caller_request(group=name, session=text)
            text = (await entry.statement(call)).session
            assert len(text) <= MAX_HEADER_B
        return text

    async def test_long_names_of_targets_are_left_out(self, monkeypatch):
        names = tuple(f"{number:0200}" for number in range(50))
        monkeypatch.setattr(f"{__name__}.WATERMARK", Watermark(Position(1, 7), names))
        text = await self.use_groups([f"group-{number}" for number in range(64)])
        found = token.decode(text, [SECRET], "lipa")
        assert len(found.watermarks) == 64
        assert found.min_position("group-0") == Position(1, 7)

    async def test_a_session_of_too_many_long_names_is_refused_before_it_runs(self):
        with pytest.raises(Refused) as caught:
            await self.use_groups([f"{number:0200}" for number in range(64)])
        assert caught.value.reason == Reason.BAD_TOKEN


class TestTransactionNames:
    @staticmethod
    def commit_of(name):
        body = TransactionBody()
        return CallerRequest("r1", "lipa-key", "", body, transaction=name)

    @pytest.mark.parametrize("group", ["g", "g~h"])
    async def test_the_watermark_of_a_commit_is_that_of_its_group(self, group):
        entry, _, _ = make_entry()
        name = TransactionName(group, "a", "n1").generate_name()
        answer = await entry.commit(self.commit_of(name))
        found = token.decode(answer.session, [SECRET], "lipa")
        assert found.watermarks == {group: WATERMARK}

    @pytest.mark.parametrize("name", ["g", "g~a~n1", "~a~n1~x", "x" * 8000, "\0"])
    async def test_another_text_is_refused_before_it_is_sent_on(self, name):
        entry, _, router = make_entry()
        with pytest.raises(Refused) as caught:
            await entry.commit(self.commit_of(name))
        assert caught.value.reason == Reason.BAD_REQUEST
        assert not router.requests
