"""Tests of the plan by which a quota coordinator hands out tokens."""

import pytest

from lavenderstack.core.catalog import Catalog
from lavenderstack.core.messages import Failed
from lavenderstack.core.outcome import Reason
from lavenderstack.core.quota.coordinator_messages import DrawTokens
from lavenderstack.core.view import Plan
from lavenderstack.core.view_proof import ViewProof
from lavenderstack.node.directory import Directory
from lavenderstack.node.quota.admitter_test import FakeReserves
from lavenderstack.node.quota.token_coordinator import TokenCoordinator

OWN_VERSION = 5


def coordinator():
    directory = Directory("n1", "z1", ViewProof(limit_s=5.0))
    plans = {"org": Plan("org", 50.0, 50.0)}
    directory.update_catalog(Catalog(version=OWN_VERSION, plans=plans))
    return TokenCoordinator(directory, FakeReserves(directory)), directory


class TestPlan:
    """The coordinator's catalog may be older or newer than the sender's."""

    @pytest.mark.parametrize(
        ("version", "most"), [(OWN_VERSION + 1, 1), (OWN_VERSION, 50), (0, 50)]
    )
    async def test_a_lower_limit_of_a_newer_catalog_holds(self, version, most):
        tokens, _ = coordinator()
        request = DrawTokens("n2", "org", 100, 0, version, 0.1, 1.0)
        drawn = await tokens.draw(request)
        assert 0 < drawn.tokens <= most
        assert (drawn.tokens == 1) == (most == 1)

    async def test_an_unknown_organisation_is_not_without_a_limit(self):
        tokens, _ = coordinator()
        refused = await tokens.draw(DrawTokens("n2", "new", 100))
        assert isinstance(refused, Failed)
        assert refused.reason == Reason.STALE_VIEW
        known = DrawTokens("n2", "new", 100, 0, OWN_VERSION + 1, 0.1, 2.0)
        assert (await tokens.draw(known)).tokens <= 2

    async def test_an_older_sender_does_not_bring_a_higher_limit_back(self):
        tokens, directory = coordinator()
        lower = DrawTokens("n2", "org", 1, 0, OWN_VERSION + 1, 0.001, 1.0)
        await tokens.draw(lower)
        older = DrawTokens("n3", "org", 100, 0, OWN_VERSION - 1, 50.0, 50.0)
        assert (await tokens.draw(older)).tokens == 0
        plans = {"org": Plan("org", 50.0, 50.0)}
        directory.update_catalog(Catalog(version=OWN_VERSION + 2, plans=plans))
        assert tokens._newest_plan(older).rate == 50.0
