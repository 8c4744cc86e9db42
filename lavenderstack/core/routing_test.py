"""Tests of the choice of targets."""

import pytest

from lavenderstack.core.position import Position
from lavenderstack.core.request import NO_WATERMARK
from lavenderstack.core.routing import GroupStatus, read_order
from lavenderstack.core.token import Watermark
from lavenderstack.core.view import Group, Target


def group():
    names = [("a", "z1"), ("b", "z2"), ("c", "z3")]
    targets = tuple(Target(n, z, "127.0.0.1", 1, 5, 30) for n, z in names)
    return Group("g", targets, frozenset({"o"}))


class TestReadOrder:
    @pytest.mark.parametrize(
        ("watermark", "seen", "avoid", "order"),
        [
            (NO_WATERMARK, {}, (), ["c", "b"]),
            (NO_WATERMARK, {}, ("c",), ["b"]),
            (Watermark(Position(1, 5), ("b",)), {}, (), ["b", "c"]),
            (Watermark(Position(1, 5)), {"b": Position(1, 5)}, (), ["b", "c"]),
            (Watermark(Position(1, 5)), {"c": Position(1, 6)}, (), ["c", "b"]),
            (Watermark(Position(2, 1)), {"b": Position(1, 900)}, (), ["c", "b"]),
        ],
    )
    def test_a_replica_with_the_watermark_precedes_one_in_the_zone(
        self, watermark, seen, avoid, order
    ):
        status = GroupStatus(seen=dict(seen))
        status.record_primary(1, "a")
        replicas = read_order(group(), watermark, "z3", status, avoid)
        assert [target.name for target in replicas] == order


class TestGroupStatus:
    def test_an_older_term_never_replaces_a_newer_primary(self):
        status = GroupStatus()
        status.record_primary(3, "b")
        status.record_primary(2, "a")
        assert status.primary.target == "b"
