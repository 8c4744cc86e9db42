"""Prepares a pooled connection for a statement of a session.

Sessions of one organisation share connections. Before a statement runs, the values set
on the connection must be exactly those of the session. Prepared statements have names
on the connection that are the same for all sessions.
"""

from lavenderstack.core import statement
from lavenderstack.core.statement import Statement, StatementKind
from lavenderstack.core.work_messages import Work
from lavenderstack.node.backend import Command
from lavenderstack.node.targets.target_connections import PooledConnection


def setup_commands(work: Work, pooled: PooledConnection) -> list[Command]:
    """Return the commands that set the work's values and prepared statement.

    ``pooled`` is updated as if the commands had been run, so they must be sent.
    """
    commands = []
    if pooled.values != work.values:
        if any(work.values.get(k) != v for k, v in pooled.values.items()):
            commands.append(Command(statement.RESET))
            pooled.values.clear()
            pooled.prepared.clear()
        for name, value in work.values.items():
            if name not in pooled.values:
                commands.append(Command(statement.set_value(name, value)))
                pooled.values[name] = value
    prepared = work.prepared
    if prepared is not None and prepared.shared_name not in pooled.prepared:
        commands.append(Command(statement.prepare(prepared)))
        pooled.prepared.add(prepared.shared_name)
    return commands


def target_statement(work: Work) -> Statement:
    """Return the statement as sent to the target, with the shared prepared name."""
    if work.prepared is None:
        return work.statement
    return Statement(
        StatementKind.EXECUTE,
        "",
        work.prepared.shared_name,
        work.statement.body,
        work.prepared.writes,
    )
