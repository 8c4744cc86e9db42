"""Messages between entry nodes, where callers connect, and connection holders.

Times are seconds left or seconds ago, never points in time. A caller's key is never
transmitted, only its digest; the holder uses it to refuse work whose key was withdrawn
while the request was in transit or queued.
"""

from enum import IntEnum

from lavenderstack.core.failover.acknowledgement_hold import NO_HOLD, HoldNumber
from lavenderstack.core.messages import Message
from lavenderstack.core.position import START, Position
from lavenderstack.core.reply import TxState
from lavenderstack.core.statement import Prepared, Statement
from lavenderstack.core.targets.target_load import TargetLoad


class Access(IntEnum):
    """What a statement requires of its target.

    ``WRITE``: the target must itself confirm that it is the primary. ``CURRENT_READ``:
    the read must be proved to run on the primary. ``AGED_READ``: the target's log must
    contain a position where the primary's log ended at a recent enough time.
    """

    WRITE = 0
    CURRENT_READ = 1
    AGED_READ = 2


class TransactionStart(IntEnum):
    """The kind of transaction to open before a statement, or ``NONE``."""

    NONE = 0
    READ_WRITE = 1
    READ_ONLY = 2


class Work(Message, tag="work", kw_only=True):
    """Run one statement on a target; answered by ``WorkDone`` or ``Failed``.

    ``version`` is the catalog version that the sender used. ``values`` are the
    session's values, ``prepared`` is the prepared statement that an execution refers
    to. ``min_position`` is the position that an aged read must see, ``max_age_s`` how
    old it may be. ``latency_goal_s`` is the latency goal of the route, 0 if there is
    none, ``latency_goal_left_s`` what is left of it. ``position_wait_s`` is how long to
    wait for the primary's position before another target is tried. ``opens`` is the
    transaction to open first; ``tx`` names the open transaction in which to run.
    ``known_limit`` is the concurrency limit of the target as the sender knows it from
    another holder, 0 if it doesn't. Times are in seconds.
    """

    request: str
    organisation: str
    key_digest: str
    version: int
    group: str
    target: str
    statement: Statement
    access: Access
    left_s: float
    latency_goal_s: float = 0.0
    latency_goal_left_s: float = 0.0
    position_wait_s: float = 0.0
    priority: int = 0
    prepared: Prepared | None = None
    values: dict[str, str] = {}
    min_position: Position = START
    max_age_s: float = 0.0
    opens: TransactionStart = TransactionStart.NONE
    tx: str = ""
    known_limit: int = 0


class WorkDone(Message, tag="work_done", kw_only=True):
    """The statement succeeded; ``receipt`` is the target's proof of it.

    ``load`` is the load of the target, if the holder reports it.
    """

    rows: list[str]
    receipt: str
    position: Position
    state: TxState = TxState.NONE
    tx: str = ""
    load: TargetLoad | None = None


class EndWork(Message, tag="end_work"):
    """Roll back a transaction that its session has abandoned."""

    tx: str


class WorkEnded(Message, tag="work_ended"):
    """The transaction is no longer open."""


class PrimaryPositionRequest(Message, tag="ask_mark"):
    """Asks for the end of the primary's log, to be known in ``within_s`` seconds.

    Answered by ``PrimaryPosition`` or ``Failed``.
    """

    group: str
    target: str
    within_s: float


class PrimaryPosition(Message, tag="mark"):
    """The end of the primary's log, ``age_s`` seconds before the request arrived."""

    position: Position
    age_s: float


class GroupPositionRequest(Message, tag="ask_group_position"):
    """Asks for the highest position of a group that the node has acknowledged.

    If ``term`` isn't 0, the node acknowledges no more of what it has sent to primaries
    of up to this term. With a number in ``hold`` it acknowledges nothing beyond its
    answer under these primaries, also of what it sends later, until a request with
    ``release`` and a number as high arrives. ``received`` is how far the replica that
    takes over has received the log: a hold doesn't concern commits up to there.
    Answered by ``GroupPosition``.
    """

    group: str
    term: int = 0
    hold: HoldNumber = NO_HOLD
    release: bool = False
    received: Position = START


class GroupPosition(Message, tag="group_position"):
    """The highest position of a group that the node has acknowledged since its start.

    The node started ``uptime_s`` seconds ago. ``run`` identifies its process, as in its
    registration; it is empty if the process doesn't know it. ``holds`` confirms the
    hold that was asked for. ``held`` is the number of the hold that is in force, unless
    a replica has taken over since.
    """

    position: Position
    uptime_s: float
    run: str = ""
    holds: bool = False
    held: HoldNumber = NO_HOLD


class LeadTaken(Message, tag="lead_taken"):
    """Reports a target as the new primary; answered by ``LeadAcknowledged``."""

    group: str
    target: str


class LeadAcknowledged(Message, tag="noted"):
    """Confirms that the report was recorded."""
