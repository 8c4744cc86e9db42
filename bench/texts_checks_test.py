"""Tests of the checks on texts: a good record passes, planted faults are found."""

import pytest

from bench import texts_checks
from bench.soak_record import (
    CUT,
    DONE,
    Database,
    Freshness,
    IdleCut,
    Record,
    Request,
    Sent,
    Stop,
)
from standins.line_group import Commit, Entry, GroupTarget, LineGroup, LogPosition, Run
from standins.long_text import condensed
from standins.target_session import MAX_MESSAGE_B, Seen, without_name

DATABASE = Database("now", "g", Freshness.PRIMARY, 2.0)
VALUES = (("v", "1 2"),)


class Play:
    """A record with one group, to which a test adds what was sent and what ran."""

    def __init__(self):
        self.group = LineGroup("g", {name: GroupTarget(name, "z1") for name in "ab"})
        self.record = Record(groups={"g": self.group}, zones={"a": "z1", "b": "z1"})

    def send(self, name, text, outcome=DONE, operation="", shape="", **fields):
        request = Request(
            name=name,
            operation=operation or f"w{name}",
            session=1,
            node="n1#1",
            key="k",
            organisation="org",
            database=DATABASE,
            text=condensed(text),
            began_at=1.0,
            sent_at=1.0,
            ended_at=1.1,
            outcome=outcome,
            receipt=f"receipt-{name}",
            sent=Sent(without_name(text)[0], shape, VALUES, len(text)),
            **fields,
        )
        self.record.requests.append(request)
        return request

    def run(self, request, text=None, shape=None, values=VALUES, place=(1, 0), **other):
        sent = request.sent
        seen = Seen(
            text=sent.text if text is None else text,
            name="w_1",
            shape=sent.shape if shape is None else shape,
            values=values,
            connection=place[0],
            transaction=place[1],
        )
        end = self.group.targets["a"].received
        name = other.get("name", request.name)
        run = Run(
            *(1.05, "a", "org", name, request.verb, end, True, request.receipt),
            row=other.get("row", request.row),
            seen=seen,
        )
        self.group.runs.append(run)
        if request.commits:
            self.commit(name)

    def commit(self, name):
        for target in self.group.targets.values():
            number = target.received.number + 1
            target.log.append(Entry(LogPosition(1, number), name))
        entry = self.group.targets["a"].log[-1]
        self.group.commits.append(Commit(1.06, "a", entry, True))

    def rules(self):
        return {line.partition(" ")[0] for line in texts_checks.violations(self.record)}


def good():
    """Return a record with a single write, an execution, a read and a transaction."""
    play = Play()
    play.run(play.send("1", "WRITE a  b "))
    play.run(play.send("2", "EXEC s a  b", shape="WRITE q7f WRITE yj"))
    play.run(play.send("3", "READ " + "x" * 100_000))
    fields = {"operation": "t1", "in_transaction": True}
    play.run(play.send("4", "WRITE a b", **fields), place=(2, 1))
    play.run(play.send("5", "EXEC s\n1 b", shape="READ \0", **fields), place=(2, 1))
    play.run(play.send("6", "COMMIT", **fields), place=(2, 1))
    play.send("7", "READ", outcome="MALFORMED")
    return play


class TestGoodRecord:
    def test_nothing_is_found(self):
        assert texts_checks.violations(good().record) == []

    def test_an_execution_that_needs_a_long_text_may_be_refused(self):
        play = good()
        text = "EXEC s a " + "x" * (MAX_MESSAGE_B - 40)
        play.send("8", text, outcome="MALFORMED", shape="WRITE q7f")
        assert play.rules() == set()

    def test_a_line_over_the_limit_may_end_its_own_connection(self):
        play = good()
        play.send("8", "READ " + "x" * MAX_MESSAGE_B, outcome=CUT)
        assert play.rules() == set()


