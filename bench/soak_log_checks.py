"""The checks of a soak on what the targets' logs hold and what reads saw of them."""

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterator
from itertools import accumulate

from bench.soak_record import DONE, Freshness, GroupView, Record, Request
from standins.line_group import Commit, LogPosition

# After these codes nothing of the attempt may be kept.
PROMISES = frozenset({"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "MAXCONN"})


def _commits_by_request(record: Record) -> dict[str, list[Commit]]:
    found: dict[str, list[Commit]] = defaultdict(list)
    for group in record.groups.values():
        for commit in group.commits:
            found[commit.entry.request].append(commit)
    return found


def _group_of(record: Record, request: Request) -> GroupView:
    return record.groups[request.database.group]


def lost_writes(record: Record) -> Iterator[str]:
    """No acknowledged write is missing in the log of a target that is promoted."""
    commits = _commits_by_request(record)
    for request in record.acknowledged():
        group = _group_of(record, request)
        if _wrote_nothing(record, request):
            continue
        found = commits.get(request.name, [])
        if not found:
            yield f"{request.name} was acknowledged, no target committed it"
            continue
        position = found[-1].entry.position
        if not group.lineage.holds(group.end, position):
            yield f"{request.name} at {position}: lost in {group.name}, now {group.end}"
            continue
        for promotion in group.promotions:
            if promotion.term <= position.term:
                continue
            if not group.lineage.holds(promotion.base, position):
                yield (
                    f"{request.name} at {position}: {promotion.target} was promoted "
                    f"with {promotion.base}"
                )


def _wrote_nothing(record: Record, request: Request) -> bool:
    """Return whether a transaction had no write."""
    return request.verb == "COMMIT" and request.operation.startswith("r")


def doubled_writes(record: Record) -> Iterator[str]:
    """No request is committed twice in the log that is kept."""
    for group in record.groups.values():
        kept = Counter(
            commit.entry.request
            for commit in group.commits
            if group.lineage.holds(group.end, commit.entry.position)
        )
        for name, count in kept.items():
            if count > 1:
                yield f"{name} was committed {count} times in {group.name}"


def false_refusals(record: Record) -> Iterator[str]:
    """Nothing is kept of an operation that a refusal says nothing is kept of.

    That holds for all statements of a transaction, whichever of them was refused.
    """
    requests = record.by_name()
    refused = {
        request.operation: request
        for request in record.requests
        if request.outcome in PROMISES
    }
    for group in record.groups.values():
        for commit in group.commits:
            request = requests.get(commit.entry.request)
            refusal = refused.get(request.operation) if request else None
            if refusal and group.lineage.holds(group.end, commit.entry.position):
                yield (
                    f"{refusal.name} was refused with {refusal.outcome} through "
                    f"{refusal.node}, but {request.name} of the same operation is kept "
                    f"at {commit.entry.position}"
                )


def unasked_commits(record: Record) -> Iterator[str]:
    """Targets commit and run only what a caller sent, with the answer it got."""
    requests = record.by_name()
    for group in record.groups.values():
        for commit in group.commits:
            request = requests.get(commit.entry.request)
            if request is None or not request.commits:
                yield f"{commit.entry.request} was committed, nobody asked for it"
        receipts = {run.receipt: run for run in group.runs}
        for request in requests.values():
            if request.database.group != group.name or request.outcome != DONE:
                continue
            if request.verb not in ("READ", "WRITE", "COMMIT"):
                continue
            run = receipts.get(request.receipt)
            if run is None or run.request != request.name:
                if request.verb == "COMMIT" and _wrote_nothing(record, request):
                    continue
                yield f"{request.name} has the receipt {request.receipt} of another"
            elif run.row != request.row:
                yield f"{request.name} got the row {request.row!r}, not {run.row!r}"


def stale_reads(record: Record) -> Iterator[str]:
    """No read runs on a log that lacks what its database asks for."""
    requests = record.by_name()
    for group in record.groups.values():
        acks = _Acknowledged(record, group)
        for run in group.runs:
            request = requests.get(run.request)
            if run.verb != "READ" or request is None or request.outcome != DONE:
                continue
            if request.receipt != run.receipt:
                # The answer of another target was given to the caller.
                continue
            needed = acks.needed_by(request)
            if needed is not None and not group.lineage.holds(run.end, needed):
                yield (
                    f"{request.name} ({request.database.freshness}) through "
                    f"{request.node} ran on {run.target} at {run.end}, without {needed}"
                )


class _Acknowledged:
    """The latest acknowledged commit of a group at each time.

    Commits that a promotion rolled back don't count; ``lost_writes`` reports them.
    """

    def __init__(self, record: Record, group: GroupView) -> None:
        commits = _commits_by_request(record)
        found: dict[int | None, list[tuple[float, LogPosition]]] = defaultdict(list)
        for request in record.acknowledged():
            if request.database.group != group.name:
                continue
            for commit in commits.get(request.name, []):
                position = commit.entry.position
                if group.lineage.holds(group.end, position):
                    found[None].append((request.ended_at, position))
                    found[request.session].append((request.ended_at, position))
        self._times, self._latest = {}, {}
        for session, entries in found.items():
            entries.sort()
            self._times[session] = [at for at, _ in entries]
            positions = (position for _, position in entries)
            self._latest[session] = list(accumulate(positions, max))

    def _before(self, session: int | None, at: float) -> LogPosition | None:
        count = bisect_right(self._times.get(session, []), at)
        return self._latest[session][count - 1] if count else None

    def needed_by(self, request: Request) -> LogPosition | None:
        """Return the commit that a read must see, None if there is none."""
        database = request.database
        needed = self._before(None, request.began_at - database.max_age_s)
        if database.freshness is not Freshness.SESSION:
            return needed
        own = self._before(request.session, request.began_at)
        found = [position for position in (needed, own) if position is not None]
        return max(found, default=None)


def replaced_primaries(record: Record) -> Iterator[str]:
    """No replaced primary writes, and no epoch of an order has two holders."""
    requests = record.by_name()
    for group in record.groups.values():
        for commit in group.commits:
            request = requests.get(commit.entry.request)
            if not commit.led and request is not None and request.outcome == DONE:
                yield (
                    f"{request.name} was acknowledged by {commit.target}, "
                    f"which had been replaced in {group.name}"
                )
    holders: dict[tuple[str, int], str] = {}
    for order in record.orders:
        first = holders.setdefault((order.group, order.epoch), order.holder)
        if first != order.holder:
            yield (
                f"{first} and {order.holder} both promoted in {order.group} "
                f"under the epoch {order.epoch}"
            )
