"""Tests of the tree along which changes are passed on."""

from collections import Counter

import pytest

from lavenderstack.core import relay_tree
from lavenderstack.core.view import View, Vm


def view_of(zones, per_zone):
    names = [(f"{z}n{i}", z) for z in zones for i in range(per_zone)]
    return View(vms={name: Vm(name, zone, name, 1) for name, zone in names})


class TestTree:
    @pytest.mark.parametrize("per_zone", [1, 2, 3, 8, 100, 775])
    def test_each_node_has_a_path_to_a_reader_and_few_children(self, per_zone):
        view = view_of(["a", "b"], per_zone)
        order = [vm.name for vm in relay_tree.ranked(view, "a")]
        children = Counter()
        for rank_of_node, name in enumerate(order):
            links = relay_tree.links(view, name, "a")
            assert all(vm.name != name for link in links for vm in link.candidates)
            if rank_of_node < relay_tree.READERS:
                assert [link.zone for link in links if link.zone] == ["b"]
                continue
            (link,) = links
            assert order.index(link.candidates[0].name) < rank_of_node
            children[link.candidates[0].name] += 1
        assert max(children.values(), default=0) <= relay_tree.CHILDREN

    @pytest.mark.parametrize("attempt", [1, 2, 3])
    def test_nodes_that_lost_their_parents_spread_over_the_others(self, attempt):
        view = view_of(["a"], 775)
        order = [vm.name for vm in relay_tree.ranked(view, "a")]
        asked = Counter()
        for name in order[relay_tree.READERS :]:
            candidates = relay_tree.links(view, name, "a")[0].candidates
            asked[candidates[min(attempt, len(candidates) - 1)].name] += 1
        assert max(asked.values()) <= 40

    def test_an_unlisted_node_has_a_parent(self):
        view = view_of(["a"], 3)
        (link,) = relay_tree.links(view, "new", "a")
        assert link.candidates[0].name in view.vms
        assert relay_tree.links(View(), "new", "a") == ()
