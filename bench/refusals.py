"""Requests refused though their organisation was inside its rate.

Drives the shares, gates and ledgers of a fleet of today's size by events: eight
nodes hold nine targets, eight organisations spread their requests unevenly over the
targets and shift them, one of them sends five times its rate, nodes die, stop and
come back. Messages take 1.5 ms one way. Whether a request is inside the rate is
judged by one bucket of the plan that sees all requests; a second such bucket sees
what was admitted and must never run short, which is the same as that no window has
seen more than rate * t + burst. The same demand meets static equal shares.
"""

import random
from dataclasses import replace

from bench.fleet import (
    NODES,
    OVER,
    PLANS,
    RUN_S,
    TAKE_TARGET_S,
    Change,
    Fleet,
    Request,
    Tally,
    changes,
    demand,
    tallies_of_all,
)
from bench.measure import Bound, Result
from bench.ways import Leased, Static

AIM_REFUSED = 0.001


def drive(way: type, requests: list[Request], moves: list[Change]) -> tuple:
    """Run one way of allotting over the demand; return the tallies and the way."""
    fleet = Fleet(random.Random(0))
    tallies = tallies_of_all()
    allot = way(fleet, tallies)

    def apply(change: Change) -> None:
        allot.node_changed(change)
        if change.comes:
            fleet.live[change.node] = int(change.at * 1000)
        else:
            fleet.live.pop(change.node, None)
        delay_s = 0.0 if change.planned else TAKE_TARGET_S
        fleet.later(delay_s, fleet.settle_targets)

    for change in moves:
        fleet.later(change.at, lambda change=change: apply(change))
    for request in requests:
        fleet.run_to(request.at)
        tally = tallies[request.organisation]
        node = fleet.holders[request.target]
        if node not in fleet.live:
            tally.lost += 1
            continue
        inside = tally.note_arrival(request.at)
        allot.arrive(request, node, inside)
    fleet.run_to(RUN_S + 1.0)
    return tallies, allot


def _row(name: str, tallies: dict[str, Tally], organisation: str) -> list:
    tally = tallies[organisation]
    refused = tally.wrongly_refused / tally.inside
    used = tally.admitted / tally.inside
    return [name, organisation, tally.inside, refused, used, tally.exceeded]


def run(seed: int) -> Result:
    """Compare the ways on one draw of demand and of changes."""
    rng = random.Random(seed)
    requests, moves = demand(rng), changes(rng)
    planned = [replace(move, planned=True) for move in moves]
    deaths = sum(not move.planned for move in moves)
    stops = sum(not move.comes for move in moves)
    result = Result(
        f"{NODES} nodes, {len(PLANS)} organisations, {RUN_S:.0f} s, {OVER} at 5 times,"
        f" {stops} nodes stop, or {deaths} of them die",
        ["way", "organisation", "inside", "refused inside", "admitted/inside", "over"],
    )
    shares = {}
    over = 0.0
    runs = (
        ("static", Static, planned),
        ("leased", Leased, planned),
        ("leased, deaths", Leased, moves),
    )
    for name, way, change in runs:
        tallies, allot = drive(way, requests, change)
        result.rows += [_row(name, tallies, organisation) for organisation in PLANS]
        within = [tally for key, tally in tallies.items() if key != OVER]
        inside = sum(tally.inside for tally in within)
        shares[name] = sum(tally.wrongly_refused for tally in within) / inside
        result.rows.append([name, "all but " + OVER, inside, shares[name], "", ""])
        if way is Leased:
            over = max(over, *(tally.exceeded for tally in tallies.values()))
            result.rows.append([name, "messages/s", allot.per_s(), "", "", ""])
    result.bounds = [
        Bound("tokens over the plan", over, 1e-6),
        Bound("refused inside the rate", shares["leased"], AIM_REFUSED),
        Bound("the same with deaths", shares["leased, deaths"], AIM_REFUSED),
        Bound("leased against static", shares["leased"], shares["static"]),
    ]
    return result