class TestPlantedTexts:
    """What would go unseen if a target's record were not compared with the caller's."""

    def test_a_statement_that_nobody_sent(self):
        play = good()
        play.run(play.record.requests[2], name="-")
        assert "UNASKED" in play.rules()

    @pytest.mark.parametrize(
        "ran", ["WRITE a b ", "WRITE a  b", "WRITE a  B ", "READ a  b ", "EXEC a  b "]
    )
    def test_a_changed_text(self, ran):
        play = good()
        play.run(play.send("8", "WRITE a  b "), text=ran)
        assert "UNASKED" in play.rules()

    def test_the_end_of_a_long_text_is_changed(self):
        play = good()
        text = "READ " + "x" * 900_000
        play.run(play.send("8", text + "y", operation="r8"), text=condensed(text + "z"))
        assert play.rules() == {"UNASKED"}

    def test_the_item_of_an_execution_comes_from_its_shape(self):
        play = good()
        request = play.send("8", "EXEC s f3 data", shape="WRITE q7f READ zm")
        play.run(request, text="EXEC READ zm f3 data")
        assert "UNASKED" in play.rules()

    def test_the_shape_of_another_session(self):
        play = good()
        request = play.send("8", "EXEC s a", operation="r8", shape="READ q7f")
        play.run(request, shape="READ yj READ q7f")
        assert play.rules() == {"PINNED"}

    def test_a_shape_for_a_statement_that_is_not_prepared(self):
        play = good()
        play.run(play.send("8", "READ a", operation="r8"), shape="READ q7f")
        assert play.rules() == {"PINNED"}

    @pytest.mark.parametrize("values", [(), (("v", "1"),), (*VALUES, ("u", ""))])
    def test_other_values(self, values):
        play = good()
        play.run(play.send("8", "READ a", operation="r8"), values=values)
        assert play.rules() == {"PINNED"}

    def test_a_prepared_name_is_not_known(self):
        play = good()
        play.send("8", "EXEC s a", outcome="MALFORMED", shape="READ q7f")
        assert play.rules() == {"PINNED"}


class TestPlantedTransactions:
    FIELDS = {"operation": "t1", "in_transaction": True}

    def test_a_read_in_the_transaction_of_another(self):
        play = good()
        play.run(play.send("8", "READ a", operation="r8"), place=(2, 1))
        assert play.rules() == {"PINNED"}

    def test_a_single_write_in_a_transaction(self):
        play = good()
        play.run(play.send("8", "WRITE a b"), place=(3, 1))
        assert play.rules() == {"PINNED"}

    @pytest.mark.parametrize("place", [(2, 0), (2, 2), (3, 1)])
    def test_a_statement_outside_of_its_transaction(self, place):
        play = good()
        play.run(play.send("8", "READ a", **self.FIELDS), place=place)
        assert play.rules() == {"PINNED"}

    def test_a_write_runs_twice_in_its_transaction(self):
        play = good()
        play.run(play.record.requests[3], place=(2, 1))
        assert play.rules() == {"TWICE"}

    def test_a_single_write_is_committed_twice(self):
        play = good()
        play.commit("1")
        assert "doubled_writes:" in play.rules()


class TestPlantedAnswers:
    def test_a_row_of_another_run(self):
        play = good()
        play.run(play.send("8", "READ a", operation="r8", row="mine"), row="other")
        assert play.rules() == {"unasked_commits:"}

    def test_a_receipt_of_another_run(self):
        play = good()
        play.send("8", "READ a", operation="r8").receipt = "receipt-3"
        assert play.rules() == {"unasked_commits:"}

    def test_a_message_to_a_caller_that_asked_nothing(self):
        play = good()
        play.record.stray.append("session 1: ROW x")
        assert play.rules() == {"MIXED"}

    def test_a_statement_that_was_refused_as_malformed_ran(self):
        play = good()
        play.run(play.send("8", "READ a", outcome="MALFORMED"))
        assert play.rules() == {"REFUSED"}

    def test_a_write_that_was_refused_is_committed(self):
        play = good()
        play.run(play.send("8", "WRITE a b", outcome="BUSY"))
        assert play.rules() == {"false_refusals:"}


class TestPlantedLosses:
    def test_a_message_that_is_longer_than_allowed(self):
        play = good()
        play.group.too_long.append("1048600 bytes to a: QUERY 1 WRITE a")
        assert play.rules() == {"LONG"}

    @pytest.mark.parametrize("outcome", [CUT, "UNKNOWN", "TIMEOUT"])
    def test_an_answer_is_lost_without_a_stop(self, outcome):
        play = good()
        play.send("8", "READ a", outcome=outcome)
        assert play.rules() == {"LOST"}

    @pytest.mark.parametrize("ends", ["idle_cuts", "idle_closes"])
    def test_an_idle_session_is_closed_without_a_stop(self, ends):
        play = good()
        getattr(play.record, ends).append(IdleCut(2.0, "n1#1", 1.0))
        assert play.rules() == {"LOST"}

    def test_a_connection_that_ends_with_its_node_is_left_to_the_other_checks(self):
        play = good()
        play.record.stops.append(Stop("n1#1", 1.05, 2.0, 0))
        play.send("8", "READ a", outcome=CUT)
        assert not any(texts_checks.lost_sessions(play.record))
