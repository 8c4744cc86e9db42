"""Explores a state machine exhaustively, up to a number of steps.

``scripts/explore.sh`` sets a greater number than the tests use by themselves.
"""

import os
from collections.abc import Callable, Hashable, Iterable
from typing import TypeVar

State = TypeVar("State", bound=Hashable)

DEPTH_VARIABLE = "LAVENDERSTACK_DEPTH"


def depth(short: int) -> int:
    """Return the number of steps: the one that was asked for, ``short`` at least."""
    return max(short, int(os.environ.get(DEPTH_VARIABLE, "0")))


def explore(
    start: State, steps: Callable[[State], Iterable[State]], most: int
) -> set[State]:
    """Return every state that ``most`` steps or fewer lead to."""
    found, edge = {start}, {start}
    for _ in range(most):
        edge = {after for state in edge for after in steps(state)} - found
        if not edge:
            break
        found |= edge
    return found
