"""Tests of the time after which a refused request may be sent again."""

import pytest

from lavenderstack.core.outcome import Reason, Refused

PERMANENT = {
    Reason.BAD_REQUEST,
    Reason.BAD_TOKEN,
    Reason.NO_KEY,
    Reason.KEY_REFUSED,
    Reason.NOT_ALLOWED,
    Reason.UNKNOWN_GROUP,
    Reason.STATEMENT_FAILED,
    Reason.TRANSACTION_LOST,
    Reason.NO_PREPARED,
}


class TestRefused:
    @pytest.mark.parametrize("reason", sorted(set(Reason) - PERMANENT))
    def test_a_refusal_that_may_pass_is_never_without_a_time(self, reason):
        assert Refused(reason).retry_after_s > 0

    @pytest.mark.parametrize("reason", sorted(PERMANENT))
    def test_a_permanent_refusal_asks_for_no_second_attempt(self, reason):
        assert Refused(reason).retry_after_s is None

    @pytest.mark.parametrize("reason", [Reason.OVER_RATE, Reason.UNKNOWN_GROUP])
    @pytest.mark.parametrize("retry_after_s", [0.0, 0.7])
    def test_a_time_that_is_known_is_kept(self, reason, retry_after_s):
        assert Refused(reason, "", retry_after_s).retry_after_s == retry_after_s
