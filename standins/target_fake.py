"""An in-memory fake of a group of targets, for tests of the code that calls targets.

It has the interface of ``lavenderstack.border.target`` and the rules of the process
in ``target.py``, but no sockets and no waiting. Replicas get entries only when a test
calls ``replicate``, so the test controls the log of each. The index of a target in the
list serves as its port.

>>> group = FakeGroup("studio", ["a", "b", "c"])
>>> group.targets[0].up = False
"""

from collections.abc import Sequence
from typing import Any

from lavenderstack.border.target import (
    StatementResult,
    TargetErrorCode,
    TargetLost,
    TargetRefused,
    TargetStatus,
    TargetUnreachable,
)
from standins.replica_log import ReplicaLog, catch_up
from standins.session import Session


class FakeTarget:
    """One target.

    ``up`` is False while it is unreachable. ``lose_answers`` is the number of answers
    that will be lost after their call took effect. ``follows`` is the port of the
    primary that it follows.
    """

    def __init__(self, name: str, max_connections: int) -> None:
        self.log = ReplicaLog(name)
        self.max_connections = max_connections
        self.conns: set[FakeConn] = set()
        self.up = True
        self.lose_answers = 0
        self.follows: int | None = None


class FakeConn:
    """One connection to a fake target; the same calls as ``TargetConn``."""

    def __init__(self, target: FakeTarget) -> None:
        self.broken = False
        self.in_transaction = False
        self._target = target
        self._log = target.log
        self._session = Session(target.log)

    def close(self) -> None:
        """Close the connection and discard its open transaction."""
        self.broken = True
        self._target.conns.discard(self)

    def _require_reachable(self) -> None:
        if self.broken:
            raise TargetUnreachable("connection is closed")
        if not self._target.up:
            self.close()
            raise TargetLost("no answer in time")

    def _lose_answer_if_set(self) -> None:
        if self._target.lose_answers:
            self._target.lose_answers -= 1
            self.close()
            raise TargetLost("connection lost")

    def _state(self) -> TargetStatus:
        self._lose_answer_if_set()
        log = self._log
        return TargetStatus(log.term, log.last, log.role, log.primary)

    def _statement_result(self, result: Any) -> StatementResult:
        self._lose_answer_if_set()
        return StatementResult(result, self._log.term, self._log.last)

    async def hello(self, group: str, timeout_s: float) -> TargetStatus:
        """Return the target's state; ``FakeGroup.connect`` has checked the group."""
        return await self.state(timeout_s)

    async def state(self, timeout_s: float) -> TargetStatus:
        """Return the target's term, last position, role and primary."""
        self._require_reachable()
        return self._state()

    async def run(
        self,
        statement: str,
        args: Sequence[Any],
        timeout_s: float,
        *,
        write: bool = False,
        term: int = 0,
        idempotency_key: str = "",
    ) -> StatementResult:
        """Run one statement."""
        self._require_reachable()
        result = self._session.run(statement, list(args), write, term, idempotency_key)
        return self._statement_result(result)

    async def begin(self, term: int, timeout_s: float) -> None:
        """Begin a transaction."""
        self._require_reachable()
        self._session.begin(term)
        self._lose_answer_if_set()
        self.in_transaction = True

    async def commit(
        self, timeout_s: float, idempotency_key: str = ""
    ) -> StatementResult:
        """Commit the open transaction."""
        self.in_transaction = False
        self._require_reachable()
        self._session.commit(idempotency_key)
        return self._statement_result(None)

    async def rollback(self, timeout_s: float) -> None:
        """Roll the open transaction back."""
        self.in_transaction = False
        self._require_reachable()
        self._session.rollback()
        self._lose_answer_if_set()

    async def adopt(self, term: int, timeout_s: float) -> TargetStatus:
        """Adopt a higher term."""
        self._require_reachable()
        self._log.adopt(term)
        self._target.follows = None
        return self._state()

    async def lead(
        self, term: int, followers: Sequence[str], timeout_s: float
    ) -> TargetStatus:
        """Make the target primary of the adopted term."""
        self._require_reachable()
        self._log.lead(term)
        self._target.follows = None
        return self._state()

    async def follow(
        self, term: int, primary: str, host: str, port: int, timeout_s: float
    ) -> TargetStatus:
        """Follow the primary of a term."""
        self._require_reachable()
        self._log.follow(term, primary)
        self._target.follows = port
        return self._state()


class FakeGroup:
    """A group of fake targets; ``connect`` stands in for the adapter's function."""

    def __init__(
        self, name: str, targets: list[str], max_connections: int = 30
    ) -> None:
        self.name = name
        self.targets = [FakeTarget(target, max_connections) for target in targets]

    async def connect(
        self, host: str, port: int, group: str, timeout_s: float
    ) -> FakeConn:
        """Open a connection to the target with index ``port``."""
        target = self.targets[port]
        if not target.up:
            raise TargetUnreachable("no answer in time")
        if group != self.name:
            raise TargetRefused(
                TargetErrorCode.STATEMENT_FAILED, f"not in group {group}"
            )
        if len(target.conns) >= target.max_connections:
            raise TargetRefused(
                TargetErrorCode.TOO_MANY_CONNECTIONS, str(len(target.conns))
            )
        conn = FakeConn(target)
        target.conns.add(conn)
        return conn

    def replicate(self, port: int) -> bool:
        """Copy the primary's log to a replica; return False if there is no source."""
        replica = self.targets[port]
        if not replica.up or replica.follows is None:
            return False
        primary = self.targets[replica.follows]
        if not primary.up:
            return False
        try:
            catch_up(replica.log, primary.log)
        except TargetRefused:
            return False
        return True
