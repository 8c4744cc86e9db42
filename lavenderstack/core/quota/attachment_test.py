"""Tests of when an entry node asks another coordinator."""

from lavenderstack.core.quota.attachment import (
    ATTACHMENT_TIMEOUT_S,
    MIN_CHANGE_INTERVAL_S,
    Attachment,
    CoordinatorState,
)


class TestAttachment:
    def attached(self, coordinator="a", at=0.0):
        attachment = Attachment()
        attachment.record_request(coordinator, at)
        attachment.record_sent()
        return attachment

    def changed(self):
        """Return an attachment that changed from ``a`` to ``b`` at 5 s."""
        attachment = self.attached()
        attachment.record_request("b", 5.0)
        attachment.record_sent()
        return attachment

    def test_another_coordinator_is_asked_only_after_the_attachment_has_ended(self):
        attachment = self.changed()
        assert attachment.choose("b", CoordinatorState.SERVES, 5.5) == "b"
        assert (
            attachment.choose("c", CoordinatorState.SILENT, 5.0 + MIN_CHANGE_INTERVAL_S)
            == ""
        )
        assert (
            attachment.choose(
                "c", CoordinatorState.SILENT, 5.01 + MIN_CHANGE_INTERVAL_S
            )
            == "c"
        )

    def test_an_ended_coordinator_is_left_as_soon_as_the_attachment_has_ended(self):
        attachment = self.attached()
        chosen = attachment.choose(
            "b", state=CoordinatorState.ENDED, now=ATTACHMENT_TIMEOUT_S
        )
        assert chosen == ""
        chosen = attachment.choose(
            "b", state=CoordinatorState.ENDED, now=ATTACHMENT_TIMEOUT_S + 0.01
        )
        assert chosen == "b"

    def test_a_serving_coordinator_is_kept_until_it_may_be_left(self):
        """Entry nodes used their fallback quota instead (test run grown scale-1)."""
        attachment = self.changed()
        assert (
            attachment.choose("a", CoordinatorState.SERVES, 5.1 + ATTACHMENT_TIMEOUT_S)
            == "b"
        )

    def test_a_coordinator_is_left_at_once_after_detaching(self):
        attachment = self.changed()
        assert attachment.should_detach(
            "c", CoordinatorState.SERVES, 5.01 + MIN_CHANGE_INTERVAL_S
        )
        assert not attachment.should_detach(
            "c", CoordinatorState.SERVES, 5.0 + MIN_CHANGE_INTERVAL_S
        )
        assert not attachment.should_detach(
            "b", CoordinatorState.SERVES, 5.01 + MIN_CHANGE_INTERVAL_S
        )
        assert not attachment.should_detach(
            "c", CoordinatorState.SILENT, 5.01 + MIN_CHANGE_INTERVAL_S
        )
        assert attachment.should_detach("c", CoordinatorState.LEAVING, 5.1)
        attachment.record_detached()
        assert attachment.choose("c", CoordinatorState.LEAVING, 5.1) == "c"

    def test_a_request_that_was_not_sent_creates_no_attachment(self):
        """Unsent requests attached nodes to stopped coordinators.

        Found in test run grown scale-1: each stopped coordinator was kept for 2.5 s.
        """
        attachment = self.attached()
        attachment.record_request("b", 1.0)
        attachment.record_not_sent("b")
        assert attachment.choose("c", CoordinatorState.ENDED, 1.0) == "c"

    def test_the_first_coordinator_does_not_count_as_a_change(self):
        """Otherwise a node that has just started can't leave its first coordinator.

        Found in test run grown scale-1: new nodes stayed bound to one coordinator.
        """
        attachment = self.attached(at=10.0)
        chosen = attachment.choose(
            "b", CoordinatorState.SILENT, 10.0 + ATTACHMENT_TIMEOUT_S + 0.01
        )
        assert chosen == "b"

    def test_a_silent_coordinator_that_may_not_be_left_is_probed(self):
        attachment = self.changed()
        assert attachment.choose("c", CoordinatorState.SILENT, 6.0) == ""
        assert attachment.choose("c", CoordinatorState.SILENT, 6.0, probing=True) == "b"

    def test_a_request_that_may_have_arrived_counts_as_arrived(self):
        attachment = self.attached()
        attachment.record_request("b", 5.0)
        attachment.record_sent()
        attachment.record_request("b", 5.1)
        attachment.record_not_sent("b")
        assert (
            attachment.choose("c", CoordinatorState.SILENT, 5.2 + ATTACHMENT_TIMEOUT_S)
            == ""
        )
