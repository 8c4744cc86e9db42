"""Faults of a target stand-in, and the record of the calls that it received.

A fault is set by the call ``fault(kind, value)`` on a connection for the group
``control``. Faults don't affect these control connections.
"""

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

# Bounds the memory that the record takes.
MAX_RECORDED_STRINGS = 100_000


class Fault(StrEnum):
    """A kind of fault; a suffix of its name is the unit of the value."""

    LAG_MS = "lag_ms"
    """A replica applies entries this many milliseconds late."""
    FREEZE_S = "freeze_s"
    """The target handles no call for this many seconds, as if it were suspended."""
    DOWN_S = "down_s"
    """Connections break and new ones fail for this many seconds; the log is kept."""
    SILENT = "silent"
    """Open connections never answer again, new ones work; the value is 1."""
    LOST_ANSWER = "lost_answer"
    """This many answers to run and commit are lost, after the call took effect."""
    SLOW_MS = "slow_ms"
    """Every statement takes this many milliseconds longer."""


class Suspension:
    """Suspends the tasks that wait on it; it is inactive at first."""

    def __init__(self) -> None:
        self._resumed = asyncio.Event()
        self._resumed.set()
        self._until = 0.0

    def suspend_for(self, seconds: float) -> None:
        """Activate the suspension; it ends after the given time."""
        loop = asyncio.get_running_loop()
        self._until = max(self._until, loop.time() + seconds)
        self._resumed.clear()
        loop.call_at(self._until, self._resume)

    def _resume(self) -> None:
        if asyncio.get_running_loop().time() >= self._until:
            self._resumed.set()

    @property
    def active(self) -> bool:
        """Whether the suspension is active."""
        return not self._resumed.is_set()

    async def wait(self) -> None:
        """Wait until the suspension is over."""
        await self._resumed.wait()


@dataclass(slots=True)
class CallRecord:
    """The calls that a target received, for checks of invariants.

    ``written`` lists term, sequence number and idempotency key of each write that took
    effect. ``overlaps`` counts calls that arrived on a connection before its previous
    call was answered. ``most_running`` and ``most_connections`` are maxima, ``calls``
    counts by method, and ``strings`` holds the strings in the parameters of all calls.
    ``strings_complete`` is False once there were too many to keep.
    """

    written: list[tuple[int, int, str]] = field(default_factory=list)
    overlaps: int = 0
    most_running: int = 0
    most_connections: int = 0
    calls: dict[str, int] = field(default_factory=dict)
    strings: set[str] = field(default_factory=set)
    strings_complete: bool = True

    def record(self, method: str, params: Any) -> None:
        """Count a call and add the strings in its parameters."""
        self.calls[method] = self.calls.get(method, 0) + 1
        if len(self.strings) < MAX_RECORDED_STRINGS:
            self._add_strings(params)
        else:
            self.strings_complete = False

    def _add_strings(self, value: Any) -> None:
        if isinstance(value, str):
            self.strings.add(value)
        elif isinstance(value, list | tuple):
            for item in value:
                self._add_strings(item)
        elif isinstance(value, dict):
            self._add_strings([*value.keys(), *value.values()])
