"""Tests of keys in the store that other writers chose."""

import base64
import json
from contextlib import asynccontextmanager

from aiohttp import web
from aiohttp.test_utils import TestServer

from lavenderstack.border.store import open_store


class TestKeysOfOtherWriters:
    """A key that isn't UTF-8 hides no other entry and is no other key."""

    KEYS = (b"a/\xff", b"a/\\xff", b"a/\xff\\xfe", b"a/\xff\xfe", b"a/x", b"m\xff")

    @classmethod
    def answers(cls):
        keys = [base64.b64encode(key).decode() for key in cls.KEYS]
        kvs = [{"key": key, "value": "", "mod_revision": "7"} for key in keys]
        header = {"revision": "7", "cluster_id": "1"}
        watched = {"header": header, "events": [{"kv": kv} for kv in kvs]}
        return {"header": header, "kvs": kvs[:-1]}, {"result": watched}

    @asynccontextmanager
    async def running_store(self):
        listing, watched = self.answers()
        app = web.Application()
        for path, answer in (("/v3/kv/range", listing), ("/v3/watch", watched)):
            text = json.dumps(answer) + "\n"

            async def handle(_, text=text):
                return web.Response(text=text, content_type="application/json")

            app.router.add_post(path, handle)
        async with (
            TestServer(app) as server,
            open_store([str(server.make_url(""))]) as store,
        ):
            yield store

    async def test_a_listing_has_all_entries(self):
        async with self.running_store() as store:
            keys = [entry.key for entry in (await store.list("a/")).entries]
            assert len(set(keys)) == len(self.KEYS) - 1
            assert {"a/x", "a/\\xff"} < set(keys)
            assert all(key.startswith("a/") and key.encode() for key in keys)

    async def test_a_watch_goes_on(self):
        async with self.running_store() as store:
            watch = store.watch(("a/", "z/"), 6)
            batch = await anext(watch)
            await watch.aclose()
            assert len(batch.changes) == len(self.KEYS) - 1
