"""Tests of the order that makes a target the primary of its group."""

from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from lavenderstack.border import http
from lavenderstack.platform.orders import HOLDER_HEADER, PlatformOrders
from standins.web_app import serving_app

PLAIN = ["n1", "front-lj-north-1", "a b", "n#1", "100%", "ab%20c"]
ODD = ["š", "n\r\nX: 1", "a\0b", " n1", "n1 ", "n\u2028", "\x7f"]


@asynccontextmanager
async def run_platform():
    """Serve the call; yield the received holders and bodies, and a client of it."""
    received = []

    async def promote(req):
        received.append((req.headers[HOLDER_HEADER], await req.json()))
        return web.Response()

    app = web.Application()
    app.router.add_post("/promote", promote)
    async with serving_app(app) as port, http.client("127.0.0.1", port) as client:
        yield received, PlatformOrders(client)


class TestHolder:
    @pytest.mark.parametrize("name", PLAIN)
    async def test_a_name_that_fits_a_header_is_sent_unchanged(self, name):
        async with run_platform() as (received, orders):
            await orders.promote("g1", "i-1", name, 3)
        assert received == [(name, {"service": "g1", "id": "i-1"})]

    @pytest.mark.parametrize("name", ODD, ids=ascii)
    async def test_any_other_name_is_escaped_and_the_order_is_made(self, name):
        """It failed, so that this node replaced no primary of the groups it owns."""
        async with run_platform() as (received, orders):
            await orders.promote("g1", "i-1", name, 3)
        ((holder, _),) = received
        assert holder.isascii() and holder.isprintable() and "%" in holder

    async def test_group_and_target_arrive_whatever_they_contain(self):
        texts = ['"},{', "š\u2028", "a b\r\n", "x" * 1_000]
        async with run_platform() as (received, orders):
            for text in texts:
                await orders.promote(text, text, "n1", 3)
        assert [body for _, body in received] == [
            {"service": text, "id": text} for text in texts
        ]
