"""Prepares a pooled connection for a statement of a session.

Sessions of one organisation share connections. Before a statement runs, the values set
on the connection must be exactly those of the session. Prepared statements have names
on the connection that are the same for all sessions.

What prepares a connection counts once the target has answered it, and a statement is
sent after that: a target may refuse any of it, and would run the statement all the
same. BEGIN depends on none of it and is sent together with it.
"""

import asyncio
from collections.abc import Sequence

import structlog

from lavenderstack.core import statement
from lavenderstack.core.reply import Reply
from lavenderstack.core.statement import Prepared, Statement
from lavenderstack.core.work_messages import Work
from lavenderstack.node.backend import Command, ConnectionLost
from lavenderstack.node.targets.target_connections import PooledConnection, SentSetup

log = structlog.get_logger()

# Characters of a name or shape that a log line has.
MAX_LOGGED_CHARS = 60
# Names on one connection, after which it is reset. As many as a session may prepare;
# without a bound, the names here and the shapes at the target would grow as long as the
# connection is open.
MAX_PREPARED_NAMES = 256


def send_setup(
    work: Work, pooled: PooledConnection, commands: Sequence[Command] = ()
) -> list["asyncio.Future[Reply]"]:
    """Send what sets the work's values and prepared statement, and then commands.

    The commands must not depend on it. Returns the futures of all answers. Raises
    ``ConnectionLost`` if nothing was sent, also if the target refused what prepared the
    connection before.
    """
    if pooled.confirm_setup() is not None:
        raise ConnectionLost("the connection could not be prepared")
    if is_prepared(work, pooled):
        return pooled.conn.send(commands)
    setup, values, names = _setup(work, pooled)
    futs = pooled.conn.send([*setup, *commands])
    if work.prepared is not None and names != pooled.prepared:
        _log_prepared(work, pooled, work.prepared)
    pooled.setup = SentSetup(futs[: len(setup)], values, names)
    return futs


def send_prepared(
    work: Work, pooled: PooledConnection, commands: Sequence[Command]
) -> list["asyncio.Future[Reply]"]:
    """Send commands on a connection that is prepared; return their answers' futures.

    Raises ``ConnectionLost`` if nothing was sent, also if it isn't prepared.
    """
    if pooled.confirm_setup() is not None or not is_prepared(work, pooled):
        raise ConnectionLost("the connection is not prepared")
    return pooled.conn.send(commands)


def _log_prepared(work: Work, pooled: PooledConnection, prepared: Prepared) -> None:
    log.info(
        "executor: statement prepared",
        request=work.request,
        target=work.target,
        connection=pooled.number,
        name=prepared.shared_name[:MAX_LOGGED_CHARS],
        shape=prepared.shape[:MAX_LOGGED_CHARS],
        shape_chars=len(prepared.shape),
    )


def is_prepared(work: Work, pooled: PooledConnection) -> bool:
    """Return whether the target has confirmed all that the work needs."""
    prepared = work.prepared
    known = prepared is None or prepared.shared_name in pooled.prepared
    return known and pooled.values == work.values


def _setup(
    work: Work, pooled: PooledConnection
) -> tuple[list[Command], dict[str, str], set[str]]:
    """Return what prepares the connection, and its values and names after that."""
    commands = []
    values, names = dict(pooled.values), set(pooled.prepared)
    if _needs_reset(work, pooled):
        commands.append(Command(statement.RESET))
        values.clear()
        names.clear()
    for name, value in work.values.items():
        if name not in values:
            commands.append(Command(statement.set_value(name, value)))
            values[name] = value
    prepared = work.prepared
    if prepared is not None and prepared.shared_name not in names:
        commands.append(Command(statement.prepare(prepared)))
        names.add(prepared.shared_name)
    return commands, values, names


def _needs_reset(work: Work, pooled: PooledConnection) -> bool:
    """Return whether a value of another session is set, or the names are too many."""
    values, prepared = work.values, work.prepared
    if any(values.get(name) != value for name, value in pooled.values.items()):
        return True
    full = len(pooled.prepared) >= MAX_PREPARED_NAMES
    return full and prepared is not None and prepared.shared_name not in pooled.prepared


def target_statement(work: Work) -> Statement:
    """Return the statement as sent to the target, with the shared prepared name."""
    if work.prepared is None:
        return work.statement
    return statement.execute(work.prepared, work.statement.body)
