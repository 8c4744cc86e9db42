"""Tests of counts and latencies."""

import re
import socket

import pytest
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


class TestStatsdNames:
    """An organisation's name is one part of a metric's name, whatever it contains."""

    @staticmethod
    def lines_for(*organisations):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.0.1", 0))
            sock.settimeout(5)
            client = StatsClient(
                "127.0.0.1", sock.getsockname()[1], prefix="p", maxudpsize=60_000
            )
            metrics = Metrics()
            for organisation in organisations:
                metrics.observe(organisation, "read", "done", 0.001)
            metrics.flush(client)
            client.close()
            return sock.recv(65536).decode().split("\n")

    @pytest.mark.parametrize(
        "organisation",
        [
            "a:1|c\np.b",
            "a.b",
            "a|b",
            "a@b",
            "a#b",
            "a b",
            "é",
            "a%2Eb",
            "a\0b",
            "\ud800",
        ],
    )
    def test_it_neither_changes_nor_adds_a_metric(self, organisation):
        lines = self.lines_for(organisation)
        assert len(lines) == 2
        part = r"[A-Za-z0-9_%-]+"
        assert re.fullmatch(rf"p\.{part}\.read\.done:1\|c", lines[0])
        assert re.fullmatch(rf"p\.{part}\.read\.p99_ms:[0-9.]+\|g", lines[1])

    def test_different_organisations_have_different_metrics(self):
        names = ["a.b", "a%2Eb", "a%2eb", "a_b", "a-b", "a~b", "", "everyone"]
        lines = self.lines_for(*names)
        assert len({line for line in lines if line.endswith("|c")}) == len(names)

    def test_ordinary_names_are_unchanged(self):
        assert "p.Lipa_b-2.read.done:1|c" in self.lines_for("Lipa_b-2")
        assert "p.everyone.read.done:1|c" in self.lines_for("")
