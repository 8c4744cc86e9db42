"""What leasing shares of the plans costs a node in bytes and processor time.

The cost is computed from measured message sizes and processor times for a fleet of
3,100 nodes with 12,400 targets, so each node holds four targets. Each target has 8
organisations. Their shards are spread over as many quota coordinators as possible, at
most one per shard. Bytes are those of the frames, plus 52 bytes of TCP and IP headers
for each of the three segments of a request and its reply. On average a node answers as
many requests as it sends. Processor time is that of both ends, with encoding and
decoding.
"""

import time

from bench.measure import Bound, Result
from lavenderstack.core.quota.handover import open_ledger
from lavenderstack.core.quota.shard import SHARDS
from lavenderstack.core.quota.share import MAX_RENEWAL_INTERVAL_S, Share
from lavenderstack.core.quota.share_messages import (
    DrawRequest,
    SharesReply,
    SharesRequest,
)
from lavenderstack.node import wire

TARGETS_PER_NODE = 4
ORGANISATIONS_PER_TARGET = 8
NODES_PER_ORGANISATION = 12
TCP_IP_HEADERS_B = 52
LENGTH_PREFIX_B = 4
REPETITIONS = 3000
# Half of the 2 KB/s and 1.5 % of a core that all control traffic of a node may cost.
MAX_BYTES_PER_S = 1000.0
MAX_CORE_FRACTION = 0.0075


def _frame_b(body) -> int:
    frame = wire.Frame(123456, False, body)
    return len(wire.encode(frame)) + LENGTH_PREFIX_B + TCP_IP_HEADERS_B


def _measure_renewal() -> tuple[float, int, int]:
    """Renew shares of one organisation at a coordinator.

    Return the seconds for one renewal, and the bytes of a request and of a reply.
    """
    ledger = open_ledger("organisation-17", (1000.0, 1000.0), 1, 0.0, 0.0)
    shares = [
        Share("organisation-17", 1000.0, 1000.0) for _ in range(NODES_PER_ORGANISATION)
    ]
    sizes = (0, 0)
    spent_s = 0.0
    now = 1.0
    for number in range(REPETITIONS):
        i = number % len(shares)
        share = shares[i]
        now += MAX_RENEWAL_INTERVAL_S / len(shares)
        for _ in range(20):
            share.admit(now)
        started_s = time.perf_counter()
        request = SharesRequest(f"vm-{i}#0123abcd", [share.ask(now)])
        received = wire.decode(wire.encode(wire.Frame(number, False, request))).body
        grant = ledger.ask(received.node, received.requests[0], now)
        reply = SharesReply([grant])
        received_reply = wire.decode(wire.encode(wire.Frame(number, True, reply))).body
        share.adopt(received_reply.grants[0], now)
        spent_s += time.perf_counter() - started_s
        sizes = (_frame_b(request), _frame_b(reply))
    return spent_s / REPETITIONS, *sizes


def _measure_draw() -> tuple[float, int]:
    """Return the microseconds of a draw at the coordinator, and the request's bytes."""
    ledger = open_ledger("organisation-17", (1e6, 1e6), 1, 0.0, 0.0)
    started_s = time.perf_counter()
    for number in range(1, REPETITIONS + 1):
        node = f"vm-{number % NODES_PER_ORGANISATION}#0123abcd"
        ledger.draw(node, number, 3, 100.0, number * 0.01)
    spent_s = time.perf_counter() - started_s
    request = DrawRequest("vm-1#0123abcd", "organisation-17", 123456, 3, 100.0)
    return spent_s / REPETITIONS * 1e6, _frame_b(request)


def _measure_admission_us() -> float:
    """Return the microseconds of a request that takes a token held by the node."""
    share = Share("organisation-17", 1e6, 1e6)
    ledger = open_ledger("organisation-17", (1e6, 1e6), 1, 0.0, 0.0)
    share.demand.count_arrival(0.0)
    share.adopt(ledger.ask("vm-1", share.ask(1.0), 1.0), 1.0)
    count = 100_000
    started_s = time.perf_counter()
    admitted = sum(share.try_admit(1.0 + i * 1e-5) for i in range(count))
    spent_s = time.perf_counter() - started_s
    return spent_s / admitted * 1e6


def run(seed: int) -> Result:
    """Measure the cost of each operation; compute that of a node of a large fleet."""
    renewal_s, request_b, reply_b = _measure_renewal()
    draw_us, draw_b = _measure_draw()
    organisations = TARGETS_PER_NODE * ORGANISATIONS_PER_TARGET
    renewals_per_s = organisations / MAX_RENEWAL_INTERVAL_S
    messages_per_s = min(organisations, SHARDS) / MAX_RENEWAL_INTERVAL_S
    bytes_per_s = 2 * messages_per_s * (request_b + reply_b + TCP_IP_HEADERS_B)
    core_fraction = renewals_per_s * renewal_s
    result = Result(
        f"a node with {organisations} organisations, each with its own coordinator",
        ["figure", "value"],
        [
            ["request with a token at hand, us", _measure_admission_us()],
            ["renewal, both ends, us", renewal_s * 1e6],
            ["draw at the allotter, us", draw_us],
            ["frame of a request for a share, bytes on the wire", request_b],
            ["frame of a grant, bytes on the wire", reply_b],
            ["frame of a draw, bytes on the wire", draw_b],
            ["questions/s", messages_per_s],
            ["bytes/s for renewals, asked and answered", bytes_per_s],
            ["part of a core for renewals", core_fraction],
        ],
    )
    result.bounds = [
        Bound("bytes/s", bytes_per_s, MAX_BYTES_PER_S),
        Bound("part of a core", core_fraction, MAX_CORE_FRACTION),
    ]
    return result
