"""The checks of a soak on rates, keys, configurations, planned stops and time limits.

The bounds are figures of the platform's settings (``bounds``) and of the users' pages;
none comes from a measurement.
"""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator

from bench.soak_record import CUT, NO_ANSWER, Record, Request, Stop

STABLE_WINDOW_S = 4.0
GRACE_S = 6.0
LOSS_SLACK_S = 0.2
WITHDRAWN_KEY_LIMIT_S = 5.0
EVACUATION_LIMIT_S = 5.0
REGRESSION_LIMIT_S = 0.25
QUOTA_WINDOW_S = 5.0
QUOTA_TOLERANCE = 0.1
QUOTA_SLACK = 20
# A request that was sent this soon after SIGTERM and is still at work in the last sixth
# of the time may be cut.
LATE_REQUEST_S = 3.0
# The answers of statements that ran, or may have, without a result.
LOST_OUTCOMES = ("UNKNOWN", "TIMEOUT")


def rates(record: Record) -> Iterator[str]:
    """No organisation runs more than its rate and burst, over all nodes."""
    requests = record.by_name()
    operations: dict[str, dict[str, tuple[float, float]]] = defaultdict(dict)
    for group in record.groups.values():
        for run in group.runs:
            request = requests.get(run.request)
            if request is None:
                continue
            known = operations[request.organisation]
            span = (request.began_at, run.at)
            known[request.operation] = min(
                known.get(request.operation, span), span, key=lambda one: one[1]
            )
    for organisation, plan in record.plans.items():
        full = plan.rate * QUOTA_WINDOW_S + plan.burst
        limit = full * (1 + QUOTA_TOLERANCE) + QUOTA_SLACK
        spans = sorted(operations[organisation].values())
        begins = [begin for begin, _ in spans]
        for index, begin in enumerate(begins):
            last = bisect_right(begins, begin + QUOTA_WINDOW_S)
            until = begin + QUOTA_WINDOW_S
            count = sum(1 for _, arrival in spans[index:last] if arrival <= until)
            if count > limit:
                yield (
                    f"{organisation} ran {count} operations in {QUOTA_WINDOW_S} s, "
                    f"the limit is {limit:.0f}"
                )
                break


def withdrawn_keys(record: Record) -> Iterator[str]:
    """No request runs that was sent under a key withdrawn too long before."""
    ran = _requests_that_ran(record)
    for request in ran:
        change = record.withdrawn.get(request.key)
        if change is None:
            continue
        age_s = request.sent_at - change.acked_at
        if age_s > WITHDRAWN_KEY_LIMIT_S:
            yield (
                f"{request.name} ran through {request.node} under {request.key}, "
                f"withdrawn {age_s:.2f} s before"
            )


def evacuated_zones(record: Record) -> Iterator[str]:
    """Nothing reaches a target in a zone evacuated too long before.

    While something is disturbed, a statement may arrive long after it was sent, so it
    then counts by when the caller sent it.
    """
    requests = record.by_name()
    for group in record.groups.values():
        for run in group.runs:
            request = requests.get(run.request)
            if request is None:
                continue
            calm = record.is_calm(request.sent_at, run.at)
            at = run.at - LOSS_SLACK_S if calm else request.sent_at
            for span in record.evacuations:
                if span.zone != record.zones[run.target]:
                    continue
                is_over = span.end is not None and run.at >= span.end
                late_s = at - span.acked_at
                if late_s > EVACUATION_LIMIT_S and not is_over:
                    yield (
                        f"{run.request} ran on {run.target}, {late_s:.2f} s after "
                        f"{span.zone} was evacuated"
                    )


def _requests_that_ran(record: Record) -> list[Request]:
    requests = record.by_name()
    names = {run.request for group in record.groups.values() for run in group.runs}
    return [requests[name] for name in names if name in requests]


def reverted_configurations(record: Record) -> Iterator[str]:
    """No process goes back behind a version whose effect a target saw.

    A request that runs under a key shows the version that granted it.
    """
    seen: dict[str, list[tuple[float, int]]] = defaultdict(list)
    requests = record.by_name()
    runs = [run for group in record.groups.values() for run in group.runs]
    for run in sorted(runs, key=lambda one: one.at):
        request = requests.get(run.request)
        if request is not None and request.key in record.granted:
            version = record.granted[request.key].version
            known = seen[request.node]
            if not known or known[-1][1] < version:
                known.append((run.at, version))
    ran = {request.name for request in _requests_that_ran(record)}
    for request in record.requests:
        version = _version_at(seen[request.node], request.sent_at - REGRESSION_LIMIT_S)
        granted = record.granted.get(request.key)
        withdrawn = record.withdrawn.get(request.key)
        if withdrawn and withdrawn.version <= version and request.name in ran:
            yield (
                f"{request.name} ran under {request.key}, which {request.node} knew to "
                f"be withdrawn since version {withdrawn.version} (it knew {version})"
            )
        if request.outcome != "NOAUTH" or granted is None:
            continue
        if granted.version <= version and not withdrawn:
            yield (
                f"{request.name} was refused for {request.key}, which {request.node} "
                f"knew since version {granted.version} (it knew {version})"
            )


