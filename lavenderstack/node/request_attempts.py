"""The attempts of a request over HTTP, and what their failures mean to its caller."""

from dataclasses import dataclass, field

from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import NO_PRIMARY_RETRY_S, Reason, Refused, Unknown
from lavenderstack.core.view import Target


@dataclass(slots=True)
class RequestAttempts:
    """State of one request across its attempts.

    ``admitted`` tells whether it was charged to its organisation's rate, ``avoid``
    has the targets that failed, ``evacuated`` those whose holder refused because of an
    evacuation, and ``last`` is the latest failure.
    """

    count: int = 0
    admitted: bool = False
    may_have_run: bool = False
    avoid: set[str] = field(default_factory=set)
    evacuated: set[str] = field(default_factory=set)
    last: Failed | None = None


def no_primary() -> Failed:
    """Return the refusal for a group without a primary."""
    return Failed(
        run=False,
        reason=Reason.NO_PRIMARY,
        detail="the group has no primary at the moment",
        retry_after_s=NO_PRIMARY_RETRY_S,
    )


def no_holder(target: Target) -> Failed:
    """Return the refusal if no node answers for a target."""
    return Failed(
        run=False,
        reason=Reason.UNREACHABLE,
        detail=f"no VM answers for {target.name}",
        retry_after_s=NO_PRIMARY_RETRY_S,
    )


def final_exception(attempts: RequestAttempts) -> Refused | Unknown:
    """Return the outcome of a request that is not tried again."""
    failed = attempts.last
    if failed is None:
        return Refused(Reason.DEADLINE, "the deadline has passed", 0.0)
    if attempts.may_have_run and not failed.run:
        return Unknown(Reason(failed.reason), failed.detail)
    return to_exception(failed)


def to_exception(failed: Failed) -> Refused | Unknown:
    """Return the outcome that a failure means for the caller."""
    reason = Reason(failed.reason)
    if failed.run:
        return Unknown(reason, failed.detail)
    return Refused(reason, failed.detail, failed.retry_after_s)
