"""Speaks the operators' API for the command line.

A change whose answer is lost is sent again with the same change id, which makes it
at most once.
"""

import json
import urllib.error
import urllib.request
import uuid
from dataclasses import dataclass
from typing import Any

TIMEOUT_S = 20.0
TRIES = 3
NOT_SENT = 0
NO_ANSWER = -1


@dataclass(frozen=True, slots=True)
class Answer:
    """What came back; ``status`` is ``NOT_SENT`` or ``NO_ANSWER`` if nothing did."""

    status: int
    body: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Client:
    """One node's API and the operator's key for it."""

    url: str
    key: str

    def get(self, path: str) -> Answer:
        """Read something."""
        return self._send("GET", path, None, {})

    def change(
        self,
        method: str,
        path: str,
        body: dict,
        revision: int | None = None,
        change_id: str | None = None,
    ) -> Answer:
        """Change something, at most once."""
        headers = {"Change-Id": change_id or uuid.uuid4().hex}
        if revision is not None:
            headers["If-Match"] = f'"{revision}"'
        lost = False
        for _ in range(TRIES):
            answer = self._send(method, path, body, headers)
            if answer.status not in (NOT_SENT, NO_ANSWER, 504):
                return answer
            lost = lost or answer.status != NOT_SENT
        body = answer.body | {"change_id": headers["Change-Id"]}
        return Answer(NO_ANSWER if lost else NOT_SENT, body)

    def _send(self, method: str, path: str, body: Any, headers: dict) -> Answer:
        data = None if body is None else json.dumps(body).encode()
        headers = headers | {"Authorization": f"Bearer {self.key}"}
        url = self.url.rstrip("/") + path
        req = urllib.request.Request(url, data, headers, method=method)
        try:
            with urllib.request.urlopen(req, timeout=TIMEOUT_S) as resp:
                return Answer(resp.status, json.loads(resp.read()))
        except urllib.error.HTTPError as exc:
            return Answer(exc.code, _body(exc.read()))
        except urllib.error.URLError as exc:
            # Not the exception itself: its text may show more than the cause.
            status = NOT_SENT if _refused(exc.reason) else NO_ANSWER
            return Answer(status, {"why": type(exc.reason).__name__})
        except (OSError, ValueError) as exc:
            return Answer(NO_ANSWER, {"why": type(exc).__name__})


def _refused(reason: Any) -> bool:
    return isinstance(reason, ConnectionRefusedError)


def _body(raw: bytes) -> dict:
    try:
        body = json.loads(raw)
    except ValueError:
        return {}
    return body if isinstance(body, dict) else {}
