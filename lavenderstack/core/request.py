"""A caller's request after the border has checked it, and its answer."""

from dataclasses import dataclass
from typing import Any

from lavenderstack.core.position import START, Position

DEFAULT_DEADLINE_S = 5.0
LONGEST_DEADLINE_S = 30.0


@dataclass(frozen=True, slots=True)
class Caller:
    """Who asks: an organisation and the digest of its key; both empty if open."""

    organisation: str
    digest: str


EVERYONE = Caller("", "")


@dataclass(frozen=True, slots=True)
class Mark:
    """What a session has seen of a group: a position and targets known to hold it."""

    position: Position = START
    holders: tuple[str, ...] = ()


NO_MARK = Mark()


@dataclass(frozen=True, slots=True)
class Request:
    """One statement to run. ``deadline`` is a time on ``core.clock``, in seconds.

    ``once`` is the id under which a non-idempotent write is remembered; it is empty
    for reads and idempotent writes. ``transaction`` is empty outside of one.
    """

    id: str
    caller: Caller
    group: str
    statement: str
    args: list[Any]
    deadline: float
    write: bool = False
    once: str = ""
    fresh: bool = False
    max_age_s: float | None = None
    mark: Mark = NO_MARK


@dataclass(frozen=True, slots=True)
class Answer:
    """A request that is done: its result and what the session has now seen."""

    result: Any
    mark: Mark
    age_s: float | None = None
    replica: bool = False
