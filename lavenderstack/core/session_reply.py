"""Converts the answers of connection holders to replies of a session."""

from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import Position
from lavenderstack.core.reply import Reply
from lavenderstack.core.work_messages import WorkDone


def error_reply(reason: Reason, detail: str) -> Reply:
    """Return the reply of a statement that was refused or failed."""
    return Reply(reason=reason, detail=detail)


def retry_detail(failed: Failed) -> str:
    """Return the detail of a failure for the caller, with the time to come back."""
    if failed.retry_after_s is None:
        return failed.detail
    retry_ms = int(failed.retry_after_s * 1000)
    return f"{failed.detail or failed.reason}, retry after {retry_ms} ms"


def success_reply(answer: WorkDone) -> Reply:
    """Return the reply of a statement that a connection holder ran."""
    return Reply(
        rows=answer.rows, receipt=answer.receipt, position=Position(*answer.position)
    )


def autocommit_reason(failed: Failed, wrote: bool) -> Reason:
    """Return why a statement outside a transaction failed.

    A write without an answer may have taken effect, so its outcome is unknown.
    """
    reason = Reason(failed.reason)
    if failed.run and wrote and reason is Reason.CONNECTION_LOST:
        return Reason.OUTCOME_UNKNOWN
    return reason
