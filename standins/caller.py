"""An HTTP client of the service, for tests and the demonstration."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import aiohttp

# Generous, so that only a request that hangs reaches it.
REQUEST_TIMEOUT_S = 30.0


@dataclass(frozen=True)
class Reply:
    """One response: its HTTP status and the fields of its JSON body."""

    status: int
    outcome: str
    result: Any = None
    reason: str = ""
    detail: str = ""
    transaction: str = ""
    replica: bool | None = None
    retry_after_s: float | None = None


@dataclass
class Caller:
    """A client with an API key; it sends its session token to every node."""

    http: aiohttp.ClientSession
    key: str
    session: str = ""

    def _headers(self, request_id: str) -> dict[str, str]:
        headers = {"Authorization": f"Bearer {self.key}"} if self.key else {}
        if self.session:
            headers["Session-Token"] = self.session
        if request_id:
            headers["Request-Id"] = request_id
        return headers

    async def post(
        self, port: int, path: str, body: dict, request_id: str = ""
    ) -> Reply:
        """Send one request to the node that serves callers on ``port``."""
        url = f"http://127.0.0.1:{port}/v1/{path}"
        headers = self._headers(request_id)
        async with self.http.post(url, json=body, headers=headers) as resp:
            fields = await resp.json()
            self.session = resp.headers.get("Session-Token", self.session)
            reply_fields = Reply.__dataclass_fields__.keys() - {"status"}
            return Reply(
                resp.status, **{k: fields[k] for k in reply_fields & fields.keys()}
            )

    async def run(
        self,
        port: int,
        group: str,
        statement: str,
        *args: Any,
        request_id: str = "",
        **options: Any,
    ) -> Reply:
        """Run one statement on a group."""
        body = {"statement": statement, "args": list(args), **options}
        return await self.post(port, f"groups/{group}/statements", body, request_id)


@asynccontextmanager
async def http_session() -> AsyncIterator[aiohttp.ClientSession]:
    """Yield an HTTP client session that waits up to 30 s and does not retry."""
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
        yield session
