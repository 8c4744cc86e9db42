"""Plays the load of one target on its holder's connection pool, on virtual time.

The real slots, fair queue and pool run against a target of which only the times are
modelled: a statement keeps a slot of the target for its work, and a new connection
keeps one for ``HANDSHAKE_S``. Each load is played with and without load control.
"""

import asyncio
import random
from contextlib import contextmanager
from dataclasses import dataclass, field
from itertools import accumulate
from unittest.mock import patch

from bench.measure import Bound
from bench.measure import Result as Table
from lavenderstack.core import clock
from lavenderstack.core.outcome import Refused
from lavenderstack.core.queue.queue_load import refusal_retry_after_s
from lavenderstack.core.view import Target
from lavenderstack.node.backend import ConnectFailed
from lavenderstack.node.targets.allocated_connections import AllocatedConnections
from lavenderstack.node.targets.slots import Slots
from tests import virtual_time

HANDSHAKE_S = 0.012
ROUND_TRIP_S = 0.001
DURATION_S = 60.0
# How long an idle transaction keeps its connection.
TRANSACTION_S = 3.0
# Work of a statement in a slot, latency goal and deadline of each kind, in seconds.
KINDS = ((0.008, 0.2, 2.0), (0.04, 1.2, 6.0), (0.024, 0.4, 2.0))
# A few statements take much longer.
LONG_SHARE, LONG_FACTOR = 0.03, 7.0
MEAN_WORK_S = sum(kind[0] for kind in KINDS) / 3 * (1 + LONG_SHARE * (LONG_FACTOR - 1))


@dataclass(frozen=True)
class Load:
    """What callers ask of one target.

    ``utilisation`` is the work of the statements in proportion to the slots, without
    handshakes. The share of an organisation is proportional to 1 / rank ** ``skew``.
    The one of rank ``burst_rank`` sends ``burst`` times its share in the middle third.
    """

    name: str
    connections: int
    slots: int = 5
    organisations: int = 75
    utilisation: float = 0.6
    skew: float = 0.8
    burst: float = 1.0
    burst_rank: int = 5
    transactions: int = 0


@dataclass
class Result:
    """What became of the statements of a load."""

    handshakes: int = 0
    sent: dict[int, int] = field(default_factory=dict)
    in_goal: dict[int, int] = field(default_factory=dict)
    refused_transactions: int = 0

    def count(self, organisation: int, in_goal: bool) -> None:
        """Count one statement."""
        self.sent[organisation] = self.sent.get(organisation, 0) + 1
        self.in_goal[organisation] = self.in_goal.get(organisation, 0) + in_goal

    @property
    def per_100(self) -> float:
        """Handshakes for each 100 statements."""
        return 100 * self.handshakes / sum(self.sent.values())

    @property
    def goal_share(self) -> float:
        """The share of statements answered within their goal."""
        return sum(self.in_goal.values()) / sum(self.sent.values())

    @property
    def worst_share(self) -> float:
        """The same for the worst organisation with at least 20 statements."""
        return min(
            self.in_goal[one] / sent for one, sent in self.sent.items() if sent >= 20
        )


class _Connection:
    closed = False

    def close(self) -> None:
        self.closed = True


class _Backend:
    """Opens connections in a slot of the target."""

    def __init__(self, slots: int, result: Result) -> None:
        self.slots = asyncio.Semaphore(slots)
        self._result = result

    async def connect(self, target, group, organisation, timeout_s):
        await asyncio.sleep(ROUND_TRIP_S)
        async with self.slots:
            await asyncio.sleep(HANDSHAKE_S)
        self._result.handshakes += 1
        return _Connection()

    async def run(self, work_s: float) -> None:
        await asyncio.sleep(ROUND_TRIP_S)
        async with self.slots:
            await asyncio.sleep(work_s)


