"""Tests of what a node keeps of the store."""

import pytest

from lavenderstack.core.catalog import Reserve


class TestReserve:
    @pytest.mark.parametrize("name", ["n1", "n#1", "#", "a#b#", "front-1#", ""])
    def test_its_node_is_found_whatever_the_node_is_called(self, name):
        """The quota coordinator was replaced whenever a node came or went."""
        assert Reserve(f"{name}#12ab34cd").node == name

    def test_an_owner_without_a_process_is_a_node(self):
        assert (Reserve("n1").node, Reserve().node) == ("n1", "")
        assert Reserve("front-1").node == "front-1"
