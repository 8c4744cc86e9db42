"""Calls to the platform's metadata store.

Each call has its own time limit, since an answer may be lost and a connection may stop
answering for good; the connection of a call that times out is closed. Calls are not
retried here, since whether one may be repeated depends on the call.

The store may be restored from an older copy; the ``Store-Era`` header of its answers
then rises. Revisions are translated to positions (``core/store_position.py``) on the
way in and back on the way out, so nothing else compares revisions of different eras. A
call that was sent in one era and answered in another raises ``EraChanged``.
"""

import base64
import json
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from contextlib import asynccontextmanager
from urllib.parse import urlencode

import msgspec
import structlog

from lavenderstack.border import http
from lavenderstack.border.address import parse_address
from lavenderstack.border.http import HttpClient, HttpFailed, HttpResponse
from lavenderstack.core import clock
from lavenderstack.core.store_era import EraNews, StoreEra
from lavenderstack.core.store_position import (
    REVISION_BITS,
    era_of,
    revision_of,
    store_position,
)
from lavenderstack.platform.decoding import (
    DECODE_ERRORS,
    EVACUATIONS_PREFIX,
    TARGETS_PREFIX,
)

log = structlog.get_logger()

CALL_TIMEOUT_S = 1.0
# A store that doesn't send the header was never restored.
ERA_HEADER = "store-era"
NO_ERA = "0"
# A position of a later era has more than 63 bits and can't be sent to other nodes.
MAX_ERA = (1 << (63 - REVISION_BITS)) - 1
# Far more digits can't be converted.
MAX_ERA_DIGITS = 20
TOO_MANY_CALLS = 429


class StoreFailed(Exception):
    """The call was refused or not answered; a change may still be carried out."""


class EraChanged(StoreFailed):
    """The store was restored from a copy after the call's premises were read.

    A change may have been carried out in the new era.
    """


class HistoryGone(Exception):
    """The store no longer has the changes after the given revision."""


class Conflict(Exception):
    """A condition of the change is not met; nothing was changed."""


class LeaseEnded(Exception):
    """The lease no longer exists."""


class _NotFound(StoreFailed):
    """The entry or lease that the call names does not exist."""


_ERRORS = {410: HistoryGone, 412: Conflict, 404: _NotFound}


class Item(msgspec.Struct, frozen=True):
    """An entry, or the removal of one; ``rev`` is the position of its last change."""

    key: str
    rev: int
    value: str = ""
    created: int = 0
    lease: int = 0
    deleted: bool = False

    @property
    def data(self) -> bytes:
        """The decoded value; raises ``ValueError`` if it is not valid base64."""
        return base64.b64decode(self.value, validate=True)


class Page(msgspec.Struct, frozen=True):
    """A page of a listing; ``as_of`` is the store's position at that time."""

    items: list[Item]
    as_of: int
    has_more: bool = False


class Changes(msgspec.Struct, frozen=True):
    """The changes up to the position ``as_of``."""

    events: list[Item]
    as_of: int


class _ChangeReply(msgspec.Struct):
    rev: int


class _LeaseReply(msgspec.Struct):
    ttl_ms: float
    lease: int = 0


class Put(msgspec.Struct, frozen=True):
    """An entry to write, bound to a lease unless ``lease`` is 0."""

    key: str
    data: bytes
    lease: int = 0


class Condition(msgspec.Struct, frozen=True):
    """Requires an entry to have the position ``rev``; 0 requires that it is absent."""

    key: str
    rev: int


