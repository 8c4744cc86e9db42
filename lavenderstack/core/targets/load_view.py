"""What an entry node knows of the load of targets, from the reports in answers.

A report carries no point in time, since the clocks of two VMs differ. Its age counts
from when the entry node sent the request that it answers, less the time that the
holder says it had the request. So a report that a frozen holder sends late counts as
old, and one that is made after a long wait counts as new. A report loses weight with
age and none is left after ``MAX_REPORT_AGE_S``. All times are on a clock that includes
suspension, so a node that was frozen knows nothing afterwards.

Two nodes may hold connections to one target at once, each with a queue. While both
report, the longer wait counts.
"""

from collections.abc import Hashable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from lavenderstack.core.targets.target_load import TargetLoad

# Between two reports of a target that a node uses now and then, some 0.3 s pass.
MAX_REPORT_AGE_S = 1.0
# If a node with statements in flight doesn't use the view for longer, it was probably
# suspended, so the silence of targets meanwhile says nothing about them.
SUSPENDED_AFTER_S = 0.5
# Mean time of a statement at a target of which no report ever came.
USUAL_MEAN_S = 0.025
# Weight of a longer round trip in the distance of a zone, which follows the shortest
# ones: longer ones also contain delays of this node.
DISTANCE_SMOOTHING = 0.02
# Distance of another zone before the first answer from there.
USUAL_DISTANCE_S = 0.002
FORGET_AFTER_S = 60.0
# For how long a target that couldn't serve a read is passed over.
AVOIDED_S = 0.25
# A new holder starts from a limit that is not older; servers rarely change faster.
MAX_LIMIT_AGE_S = 10.0


@dataclass(slots=True, eq=False)
class Sent:
    """A statement in flight to a target, sent at ``at`` seconds on the clock."""

    target: str
    at: float


@dataclass(frozen=True, slots=True)
class Expectation:
    """What a statement meets at a target; times are in seconds.

    ``wait_s`` is the wait for a slot and ``mean_s`` the time in it, ``limit`` how many
    statements may run at once, 0 if unknown. ``weight`` tells how much ``wait_s`` says:
    1 for a new report, 0 if there is none. ``silent_s`` is for how long the target has
    answered none of the statements in flight.
    """

    wait_s: float = 0.0
    mean_s: float = USUAL_MEAN_S
    limit: int = 0
    weight: float = 0.0
    silent_s: float = 0.0


@dataclass(frozen=True, slots=True)
class _Report:
    holder: str
    priority: int
    load: TargetLoad
    at: float

    def weight(self, now: float) -> float:
        return max(0.0, 1.0 - (now - self.at) / MAX_REPORT_AGE_S)

    def wait_s(self, sent_since: int) -> float:
        """Return the wait, with statements that the report doesn't include yet."""
        load = self.load
        if load.running + sent_since < load.limit:
            return load.wait_s
        return load.wait_s + sent_since * load.mean_s / max(1, load.limit)


@dataclass(slots=True)
class _TargetView:
    reports: dict[tuple[str, int], _Report] = field(default_factory=dict)
    in_flight: set[Sent] = field(default_factory=set)
    answered_at: float = 0.0
    # By kind of statement: time of the latest report, and until when they are refused.
    full: dict[Hashable, tuple[float, float]] = field(default_factory=dict)
    # By the age of reads: until when reads of that age are not sent there.
    avoided_until: dict[float, float] = field(default_factory=dict)

    def latest(self, priority: int) -> _Report | None:
        """Return the latest report for a priority, else the latest of any."""
        reports = self.reports.values()
        same = [report for report in reports if report.priority == priority]
        return max(same or reports, key=lambda report: report.at, default=None)

    def recent(self, priority: int, now: float) -> list[_Report]:
        """Return each holder's report for a priority, else those for any other."""
        recent = [report for report in self.reports.values() if report.weight(now)]
        return [one for one in recent if one.priority == priority] or recent


