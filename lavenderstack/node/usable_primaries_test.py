"""Tests of routing while zones are evacuated; target ``a`` is in zone ``za``, etc."""

import pytest

from lavenderstack.core import clock
from lavenderstack.core.evacuation import evacuation
from lavenderstack.core.failover.group_messages import PrimaryReply
from lavenderstack.core.outcome import Reason, Refused
from lavenderstack.core.view import Vm
from lavenderstack.node.router_test import (
    CALLER,
    WRITE,
    done,
    failed,
    make_router,
    request,
)

EVACUATED = failed(Reason.EVACUATED)
LOST = failed(Reason.UNREACHABLE)
BLOCKED = PrimaryReply(2, evacuated=True)
FRESH = {"fresh": True}
ALL = ["za", "zb", "zc"]

# Evacuated zones, what the monitors answer, request options, answers of the holders,
# targets asked in order, whether the request is served.
CASES = [
    ("no replica there is chosen", ["zb"], "", {}, [done()], "c", True),
    ("reads fall back to the primary", ["zb", "zc"], "", {}, [done()], "a", True),
    ("a holder that knew first is left", [], "", {}, [EVACUATED, done()], "bc", True),
    ("a replaced primary is left", ["za"], "b", WRITE, [done()], "b", True),
    ("the monitors say who replaced it", [], "b", WRITE, [EVACUATED, done()], "ab",
     True),
    ("one that isn't replaced is refused", ["za"], "a", FRESH, [], "", False),
    ("so it is if its holder knew first", [], "a", WRITE, [EVACUATED], "a", False),
    ("a lost primary can't be replaced", ["zb"], BLOCKED, WRITE, [LOST], "a", False),
    ("all zones: a read is refused", ALL, "a", {}, [], "", False),
    ("all zones: a write is refused", ALL, "b", WRITE, [], "", False),
]  # fmt: skip


class TestRun:
    @pytest.mark.parametrize(
        ("zones", "told", "options", "answers", "targets", "served"),
        [pytest.param(*case[1:], id=case[0]) for case in CASES],
    )
    async def test_targets_and_refusals(
        self, monkeypatch, zones, told, options, answers, targets, served
    ):
        """Guards against targets in the zone, and refusals that come late."""
        monkeypatch.setattr(evacuation, "GRACE_S", 0.0)
        router, peers = routed(answers, told, zones)
        if served:
            assert (await router.run(request(**options))).result == "ok"
        else:
            with pytest.raises(Refused) as caught:
                await router.run(request(deadline=clock.now() + 60.0, **options))
            assert caught.value.reason == Reason.EVACUATED
            assert caught.value.retry_after_s
        assert "".join(msg.target for _, msg in peers.sent) == targets

    async def test_the_primary_is_used_in_the_grace_period(self):
        """Guards against a gap in writes before the primary is replaced."""
        router, peers = routed([done()], "a", ["za"])
        assert (await router.run(request(**WRITE))).result == "ok"
        assert peers.sent[0][1].target == "a"

    async def test_no_transaction_is_begun_where_all_is_evacuated(self, monkeypatch):
        """Guards against callers that wait for a primary until their deadline."""
        monkeypatch.setattr(evacuation, "GRACE_S", 0.0)
        router, peers = routed([], "", ALL, "")
        with pytest.raises(Refused) as caught:
            await router.begin("r", CALLER, "g", clock.now() + 60.0)
        assert caught.value.reason == Reason.EVACUATED
        assert not peers.sent


def routed(answers, told, zones, primary="a"):
    """Return a router whose group's monitor names ``told``, or answers with it."""
    router, peers = make_router(*answers, primary=primary)
    ask = peers.ask

    async def ask_holder_or_monitor(vm, msg, timeout_s):
        if vm.name == "monitor":
            return told if isinstance(told, PrimaryReply) else PrimaryReply(2, told)
        return await ask(vm, msg, timeout_s)

    peers.ask = router._primaries._ask = ask_holder_or_monitor
    router._primaries._monitors = lambda group: [Vm("monitor", "z", "h", 1)]
    router._usable_primaries._evacuations.evacuate(*zones)
    return router, peers
