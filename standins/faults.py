"""Fault switches of a target stand-in, and the record of what it saw.

A fault is set by the call ``fault(kind, value)`` on a connection that introduced
itself for the group ``control``; such connections are not touched by faults.
"""

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

MOST_STRINGS = 100_000


class Fault(StrEnum):
    """What can be made to go wrong, with the unit of the value."""

    LAG_MS = "lag_ms"
    """A replica applies entries this many milliseconds late."""
    FREEZE_S = "freeze_s"
    """The process stops acting for so many seconds, then goes on unaware."""
    DOWN_S = "down_s"
    """All connections break and none is taken; the log is kept, as on a disk."""
    SILENT = "silent"
    """Open connections go silent for good while new ones work; the value is 1."""
    LOST_ANSWER = "lost_answer"
    """So many next answers to run and commit are lost after taking effect."""
    SLOW_MS = "slow_ms"
    """Every statement takes so many milliseconds longer."""


class Gate:
    """Open by default; while closed, whoever waits on it stands still."""

    def __init__(self) -> None:
        self._open = asyncio.Event()
        self._open.set()
        self._until = 0.0

    def close_for(self, seconds: float) -> None:
        """Close the gate; it opens by itself after the given time."""
        loop = asyncio.get_running_loop()
        self._until = max(self._until, loop.time() + seconds)
        self._open.clear()
        loop.call_at(self._until, self._reopen)

    def _reopen(self) -> None:
        if asyncio.get_running_loop().time() >= self._until:
            self._open.set()

    @property
    def closed(self) -> bool:
        """Tell whether the gate is closed."""
        return not self._open.is_set()

    async def wait(self) -> None:
        """Wait until the gate is open."""
        await self._open.wait()


@dataclass(slots=True)
class CallRecord:
    """What a target saw, for the checks of invariants.

    ``written`` has, for each write that took effect here, its term, sequence number and
    idempotency id. ``overlaps`` counts calls that came in on a connection before
    its last one was answered. ``strings`` are those in the parameters of any call.
    """

    written: list[tuple[int, int, str]] = field(default_factory=list)
    overlaps: int = 0
    most_running: int = 0
    most_connections: int = 0
    calls: dict[str, int] = field(default_factory=dict)
    strings: set[str] = field(default_factory=set)

    def note(self, method: str, params: Any) -> None:
        """Count a call and keep the strings in it."""
        self.calls[method] = self.calls.get(method, 0) + 1
        if len(self.strings) < MOST_STRINGS:
            self._keep(params)

    def _keep(self, value: Any) -> None:
        if isinstance(value, str):
            self.strings.add(value)
        elif isinstance(value, list | tuple):
            for item in value:
                self._keep(item)
        elif isinstance(value, dict):
            self._keep([*value.keys(), *value.values()])
