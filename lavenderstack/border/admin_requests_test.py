"""Tests that texts of an operator's request can't become another record or a fault."""

import asyncio

import pytest
from structlog.testing import capture_logs

from lavenderstack.border.admin_test import GOLD, call, running_api
from lavenderstack.core import keys

DIGEST = keys.digest_of("lipa-key")
KEY = b"Authorization: Bearer anna-key"


async def put_raw(port, headers, body=b"{}"):
    """Send a request with header bytes that no client library sends."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    lines = [
        b"PUT /v1/plans HTTP/1.1",
        b"Host: x",
        b'If-Match: "0"',
        b"Content-Length: %d" % len(body),
        *headers,
    ]
    writer.write(b"\r\n".join([*lines, b"", body]))
    status = int((await reader.readline()).split()[1])
    writer.close()
    return status


class TestNames:
    @pytest.mark.parametrize(
        ("path", "body"),
        [
            (f"/v1/keys/{DIGEST}%0A", {"organisation": "lipa"}),
            (f"/v1/keys/{DIGEST}", {"organisation": "a\nb"}),
            ("/v1/groups/a%2Fb", {"targets": []}),
            ("/v1/evacuations/a%0Ab", {}),
            ("/v1/evacuations/..%2Fkeys", {}),
        ],
        ids=["digest", "organisation", "group", "zone", "folder"],
    )
    async def test_one_that_would_be_another_key_is_refused(self, path, body):
        async with running_api() as (client, store, _):
            status, _ = await call(client, "PUT", path, body, If_Match="0")
            assert status == 400
            assert not store.memory.entries

    async def test_a_key_of_no_utf_8_belongs_to_no_operator(self):
        async with running_api() as (client, _, __):
            header = b"Authorization: Bearer \xff"
            assert await put_raw(client.port, [header]) == 401


class TestRevision:
    @pytest.mark.parametrize("text", ["9" * 5000, str(2**63), "-1", "x"])
    async def test_one_that_no_entry_can_have_is_refused(self, text):
        async with running_api() as (client, store, _):
            for method, path in (
                ("GET", f"/v1/revision?at={text}"),
                ("PUT", "/v1/plans"),
                ("PUT", "/v1/evacuations/z"),
            ):
                status, _ = await call(client, method, path, GOLD, If_Match=text)
                assert status == 400
            assert not store.memory.entries


class TestChangeId:
    @pytest.mark.parametrize(
        "text", [b"\xff", b"a\tb", b"x" * 201], ids=["no UTF-8", "tab", "long"]
    )
    async def test_one_that_the_entry_could_not_hold_is_refused(self, text):
        async with running_api() as (client, store, _):
            assert await put_raw(client.port, [KEY, b"Change-Id: " + text]) == 400
            assert not store.memory.entries

    @pytest.mark.parametrize("text", ["7", "a b", "\u00e9"])
    async def test_an_ordinary_one_is_accepted(self, text):
        async with running_api() as (client, _, relay):
            header = b"Change-Id: " + text.encode()
            assert await put_raw(client.port, [KEY, header]) == 200
            assert not relay.snapshot.rejected


class TestBody:
    @pytest.mark.parametrize(
        ("body", "content_type"),
        [
            (b"[" * 200_000, b"application/json"),
            (b"\xff", b"application/json"),
            (b"{}", b"application/json; charset=none"),
            (b'{"\\ud800": 1}', b"application/json"),
        ],
        ids=["deep", "no UTF-8", "charset", "surrogate"],
    )
    async def test_one_that_can_not_be_read_is_refused(self, body, content_type):
        async with running_api() as (client, store, _):
            headers = [KEY, b"Content-Type: " + content_type]
            assert await put_raw(client.port, headers, body) == 400
            assert not store.memory.entries


class TestLog:
    @pytest.mark.parametrize("what", [DIGEST, "a-key-in-place-of-its-digest"])
    async def test_a_refused_request_shows_no_digest_and_no_key(self, what):
        async with running_api() as (client, _, __):
            with capture_logs() as lines:
                path = f"/v1/keys/{what}/withdraw"
                status, _ = await call(client, "POST", path, {}, operator="eve")
                await call(client, "POST", f"/none/{what}", {}, operator="eve")
            assert status == 401
            assert [line["path"] for line in lines] == [
                "/v1/keys/{digest}/withdraw",
                "",
            ]
            assert what not in repr(lines)
