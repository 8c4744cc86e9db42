"""Admission of one organisation's requests at one node.

A request is admitted at once if the node holds a token. Otherwise it waits for one
round trip while the node draws tokens from the quota coordinator, and is refused if
the coordinator has none either. After a draw that returned no tokens, requests are
refused for a while without asking again. If the coordinator doesn't answer, for
example while the ownership of the shard changes, a request waits a little longer.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from lavenderstack.core.quota.share import Share
from lavenderstack.core.quota.share_messages import DrawReply

# How long a request waits for a coordinator that leaves draws unanswered.
MAX_UNANSWERED_WAIT_S = 0.25


class AdmissionResult(Enum):
    """The immediate result of an admission."""

    ADMITTED = auto()
    WAITING = auto()
    REFUSED = auto()


@dataclass(slots=True)
class AdmissionQueue:
    """A share and the requests that wait for a draw.

    ``waiting`` holds pairs of the arrival time in seconds and an item chosen by the
    caller, one for each request.
    """

    share: Share
    waiting: deque[tuple[float, Any]] = field(default_factory=deque)

    def admit(self, item: Any, now: float) -> AdmissionResult:
        """Admit one request, queue it or refuse it.

        ``finish_draw`` returns the item of a queued request.
        """
        share = self.share
        if share.admit(now):
            return AdmissionResult.ADMITTED
        if share.drawing or share.may_draw(now):
            self.waiting.append((now, item))
            return AdmissionResult.WAITING
        return AdmissionResult.REFUSED

    def remove(self, item: Any) -> None:
        """Remove a waiting item whose request was cancelled."""
        self.waiting = deque(entry for entry in self.waiting if entry[1] is not item)

    def start_draw(self, now: float) -> tuple[int, int] | None:
        """Return a draw's number and tokens to ask for, or None if none is due."""
        if not self.waiting or not self.share.may_draw(now):
            return None
        return self.share.next_draw(now, len(self.waiting))

    def finish_draw(
        self, number: int, grant: DrawReply | None, now: float
    ) -> tuple[list[Any], list[Any]]:
        """Process the answer to a draw; ``grant`` is None if there was no answer.

        Returns the admitted items and the refused items. If the draw was granted in
        full, requests that arrived after it was sent wait for the next one.
        """
        share = self.share
        share.adopt_draw(number, grant, now)
        admitted = []
        while self.waiting and share.spend(now):
            admitted.append(self.waiting.popleft()[1])
        if grant is None:
            return admitted, self._take_expired(now)
        refused = []
        if grant.retry_after_s > 0.0:
            refused = [item for _, item in self.waiting]
            self.waiting.clear()
        return admitted, refused

    def _take_expired(self, now: float) -> list[Any]:
        """Remove and return the items that have waited too long for an answer."""
        refused = []
        max_wait_s = (
            0.0 if self.share.coordinator_unreachable else MAX_UNANSWERED_WAIT_S
        )
        while self.waiting and now - self.waiting[0][0] >= max_wait_s:
            refused.append(self.waiting.popleft()[1])
        return refused
