"""Explores a state machine exhaustively, up to a number of steps.

``scripts/explore.sh`` sets a greater number than the tests use by default.
"""

import os
from collections.abc import Callable, Hashable, Iterable
from typing import TypeVar

State = TypeVar("State", bound=Hashable)

DEPTH_VARIABLE = "LAVENDERSTACK_DEPTH"


def depth(default_steps: int) -> int:
    """Return the larger of the default and ``LAVENDERSTACK_DEPTH``."""
    return max(default_steps, int(os.environ.get(DEPTH_VARIABLE, "0")))


def explore(
    start: State, successors: Callable[[State], Iterable[State]], max_steps: int
) -> set[State]:
    """Return every state that is reachable in at most ``max_steps`` steps."""
    found, frontier = {start}, {start}
    for _ in range(max_steps):
        frontier = {
            successor for state in frontier for successor in successors(state)
        } - found
        if not frontier:
            break
        found |= frontier
    return found
