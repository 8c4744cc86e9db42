"""Statements, session values and prepared statements of callers.

A statement keeps its original text, since reads, writes and commits are passed to a
target with that text unchanged. The other fields hold the parts that routing needs.
"""

from enum import IntEnum
from hashlib import blake2b

import msgspec

SHAPE_DIGEST_B = 20


class StatementKind(IntEnum):
    """What a statement does; only the service itself sends kinds from ``RESET`` on."""

    READ = 0
    WRITE = 1
    BEGIN = 2
    COMMIT = 3
    ROLLBACK = 4
    SET_VALUE = 5
    PREPARE = 6
    EXECUTE = 7
    CLOSE_PREPARED = 8
    RESET = 9
    STATUS = 10
    PAUSE = 11
    RESUME = 12


class Statement(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One statement.

    ``name`` is that of a value or of a prepared statement. ``body`` is a value, the
    shape of a prepared statement, or the arguments of its execution. ``writes`` means
    that it changes data or prepares a statement that does; ``read_only`` that a
    transaction only reads. ``text`` is empty for a statement made by the service
    itself: the adapter for targets composes it from the other fields.
    """

    kind: StatementKind
    text: str
    name: str = ""
    body: str = ""
    writes: bool = False
    read_only: bool = False


class Prepared(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A statement that a session prepared under its own name.

    ``shape`` is the part of the definition that is passed to the target unchanged.
    """

    writes: bool
    shape: str

    @property
    def shared_name(self) -> str:
        """Return a name that is the same for all sessions that prepared the statement.

        It is one field of a message whatever the shape has, and shorter than 50
        characters.

        >>> Prepared(writes=True, shape="q2c").shared_name
        'w_b5a24a3e4c336e3cac7366fda1f19f8e513a7c23'
        """
        digest = blake2b(self.shape.encode(), digest_size=SHAPE_DIGEST_B)
        return f"{'w' if self.writes else 'r'}_{digest.hexdigest()}"


ROLLBACK = Statement(StatementKind.ROLLBACK, "")
RESET = Statement(StatementKind.RESET, "")
STATUS = Statement(StatementKind.STATUS, "")
RESUME = Statement(StatementKind.RESUME, "")


def begin(read_only: bool) -> Statement:
    """Return the statement that opens a transaction."""
    return Statement(StatementKind.BEGIN, "", read_only=read_only)


def set_value(name: str, value: str) -> Statement:
    """Return the statement that sets a value of the connection."""
    return Statement(StatementKind.SET_VALUE, "", name, value)


def prepare(prepared: Prepared) -> Statement:
    """Return the statement that prepares a shape under its shared name."""
    name, shape = prepared.shared_name, prepared.shape
    return Statement(StatementKind.PREPARE, "", name, shape, prepared.writes)


def pause(term: int) -> Statement:
    """Return the statement that pauses replication on a replica, under a new term."""
    return Statement(StatementKind.PAUSE, "", body=str(term))


def execute(prepared: Prepared, arguments: str) -> Statement:
    """Return the statement that executes a prepared one under its shared name."""
    name = prepared.shared_name
    return Statement(StatementKind.EXECUTE, "", name, arguments, prepared.writes)


def as_executed(statement: Statement, prepared: Prepared | None) -> Statement:
    """Return a statement as a write if what it executes, ``prepared``, is one."""
    executes = statement.kind is StatementKind.EXECUTE and prepared is not None
    if not executes or not prepared.writes:
        return statement
    return msgspec.structs.replace(statement, writes=True)
