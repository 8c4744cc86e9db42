"""When a request may be tried again, and how often.

A request is tried again only if that is safe: it provably did not run, or running
it twice has the effect of running it once. Repeats draw on a budget that fresh
requests fill, so that a sick target is not buried under repeats.
"""

import random
from dataclasses import dataclass

from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.request import Request

BUDGET_SHARE = 0.2
BUDGET_MOST = 200.0
FIRST_PAUSE_S = 0.02
LONGEST_PAUSE_S = 0.25

# Refusals after which another target, or the same one a little later, may serve.
_PASSING = frozenset(
    {
        Reason.BEHIND,
        Reason.NO_PRIMARY,
        Reason.NOT_PRIMARY,
        Reason.LEAVING,
        Reason.UNREACHABLE,
    }
)


@dataclass(slots=True)
class RetryBudget:
    """Allows repeats as a share of fresh requests, with a reserve for quiet times."""

    level: float = BUDGET_MOST

    def count_request(self) -> None:
        """Count a fresh request."""
        self.level = min(BUDGET_MOST, self.level + BUDGET_SHARE)

    def take(self) -> bool:
        """Take one repeat from the budget; False when it is spent."""
        if self.level < 1:
            return False
        self.level -= 1
        return True


def is_idempotent(req: Request) -> bool:
    """Tell whether running the request twice has the effect of running it once."""
    return not req.write or req.idempotent


def is_transient(failed: Failed) -> bool:
    """Tell whether nothing ran, for a reason that may be gone a little later."""
    return not failed.run and failed.reason in _PASSING


def may_retry(req: Request, failed: Failed) -> bool:
    """Tell whether the request may be tried again after this answer."""
    if failed.run:
        return is_idempotent(req)
    return is_transient(failed)


def backoff_s(attempt: int) -> float:
    """Return how long to wait before an attempt, with jitter, in seconds."""
    longest = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**attempt)
    return longest * random.uniform(0.5, 1.0)
