"""The types of the catalogue of log lines."""

from dataclasses import dataclass
from enum import StrEnum


class LineKind(StrEnum):
    """What a line is about, from the last to the first kind to be dropped.

    ``LIFE``: start, stop, settings, a dependency lost or regained. ``STATE``: what the
    process knows of its environment has changed. ``FAILURE``: a request was refused or
    its outcome is unknown. ``RETRY``: a request was retried. ``SUCCESS``: a request was
    served.
    """

    LIFE = "life"
    STATE = "state"
    FAILURE = "failure"
    RETRY = "retry"
    SUCCESS = "success"


@dataclass(frozen=True, slots=True)
class Event:
    """One log line: its text, kind and fields, and its meaning for operators."""

    text: str
    kind: LineKind
    fields: tuple[str, ...]
    meaning: str
