"""Tests of transaction names, which are composed of the names of their location."""

import pytest

from lavenderstack.core.outcome import Refused
from lavenderstack.core.work_messages import EndWork, TransactionStart
from lavenderstack.node.executor_fake import READ, ExecutorHarness
from lavenderstack.node.transactions import TransactionName, parse

ODD = ["g~a", "~", "~~~", "%7E", "g%7Ea", "g a", "g\0", "ü\u2028", "g\r\n", "/"]


class TestNamesOverHttp:
    @pytest.mark.parametrize("odd", ODD)
    def test_any_name_leads_to_its_location(self, odd):
        """A ``~`` in a name made its transactions unusable, or those of another."""
        for names in ((odd, "t", "n"), ("g", odd, "n"), ("g", "t", odd), (odd,) * 3):
            location = TransactionName(*names)
            assert parse(location.generate_name()) == location

    def test_two_locations_never_share_the_part_before_the_random_one(self):
        one = TransactionName("g~a", "t", "n").generate_name()
        other = TransactionName("g", "a~t", "n").generate_name()
        assert one.rpartition("~")[0] != other.rpartition("~")[0]

    def test_usual_names_are_those_of_earlier_builds(self):
        name = TransactionName("studio", "studio-2", "n%3").generate_name()
        assert name.startswith("studio~studio-2~n%3~")

    @pytest.mark.parametrize("name", ["~", "~~~~", "~a~b~c", "~a~b~c~d~e", "a~b~~d"])
    def test_malformed_names_are_refused(self, name):
        with pytest.raises(Refused):
            parse(name)


class TestNamesOfExecutors:
    @pytest.mark.parametrize("node", ["n/1", "/", "n1", "n~#"])
    async def test_end_finds_the_target_whatever_the_nodes_name(self, node):
        """Else the transaction kept its connection until it was idle for too long."""
        harness = ExecutorHarness()
        harness.directory.name = node
        harness.restart_node()
        opened = await harness.run(READ, opens=TransactionStart.READ_WRITE)
        assert opened.tx.startswith(f"{node}/t1/")
        await harness.executors.end(EndWork(opened.tx))
        assert harness.executors.open_transactions == 0