def _version_at(known: list[tuple[float, int]], at: float) -> int:
    count = bisect_right(known, at, key=lambda one: one[0])
    return known[count - 1][1] if count else 0


def planned_stops(record: Record) -> Iterator[str]:
    """Check that a stop cuts no request and no transaction that may go on."""
    ran = {request.name for request in _requests_that_ran(record)}
    stops = {stop.node: stop for stop in record.stops}
    for request in record.requests:
        stop = stops.get(request.node)
        if stop is None or request.outcome != CUT:
            continue
        if not _falls_into(stop, request.sent_at, request.ended_at):
            continue
        if not record.is_calm(request.sent_at - STABLE_WINDOW_S, request.ended_at):
            continue
        was_read = request.name in ran
        held_s = request.ended_at - request.sent_at
        if not was_read and held_s <= LOSS_SLACK_S:
            continue
        if was_read and _may_be_cut_late(stop, request):
            continue
        if held_s >= request.database.timeout_s:
            continue
        yield (
            f"{request.name} was cut {request.ended_at - stop.at:.2f} s after SIGTERM "
            f"of {request.node}, sent {held_s:.2f} s before"
        )
    for cut in record.idle_cuts:
        stop = stops.get(cut.node)
        if stop is None or not stop.at <= cut.at < stop.at + GRACE_S / 2:
            continue
        if record.is_calm(cut.began_at - STABLE_WINDOW_S, cut.at):
            yield (
                f"a transaction was cut {cut.at - stop.at:.2f} s after SIGTERM of "
                f"{cut.node}"
            )


def lost_answers(record: Record) -> Iterator[str]:
    """Check that no answer is lost with a node that stops, whoever asked it.

    The node may run statements for others, so every caller's are judged.
    """
    for request in record.requests:
        if request.outcome not in LOST_OUTCOMES:
            continue
        stop = next(
            (one for one in record.stops if _overlaps(one, request)),
            None,
        )
        if stop is None or _may_be_cut_late(stop, request):
            continue
        held_s = request.ended_at - request.sent_at
        if held_s >= request.database.timeout_s:
            continue
        if record.is_calm(request.sent_at - STABLE_WINDOW_S, request.ended_at):
            yield (
                f"{request.name} through {request.node} got {request.outcome} "
                f"{request.ended_at - stop.at:.2f} s after SIGTERM of {stop.node}"
            )


def _overlaps(stop: Stop, request: Request) -> bool:
    ended_at = stop.ended_at or request.ended_at
    return request.sent_at <= ended_at and request.ended_at >= stop.at


def _falls_into(stop: Stop, sent_at: float, ended_at: float) -> bool:
    return sent_at <= stop.at + GRACE_S + 1 and ended_at >= stop.at


def _may_be_cut_late(stop: Stop, request: Request) -> bool:
    is_early = request.sent_at <= stop.at + LATE_REQUEST_S
    return is_early and request.ended_at >= stop.at + GRACE_S * 5 / 6


def deadlines(record: Record) -> Iterator[str]:
    """Each request ends by its time limit, whatever else has failed.

    Not judged are requests to a process that was itself paused or cut off.
    """
    for request in record.requests:
        if request.ended_at is None:
            continue
        due = request.sent_at + request.database.timeout_s + LOSS_SLACK_S
        is_late = request.ended_at > due or request.outcome == NO_ANSWER
        name = request.node.partition("#")[0]
        if is_late and record.is_calm(request.sent_at - STABLE_WINDOW_S, due, [name]):
            took_s = request.ended_at - request.sent_at
            yield (
                f"{request.name} ended with {request.outcome} after {took_s:.2f} s "
                f"through {request.node}, its limit is {request.database.timeout_s} s"
            )


def own_ends(record: Record) -> Iterator[str]:
    """No process ends by itself."""
    yield from record.own_ends
