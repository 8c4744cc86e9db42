"""Admission of one organisation's requests at one node.

A request passes at once if the node has a token at hand. If not, it waits for one
round trip while the node draws tokens from the allotter, and is refused when the
allotter has none either. While the last draw has shown that there are none, requests
are refused without asking again. If the allotter doesn't answer, because its duty is
just passing to another node, a request waits a little longer.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from lavenderstack.core.share import Share
from lavenderstack.core.share_messages import DrawReply

PATIENCE_S = 0.25


class AdmissionResult(Enum):
    """What becomes of a request for now."""

    ADMITTED = auto()
    WAITING = auto()
    REFUSED = auto()


@dataclass(slots=True)
class AdmissionQueue:
    """A share and the requests that wait for a draw. Items are the caller's own."""

    share: Share
    waiting: deque[tuple[float, Any]] = field(default_factory=deque)

    def admit(self, item: Any, now: float) -> AdmissionResult:
        """Decide on one request; a waiting item comes back from ``finish_draw``."""
        share = self.share
        if share.admit(now):
            return AdmissionResult.ADMITTED
        if share.drawing or share.may_draw(now):
            self.waiting.append((now, item))
            return AdmissionResult.WAITING
        return AdmissionResult.REFUSED

    def forget(self, item: Any) -> None:
        """Remove a waiting item that nobody waits for any more."""
        self.waiting = deque(one for one in self.waiting if one[1] is not item)

    def start_draw(self, now: float) -> tuple[int, int] | None:
        """Return number and tokens of a draw to ask for, or None if none is due."""
        if not self.waiting or not self.share.may_draw(now):
            return None
        return self.share.ask_draw(now, len(self.waiting))

    def finish_draw(
        self, number: int, grant: DrawReply | None, now: float
    ) -> tuple[list[Any], list[Any]]:
        """Take the answer to a draw, None if there was none; return who is decided.

        The first list is admitted, the second refused. Who came too late for a draw
        that was answered in full waits for the next one.
        """
        share = self.share
        share.adopt_draw(number, grant, now)
        admitted = []
        while self.waiting and share.spend(now):
            admitted.append(self.waiting.popleft()[1])
        if grant is None:
            return admitted, self._impatient(now)
        refused = []
        if grant.retry_after_s > 0.0:
            refused = [item for _, item in self.waiting]
            self.waiting.clear()
        return admitted, refused

    def _impatient(self, now: float) -> list[Any]:
        """Remove and return those who have waited too long for any answer."""
        refused = []
        patience_s = 0.0 if self.share.cut_off else PATIENCE_S
        while self.waiting and now - self.waiting[0][0] >= patience_s:
            refused.append(self.waiting.popleft()[1])
        return refused
