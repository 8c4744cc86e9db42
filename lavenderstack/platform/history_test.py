"""Tests that a history is known only if no change of the store can be missing."""

from contextlib import asynccontextmanager

import pytest

from lavenderstack.core import clock
from lavenderstack.core.change_messages import ChangesReply
from lavenderstack.core.failover.replica_set import TargetRun
from lavenderstack.core.view import Vm
from lavenderstack.platform import history, records
from lavenderstack.platform.loader_test import (
    report,
    run_loader,
    run_loader_object,
    wait_until,
)
from lavenderstack.platform.node_test import config
from standins.metadata_store import MetadataStore


def started_store(**fields):
    """Return a store in which a target and a node have come and gone."""
    kv = MetadataStore(**fields)
    kv.put("op/config", config())
    for name in ("i-1", "i-2"):
        kv.put(f"servers/{name}", report(born=5))
    kv.delete("servers/i-2")
    kv.put("ls/nodes/n1", records.encode_node(Vm("n1", "z1", "h", 1), 0, "n1#a"))
    kv.delete("ls/nodes/n1")
    kv.put("ls/duties/g1", records.encode_ownership("n1#b", kv.era or 0))
    return kv


@asynccontextmanager
async def known_history(kv, first_era=0):
    async with run_loader(kv, first_era) as directory:
        await wait_until(lambda: directory.proof.holds(clock.now()))
        # The watch that follows shows that the history was read or given up.
        await wait_until(lambda: kv.watching)
        yield directory.history


class TestHistory:
    @pytest.mark.parametrize("page_size", [50, 2])
    async def test_runs_that_came_and_went_before_the_start_are_known(self, page_size):
        async with known_history(started_store(page_size=page_size)) as found:
            assert found.targets("g1") == {TargetRun("i-1", 5), TargetRun("i-2", 5)}
            assert found.nodes() == {"n1": {"n1#a"}}

    async def test_a_node_that_owns_no_group_reads_none(self):
        """Guards against the bytes of all entries for each node that starts."""
        kv = started_store()
        kv.delete("ls/duties/g1")
        async with known_history(kv) as found:
            assert not found.known

    async def test_later_runs_are_added(self):
        kv = started_store()
        async with known_history(kv) as found:
            kv.put("servers/i-3", report(born=9, state="starting"))
            kv.delete("servers/i-3")
            await wait_until(lambda: TargetRun("i-3", 9) in found.targets("g1"))

    @pytest.mark.parametrize("max_calls", [1, 2])
    async def test_a_truncated_answer_is_not_taken_for_all(
        self, monkeypatch, max_calls
    ):
        monkeypatch.setattr(history, "MAX_EVENTS", 2)
        monkeypatch.setattr(history, "MAX_CALLS", max_calls)
        async with known_history(started_store()) as found:
            assert found.known == (max_calls == 2)

    @pytest.mark.parametrize(
        "fault", ["compacted", "restored", "unread", "unreplicated"]
    )
    async def test_it_is_unknown_if_a_commit_may_not_be_accounted_for(self, fault):
        kv = started_store(era=1 if fault == "restored" else None)
        if fault == "compacted":
            kv.compact()
        elif fault == "unread":
            kv.put("servers/i-9", b"{}")
        elif fault == "unreplicated":
            kv.put("op/config", config(services=[{"name": "g1", "max_conns": 3}]))
        async with known_history(kv) as found:
            assert found.targets("g1") is None

    @pytest.mark.parametrize(
        "value",
        [b'{"service": "\xff"}', b'{"x":' + b"[" * 5000 + b"]" * 5000 + b"}"],
        ids=["not UTF-8", "nested too deeply"],
    )
    async def test_a_report_that_cant_be_read_doesnt_end_the_loader(self, value):
        """The node ended, and each owner again while the store had the change."""
        kv = started_store()
        async with known_history(kv) as found:
            kv.put("servers/i-9", value)
            await wait_until(lambda: not found.known)
            kv.put("servers/i-9", report())
        async with run_loader(kv) as directory:
            await wait_until(lambda: "i-9" in directory.targets)
            await wait_until(lambda: kv.watching)

    async def test_a_first_era_above_0_has_all_changes_if_the_settings_say_so(self):
        kv = started_store(era=1)
        kv.put("ls/era", b'{"era":1}')
        async with known_history(kv, first_era=1) as found:
            assert found.targets("g1") == {TargetRun("i-1", 5), TargetRun("i-2", 5)}
            kv.put("servers/i-1", report(born=5))
            kv.restore(kv.take_copy())
            await wait_until(lambda: not found.known)

    @pytest.mark.parametrize("listed", [False, True])
    async def test_entries_that_another_node_listed_end_it(self, listed):
        """Guards against a run that came and went while that node read pages."""
        kv = started_store()
        async with run_loader_object(kv) as (follower, directory):
            await wait_until(lambda: directory.history.known)
            follower._apply_reply(ChangesReply([], kv.rev, False, 0.0, 0.0, listed))
            assert directory.history.known is not listed

    async def test_a_new_listing_ends_it(self):
        kv = started_store()
        async with known_history(kv) as found:
            assert found.known
            kv.delete("servers/i-1")
            kv.compact()
            await wait_until(lambda: not found.known)

    async def test_a_change_without_the_one_before_ends_it(self):
        """Guards against a store that tells only the last change of an entry."""
        kv = started_store()
        kv.history = [one for one in kv.history if one["rev"] != 10]
        async with known_history(kv) as found:
            assert not found.known
