"""Tests of the callers' interface: request validation and responses."""

import asyncio
from contextlib import asynccontextmanager

import aiohttp
import pytest

from lavenderstack.border.answers import STATUS_OF_REFUSAL, Done
from lavenderstack.border.callers import make_app
from lavenderstack.border.listener import listening
from lavenderstack.border.settings import Callers
from lavenderstack.core.outcome import Reason, Refused, Unknown

LIMITS = Callers(
    host="127.0.0.1", port=0, body_limit_b=1000, body_timeout_s=0.2, header_timeout_s=1
)
BODY = {"statement": "get", "args": ["t", 1]}


class FakeService:
    """Records requests and answers them, or raises ``outcome`` if it is set."""

    def __init__(self):
        self.stopping = False
        self.requests = []
        self.outcome = None

    async def statement(self, request):
        self.requests.append(request)
        if self.outcome:
            raise self.outcome
        return Done(request_id=request.request_id, result="r", session="s2")

    open_statement = begin = transaction_statement = commit = rollback = statement


@asynccontextmanager
async def running_service(header_timeout_s=5.0):
    service = FakeService()
    app = make_app(service, LIMITS)
    async with (
        listening(app, "127.0.0.1", 0, header_timeout_s, 1.0) as listener,
        aiohttp.ClientSession(f"http://127.0.0.1:{listener.port}") as http,
    ):
        service.listener = listener
        yield service, http, listener.port


async def post(http, path="/v1/groups/g/statements", **options):
    async with http.post(path, **options) as resp:
        return resp, await resp.json()


class TestRequests:
    async def test_all_parts_of_a_request_reach_the_service(self):
        async with running_service() as (service, http, _):
            headers = {
                "Authorization": "Bearer secret",
                "Session-Token": "s1",
                "Request-Id": "r1",
            }
            resp, body = await post(http, json=BODY, headers=headers)
            (request,) = service.requests
            assert (request.key, request.session, request.group) == (
                "secret",
                "s1",
                "g",
            )
            assert (body["outcome"], body["request_id"]) == ("done", "r1")
            assert resp.headers["Session-Token"] == "s2"

    async def test_key_and_session_token_are_not_in_repr(self):
        async with running_service() as (service, http, _):
            headers = {"Authorization": "Bearer secret", "Session-Token": "token"}
            await post(http, json=BODY, headers=headers)
            assert "secret" not in repr(service.requests)
            assert "token" not in repr(service.requests)

    @pytest.mark.parametrize(
        ("body", "expected"),
        [
            (b"{", "Invalid JSON"),
            (b"{}", "statement"),
            (b'{"statement": "", "x": 1, "args": 3}', "x: Extra"),
            (b'{"statement": "s", "deadline_s": 99}', "deadline_s"),
            (b'{"statement": "s", "max_age_s": -1}', "max_age_s"),
            (b'{"statement": "s", "write": "yes"}', "write"),
            (b'{"statement": "s", "args": [%d]}' % 2**64, "args: Value error"),
            (b'{"statement": "s", "args": [[{"a": %d}]]}' % -(2**63 + 1), "64 bits"),
            (b'{"statement": "s", "args": ["\\ud800"]}', "Invalid JSON"),
            (b'{"statement": "' + b"x" * 2000 + b'"}', "longer than 1000 bytes"),
        ],
    )
    async def test_invalid_bodies_are_refused_with_the_error(self, body, expected):
        async with running_service() as (service, http, _):
            resp, answer = await post(http, data=body)
            assert (resp.status, answer["outcome"]) == (400, "refused")
            assert expected in answer["detail"]
            assert not service.requests

    @pytest.mark.parametrize(
        "fields", [{"x" * 900: 1}, dict.fromkeys("abcdefghijklmnopqrstuvwxyz", 1)]
    )
    async def test_the_error_is_not_longer_than_what_was_sent(self, fields):
        async with running_service() as (_, http, __):
            _, answer = await post(http, json=fields)
            assert answer["detail"].startswith("statement: Field required; ")
            assert len(answer["detail"]) <= 503

    async def test_integers_of_64_bits_reach_the_service(self):
        async with running_service() as (service, http, _):
            args = [2**64 - 1, -(2**63), {"a": [2**63]}, True, 0.5]
            await post(http, json=BODY | {"args": args})
            assert service.requests[0].body.args == args

    async def test_an_invalid_request_id_is_refused(self):
        async with running_service() as (_, http, _):
            resp, _ = await post(http, json=BODY, headers={"Request-Id": "a b"})
            assert resp.status == 400

    async def test_an_incomplete_body_is_refused(self):
        async with running_service() as (_, _, port):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            head = b"POST /v1/groups/g/statements HTTP/1.1\r\nHost: h\r\n"
            writer.write(head + b"Content-Length: 100\r\n\r\n{")
            line = await asyncio.wait_for(reader.readline(), 10)
            assert b"400" in line
            writer.close()

    async def test_incomplete_headers_close_the_connection(self):
        async with running_service(header_timeout_s=0.1) as (_, _, port):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"POST /v1/groups/g/sta")
            assert await asyncio.wait_for(reader.read(), 10) == b""
            writer.close()


