"""Tests of how a node takes over evacuations from its view of the store."""

import json

import pytest
from structlog.testing import capture_logs

from lavenderstack.border.documents import parse
from lavenderstack.core import clock, documents
from lavenderstack.core.entry import Change
from lavenderstack.core.evacuation.evacuation import GRACE_S, Use
from lavenderstack.core.view_freshness import ViewFreshness
from lavenderstack.node.evacuation.zone_evacuations import ZoneEvacuations

TARGET = {"name": "t", "zone": "a", "host": "h", "port": 1, "slots": 5}
GROUP = {"targets": [TARGET | {"connections": 9}]}


class FakeRelay:
    """A view without any evacuation, until a test changes it."""

    def __init__(self):
        self.freshness = ViewFreshness("z")
        self.snapshot = documents.EMPTY
        self.put("lavenderstack/groups/g", GROUP)

    def put(self, key, document):
        value = None if document is None else json.dumps(document).encode()
        revision = self.snapshot.revision + 1
        change = Change(key, value, revision)
        self.snapshot = documents.apply(self.snapshot, [change], revision, "1", parse)


class FakeEvacuations(ZoneEvacuations):
    """Evacuations that a test makes and withdraws."""

    def __init__(self):
        self.relay = FakeRelay()
        super().__init__(self.relay)
        self._take_over()

    def evacuate(self, *zones):
        for zone in zones:
            self.relay.put(f"lavenderstack/evacuations/{zone}", {})

    def bring_back(self, zone):
        self.relay.put(f"lavenderstack/evacuations/{zone}", None)


class TestZoneEvacuations:
    def test_a_request_counts_from_the_view_that_has_it(self, monkeypatch):
        """Guards against reads that are sent before a task has seen the request."""
        evacuations = FakeEvacuations()
        assert evacuations.may_send("a", Use.READ)
        evacuations.evacuate("a")
        assert not evacuations.may_send("a", Use.READ)
        assert evacuations.may_send("a", Use.PRIMARY)
        later = clock.now() + GRACE_S
        monkeypatch.setattr(clock, "now", lambda: later)
        assert not evacuations.may_send("a", Use.PRIMARY)
        assert evacuations.may_send("b", Use.READ)
        evacuations.bring_back("a")
        assert evacuations.may_send("a", Use.READ)

    def test_a_node_that_starts_during_an_evacuation_gives_no_grace(self):
        """Guards against writes to a zone that was evacuated long before the start."""
        relay = FakeRelay()
        relay.put("lavenderstack/evacuations/a", {})
        evacuations = ZoneEvacuations(relay)
        assert not evacuations.may_send("a", Use.FINISH)

    def test_a_request_that_arrives_after_a_later_change_is_in_force(self):
        """Guards against a request that is taken for one withdrawn before."""
        evacuations = FakeEvacuations()
        relay = evacuations.relay
        evacuations.evacuate("a")
        evacuations.in_force()
        key = "lavenderstack/evacuations/a"
        later = Change("lavenderstack/groups/h", json.dumps(GROUP).encode(), 9)
        for change in (later, Change(key, None, 3), Change(key, b"{}", 5)):
            relay.snapshot = documents.apply(relay.snapshot, [change], 0, "1", parse)
            evacuations.in_force()
        assert evacuations.in_force()["a"].revision == 5

    def test_an_unreadable_value_evacuates_too(self):
        """Guards against a request that is ignored since its value is not JSON."""
        evacuations = FakeEvacuations()
        key = "lavenderstack/evacuations/a"
        change = Change(key, b"?", evacuations.relay.snapshot.revision + 1)
        relay = evacuations.relay
        relay.snapshot = documents.apply(
            relay.snapshot, [change], change.revision, "1", parse
        )
        assert evacuations.in_force().keys() == {"a"}

    @pytest.mark.parametrize(
        ("zone", "event"),
        [("a", "evacuation: zone evacuated"), ("x", "evacuation: zone unknown")],
    )
    def test_each_change_is_logged_once_with_its_revision(self, zone, event):
        """Guards against an evacuation that operators can't find in the logs."""
        evacuations = FakeEvacuations()
        with capture_logs() as logs:
            evacuations.evacuate(zone)
            for _ in range(3):
                evacuations.in_force()
            evacuations.bring_back(zone)
            evacuations.in_force()
        lines = [(line["event"], line["revision"]) for line in logs]
        assert lines == [(event, 2), ("evacuation: zone returned", 3)]
