"""Tests of prepared statements whose shapes and names callers choose freely."""

from hypothesis import given
from hypothesis import strategies as st

from lavenderstack.core.position import START
from lavenderstack.core.statement import Prepared, prepare
from lavenderstack.platform import statement_texts
from lavenderstack.platform.node_test import connect_when_known, run_node

# Shapes that may be read as another one, or as one and the parts of a message after it.
SHAPES = (
    "q7f",
    "q7f WRITE yj",
    "q7f READ zm",
    "q7f ",
    " q7f",
    "q7f\tWRITE",
    "q7f\rWRITE yj",
    "Q7f",
    "q7f\0",
    "x" * 4000,
    "x" * 4000 + " READ y",
)
LINE_TEXTS = st.text(min_size=1).filter(lambda text: "\r\n" not in text)


class TestNamesOnTargets:
    """A shape must not change what another part of a message says."""

    @given(writes=st.booleans(), shape=st.sampled_from(SHAPES) | LINE_TEXTS)
    def test_a_target_reads_the_name_and_the_shape_that_were_meant(self, writes, shape):
        prepared = Prepared(writes, shape)
        text = statement_texts.format_statement(prepare(prepared), START)
        verb = "WRITE" if writes else "READ"
        meant = ["PREPARE", prepared.shared_name, f"{verb} {shape}"]
        assert text.split(" ", 2) == meant

    def test_no_shape_gets_the_name_of_another_one(self):
        names = {Prepared(w, s).shared_name for w in (False, True) for s in SHAPES}
        assert len(names) == 2 * len(SHAPES)
        assert not any(set(name) & set(" \r\n\t\0") for name in names)


class TestSessionsWithOtherShapes:
    """Sessions share connections, and prepare other shapes under the same name."""

    async def test_each_statement_runs_in_its_shape_with_its_item_and_data(
        self, tmp_path
    ):
        async with run_node(tmp_path) as node:
            callers = {}
            for shape in SHAPES:
                callers[shape] = await connect_when_known(node, "CONNECT db2 k1")
                await callers[shape].query(f"PREPARE s WRITE {shape}")
            for shape in (*SHAPES, *reversed(SHAPES)):
                answer = await callers[shape].query("EXEC s item some data")
                assert answer[0].startswith("DONE i-1.")
                ran = node.targets[0].shapes[-1]
                assert ran == ("q1", f"WRITE {shape}", "item", "some data")
