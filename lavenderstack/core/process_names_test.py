"""Tests of process names, which are a node's name and a random part."""

import pytest

from lavenderstack.core.catalog import Reserve
from lavenderstack.core.unique_id import node_of, process_name


class TestNodeOf:
    @pytest.mark.parametrize("node", ["n1", "n#1", "#", "n1#n2#", "ü\u2028", "n 1"])
    def test_it_is_the_whole_name_of_the_node(self, node):
        """A node ``a#b`` was taken for ``a``."""
        assert node_of(f"{node}#5f3a") == node
        assert Reserve(owner=f"{node}#5f3a").node == node

    @pytest.mark.parametrize("odd", ["", "n1"])
    def test_a_name_without_a_random_part_is_a_node(self, odd):
        assert node_of(odd) == odd


class TestProcessName:
    def test_a_restarted_process_has_another_name_on_the_same_node(self):
        """A message for a process that has ended was taken by its successor."""
        names = {process_name("n#1") for _ in range(1000)}
        assert len(names) == 1000
        assert {node_of(name) for name in names} == {"n#1"}
