"""Tests of the keys of this service's records of groups, whatever a group is called."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavenderstack.core.failover.replica_set import ReplicaSet
from lavenderstack.platform import records
from lavenderstack.platform.loader_test import run_loader, wait_until
from lavenderstack.platform.record_keys import MAX_KEY_B, group_of, key_of
from lavenderstack.platform.registration_test import run_registration
from standins.metadata_store import MetadataStore

PREFIXES = (records.OWNERSHIP_PREFIX, records.REPLICAS_PREFIX)
LONG = ["x" * 191, "x" * 200, "š" * 100, "š" * 200]
REPLICAS = ReplicaSet("i-1", frozenset(), 1)


class TestKey:
    @pytest.mark.parametrize("prefix", PREFIXES)
    @pytest.mark.parametrize("group", ["g1", "a/b", "", "a b", "ž%2F", "x" * 188])
    def test_a_name_that_fits_is_in_the_key_letter_for_letter(self, prefix, group):
        """Nodes of older builds use these keys at the same time."""
        assert key_of(prefix, group) == prefix + group
        assert group_of(prefix, prefix + group, b"{}") == group

    @pytest.mark.parametrize("prefix", PREFIXES)
    @given(names=st.sets(st.text(max_size=200), min_size=2))
    def test_different_groups_have_different_keys_that_fit(self, prefix, names):
        keys = {key_of(prefix, name) for name in names}
        keys |= {key_of(prefix, key.removeprefix(prefix)) for key in keys}
        assert len(keys) >= len(names)
        assert all(len(key.encode()) <= MAX_KEY_B for key in keys)

    @pytest.mark.parametrize("group", LONG)
    def test_a_digest_is_never_the_key_of_a_group_of_that_name(self, group):
        key = key_of(PREFIXES[0], group)
        name = key.removeprefix(PREFIXES[0])
        assert key_of(PREFIXES[0], name) != key

    def test_a_record_under_the_key_of_another_group_names_none(self):
        key = key_of(PREFIXES[0], LONG[0])
        for value in (b"{}", b"", b'{"group": 5}', b'{"group": "g1"}'):
            assert group_of(PREFIXES[0], key, value) is None


class TestRecord:
    def test_that_of_a_name_that_fits_is_as_older_builds_write_it(self):
        owner = records.encode_ownership("n1#ab", 3, "g1")
        assert owner == b'{"node":"n1#ab","era":3}'
        assert b"group" not in records.encode_replica_set(REPLICAS, 3, "g1")


class TestLongName:
    @pytest.mark.parametrize("group", LONG, ids=range(len(LONG)))
    async def test_its_group_gets_an_owner_and_a_replica_set(self, group):
        """The store refuses longer keys, so nobody could replace its primary."""
        kv = MetadataStore()
        async with run_registration(kv) as registration:
            await registration.claim(group)
            key = key_of(records.OWNERSHIP_PREFIX, group)
            epoch = kv.items[key]["rev"]
            await registration.record_replicas(group, epoch, REPLICAS, 0)
            async with run_loader(kv) as directory:
                await wait_until(lambda: group in directory.ownerships)
                assert directory.ownerships[group].epoch == epoch
                assert directory.replica_sets[group] == REPLICAS
                await registration.release(group, epoch)
                await wait_until(lambda: group not in directory.ownerships)
                kv.delete(key_of(records.REPLICAS_PREFIX, group))
                await wait_until(lambda: group not in directory.replica_sets)
