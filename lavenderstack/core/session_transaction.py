"""The open transaction of a session, and what its statements need of a target."""

from dataclasses import dataclass

from lavenderstack.core.catalog import Consistency, Route
from lavenderstack.core.statement import Statement
from lavenderstack.core.work_messages import Access, TransactionStart


@dataclass(slots=True)
class SessionTransaction:
    """A transaction; ``node``, ``target`` and ``name`` are empty until it is opened."""

    read_only: bool
    node: str = ""
    target: str = ""
    name: str = ""
    wrote: bool = False


def transaction_start(route: Route, tx: SessionTransaction | None) -> TransactionStart:
    """Return how to open a transaction at the target.

    A target that is no longer the primary continues read-only transactions but refuses
    others. On routes whose reads must see every acknowledged write, all transactions
    are therefore opened as read-write.
    """
    if tx is None:
        return TransactionStart.NONE
    if tx.read_only and route.freshness is not Consistency.PRIMARY:
        return TransactionStart.READ_ONLY
    return TransactionStart.READ_WRITE


def access_for(
    route: Route, statement: Statement, tx: SessionTransaction | None
) -> Access:
    """Return the kind of access that a statement needs at its target."""
    if transaction_start(route, tx) is TransactionStart.READ_WRITE:
        return Access.WRITE
    if statement.writes:
        return Access.WRITE
    if route.freshness is Consistency.PRIMARY:
        return Access.CURRENT_READ
    return Access.AGED_READ
