"""Messages between nodes about requests of callers.

They are encoded as msgpack arrays. A position is ``(term, seq)``. Times are given as
seconds left, never as a point in time, since the clocks of two VMs differ. No message
has a field for a caller's key, only for its one-way digest; with it the holder can
refuse a request whose key was withdrawn while the request was queued.
"""

import math
from typing import Any

import msgspec

from lavenderstack.core.outcome import Reason, Refused
from lavenderstack.core.position import Position
from lavenderstack.core.targets.target_load import TargetLoad


class Message(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Base of all messages between nodes; subclasses have a tag."""


class Execute(Message, tag="execute", kw_only=True):
    """Run one statement on a target.

    ``organisation`` is empty for an open statement. ``min_position`` is the position of
    the session's watermark: the target must have reached it within ``wait_s`` seconds,
    or the request is refused with the reason ``behind``. ``fresh`` asks for a read that
    is proved to come from the current primary; ``max_age_s`` for one whose age is
    proved. ``idempotency_key`` is the id under which the group remembers a write, so
    that it takes effect once. ``transaction`` names the transaction in which to run.
    ``admitted`` means that the request was already counted against the organisation's
    rate at another holder.
    """

    request: str
    organisation: str
    key_digest: str
    group: str
    target: str
    statement: str
    args: list[Any]
    write: bool
    left_s: float
    min_position: Position = Position(0, 0)
    wait_s: float = 0.0
    fresh: bool = False
    max_age_s: float | None = None
    idempotency_key: str = ""
    transaction: str = ""
    admitted: bool = False


class Begin(Message, tag="begin", kw_only=True):
    """Open a transaction on the primary of a group; answered by ``Begun``."""

    request: str
    organisation: str
    key_digest: str
    group: str
    target: str
    left_s: float


class Begun(Message, tag="begun"):
    """The transaction is open under this name."""

    transaction: str


class End(Message, tag="end", kw_only=True):
    """Commit or roll back a transaction; answered by ``Executed``."""

    request: str
    organisation: str
    key_digest: str
    transaction: str
    commit: bool
    left_s: float
    idempotency_key: str = ""


class Executed(Message, tag="executed", kw_only=True):
    """The statement succeeded.

    ``position`` is that of the data read or written, ``holders`` the targets known to
    have reached it. ``age_s`` is the proved age of a read in seconds, if it was
    requested. ``repeated`` means that the write had already taken effect before, so
    that its result is no longer known.
    """

    result: Any
    position: Position
    holders: list[str] = []
    age_s: float | None = None
    repeated: bool = False


class Failed(Message, tag="failed", kw_only=True):
    """The request was refused (``run`` is False) or its outcome is unknown.

    ``primary`` and ``term`` are what the sender knows of the group's primary;
    ``admitted`` means that the request was counted against its organisation's rate.
    ``load`` is the load of the target, if the holder reports it.
    """

    run: bool
    reason: str
    detail: str = ""
    retry_after_s: float | None = None
    primary: str = ""
    term: int = 0
    admitted: bool = False
    load: TargetLoad | None = None


_REASONS = frozenset(Reason)
# The start of a reason that this build doesn't know, as it is told to a caller.
MAX_REASON_CHARS = 40


# A detail is the end of a line to the caller, which has a longest length. The time to
# come back is added to it.
MAX_DETAIL_CHARS = 400


def _one_line(text: str, max_chars: int) -> str:
    """Return the start of a text without line ends and other control characters."""
    text = text[:max_chars]
    if text.isprintable():
        return text
    return "".join(char if char.isprintable() else " " for char in text)


def understood(failed: Failed) -> Failed:
    """Return a failure of a holder with a reason and a time of this build.

    A reason of a later build becomes the general one of the same outcome. The detail,
    which may be a text of a target, becomes one short line.

    >>> understood(Failed(run=True, reason="later")).reason
    <Reason.OUTCOME_UNKNOWN: 'outcome_unknown'>
    """
    retry_after_s = failed.retry_after_s
    if retry_after_s is not None and not math.isfinite(retry_after_s):
        failed = msgspec.structs.replace(failed, retry_after_s=None)
    detail = _one_line(failed.detail, MAX_DETAIL_CHARS)
    if detail != failed.detail:
        failed = msgspec.structs.replace(failed, detail=detail)
    if failed.reason in _REASONS:
        return failed
    start = _one_line(failed.reason, MAX_REASON_CHARS)
    return msgspec.structs.replace(
        failed,
        reason=Reason.OUTCOME_UNKNOWN if failed.run else Reason.UNREACHABLE,
        detail=f"{start}: {failed.detail}" if failed.detail else start,
    )


def refusal_of(exc: Refused) -> Failed:
    """Return a refusal as a message: nothing has run."""
    return Failed(
        run=False,
        reason=exc.reason,
        detail=exc.detail,
        retry_after_s=exc.retry_after_s,
    )


class Cancel(Message, tag="cancel"):
    """Drop the request with this stream number if it has not started."""

    number: int


class Ping(Message, tag="ping"):
    """Ask whether the stream is alive; answered by ``Pong``."""


class Unsupported(Message, tag="unsupported"):
    """The node doesn't know the message ``tag``, and has run nothing."""

    message: str


class Goodbye(Message, tag="goodbye"):
    """The sender is stopping: send no more requests on this stream.

    Requests sent before are still answered.
    """


class Pong(Message, tag="pong"):
    """The stream is alive."""
