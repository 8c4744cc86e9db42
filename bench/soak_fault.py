"""What the faults of a soak have in common.

A fault is a context manager: it is on inside of the block and undone after it.
"""

import random
from collections.abc import Callable, Iterable, Iterator
from contextlib import AbstractAsyncContextManager, contextmanager

from bench.soak_fleet import Fleet
from bench.soak_record import Disturbance
from lavenderstack.core import clock

Fault = Callable[[Fleet, random.Random], AbstractAsyncContextManager[None]]


class NotPossible(Exception):
    """The fault can't be injected now, since its part is already disturbed."""


@contextmanager
def recorded(
    fleet: Fleet, kind: str, scope: Iterable[str], planned: bool = False
) -> Iterator[None]:
    """Record a fault that is on inside of the block.

    The scope names nodes, targets, ``store`` and ``orders``. ``NODE/LINK`` stands for
    a link of a node other than that of its callers, which doesn't excuse the node.
    """
    fault = Disturbance(kind, frozenset(scope), clock.now(), planned=planned)
    fleet.record.disturbances.append(fault)
    try:
        yield
    finally:
        fault.end = clock.now()
