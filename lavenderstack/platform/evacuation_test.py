"""Tests of evacuations as the loader reads them from the platform's store."""

import asyncio

import pytest
from structlog.testing import capture_logs

from lavenderstack.core import clock
from lavenderstack.node.directory import Directory
from lavenderstack.platform import documents
from lavenderstack.platform.loader_test import (
    config,
    report,
    run_loader,
    run_loader_object,
    wait_until,
)
from standins.metadata_store import MetadataStore

KEY = "op/evacuate/z1"


def store_with_target(**fields):
    kv = MetadataStore(**fields)
    kv.put("op/config", config(1))
    kv.put("servers/i-1", report())
    return kv


def changes(lines):
    events = ("evacuation: zone",)
    return [line["event"] for line in lines if line["event"].startswith(events)]


class TestRequests:
    @pytest.mark.parametrize("value", [b"{}", b"", b"\xff\x00"])
    async def test_they_are_in_force_until_withdrawn_whatever_their_value(self, value):
        kv = store_with_target()
        async with run_loader(kv) as directory:
            await wait_until(lambda: directory.proof.holds(clock.now()))
            proved_at = directory.proof.at
            rev = kv.put(KEY, value)
            await wait_until(lambda: directory.is_evacuated("z1"))
            known = directory.evacuations["z1"]
            assert (known.zone, known.revision) == ("z1", rev)
            assert proved_at <= known.proved_before < known.learned_at
            kv.delete(KEY)
            await wait_until(lambda: not directory.is_evacuated("z1"))

    async def test_a_node_that_starts_knows_them_before_it_proves_anything(
        self, monkeypatch
    ):
        """Guards against a first listing of several pages that proves too early."""
        kv = store_with_target(page_size=1)
        kv.put(KEY, b"{}")
        put = Directory.put_evacuation

        def put_evacuation(directory, zone, revision):
            assert directory.proof.at == float("-inf")
            put(directory, zone, revision)

        monkeypatch.setattr(Directory, "put_evacuation", put_evacuation)
        with capture_logs() as lines:
            async with run_loader(kv) as directory:
                await wait_until(lambda: directory.proof.holds(clock.now()))
                assert directory.evacuations["z1"].proved_before == float("-inf")
        assert changes(lines) == ["evacuation: zone evacuated"]

    async def test_evacuate_return_and_evacuate_at_once_ends_evacuated(self):
        kv = store_with_target()
        async with run_loader(kv) as directory:
            await wait_until(lambda: directory.proof.holds(clock.now()))
            kv.put(KEY, b"{}")
            kv.delete(KEY)
            last = kv.put(KEY, b"{}")
            await wait_until(lambda: directory.as_of >= last)
            assert directory.evacuations["z1"].revision == last

    async def test_a_withdrawal_that_a_listing_shows_is_taken_over(self):
        kv = store_with_target()
        kv.put(KEY, b"{}")
        async with run_loader(kv) as directory:
            await wait_until(lambda: directory.is_evacuated("z1"))
            kv.delete(KEY)
            kv.compact()
            await wait_until(lambda: not directory.is_evacuated("z1"))

    async def test_an_unknown_zone_is_logged_once_and_takes_effect_later(self):
        kv = store_with_target()
        with capture_logs() as lines:
            async with run_loader(kv) as directory:
                await wait_until(lambda: directory.proof.holds(clock.now()))
                kv.put("op/evacuate/z9", b"{}")
                await wait_until(lambda: directory.is_evacuated("z9"))
                kv.put("servers/i-9", report(zone="z9"))
                await wait_until(lambda: "i-9" in directory.targets)
        assert changes(lines) == ["evacuation: zone unknown"]

    def test_a_key_without_a_zone_evacuates_nothing(self):
        assert documents.evacuated_zone("op/evacuate/") is None
        assert documents.evacuated_zone("op/config") is None
        assert documents.evacuated_zone(KEY) == "z1"


class TestRestore:
    @pytest.mark.parametrize("written_again", [True, False])
    async def test_the_listing_after_a_restore_decides(self, written_again):
        """The copy lacks the request; until the listing it stays in force."""
        kv = store_with_target()
        kept = kv.take_copy()
        async with run_loader_object(kv) as (follower, directory):
            await wait_until(lambda: directory.proof.holds(clock.now()))
            kv.put(KEY, b"{}")
            await wait_until(lambda: directory.is_evacuated("z1"))
            kv.restore(kept)
            if written_again:
                kv.put(KEY, b"{}")
            await wait_until(lambda: follower.store_restores() == 1)
            await asyncio.sleep(1.0)
            assert directory.is_evacuated("z1")
            era_begins = directory.as_of
            await wait_until(lambda: directory.as_of > era_begins)
            assert directory.is_evacuated("z1") is written_again
