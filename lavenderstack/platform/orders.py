"""The platform's call that makes a target the primary of its group."""

from urllib.parse import quote

import msgspec

from lavenderstack.border.http import HttpClient, HttpFailed
from lavenderstack.node.backend import OrderRefused, OrderUnanswered

# The platform answers within milliseconds; an unanswered order is sent again.
CALL_TIMEOUT_S = 0.5
HOLDER_HEADER = "Lavenderstack-Holder"
FENCE_HEADER = "Lavenderstack-Fence-Token"


def _header_text(name: str) -> str:
    """Return a node's name for a header, escaped if a header can't have it.

    >>> _header_text("front-1"), _header_text("š")
    ('front-1', '%C5%A1')
    """
    if name.isascii() and name.isprintable() and name == name.strip():
        return name
    return quote(name, safe="")


class PlatformOrders:
    """Implements ``node.backend.Orders``."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def promote(self, group: str, target: str, node: str, epoch: int) -> None:
        """Make ``target`` the primary of ``group``, under the epoch of its claim.

        Raises ``OrderRefused`` if a later epoch was used or the target is not running,
        ``OrderUnanswered`` if the platform did not confirm the order.
        """
        headers = {HOLDER_HEADER: _header_text(node), FENCE_HEADER: str(epoch)}
        # The platform calls a group a service and a target's name its id.
        body = msgspec.json.encode({"service": group, "id": target})
        try:
            response = await self._http.request(
                "POST", "/promote", CALL_TIMEOUT_S, body, headers
            )
        except HttpFailed as exc:
            raise OrderUnanswered(str(exc)) from exc
        if response.status == 409:
            raise OrderRefused("a later epoch was used, or the target is not running")
        if response.status != 200:
            raise OrderUnanswered(f"status {response.status}")
