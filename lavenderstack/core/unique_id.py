"""Identifiers that are never made again, by whatever process makes the next one.

A message that names something of another process (a transaction, a connection, a
process itself) may reach it late: after that process was restarted, under another
owner, or when the thing that it names has long been replaced. A number that counts from
1 in each process would then name something else. Numbers are used only within what has
such a name: draws within a process, requests within a stream, holds within an epoch.
"""

import secrets

# A late identifier equals one of a million in use with a probability of 5e-14.
UNIQUE_ID_BYTES = 8


def unique_id() -> str:
    """Return a new identifier of 16 hexadecimal digits."""
    return secrets.token_hex(UNIQUE_ID_BYTES)


def process_name(node: str) -> str:
    """Return the name of a process of a node, which no other process has."""
    return f"{node}#{unique_id()}"


def node_of(process: str) -> str:
    """Return the node of a process that is named ``node#random part``.

    The random part has no ``#``, the node's name may have one.

    >>> node_of("n#1#5f3a")
    'n#1'
    """
    return process.rsplit("#", 1)[0]