@dataclass(slots=True)
class LoadView:
    """The load of targets and the distance of zones, as one entry node knows them.

    >>> view = LoadView("z1")
    >>> with view.in_flight("t1", now=7.00) as sent:
    ...     load = TargetLoad(9, 5, 5, mean_s=0.02, wait_s=0.04, held_s=0.05)
    >>> view.record(sent, "n2", "z2", 0, load, now=7.06)
    >>> view.expect("t1", 0, now=7.06).wait_s
    0.04
    >>> view.expect("t1", 0, now=8.06).weight
    0.0
    """

    zone: str
    _targets: dict[str, _TargetView] = field(default_factory=dict)
    _distances: dict[str, float] = field(default_factory=dict)
    _used_at: float = 0.0
    _resumed_at: float = 0.0
    _pruned_at: float = 0.0

    @contextmanager
    def in_flight(self, target: str, now: float) -> Iterator[Sent]:
        """Count a statement as in flight during the block."""
        self._note_use(now)
        sent = Sent(target, now)
        in_flight = self._targets.setdefault(target, _TargetView()).in_flight
        in_flight.add(sent)
        try:
            yield sent
        finally:
            in_flight.discard(sent)

    def record(
        self,
        sent: Sent,
        holder: str,
        zone: str,
        priority: int,
        load: TargetLoad,
        now: float,
        kind: Hashable = None,
    ) -> None:
        """Store the report in the answer of a statement from a holder in ``zone``.

        ``kind`` is what ``full_until`` distinguishes, the priority if None.
        """
        self._note_use(now)
        transit_s = max(0.0, now - sent.at - load.held_s)
        self._record_distance(zone, transit_s)
        view = self._targets.setdefault(sent.target, _TargetView())
        view.answered_at = now
        key = (holder, priority)
        report = _Report(holder, priority, load, now - transit_s)
        before = view.reports.get(key)
        if before is None or before.at <= report.at:
            view.reports[key] = report
        self._record_full(view, priority if kind is None else kind, report)
        self._prune(now)

    def _record_full(self, view: _TargetView, kind: Hashable, report: _Report) -> None:
        before_at, _ = view.full.get(kind, (report.at, 0.0))
        if before_at > report.at:
            return
        full_s = min(report.load.full_s, MAX_REPORT_AGE_S)
        view.full[kind] = (report.at, report.at + full_s if full_s > 0.0 else 0.0)

    def record_unserved(self, target: str, max_age_s: float, now: float) -> None:
        """Record that a target couldn't serve a read of up to ``max_age_s``.

        It answers fast, since its log lacks the position or it can't be reached, and
        would look idle.
        """
        view = self._targets.setdefault(target, _TargetView())
        view.avoided_until[max_age_s] = now + AVOIDED_S

    def is_avoided(self, target: str, max_age_s: float, now: float) -> bool:
        """Return whether a target has just failed to serve such a read."""
        view = self._targets.get(target)
        return view is not None and now < view.avoided_until.get(max_age_s, 0.0)

    def expect(self, target: str, priority: int, now: float) -> Expectation:
        """Return what a statement of this priority is expected to meet at a target."""
        self._note_use(now)
        view = self._targets.get(target)
        latest = view.latest(priority) if view else None
        if latest is None:
            return Expectation(silent_s=self._silent_s(view, now) if view else 0.0)
        waits = [
            (report.wait_s(_sent_since(view, report.at)), report.weight(now))
            for report in view.recent(priority, now)
        ]
        wait_s, weight = max(waits, default=(0.0, 0.0))
        return Expectation(
            wait_s,
            latest.load.mean_s,
            latest.load.limit,
            weight,
            self._silent_s(view, now),
        )

    def full_until(self, target: str, kind: Hashable) -> float:
        """Until when the target refuses statements of this kind, on the clock.

        It is in the past, or 0, if the target is not known to be full. No report
        counts for longer than ``MAX_REPORT_AGE_S``.
        """
        view = self._targets.get(target)
        return view.full.get(kind, (0.0, 0.0))[1] if view else 0.0

    def drain_s(self, target: str, now: float) -> float | None:
        """Return how long the statements at a target take, None if it isn't known."""
        view = self._targets.get(target)
        reports = view.reports.values() if view else ()
        loads = [report.load for report in reports if report.weight(now)]
        times = (
            (one.waiting + one.running) * one.mean_s / max(1, one.limit)
            for one in loads
        )
        return max(times, default=None)

    def known_limit(self, target: str, holder: str, now: float) -> int:
        """Return the limit that another holder reported last, 0 if it isn't known."""
        view = self._targets.get(target)
        reports = view.reports.values() if view else ()
        others = [
            report
            for report in reports
            if report.holder != holder and now - report.at < MAX_LIMIT_AGE_S
        ]
        latest = max(others, key=lambda report: report.at, default=None)
        return latest.load.limit if latest else 0

    def distance_s(self, zone: str) -> float:
        """Return the round trip to a zone beyond that within this node's zone."""
        own_s = self._distances.get(self.zone, 0.0)
        if zone == self.zone:
            return 0.0
        return max(0.0, self._distances.get(zone, own_s + USUAL_DISTANCE_S) - own_s)

    def known(self, now: float) -> int:
        """Return the number of targets with a recent report."""
        views = self._targets.values()
        return sum(any(one.weight(now) for one in v.reports.values()) for v in views)

    def _note_use(self, now: float) -> None:
        if now - self._used_at > SUSPENDED_AFTER_S:
            self._resumed_at = now
        self._used_at = max(self._used_at, now)

    def _silent_s(self, view: _TargetView, now: float) -> float:
        if not view.in_flight:
            return 0.0
        oldest = min(sent.at for sent in view.in_flight)
        return now - max(oldest, view.answered_at, self._resumed_at)

    def _record_distance(self, zone: str, transit_s: float) -> None:
        before_s = self._distances.get(zone, transit_s)
        longer_s = before_s + DISTANCE_SMOOTHING * (transit_s - before_s)
        self._distances[zone] = min(transit_s, longer_s)

    def _prune(self, now: float) -> None:
        """Forget reports, and targets that were not used for ``FORGET_AFTER_S``."""
        if now - self._pruned_at < FORGET_AFTER_S:
            return
        self._pruned_at = now
        for name, view in list(self._targets.items()):
            for key, report in list(view.reports.items()):
                if now - report.at > FORGET_AFTER_S:
                    del view.reports[key]
            if not view.reports and not view.in_flight:
                del self._targets[name]


def _sent_since(view: _TargetView, at: float) -> int:
    return sum(sent.at > at for sent in view.in_flight)
