"""The checks on texts: what targets ran is what callers sent, and nothing else.

They are beside those of ``bench.soak_checks`` and named after the rules of the users'
pages. The requests are those of ``bench.texts_callers``.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from bench import soak_checks
from bench.soak_record import CUT, DONE, NO_ANSWER, Record, Request
from standins.line_group import Run
from standins.long_text import is_condensed
from standins.target_session import MAX_MESSAGE_B

# After these codes a statement was not run.
NOT_RUN = frozenset({"MALFORMED", "NOAUTH", "NODB"})
_UNANSWERED = frozenset({"UNKNOWN", "TIMEOUT", NO_ANSWER})


def _runs(record: Record) -> Iterator[tuple[Run, Request | None]]:
    requests = record.by_name()
    for group in record.groups.values():
        for run in group.runs:
            yield run, requests.get(run.request)


def unasked_texts(record: Record) -> Iterator[str]:
    """UNASKED: a target runs only what a caller sent, with its id and text."""
    for run, request in _runs(record):
        if request is None:
            yield f"UNASKED {run.request!r}: nobody sent {run.seen.text!r}"
        elif run.seen.text != request.sent.text:
            yield (
                f"UNASKED {run.request!r}: sent {request.sent.text!r}, ran "
                f"{run.seen.text!r} under the name {run.seen.name!r}"
            )


def other_shapes(record: Record) -> Iterator[str]:
    """PINNED: an execution runs the shape that its session had prepared."""
    for run, request in _runs(record):
        if request is not None and run.seen.shape != request.sent.shape:
            yield (
                f"PINNED {run.request!r}: prepared {request.sent.shape!r}, "
                f"{run.target} ran {run.seen.shape!r}"
            )


def unknown_names(record: Record) -> Iterator[str]:
    """PINNED: a name whose preparing was acknowledged is known.

    An execution that needs a long text may be refused.
    """
    for request in record.requests:
        if request.outcome != "MALFORMED" or not request.sent.shape:
            continue
        if not _needs_long_text(request):
            yield f"PINNED {request.name!r}: {request.sent.shape!r} was not known"


def _needs_long_text(request: Request) -> bool:
    sent = request.sent
    values = (value for _, value in sent.values)
    return any(is_condensed(one) for one in (sent.text, sent.shape, *values))


def other_values(record: Record) -> Iterator[str]:
    """PINNED: a statement runs with the values that its session was acknowledged."""
    for run, request in _runs(record):
        if request is not None and run.seen.values != request.sent.values:
            yield (
                f"PINNED {run.request!r}: set {request.sent.values!r}, "
                f"{run.target} had {run.seen.values!r}"
            )


def mixed_transactions(record: Record) -> Iterator[str]:
    """PINNED: statements run in their own transaction, single writes outside of one.

    The service may open a transaction for a single read.
    """
    owners: dict[tuple[int, int], str] = {}
    places: dict[str, tuple[int, int]] = {}
    for run, request in _runs(record):
        if request is None:
            continue
        place = (run.seen.connection, run.seen.transaction)
        is_single_read = run.verb == "READ" and not request.in_transaction
        if bool(run.seen.transaction) != request.in_transaction and not is_single_read:
            yield f"PINNED {run.request!r}: ran in transaction {place}"
            continue
        if not run.seen.transaction:
            continue
        owner = owners.setdefault(place, request.operation)
        if owner != request.operation:
            yield f"PINNED {run.request!r}: ran in the transaction of {owner}"
        if request.outcome != DONE or request.receipt != run.receipt:
            # The first statement of a transaction may be tried again elsewhere.
            continue
        first = places.setdefault(request.operation, place)
        if first != place:
            yield f"PINNED {run.request!r}: ran in {place}, not in {first}"


def doubled_runs(record: Record) -> Iterator[str]:
    """TWICE: no write runs twice in one transaction."""
    counts = Counter(
        (run.request, run.seen.connection, run.seen.transaction)
        for run, _ in _runs(record)
        if run.verb == "WRITE" and run.seen.transaction
    )
    for (name, _, _), count in counts.items():
        if count > 1:
            yield f"TWICE {name!r}: ran {count} times in its transaction"


def refused_runs(record: Record) -> Iterator[str]:
    """REFUSED: what a caller was told is no statement, or not allowed, didn't run."""
    for run, request in _runs(record):
        if request is not None and request.outcome in NOT_RUN:
            yield f"REFUSED {run.request!r}: got {request.outcome}, but it ran"


def long_messages(record: Record) -> Iterator[str]:
    """LONG: no target gets a message that is longer than the protocol allows."""
    for group in record.groups.values():
        for line in group.too_long:
            yield f"LONG {line!r}"


def stray_messages(record: Record) -> Iterator[str]:
    """MIXED: no caller gets a message while no request is outstanding."""
    for line in record.stray:
        yield f"MIXED {line!r}"


def lost_sessions(record: Record) -> Iterator[str]:
    """LOST: without a stop, no connection is closed and no answer is lost.

    The line of a request that is itself longer than the protocol allows ends its own
    connection. ``bench.soak_checks`` judges what falls into a stop.
    """
    starts: dict[str, float] = defaultdict(lambda: float("inf"))
    starts.update((stop.node, stop.at) for stop in record.stops)
    for request in record.requests:
        if request.outcome == CUT:
            too_long = request.sent.line_b > MAX_MESSAGE_B
            if not too_long and request.ended_at < starts[request.node]:
                yield _lost(request)
        elif request.outcome in _UNANSWERED and not _meets_stop(record, request):
            yield _lost(request)
    for cut in (*record.idle_cuts, *record.idle_closes):
        if cut.at < starts[cut.node]:
            yield f"LOST an idle session was closed by {cut.node}"


def _meets_stop(record: Record, request: Request) -> bool:
    return any(
        stop.at <= request.ended_at
        and (stop.ended_at is None or request.sent_at <= stop.ended_at)
        for stop in record.stops
    )


def _lost(request: Request) -> str:
    took_s = request.ended_at - request.sent_at
    return (
        f"LOST {request.name!r}: {request.outcome} through {request.node} after "
        f"{took_s:.2f} s, a line of {request.sent.line_b} bytes"
    )


CHECKS: tuple[Callable[[Record], Iterator[str]], ...] = (
    unasked_texts,
    other_shapes,
    unknown_names,
    other_values,
    mixed_transactions,
    doubled_runs,
    refused_runs,
    long_messages,
    stray_messages,
    lost_sessions,
)


def violations(record: Record) -> list[str]:
    """Return a line for each violation, of these checks and of those of the soak."""
    found = [line for check in CHECKS for line in check(record)]
    return found + [repr(line)[1:-1] for line in soak_checks.violations(record)]
