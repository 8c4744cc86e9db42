"""A caller's request after validation, and its answer."""

from dataclasses import dataclass
from typing import Any

from lavenderstack.core.position import START
from lavenderstack.core.token import Watermark

DEFAULT_DEADLINE_S = 5.0
MAX_DEADLINE_S = 30.0


@dataclass(frozen=True, slots=True)
class Caller:
    """An organisation and the digest of its key; both empty for open access."""

    organisation: str
    digest: str


EVERYONE = Caller("", "")


NO_WATERMARK = Watermark(START)


@dataclass(frozen=True, slots=True)
class Request:
    """One statement to run. ``deadline`` is a time on ``core.clock``, in seconds.

    ``idempotency_key`` is the id under which the group remembers a write, so that it
    takes effect once however often it arrives; it is empty for reads.
    """

    id: str
    caller: Caller
    group: str
    statement: str
    args: list[Any]
    deadline: float
    write: bool = False
    idempotent: bool = True
    idempotency_key: str = ""
    fresh: bool = False
    max_age_s: float | None = None
    watermark: Watermark = NO_WATERMARK


@dataclass(frozen=True, slots=True)
class Answer:
    """The result of a request and the session's new watermark for the group."""

    result: Any
    watermark: Watermark
    age_s: float | None = None
    replica: bool = False
    repeated: bool = False
