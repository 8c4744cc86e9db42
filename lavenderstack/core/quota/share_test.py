"""Tests of shares whose messages are lost, late or repeated.

Run in the simulation of ``ledger_test``, which compares all shares with the plan.
"""

import json

import pytest

from lavenderstack.core.quota import ledger_test
from lavenderstack.core.quota.ledger_test import Simulation

_set_constants = ledger_test._set_constants


FAULT_SCENARIOS = {
    "a grant arrives twice": """
        arrive 0 5 | wait 1 | ask 0 | deliver -1 | keep -1 | arrive 0 200 | deliver -1
        """,
    "a grant arrives after fifteen seconds": """
        arrive 0 5 | wait 1 | ask 0 | deliver -1 | wait 15 | deliver -1 | wait 7
        arrive 1 5 | wait 0.1 | renew 1
        """,
    "a grant answers an earlier request": """
        arrive 0 5 | wait 1 | ask 0 | deliver -1 | arrive 1 90 | wait 1 | ask 0
        deliver -1 | deliver -1 | renew 1 | deliver 0
        """,
    "a grant is lost and the node keeps its larger share": """
        arrive 0 90 | wait 1 | renew 0 | arrive 1 900 | renew 1 | ask 0 | deliver -1
        renew 1
        """,
    "an extension arrives after the share has ended": """
        arrive 0 5 | wait 1 | renew 0 | wait 19 | ask 0 | wait 2.5 | arrive 1 5
        wait 0.1 | renew 1 | fail_over | deliver 0 | renew 1 | deliver -1
        """,
    "returned tokens arrive when the share has long ended": """
        arrive 0 1 | wait 1 | renew 0 | arrive 1 90 | wait 1 | renew 1 | renew 0
        ask 0 | wait 40 | draw 1 1 | deliver -1 | deliver -1 | wait 2 | draw 1 40
        deliver -1 | deliver -1 | arrive 1 200 | draw 1 1 | deliver -1 | deliver -1
        deliver 0
        """,
    "recalled tokens arrive twice": """
        arrive 0 5 | wait 1 | renew 0 | recall 0 | keep 0 | arrive 1 1 | draw 1 40
        deliver -1 | deliver -1 | arrive 1 200 | deliver 0
        """,
    "recalled tokens arrive after the next grant": """
        arrive 0 5 | wait 1 | renew 0 | recall 0 | wait 1 | renew 0 | wait 1 | draw 1 40
        deliver -1 | deliver -1 | arrive 1 200 | arrive 0 200 | deliver 0
        """,
    "recalled tokens are lost": """
        arrive 0 5 | wait 1 | renew 0 | recall 0 | lose 0 | wait 1 | arrive 0 200
        renew 0 | arrive 0 200 | draw 0 40 | deliver -1 | deliver -1 | arrive 0 200
        """,
    "a draw is answered twice": """
        draw 0 20 | deliver -1 | keep -1 | arrive 0 200 | deliver -1
        """,
    "a request for a draw arrives twice": """
        draw 0 5 | keep 0 | deliver -1 | arrive 0 200 | draw 0 30 | deliver -1
        deliver 0 | deliver 0
        """,
    "a draw is used after a pause": """
        draw 0 20 | deliver -1 | deliver -1 | wait 4 | draw 2 1 | deliver -1
        deliver -1 | wait 2 | draw 1 40 | deliver -1 | deliver -1 | arrive 1 200
        arrive 0 200
        """,
    "a new draw is asked for while the last one isn't spent": """
        draw 0 20 | deliver -1 | deliver -1 | draw 0 5 | deliver -1
        """,
    "another node asks while a share has eight seconds left": """
        arrive 0 5 | wait 1 | renew 0 | wait 12 | arrive 1 900 | wait 1 | renew 1
        """,
    "a node is paused and its share goes to another": """
        arrive 0 5 | wait 1 | renew 0 | wait 23 | draw 2 1 | deliver -1 | deliver -1
        arrive 1 5 | wait 2 | renew 1 | arrive 1 200 | arrive 0 200
        """,
    "a new owner gets a request from only one of two nodes": """
        arrive 0 5 | arrive 1 5 | wait 1 | renew 0 | renew 1 | renew 0 | renew 1
        fail_over | renew 0 | renew 0 | arrive 2 90 | wait 1 | renew 2 | renew 2
        """,
    "the answer to the new owner's node is lost": """
        arrive 0 5 | wait 1 | renew 0 | wait 18 | fail_over | ask 0 | deliver -1
        wait 3 | arrive 1 90 | wait 0.1 | ask 0 | deliver -1 | renew 1 | renew 1
        """,
    "the ledger is handed over while a grant is under way": """
        arrive 0 5 | wait 1 | renew 0 | arrive 1 900 | wait 1 | ask 1 | deliver -1
        hand_over | deliver -1 | renew 0 | renew 2 | draw 2 40 | deliver -1
        """,
    "the plan shrinks, then one node renews": """
        arrive 0 60 | arrive 1 40 | wait 1 | renew 0 | renew 1 | renew 0 | renew 1
        change_plan 0.5 | arrive 0 900 | wait 1 | renew 0 | renew 0
        """,
    "the plan grows and shrinks within one lease": """
        arrive 1 90 | wait 1 | change_plan 0.5 | renew 1 | renew 1 | change_plan 1
        arrive 0 900 | wait 1 | renew 0 | renew 0 | change_plan 0.6
        """,
    "the plan shrinks while an extension is under way": """
        arrive 0 5 | wait 1 | renew 0 | fail_over | ask 0 | change_plan 0.5
        deliver -1 | deliver -1
        """,
    "a node reports an ended share to a new owner": """
        arrive 0 5 | wait 1 | renew 0 | wait 19 | ask 0 | wait 2.5 | arrive 1 5
        wait 0.1 | renew 1 | fail_over | deliver 0 | wait 0.1 | renew 0
        """,
    "the plan shrinks and the owner fails": """
        arrive 0 5 | arrive 1 5 | wait 1 | renew 0 | renew 1 | renew 0 | renew 1
        change_plan 0.5 | fail_over | renew 0 | change_plan 0.4 | renew 1 | renew 0
        """,
}


class TestFaultScenarios:
    @pytest.mark.parametrize("scenario", FAULT_SCENARIOS)
    def test_stays_within_the_plan(self, scenario):
        sim = Simulation()
        for line in FAULT_SCENARIOS[scenario].replace("\n", "|").split("|"):
            event, *args = line.split() or ("wait", "0")
            getattr(sim, event)(*(json.loads(arg) for arg in args))
            sim.check()
