"""What keeping the view current costs a node, measured in virtual time.

    python -m bench.relay_cost [ZONES NODES_PER_ZONE]

Runs the relays of a fleet in one process and counts the messages between them with
their encoded size. Pings of the streams aren't sent but added by calculation: one for
each exchange that takes longer than the time after which a stream is pinged. Headers
of TCP and IP are counted as 40 bytes per packet, with one packet of acknowledgement
per exchange.
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
LENGTH_PREFIX_B = 4
TCP_IP_HEADERS_B = 40


def _size_b(body, reply: bool) -> int:
    return LENGTH_PREFIX_B + len(wire.encode(wire.Frame(70_000, reply, body)))


class CountingPool(FakePool):
    """Counts the bytes of each exchange at both ends, without and with headers."""

    payload_b: Counter = Counter()
    with_headers_b: Counter = Counter()

    async def call(self, addr, body, timeout_s):
        """Forward a request and count it with its reply."""
        sent_at = clock()
        answer = await super().call(addr, body, timeout_s)
        payload_b, packets = _size_b(body, False) + _size_b(answer, True), 3
        if clock() - sent_at > PING_AFTER_S:
            payload_b += _size_b(Ping(), False) + _size_b(Pong(), True)
            packets += 2
        for end in (self.name, addr[0]):
            CountingPool.payload_b[end] += payload_b
            CountingPool.with_headers_b[end] += payload_b + packets * TCP_IP_HEADERS_B
        return answer


def _print_rates(role: str, nodes: list[str]) -> None:
    for kind, counts in (
        ("payload", CountingPool.payload_b),
        ("with headers", CountingPool.with_headers_b),
    ):
        rates = [counts[node] / MEASURED_S for node in nodes]
        mean, max_rate = sum(rates) / len(rates), max(rates)
        print(f"{role}, {kind}: mean {mean:.0f} B/s, most {max_rate:.0f} B/s")


async def _measure(fleet: Fleet) -> None:
    fleet.start(*fleet.names)
    for relay in fleet.relays.values():
        relay.pool = CountingPool(fleet, relay.name)
    await asyncio.sleep(WARM_UP_S)
    CountingPool.payload_b.clear()
    CountingPool.with_headers_b.clear()
    calls = sum(store.calls for store in fleet.stores.values())
    ages = []
    for _ in range(int(MEASURED_S)):
        await asyncio.sleep(1.0)
        ages += [relay.age_s(clock()) for relay in fleet.relays.values()]
    calls = sum(store.calls for store in fleet.stores.values()) - calls
    readers = [n for n, relay in fleet.relays.items() if relay.is_reader]
    others = [n for n in fleet.relays if n not in readers]
    print(f"{len(fleet.relays)} nodes, {len(readers)} readers")
    _print_rates("readers", readers)
    if others:
        _print_rates("other nodes", others)
    print(f"oldest view: {max(ages):.2f} s")
    print(f"calls to the store: {calls / MEASURED_S:.1f}/s, {len(readers)} watches")
    accepted_at = clock()
    fleet.accept_change()
    for _ in range(int(CHANGE_LIMIT_S / STEP_S)):
        if all(fleet.withdrawn()):
            break
        await asyncio.sleep(STEP_S)
    print(f"a change is in force everywhere after {clock() - accepted_at:.3f} s")


def main() -> None:
    """Measure a fleet of the given size; by default 4 zones with 2 nodes each."""
    zones, per_zone = (int(arg) for arg in sys.argv[1:3] or ("4", "2"))
    zone_names = [*ZONES, "z4"][:zones]

    async def run() -> None:
        fleet = Fleet(zone_names, per_zone)
        try:
            await _measure(fleet)
        finally:
            await fleet.close()

    run_on_virtual_time(run())


if __name__ == "__main__":
    main()