class TestAnswers:
    @pytest.mark.parametrize(
        ("outcome", "status", "expected"),
        [
            (Refused(Reason.OVER_RATE, "", 0.4), 429, "refused"),
            (Refused(Reason.KEY_REFUSED), 401, "refused"),
            (Refused(Reason.NOT_ALLOWED), 403, "refused"),
            (Refused(Reason.STATEMENT_FAILED), 409, "refused"),
            (Refused(Reason.NO_PRIMARY, "", 0.5), 503, "refused"),
            (Unknown(Reason.UNCONFIRMED), 504, "unknown"),
        ],
    )
    async def test_each_outcome_has_its_status(self, outcome, status, expected):
        async with running_service() as (service, http, _):
            service.outcome = outcome
            resp, answer = await post(http, json=BODY)
            assert (resp.status, answer["outcome"]) == (status, expected)
            assert answer["reason"] == outcome.reason

    @pytest.mark.parametrize(
        ("outcome", "min_s", "max_s"),
        [
            (Refused(Reason.OVER_RATE, "", 0.4), 0.4, 0.5),
            (Refused(Reason.DEADLINE), 0.25, 0.32),
        ],
    )
    async def test_a_refusal_says_when_to_retry(self, outcome, min_s, max_s):
        async with running_service() as (service, http, _):
            service.outcome = outcome
            resp, answer = await post(http, json=BODY)
            assert resp.headers["Retry-After"] == "1"
            assert min_s <= answer["retry_after_s"] <= max_s

    @pytest.mark.parametrize("reason", sorted(STATUS_OF_REFUSAL))
    async def test_the_status_agrees_with_the_retry_time(self, reason):
        async with running_service() as (service, http, _):
            service.outcome = Refused(reason)
            resp, answer = await post(http, json=BODY)
            has_time = answer["retry_after_s"] is not None
            assert has_time is (resp.status in (429, 503))
            assert ("Retry-After" in resp.headers) is has_time

    async def test_a_permanent_refusal_has_no_retry_time(self):
        async with running_service() as (service, http, _):
            service.outcome = Refused(Reason.NOT_ALLOWED)
            resp, answer = await post(http, json=BODY)
            assert answer["retry_after_s"] is None
            assert "Retry-After" not in resp.headers


class TestStop:
    async def test_a_stopping_node_answers_and_closes_the_connection(self):
        async with running_service() as (service, http, _):
            service.stopping = True
            resp, answer = await post(http, json=BODY)
            assert answer["outcome"] == "done"
            assert resp.headers["Connection"] == "close"
            async with http.get("/v1/ready") as resp:
                assert resp.status == 503

    async def test_a_closed_listener_keeps_its_open_connections(self):
        async with running_service() as (service, http, port):
            await post(http, json=BODY)
            service.listener.close()
            _, answer = await post(http, json=BODY)
            assert answer["outcome"] == "done"
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection("127.0.0.1", port)
