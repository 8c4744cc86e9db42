"""What keeping the view current costs a node, on virtual time.

    python -m bench.relay_cost [ZONES NODES_A_ZONE]

Runs the relays of a fleet in one process and counts the messages between them as
they would travel. Pings of the streams are added by rule: one for each exchange that
is kept for longer than the time after which a stream is pinged. Headers of TCP and IP
are counted as 40 bytes a packet, with one packet of acknowledgement an exchange.
"""

import asyncio
import sys
from collections import Counter

from lavenderstack.core.messages import Ping, Pong
from lavenderstack.node import wire
from lavenderstack.node.relay_test import (
    ZONES,
    FakePool,
    Fleet,
    clock,
    run_on_virtual_time,
)
from lavenderstack.node.streams import PING_AFTER_S

WARM_UP_S = 4.0
MEASURED_S = 10.0
CHANGE_LIMIT_S = 5.0
STEP_S = 0.005
LENGTH_B = 4
HEADER_B = 40


def _size_b(body, reply: bool) -> int:
    return LENGTH_B + len(wire.encode(wire.Frame(70_000, reply, body)))


class CountingPool(FakePool):
    """Counts bytes (payload, with headers) at both ends of each exchange."""

    payload: Counter = Counter()
    wire: Counter = Counter()

    async def call(self, addr, body, timeout_s):
        """Pass a request on and count it."""
        sent = clock()
        answer = await super().call(addr, body, timeout_s)
        payload, packets = _size_b(body, False) + _size_b(answer, True), 3
        if clock() - sent > PING_AFTER_S:
            payload += _size_b(Ping(), False) + _size_b(Pong(), True)
            packets += 2
        for end in (self.name, addr[0]):
            CountingPool.payload[end] += payload
            CountingPool.wire[end] += payload + packets * HEADER_B
        return answer


def _row(name: str, names: list[str]) -> None:
    for kind, counts in (
        ("payload", CountingPool.payload),
        ("with headers", CountingPool.wire),
    ):
        rates = [counts[n] / MEASURED_S for n in names]
        mean, most = sum(rates) / len(rates), max(rates)
        print(f"{name}, {kind}: mean {mean:.0f} B/s, most {most:.0f} B/s")


async def _measure(fleet: Fleet) -> None:
    fleet.start(*fleet.names)
    for relay in fleet.relays.values():
        relay.pool = CountingPool(fleet, relay.name)
    await asyncio.sleep(WARM_UP_S)
    CountingPool.payload.clear()
    CountingPool.wire.clear()
    calls = sum(store.calls for store in fleet.stores.values())
    ages = []
    for _ in range(int(MEASURED_S)):
        await asyncio.sleep(1.0)
        ages += [relay.age_s(clock()) for relay in fleet.relays.values()]
    calls = sum(store.calls for store in fleet.stores.values()) - calls
    readers = [n for n, relay in fleet.relays.items() if relay.is_reader]
    others = [n for n in fleet.relays if n not in readers]
    print(f"{len(fleet.relays)} nodes, {len(readers)} readers")
    _row("readers", readers)
    if others:
        _row("other nodes", others)
    print(f"oldest view: {max(ages):.2f} s")
    print(f"calls to the store: {calls / MEASURED_S:.1f}/s, {len(readers)} watches")
    began = clock()
    fleet.accept_change()
    for _ in range(int(CHANGE_LIMIT_S / STEP_S)):
        if all(fleet.withdrawn()):
            break
        await asyncio.sleep(STEP_S)
    print(f"a change is in force everywhere after {clock() - began:.3f} s")


def main() -> None:
    """Measure one fleet."""
    zones, a_zone = (int(arg) for arg in sys.argv[1:3] or ("4", "2"))
    names = [*ZONES, "z4"][:zones]

    async def run() -> None:
        fleet = Fleet(names, a_zone)
        try:
            await _measure(fleet)
        finally:
            await fleet.close()

    run_on_virtual_time(run())


if __name__ == "__main__":
    main()
