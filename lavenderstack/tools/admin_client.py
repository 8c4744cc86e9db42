"""Client of the operators' API for the command line.

A change whose answer is lost is sent again with the same change id, so that it takes
effect at most once.
"""

import json
import urllib.error
import urllib.request
import uuid
from dataclasses import dataclass
from typing import Any

TIMEOUT_S = 20.0
MAX_ATTEMPTS = 3
NOT_SENT = 0
NO_ANSWER = -1


@dataclass(frozen=True, slots=True)
class Response:
    """The HTTP status and JSON body of a response.

    Without a response, ``status`` is ``NOT_SENT`` or ``NO_ANSWER``.
    """

    status: int
    body: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Client:
    """The address of one node's API and the operator's key."""

    url: str
    key: str

    def get(self, path: str) -> Response:
        """Send a GET request."""
        return self._send("GET", path, None, {})

    def change(
        self,
        method: str,
        path: str,
        body: dict,
        revision: int | None = None,
        change_id: str | None = None,
    ) -> Response:
        """Send a change until its outcome is known, at most ``MAX_ATTEMPTS`` times."""
        headers = {"Change-Id": change_id or uuid.uuid4().hex}
        if revision is not None:
            headers["If-Match"] = f'"{revision}"'
        answer_lost = False
        for _ in range(MAX_ATTEMPTS):
            answer = self._send(method, path, body, headers)
            if answer.status == 503 and answer_lost:
                # This attempt changed nothing, but an earlier one may have.
                continue
            if answer.status not in (NOT_SENT, NO_ANSWER, 504):
                return answer
            answer_lost = answer_lost or answer.status != NOT_SENT
        body = answer.body | {"change_id": headers["Change-Id"]}
        return Response(NO_ANSWER if answer_lost else NOT_SENT, body)

    def _send(self, method: str, path: str, body: Any, headers: dict) -> Response:
        data = None if body is None else json.dumps(body).encode()
        headers = headers | {"Authorization": f"Bearer {self.key}"}
        url = self.url.rstrip("/") + path
        req = urllib.request.Request(url, data, headers, method=method)
        try:
            with urllib.request.urlopen(req, timeout=TIMEOUT_S) as resp:
                return Response(resp.status, json.loads(resp.read()))
        except urllib.error.HTTPError as exc:
            return Response(exc.code, _parse_body(exc.read()))
        except urllib.error.URLError as exc:
            # Only the class name: the exception's text may contain sensitive values.
            status = NOT_SENT if _is_connection_refused(exc.reason) else NO_ANSWER
            return Response(status, {"why": type(exc.reason).__name__})
        except (OSError, ValueError) as exc:
            return Response(NO_ANSWER, {"why": type(exc).__name__})


def _is_connection_refused(reason: Any) -> bool:
    return isinstance(reason, ConnectionRefusedError)


def _parse_body(raw: bytes) -> dict:
    try:
        body = json.loads(raw)
    except ValueError:
        return {}
    return body if isinstance(body, dict) else {}
