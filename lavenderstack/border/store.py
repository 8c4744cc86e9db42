"""The interface to the platform's key-value service, and its etcd adapter.

This is the only module that knows the protocol of the service. The adapter uses the
JSON gateway of etcd v3 through aiohttp's client; docs/ASSUMPTIONS.md lists what it
relies on. Reads must be linearizable, and a watch must deliver events in the order of
their revisions.

A call raises ``StoreUnreachable`` if it certainly had no effect, and
``StoreOutcomeUnknown`` if its answer was lost, so that a change may have taken effect.
"""

import base64
import json
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any, Protocol

import aiohttp

from lavenderstack.core.entry import Change

CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 1.0
SWAP_TIMEOUT_S = 5.0
LIST_TIMEOUT_S = 10.0  # a listing can be large
NOT_UTF_8 = " (not UTF-8)"  # names have no blanks
MAX_LINE_B = 64 * 1024 * 1024  # bounds the memory for one answer of a watch


class StoreError(Exception):
    """A call to the store did not succeed."""


class StoreUnreachable(StoreError):
    """The call did not reach the store, so it had no effect."""


class StoreOutcomeUnknown(StoreError):
    """No valid answer was received; a change may have taken effect."""


class Compacted(StoreError):
    """The store has discarded revisions that the watch asked for."""


@dataclass(frozen=True, slots=True)
class Listing:
    """All entries under a prefix at ``revision``."""

    entries: tuple[Change, ...]
    revision: int
    store_id: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Shows whether a copy of the entries under some prefixes is complete.

    ``newest`` is the highest revision of an entry written after the revision in the
    call (0 if there is none), ``count`` the number of all entries.
    """

    revision: int
    newest: int
    count: int
    store_id: str


@dataclass(frozen=True, slots=True)
class Batch:
    """Changes in the order of their revisions, complete up to ``revision``."""

    revision: int
    changes: tuple[Change, ...]
    store_id: str


@dataclass(frozen=True, slots=True)
class SwapDone:
    """The change has taken effect at this revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class SwapConflict:
    """The entry had another revision; ``current`` is the stored entry, if any."""

    current: Change | None


class Store(Protocol):
    """The operations of the platform's key-value service that the product uses."""

    async def get(self, key: str) -> Change | None:
        """Return the entry under the key, if any."""

    async def list(self, prefix: str) -> Listing:
        """Return all entries under the prefix."""

    async def probe(self, prefixes: Sequence[str], after_revision: int) -> Probe:
        """Return what changed under the prefixes after a revision, without values."""

    async def swap(
        self, key: str, value: bytes | None, expected_revision: int, lease: int = 0
    ) -> SwapDone | SwapConflict:
        """Write (or delete, if ``value`` is None) if the revision is as expected.

        ``expected_revision`` is the entry's revision, 0 if it must not exist.
        """

    async def grant_lease(self, ttl_s: int) -> int:
        """Return the id of a new lease of ``ttl_s`` seconds."""

    async def keep_lease(self, lease: int) -> int:
        """Renew a lease; return the seconds it has left, 0 if it has expired."""

    def watch(
        self, prefixes: Sequence[str], after_revision: int
    ) -> AsyncIterator[Batch]:
        """Yield the changes after a revision until the connection fails.

        Raises ``Compacted`` if the store has discarded these revisions.
        """


def prefix_end(prefix: str) -> str:
    """Return the first key after all that start with the prefix.

    >>> prefix_end("a/")
    'a0'
    """
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _encode(text: str | bytes) -> str:
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode()


def _decode(text: str) -> bytes:
    return base64.b64decode(text)


def _key_text(raw: bytes) -> str:
    """Return a key as text; one of another writer may not be UTF-8.

    Such a key has an entry too, since entries are counted. Its text is one that no
    name in this product's keys contains, and differs for different keys.
    """
    try:
        return raw.decode()
    except UnicodeDecodeError:
        escaped = raw.replace(b"\\", b"\\\\").decode(errors="backslashreplace")
        return escaped + NOT_UTF_8


