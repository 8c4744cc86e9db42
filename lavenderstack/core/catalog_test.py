"""Tests of what a catalog's records say."""

import pytest

from lavenderstack.core.catalog import Reserve


class TestReserve:
    @pytest.mark.parametrize("node", ["front-1", "front#1", "front-1#", "#", ""])
    def test_the_node_of_an_owner_is_the_one_that_recorded_it(self, node):
        assert Reserve(f"{node}#0a1b2c3d").node == node

    @pytest.mark.parametrize("owner", ["", "front-1"])
    def test_an_owner_without_a_process_is_a_node(self, owner):
        assert Reserve(owner).node == owner