class _Play:
    def __init__(self, load: Load, load_control: bool, seed: int) -> None:
        self.load, self.result = load, Result()
        self.random = random.Random(seed)
        self.backend = _Backend(load.slots, self.result)
        target = Target("t", "z", "", 1, load.slots, 2 * load.connections)
        self.pool = AllocatedConnections(self.backend, target, "g")
        self.pool.set_load_control(load_control)
        self.pool.max_open = load.connections
        self.slots = Slots(load.slots, now=virtual_time.clock)
        self.tasks: set[asyncio.Task] = set()

    def _start(self, coro) -> None:
        task = asyncio.ensure_future(coro)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self) -> Result:
        load = self.load
        per_s = load.utilisation * load.slots / MEAN_WORK_S
        shares = [1 / (rank + 1) ** load.skew for rank in range(load.organisations)]
        burst = list(shares)
        burst[load.burst_rank] *= load.burst
        weights = {False: list(accumulate(shares)), True: list(accumulate(burst))}
        began = virtual_time.clock()
        every_s = DURATION_S / load.transactions if load.transactions else DURATION_S
        next_transaction = began + every_s
        while (now := virtual_time.clock()) < began + DURATION_S:
            bursting = DURATION_S / 3 < now - began < DURATION_S * 2 / 3
            total = weights[bursting][-1] / weights[False][-1]
            await asyncio.sleep(self.random.expovariate(per_s * total))
            (organisation,) = self.random.choices(
                range(load.organisations), cum_weights=weights[bursting]
            )
            pins = load.transactions and virtual_time.clock() >= next_transaction
            if pins:
                next_transaction += every_s
            self._start(self._statement(organisation, pins))
        while self.tasks:
            await asyncio.gather(*self.tasks)
        return self.result

    async def _statement(self, organisation: int, pins: bool) -> None:
        base_s, goal_s, deadline_s = self.random.choice(KINDS)
        long = self.random.random() < LONG_SHARE
        work_s = base_s * (LONG_FACTOR if long else 1.0)
        name, began = str(organisation), virtual_time.clock()
        with self.pool.expected(name):
            try:
                await self._in_slot(name, work_s, goal_s, began + deadline_s, pins)
                in_goal = virtual_time.clock() - began <= goal_s
            except (Refused, ConnectFailed):
                self.result.refused_transactions += pins
                in_goal = False
        self.result.count(organisation, in_goal)

    async def _in_slot(self, name, work_s, goal_s, deadline, pins) -> None:
        left_s = deadline - virtual_time.clock()
        queue_load = self.slots.queue_load(name)
        if refusal_retry_after_s(queue_load, goal_s, goal_s, left_s) is not None:
            raise ConnectFailed("crowded")
        async with self.slots.acquire(name, 1.0, deadline):
            if pins:
                self.pool.check_transaction(name)
            pooled = await self.pool.acquire(name, {})
            await self.backend.run(work_s)
        if pins:
            self.pool.pin(pooled)
            self._start(self._end_transaction(pooled))
        else:
            self.pool.release(pooled)

    async def _end_transaction(self, pooled) -> None:
        await asyncio.sleep(TRANSACTION_S)
        self.pool.release(pooled)


@contextmanager
def _virtual_clock():
    with patch.object(clock, "now", virtual_time.clock):
        yield


def play(load: Load, load_control: bool, seed: int = 1) -> Result:
    """Play a load and return what became of its statements."""

    async def main() -> Result:
        return await _Play(load, load_control, seed).run()

    with _virtual_clock():
        return virtual_time.run_on_virtual_time(main())


LOADS = (
    Load("skewed, 29", 29),
    Load("skewed, 43", 43),
    Load("skewed, 58", 58),
    Load("skewed, 29, busy", 29, utilisation=0.85),
    Load("skewed, 58, busy", 58, utilisation=0.85),
    Load("one at 6 times, 29", 29, burst=6.0),
    Load("one at 6 times, 43, busy", 43, burst=6.0, utilisation=0.75),
    Load("120 transactions, 29", 29, transactions=120),
    Load("400 transactions, 29", 29, transactions=400),
    Load("81 on 4 slots, 35", 35, slots=4, organisations=81),
    Load("81 on 4 slots, 58", 58, slots=4, organisations=81),
)


# Load control may lose no more than this of the statements within their goal.
MAX_GOAL_LOSS = 0.005


def run(seed: int) -> Table:
    """Play all loads without and with load control."""
    table = Table(
        "Connections of one target for 75 to 81 organisations",
        [
            "load",
            "policy",
            "handshakes per 100",
            "slot time",
            "in goal",
            "worst organisation",
        ],
    )
    for load in LOADS:
        results = [play(load, load_control, seed) for load_control in (False, True)]
        for policy, result in zip(("former", "allocated"), results, strict=True):
            slot_share = result.handshakes * HANDSHAKE_S / (load.slots * DURATION_S)
            measured = slot_share, result.goal_share, result.worst_share
            table.rows.append([load.name, policy, result.per_100, *measured])
        former, allocated = results
        in_goal = allocated.goal_share - former.goal_share
        table.bounds += [
            Bound(f"{load.name}: handshakes", allocated.per_100, former.per_100),
            Bound(f"{load.name}: in goal", in_goal, -MAX_GOAL_LOSS, is_minimum=True),
        ]
    return table
