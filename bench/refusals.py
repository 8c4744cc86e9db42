"""Requests that are refused although their organisation is within its rate.

An event simulation of the shares, admission queues and ledgers of a small fleet. Eight
nodes hold nine targets. Eight organisations distribute their requests unevenly over
the targets, change this distribution all the time, and one of them sends five times
its rate. Nodes crash, stop and restart. Messages take 1.5 ms one way.

A request is within the rate if a bucket of the whole plan that all requests take from
has a token for it. A second such bucket counts the admitted requests only. Its level
must never fall below zero, which means that no window of ``t`` seconds had more
requests than ``rate * t + burst``. For comparison the same demand is run with equal
shares that don't change.
"""

import random
from dataclasses import replace

from bench.fleet import (
    NODES,
    OVERLOADING_ORGANISATION,
    PLANS,
    RUN_S,
    TARGET_TAKEOVER_S,
    Change,
    Fleet,
    Request,
    Tally,
    create_tallies,
    draw_changes,
    draw_requests,
)
from bench.measure import Bound, Result
from bench.ways import EqualShares, LeasedShares

MAX_REFUSED_FRACTION = 0.001


def simulate(
    scheme_type: type, requests: list[Request], node_changes: list[Change]
) -> tuple:
    """Simulate a scheme of splitting plans; return the tallies and the scheme."""
    fleet = Fleet(random.Random(0))
    tallies = create_tallies()
    scheme = scheme_type(fleet, tallies)

    def apply(change: Change) -> None:
        scheme.apply_change(change)
        if change.starts:
            fleet.live[change.node] = int(change.at * 1000)
        else:
            fleet.live.pop(change.node, None)
        delay_s = 0.0 if change.planned else TARGET_TAKEOVER_S
        fleet.schedule(delay_s, fleet.assign_targets)

    for change in node_changes:
        fleet.schedule(change.at, lambda change=change: apply(change))
    for request in requests:
        fleet.run_until(request.at)
        tally = tallies[request.organisation]
        node = fleet.holders[request.target]
        if node not in fleet.live:
            tally.lost += 1
            continue
        within_rate = tally.record_arrival(request.at)
        scheme.handle_request(request, node, within_rate)
    fleet.run_until(RUN_S + 1.0)
    return tallies, scheme


def _row(name: str, tallies: dict[str, Tally], organisation: str) -> list:
    tally = tallies[organisation]
    refused_fraction = tally.wrongly_refused / tally.within_rate
    admitted_ratio = tally.admitted / tally.within_rate
    return [
        name,
        organisation,
        tally.within_rate,
        refused_fraction,
        admitted_ratio,
        tally.exceeded,
    ]


def run(seed: int) -> Result:
    """Compare the schemes with the same random demand and changes of nodes."""
    rng = random.Random(seed)
    requests, node_changes = draw_requests(rng), draw_changes(rng)
    planned = [replace(node_change, planned=True) for node_change in node_changes]
    crashes = sum(not node_change.planned for node_change in node_changes)
    stops = sum(not node_change.starts for node_change in node_changes)
    result = Result(
        f"{NODES} nodes, {len(PLANS)} organisations, {RUN_S:.0f} s,"
        f" {OVERLOADING_ORGANISATION} at 5 times, {stops} stops of nodes,"
        f" in the last run {crashes} of them crashes",
        ["way", "organisation", "inside", "refused inside", "admitted/inside", "over"],
    )
    refused_fractions = {}
    exceeded = 0.0
    runs = (
        ("static", EqualShares, planned),
        ("leased", LeasedShares, planned),
        ("leased, deaths", LeasedShares, node_changes),
    )
    for name, scheme_type, changes in runs:
        tallies, scheme = simulate(scheme_type, requests, changes)
        result.rows += [_row(name, tallies, organisation) for organisation in PLANS]
        regular_tallies = [
            tally for key, tally in tallies.items() if key != OVERLOADING_ORGANISATION
        ]
        within_rate = sum(tally.within_rate for tally in regular_tallies)
        refused_fractions[name] = (
            sum(tally.wrongly_refused for tally in regular_tallies) / within_rate
        )
        result.rows.append(
            [
                name,
                "all but " + OVERLOADING_ORGANISATION,
                within_rate,
                refused_fractions[name],
                "",
                "",
            ]
        )
        if scheme_type is LeasedShares:
            exceeded = max(exceeded, *(tally.exceeded for tally in tallies.values()))
            result.rows.append(
                [name, "messages/s", scheme.requests_per_s(), "", "", ""]
            )
    result.bounds = [
        Bound("tokens over the plan", exceeded, 1e-6),
        Bound(
            "refused inside the rate", refused_fractions["leased"], MAX_REFUSED_FRACTION
        ),
        Bound(
            "the same with deaths",
            refused_fractions["leased, deaths"],
            MAX_REFUSED_FRACTION,
        ),
        Bound(
            "leased against static",
            refused_fractions["leased"],
            refused_fractions["static"],
        ),
    ]
    return result
