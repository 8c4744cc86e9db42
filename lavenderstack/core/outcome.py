"""The outcomes of a request, as exceptions that propagate through the node.

A caller gets one of three outcomes, which are always kept distinct: the request
succeeded, it was not run, or its outcome is unknown. ``Refused`` may only be raised
when it is certain that the request had no effect; ``Unknown`` covers the rest.
"""

from enum import StrEnum

# Told to callers as the time to retry: after a refusal because the node's view is
# stale, and after one because the target is not, or not much longer, the primary.
STALE_RETRY_S = 1.0
NO_PRIMARY_RETRY_S = 0.5


class Reason(StrEnum):
    """Why a request was refused or its outcome is unknown."""

    BAD_REQUEST = "bad_request"
    BAD_TOKEN = "bad_token"
    NO_KEY = "no_key"
    KEY_REFUSED = "key_refused"
    NOT_ALLOWED = "not_allowed"
    UNKNOWN_GROUP = "unknown_group"
    OVER_RATE = "over_rate"
    CROWDED = "crowded"
    DEADLINE = "deadline"
    BEHIND = "behind"
    NO_PRIMARY = "no_primary"
    NOT_PRIMARY = "not_primary"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    STALE_VIEW = "stale_view"
    STATEMENT_FAILED = "statement_failed"
    TRANSACTION_LOST = "transaction_lost"
    UNCONFIRMED = "unconfirmed"
    CONNECTION_LOST = "connection_lost"
    TIMED_OUT = "timed_out"
    NO_PREPARED = "no_prepared"
    WRONG_TARGET = "wrong_target"
    NO_CONNECTION = "no_connection"
    OUTCOME_UNKNOWN = "outcome_unknown"
    EVACUATED = "evacuated"
    OUTSIDE_HOMES = "outside_homes"


# Reasons that don't pass by themselves, so that sending the request again is no use.
_PERMANENT = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.BAD_TOKEN,
        Reason.NO_KEY,
        Reason.KEY_REFUSED,
        Reason.NOT_ALLOWED,
        Reason.UNKNOWN_GROUP,
        Reason.STATEMENT_FAILED,
        Reason.TRANSACTION_LOST,
        Reason.NO_PREPARED,
    }
)
# For the other reasons, where the time until the cause has passed is not known.
DEFAULT_RETRY_S = 0.25


class Refused(Exception):
    """The request was not run.

    ``retry_after_s`` is the time in seconds after which to retry, None if retrying does
    not help. A reason that may pass by itself never comes without a time.
    """

    def __init__(
        self, reason: Reason, detail: str = "", retry_after_s: float | None = None
    ):
        super().__init__(reason, detail)
        if retry_after_s is None and reason not in _PERMANENT:
            retry_after_s = DEFAULT_RETRY_S
        self.reason = reason
        self.detail = detail
        self.retry_after_s = retry_after_s


class Unknown(Exception):
    """The request may have run; its effect is unknown."""

    def __init__(self, reason: Reason, detail: str = ""):
        super().__init__(reason, detail)
        self.reason = reason
        self.detail = detail
