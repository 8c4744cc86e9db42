"""A statement that is being routed to a target, and when it may be tried again."""

from dataclasses import dataclass, field

from lavenderstack.core import clock
from lavenderstack.core.catalog import Route
from lavenderstack.core.evacuation.evacuation import Use
from lavenderstack.core.evacuation.evacuation_routing import use_of
from lavenderstack.core.messages import Failed, Message
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import START, Position
from lavenderstack.core.statement import Prepared, Statement
from lavenderstack.core.work_messages import Access, TransactionStart

# How long a statement is retried, mainly while a primary is replaced: a fraction of its
# timeout, and at most MAX_RETRY_S. Less is rarely enough for a replacement; a longer
# wait is rarely useful to the caller.
RETRY_TIMEOUT_SHARE = 0.6
MAX_RETRY_S = 0.6

# Failures that may not recur at another target or after a short wait. The statement has
# not run in any of these cases.
_RETRYABLE = frozenset(
    {
        Reason.BEHIND,
        Reason.NOT_PRIMARY,
        Reason.NO_PRIMARY,
        Reason.UNREACHABLE,
        Reason.WRONG_TARGET,
        Reason.NO_CONNECTION,
        Reason.NO_PREPARED,
        Reason.LEAVING,
        Reason.CROWDED,
        Reason.DEADLINE,
        Reason.EVACUATED,
    }
)


@dataclass(slots=True)
class Call:
    """One statement of a session that is being routed to a target.

    ``version`` is the catalog version that the session used. ``deadline``,
    ``wrote_at`` (the session's last write) and ``began_at`` are in seconds on the
    clock. ``min_position`` is the log position that an aged read must see. ``spread``
    tells that a retry was delayed already, so that lost statements don't come at once.
    """

    request: str
    route: Route
    organisation: str
    key_digest: str
    version: int
    statement: Statement
    access: Access
    deadline: float
    values: dict[str, str]
    prepared: Prepared | None = None
    min_position: Position = START
    wrote_at: float = 0.0
    opens: TransactionStart = TransactionStart.NONE
    began_at: float = field(default_factory=clock.now)
    spread: bool = False

    @property
    def retry_until(self) -> float:
        """Until when the statement may be retried, in seconds on the clock."""
        retry_s = min(self.route.timeout_s * RETRY_TIMEOUT_SHARE, MAX_RETRY_S)
        return self.began_at + retry_s

    @property
    def use(self) -> Use:
        """What the statement requires of its target."""
        return use_of(self.access, self.opens, self.statement.kind)

    @property
    def repeatable(self) -> bool:
        """Whether the statement may run twice, which is true for reads."""
        return not self.statement.writes


@dataclass(frozen=True, slots=True)
class DispatchResult:
    """An answer, with the node and target that gave it; empty if none was asked."""

    answer: Message
    node: str = ""
    target: str = ""


@dataclass(frozen=True, slots=True)
class TransactionLocation:
    """Where a transaction is open: the target and the node holding its connection."""

    node: str
    target: str


def may_retry(call: Call, answer: Message) -> bool:
    """Return whether the statement may be tried again after this answer."""
    if not isinstance(answer, Failed):
        return False
    if answer.run:
        return call.repeatable and answer.reason != Reason.STATEMENT_FAILED
    return answer.reason in _RETRYABLE
