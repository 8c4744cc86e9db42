"""Tests of what is known of the builds of other nodes."""

from lavenderstack.core.features import (
    OWN_FEATURES,
    Feature,
    all_have,
    nodes_by_build,
)
from lavenderstack.core.view import Vm

OLD = Vm("n1", "z1", "10.0.0.1", 1)
NEW = Vm("n2", "z1", "10.0.0.2", 1, features=OWN_FEATURES, build="abc")


class TestFeatures:
    def test_one_build_without_it_keeps_a_feature_unused(self):
        assert all_have([NEW], Feature.HOLDS)
        assert not all_have([NEW, OLD], Feature.HOLDS)

    def test_nodes_are_counted_by_build(self):
        assert nodes_by_build({"n1": OLD, "n2": NEW}) == {"": 1, "abc": 1}
