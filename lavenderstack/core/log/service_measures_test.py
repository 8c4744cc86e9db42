"""Tests of the measures that follow from log lines."""

import math

from lavenderstack.core.log.explanation import LogLine
from lavenderstack.core.log.service_measures import MIN_REQUESTS, WriteGap, measure


def done(at, organisation="org", access="read", freshness="bounded", role="replica"):
    fields = {
        "organisation": organisation,
        "access": access,
        "freshness": freshness,
        "role": role,
        "target": "t1",
    }
    return LogLine(at, "n1", "callers: request done", fields)


def failed(at, organisation="org", reason="over_rate", detail=""):
    fields = {"organisation": organisation, "reason": reason, "detail": detail}
    return LogLine(at, "n1", "callers: request failed", fields)


def line(at, event, **fields):
    return LogLine(at, "n1", event, fields)


class TestMeasures:
    def test_reads_at_replicas_are_counted_by_freshness(self):
        lines = [done(1.0), done(2.0, role="primary"), done(3.0, freshness="primary")]
        assert measure(lines).replica_share == {"bounded": 0.5, "primary": 1.0}

    def test_writes_are_no_reads(self):
        lines = [done(1.0, access="write", role="primary"), done(2.0)]
        assert measure(lines).replica_share == {"bounded": 1.0}

    def test_the_gap_is_the_longest_time_without_a_write_around_a_failover(self):
        lines = [
            line(0.0, "directory: target changed", target="t1", group="g"),
            line(5.0, "replacer: primary lost", group="g"),
            *(done(at, access="write") for at in (4.0, 4.5, 6.25, 6.5)),
        ]
        assert measure(lines).write_gaps == [WriteGap(5.0, "g", 1.75)]

    def test_a_failover_without_writes_has_no_gap(self):
        lines = [line(5.0, "replacer: primary leaves", group="g")]
        assert math.isnan(measure(lines).write_gaps[0].gap_s)

    def test_the_worst_organisation_is_one_with_enough_requests(self):
        lines = [done(1.0, "a") for _ in range(MIN_REQUESTS)]
        lines += [done(1.0, "b") for _ in range(MIN_REQUESTS - 5)]
        lines += [failed(1.0, "b") for _ in range(5)]
        lines += [failed(1.0, "small")]
        assert measure(lines).worst == ("b", 0.75)

    def test_refusals_without_the_coordinator_are_told_apart(self):
        lines = [
            failed(1.0, detail="no coordinator, fallback quota of 78 nodes"),
            failed(1.0, detail="coordinator n1, share 1.00"),
            failed(1.0, reason="crowded"),
        ]
        found = measure(lines)
        assert (found.over_rate, found.fallback_refusals) == (2, 1)
        assert found.requests == 3
