"""Decides whether and when a failed request is retried.

A request is retried only if that is safe: it provably did not run, or running it twice
has the effect of running it once. Retries take tokens from a budget that new requests
refill, so that retries can't overload a failing target.
"""

import random
from dataclasses import dataclass

from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.request import Request

# Retries that each new request adds to the budget, and the most that it holds.
RETRIES_PER_REQUEST = 0.2
MAX_BUDGET_RETRIES = 200.0
MIN_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.25

# Refusals after which another target, or the same one a little later, may accept.
_TRANSIENT = frozenset(
    {
        Reason.BEHIND,
        Reason.NO_PRIMARY,
        Reason.NOT_PRIMARY,
        Reason.LEAVING,
        Reason.UNREACHABLE,
        Reason.EVACUATED,
    }
)


@dataclass(slots=True)
class RetryBudget:
    """Limits retries to a fraction of new requests, plus an initial reserve."""

    level: float = MAX_BUDGET_RETRIES

    def count_request(self) -> None:
        """Count a new request."""
        self.level = min(MAX_BUDGET_RETRIES, self.level + RETRIES_PER_REQUEST)

    def take(self) -> bool:
        """Take one retry from the budget; return False if it is exhausted."""
        if self.level < 1:
            return False
        self.level -= 1
        return True


def is_idempotent(req: Request) -> bool:
    """Return whether running the request twice has the effect of running it once."""
    return not req.write or req.idempotent


def is_transient(failed: Failed) -> bool:
    """Return whether nothing ran, for a reason that is likely to pass soon."""
    return not failed.run and failed.reason in _TRANSIENT


def may_retry(req: Request, failed: Failed) -> bool:
    """Return whether the request may be retried after this answer."""
    if failed.run:
        return is_idempotent(req)
    return is_transient(failed)


def backoff_s(attempt: int) -> float:
    """Return the delay before an attempt in seconds: exponential, with jitter."""
    longest_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**attempt)
    return longest_s * random.uniform(0.5, 1.0)
