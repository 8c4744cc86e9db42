"""Tests of counts and latencies."""

import socket

from statsd import StatsClient

from lavenderstack.node.metrics import Metrics


class TestMetrics:
    def test_latencies_are_kept_by_organisation_and_kind(self):
        metrics = Metrics()
        for ms in (1, 2, 100):
            metrics.observe("lipa", "read", "done", ms / 1000)
        metrics.observe("", "open", "refused.over_rate", 0.001)
        opened, read = metrics.summaries()
        assert (opened.organisation, opened.count) == ("everyone", 1)
        assert read.outcomes == {"done": 3}
        assert 99 <= read.percentiles_ms["p99"] <= 101

    def test_statsd_gets_only_what_is_new(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.0.1", 0))
            sock.settimeout(5)
            client = StatsClient("127.0.0.1", sock.getsockname()[1], prefix="p")
            metrics = Metrics()
            metrics.observe("lipa", "read", "done", 0.001)
            metrics.flush(client)
            first = sock.recv(65536).decode()
            metrics.flush(client)
            second = sock.recv(65536).decode()
            client.close()
        assert "p.lipa.read.done:1|c" in first
        assert "|c" not in second
