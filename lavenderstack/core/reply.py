"""A target's answer to one statement."""

from dataclasses import dataclass, field
from enum import IntEnum

from lavenderstack.core.outcome import Reason
from lavenderstack.core.position import START, Position


class TxState(IntEnum):
    """Transaction state of a session or connection."""

    NONE = 0
    OPEN = 1
    FAILED = 2


@dataclass(slots=True)
class Reply:
    """The complete answer to one statement; ``reason`` is None if it succeeded.

    ``target`` and ``holder`` name the target and connection holder that answered, empty
    if there was no answer.

    ``receipt`` is the target's proof that it ran the statement, ``position`` the end of
    its log after that, ``detail`` the text of an error.
    """

    rows: list[str] = field(default_factory=list)
    receipt: str = ""
    reason: Reason | None = None
    detail: str = ""
    state: TxState = TxState.NONE
    position: Position = START
    target: str = ""
    holder: str = ""