def _parse_entry(kv: dict) -> Change:
    value = _decode(kv.get("value", ""))
    key = _key_text(_decode(kv["key"]))
    return Change(key, value, int(kv.get("mod_revision", 0)))


def _parse_event(event: dict) -> Change:
    entry = _parse_entry(event["kv"])
    if event.get("type") == "DELETE":
        return entry._replace(value=None)
    return entry


def _range_of(prefix: str) -> dict[str, Any]:
    return {"key": _encode(prefix), "range_end": _encode(prefix_end(prefix))}


def _parse_header(answer: dict) -> tuple[int, str]:
    """Return the store's revision and id from an answer."""
    header = answer["header"]
    return int(header.get("revision", 0)), str(header.get("cluster_id", ""))


@asynccontextmanager
async def _translate_errors():
    """Turn errors of the client library into ``StoreError``."""
    try:
        yield
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
        raise StoreUnreachable(type(exc).__name__) from exc
    except (aiohttp.ClientError, TimeoutError, OSError) as exc:
        raise StoreOutcomeUnknown(type(exc).__name__) from exc
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise StoreOutcomeUnknown("invalid answer") from exc


class GatewayStore:
    """Adapter for an etcd store behind the JSON gateways at ``urls``.

    One gateway is used until a call or a watch fails, then the next. Use
    ``open_store``.
    """

    def __init__(self, session: aiohttp.ClientSession, urls: Sequence[str]) -> None:
        self._session = session
        self._urls = [url.rstrip("/") for url in urls]
        self._url_index = 0
        self.calls = 0

    @asynccontextmanager
    async def _gateway(self, path: str) -> AsyncIterator[str]:
        """Give the URL of ``path`` at the current gateway; leave it if the block fails.

        Several blocks that fail at one gateway leave it once, so that none of the
        others is skipped. A compacted revision is no failure of the gateway.
        """
        self.calls += 1
        index = self._url_index
        try:
            async with _translate_errors():
                yield self._urls[index % len(self._urls)] + path
        except Compacted:
            raise
        except StoreError:
            if self._url_index == index:
                self._url_index += 1
            raise

    async def _call(self, path: str, body: dict, timeout_s: float) -> dict:
        timeout = aiohttp.ClientTimeout(timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        async with (
            self._gateway(path) as url,
            self._session.post(url, json=body, timeout=timeout) as answer,
        ):
            answer.raise_for_status()
            return await answer.json()

    async def get(self, key: str) -> Change | None:
        """Return the entry under the key, if any."""
        answer = await self._call("/v3/kv/range", {"key": _encode(key)}, READ_TIMEOUT_S)
        async with _translate_errors():
            entries = [_parse_entry(kv) for kv in answer.get("kvs", [])]
        return entries[0] if entries else None

    async def list(self, prefix: str) -> Listing:
        """Return all entries under the prefix."""
        answer = await self._call("/v3/kv/range", _range_of(prefix), LIST_TIMEOUT_S)
        async with _translate_errors():
            entries = tuple(_parse_entry(kv) for kv in answer.get("kvs", []))
            return Listing(entries, *_parse_header(answer))

    async def probe(self, prefixes: Sequence[str], after_revision: int) -> Probe:
        """Read all prefixes in one transaction, without values."""
        options = {"min_mod_revision": str(after_revision + 1), "keys_only": True}
        reads = [{"request_range": _range_of(p) | options} for p in prefixes]
        answer = await self._call("/v3/kv/txn", {"success": reads}, READ_TIMEOUT_S)
        async with _translate_errors():
            ranges = [part["response_range"] for part in answer["responses"]]
            kvs = [kv for part in ranges for kv in part.get("kvs", [])]
            newest = max((int(kv["mod_revision"]) for kv in kvs), default=0)
            count = sum(int(part.get("count", 0)) for part in ranges)
            revision, store_id = _parse_header(answer)
            return Probe(revision, newest, count, store_id)

    async def swap(
        self, key: str, value: bytes | None, expected_revision: int, lease: int = 0
    ) -> SwapDone | SwapConflict:
        """Write in a transaction that compares the entry's revision."""
        raw_key = _encode(key)
        compare = {
            "key": raw_key,
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(expected_revision),
        }
        if value is None:
            change = {"request_delete_range": {"key": raw_key}}
        else:
            put = {"key": raw_key, "value": _encode(value), "lease": str(lease)}
            change = {"request_put": put}
        body = {
            "compare": [compare],
            "success": [change],
            "failure": [{"request_range": {"key": raw_key}}],
        }
        answer = await self._call("/v3/kv/txn", body, SWAP_TIMEOUT_S)
        async with _translate_errors():
            if answer.get("succeeded"):
                return SwapDone(_parse_header(answer)[0])
            kvs = answer["responses"][0]["response_range"].get("kvs", [])
            return SwapConflict(_parse_entry(kvs[0]) if kvs else None)

    async def grant_lease(self, ttl_s: int) -> int:
        """Return the id of a new lease of ``ttl_s`` seconds."""
        body = {"TTL": str(ttl_s)}
        answer = await self._call("/v3/lease/grant", body, READ_TIMEOUT_S)
        async with _translate_errors():
            return int(answer["ID"])

    async def keep_lease(self, lease: int) -> int:
        """Renew a lease; return the seconds it has left, 0 if it has expired."""
        body = {"ID": str(lease)}
        answer = await self._call("/v3/lease/keepalive", body, READ_TIMEOUT_S)
        async with _translate_errors():
            return int(answer["result"].get("TTL", 0))

    async def watch(
        self, prefixes: Sequence[str], after_revision: int
    ) -> AsyncIterator[Batch]:
        """Watch one range over all prefixes, so that all changes come in order."""
        create = {
            "key": _encode(min(prefixes)),
            "range_end": _encode(prefix_end(max(prefixes))),
            "start_revision": str(after_revision + 1),
        }
        timeout = aiohttp.ClientTimeout(None, sock_connect=CONNECT_TIMEOUT_S)
        body = {"create_request": create}
        async with self._gateway("/v3/watch") as url:
            async with self._session.post(url, json=body, timeout=timeout) as answer:
                answer.raise_for_status()
                async for line in _split_lines(answer.content):
                    batch = _parse_batch(json.loads(line)["result"], tuple(prefixes))
                    if batch.changes:
                        yield batch
            raise StoreOutcomeUnknown("watch ended")


async def _split_lines(content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    """Split a stream into lines of up to about ``MAX_LINE_B`` bytes."""
    buffer = bytearray()
    async for chunk in content.iter_any():
        buffer += chunk
        if len(buffer) > MAX_LINE_B:
            raise ValueError("line too long")
        *lines, rest = buffer.split(b"\n")
        buffer = bytearray(rest)
        for line in lines:
            if line.strip():
                yield bytes(line)


def _parse_batch(result: dict, prefixes: tuple[str, ...]) -> Batch:
    if result.get("canceled"):
        raise Compacted(result.get("compact_revision", ""))
    events = [_parse_event(event) for event in result.get("events", [])]
    revision = max((change.revision for change in events), default=0)
    changes = tuple(change for change in events if change.key.startswith(prefixes))
    return Batch(revision, changes, _parse_header(result)[1])


@asynccontextmanager
async def open_store(urls: Sequence[str]) -> AsyncIterator[GatewayStore]:
    """Open a client for the gateways for the duration of the block."""
    connector = aiohttp.TCPConnector(limit=8)
    async with aiohttp.ClientSession(connector=connector) as session:
        yield GatewayStore(session, urls)