class Store:
    """A client of the store.

    ``calls`` counts the calls made to each endpoint, ``era`` is the store's latest era.
    """

    def __init__(self, http: HttpClient) -> None:
        self._http = http
        # Called with the clock time of each answer that isn't a refusal to answer.
        self.on_answer: Callable[[float], None] = lambda now: None
        self.calls: dict[str, int] = {}
        self.era = StoreEra()

    def _position(self, revision: int) -> int:
        try:
            return store_position(self.era.number, revision)
        except ValueError as exc:
            raise StoreFailed(str(exc)) from exc

    def _positioned(self, item: Item) -> Item:
        return msgspec.structs.replace(item, rev=self._position(item.rev))

    def _observe_era(self, response: HttpResponse, sent_era: int | None) -> None:
        """Record the era of an answer to a call that was sent in ``sent_era``.

        Raises ``EraChanged`` if the era has risen since, ``StoreFailed`` if the answer
        is of an older era than the latest one.
        """
        text = response.headers.get(ERA_HEADER, NO_ERA)
        if not text.isdecimal() or len(text) > MAX_ERA_DIGITS or int(text) > MAX_ERA:
            raise StoreFailed(f"the store's era {text[:40]!r} is no number")
        number = int(text)
        news = self.era.observe(number, clock.now())
        if news is EraNews.OLDER:
            raise StoreFailed(f"answer of era {number}, known {self.era.number}")
        if sent_era is not None and number != sent_era:
            raise EraChanged(f"era {number}, sent in {sent_era}")

    async def _call(
        self,
        method: str,
        path: str,
        reply_type: type | None,
        timeout_s: float = CALL_TIMEOUT_S,
        params: Mapping[str, str] | None = None,
        body: object = None,
    ):
        endpoint = path.partition("/")[0]
        self.calls[endpoint] = self.calls.get(endpoint, 0) + 1
        url = f"/api/{path}?{urlencode(params)}" if params else f"/api/{path}"
        payload = msgspec.json.encode(body) if body is not None else b""
        sent_era = self.era.number
        try:
            response = await self._http.request(method, url, timeout_s, payload)
        except HttpFailed as exc:
            raise StoreFailed(f"{path}: {exc}") from exc
        if response.status < 500 and response.status != TOO_MANY_CALLS:
            self.on_answer(clock.now())
        self._observe_era(response, sent_era)
        if response.status == 200:
            if reply_type is bytes:
                return response.body
            try:
                return (
                    msgspec.json.decode(response.body, type=reply_type)
                    if reply_type
                    else None
                )
            except DECODE_ERRORS as exc:
                raise StoreFailed(f"{path}: {exc}") from exc
        raise _ERRORS.get(response.status, StoreFailed)(f"{path}: {response.status}")

    async def _call_with_lease(self, method: str, path: str, *args, **kwargs):
        """Make a call that names a lease; raises ``LeaseEnded`` if it has ended."""
        try:
            return await self._call(method, path, *args, **kwargs)
        except _NotFound as exc:
            raise LeaseEnded(str(exc)) from exc

    async def list(self, prefix: str, after: str = "") -> Page:
        """Return a page of the entries under a prefix with keys past ``after``."""
        params = {"prefix": prefix}
        if after:
            params["after"] = after
        body = await self._call("GET", "kv-range", bytes, params=params)
        page = _decode_items(body, Page, "items")
        items = [self._positioned(item) for item in page.items]
        if page.has_more and not items:
            raise StoreFailed("kv-range: no entry of a page can be read")
        return Page(items, self._position(page.as_of), page.has_more)

    async def get(self, key: str) -> Item | None:
        """Return an entry, or None if it is absent."""
        try:
            return self._positioned(
                await self._call("GET", "kv-key", Item, params={"key": key})
            )
        except _NotFound:
            return None

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a position, waiting up to ``wait_s`` seconds.

        Raises ``HistoryGone`` for a position of an older era.
        """
        if self._of_older_era(after):
            raise HistoryGone("the position is of an older era")
        params = {
            "prefix": prefix,
            "after": str(revision_of(after)),
            "wait_ms": str(int(wait_s * 1000)),
        }
        timeout_s = wait_s + CALL_TIMEOUT_S
        body = await self._call("GET", "kv-watch", bytes, timeout_s, params=params)
        found = _decode_items(body, Changes, "events")
        events = [self._positioned(item) for item in found.events]
        return Changes(events, self._position(found.as_of))

    def _of_older_era(self, position: int) -> bool:
        return self.era.number is not None and era_of(position) < self.era.number

    async def change(
        self,
        conditions: Sequence[Condition] = (),
        puts: Sequence[Put] = (),
        deletes: Sequence[str] = (),
    ) -> int:
        """Change entries in one transaction and return its position.

        Raises ``Conflict`` if a condition is not met. A position of an older era is
        never met, although the store may have given its revision again.
        """
        if any(one.rev and self._of_older_era(one.rev) for one in conditions):
            raise Conflict("a condition names a position of an older era")
        body = {
            "precondition": [
                {"key": condition.key, "rev": revision_of(condition.rev)}
                for condition in conditions
            ],
            "puts": [
                {
                    "key": put.key,
                    "value": base64.b64encode(put.data).decode(),
                    "lease": put.lease,
                }
                for put in puts
            ],
            "deletes": list(deletes),
        }
        reply = await self._call_with_lease("POST", "kv-txn", _ChangeReply, body=body)
        return self._position(reply.rev)

    async def create_lease(self, ttl_s: float) -> tuple[int, float]:
        """Create a lease; return its id and the seconds for which it is valid."""
        body = {"ttl_ms": int(ttl_s * 1000)}
        reply = await self._call("POST", "kv-lease", _LeaseReply, body=body)
        return reply.lease, reply.ttl_ms / 1000

    async def renew_lease(self, lease: int) -> float:
        """Renew a lease and return the seconds for which it is valid."""
        reply = await self._call_with_lease("POST", f"kv-keep/{lease}", _LeaseReply)
        return reply.ttl_ms / 1000

    async def end_lease(self, lease: int) -> None:
        """End a lease, which removes the entries bound to it."""
        await self._call_with_lease("DELETE", f"kv-lease-end/{lease}", None)


def _decode_items(body: bytes, kind: type, field: str):
    """Decode an answer of type ``kind`` with its items in ``field``.

    One that can't be read doesn't hold back the others if it is among those of the
    targets, where others write, or evacuates a zone that can't be one. Raises
    ``StoreFailed`` if more can't be read.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except DECODE_ERRORS as exc:
        error = str(exc)[:200]
    try:
        raw = json.loads(body.decode("utf-8", "replace"))
        raw[field] = [item for item in raw[field] if _is_readable(item, error)]
        return msgspec.convert(raw, kind)
    except (*DECODE_ERRORS, KeyError, TypeError) as exc:
        raise StoreFailed(f"answer not understood: {error}") from exc


def _is_readable(raw: object, error: str) -> bool:
    """Return whether an item can be read.

    Raises an error of ``DECODE_ERRORS`` if it may not be left out.
    """
    try:
        msgspec.json.decode(json.dumps(raw), type=Item)
    except DECODE_ERRORS:
        key = raw.get("key") if isinstance(raw, dict) else None
        if not isinstance(key, str) or not _may_be_left_out(key):
            raise
        log.warning("store: entry not readable", key=ascii(key)[:200], error=error)
        return False
    return True


def _may_be_left_out(key: str) -> bool:
    """Return whether an unreadable item names no target to use and no known zone.

    Names of zones are valid Unicode, whoever reports them.
    """
    if key.startswith(EVACUATIONS_PREFIX):
        return any("\ud800" <= char <= "\udfff" for char in key)
    return key.startswith(TARGETS_PREFIX)


@asynccontextmanager
async def open_store(addr: str) -> AsyncIterator[Store]:
    """Open a client of the store; it is closed at the end of the block."""
    async with http.client(*parse_address(addr)) as client:
        yield Store(client)
