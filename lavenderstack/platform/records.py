"""Encodes and decodes this service's own records in the platform's store.

For a record that can't be decoded, the functions log a line and return None. An invalid
node, reserve or ownership record is ignored, so that the last valid one stays in
effect.

Records name the era of the store in which they were written. One that came back with a
copy of the store, from an older era, is void: its lease is gone, and tokens that it
reserves may have been handed out since. A record without an era was written by a build
that knows none and counts as one of the present era.
"""

from collections.abc import Mapping

import msgspec
import structlog

from lavenderstack.core.catalog import RecordedOwnership, Reserve
from lavenderstack.core.failover.replica_set import ReplicaSet, TargetRun
from lavenderstack.core.store_position import era_of
from lavenderstack.core.view import Vm
from lavenderstack.platform.decoding import DECODE_ERRORS
from lavenderstack.platform.record_keys import has_digest, key_of

log = structlog.get_logger()

SERVICE_PREFIX = "ls/"
NODES_PREFIX = SERVICE_PREFIX + "nodes/"
OWNERSHIP_PREFIX = SERVICE_PREFIX + "duties/"
REPLICAS_PREFIX = SERVICE_PREFIX + "replicas/"
RESERVE_KEY = SERVICE_PREFIX + "reserve"
ERA_KEY = SERVICE_PREFIX + "era"


def ownership_key(group: str) -> str:
    """Return the key of the record of a group's owner."""
    return key_of(OWNERSHIP_PREFIX, group)


def replicas_key(group: str) -> str:
    """Return the key of the record of a group's replica set."""
    return key_of(REPLICAS_PREFIX, group)


class _Node(msgspec.Struct):
    zone: str
    host: str
    port: int
    leaving: bool = False
    era: int | None = None
    capacity: float = 0.0
    # Identifies the process; a build that doesn't write it is unknown.
    run: str = ""
    features: frozenset[str] = frozenset()
    build: str = ""


class _Ownership(msgspec.Struct):
    node: str
    era: int | None = None
    # Only where the key has no room for it.
    group: str | msgspec.UnsetType = msgspec.UNSET


class _Written(msgspec.Struct):
    """The part of this service's records that tells when they were written."""

    era: int | None = None


def is_void(key: str, value: bytes, position: int) -> bool:
    """Return whether a record of this service is one of an older era of the store.

    ``position`` is that of the entry, in the era in which it was read.
    """
    if not key.startswith((NODES_PREFIX, OWNERSHIP_PREFIX, REPLICAS_PREFIX)):
        return False
    try:
        written = msgspec.json.decode(value, type=_Written)
    except DECODE_ERRORS:
        # The decoder of the record reports it.
        return False
    return written.era is not None and written.era != era_of(position)


class _Era(msgspec.Struct):
    era: int


def encode_era(number: int) -> bytes:
    """Return the record of a settled era in the format of the store."""
    return msgspec.json.encode(_Era(number))


def decode_era(value: bytes) -> int | None:
    """Return the era that is recorded as settled, or None if the record is invalid."""
    try:
        return msgspec.json.decode(value, type=_Era).era
    except DECODE_ERRORS as exc:
        log.warning("documents: era not understood", error=str(exc))
        return None


def encode_node(vm: Vm, era: int, run: str = "") -> bytes:
    """Return a node's registration in the format of the store.

    ``run`` identifies its process.
    """
    leaving = vm.state == "leaving"
    node = _Node(
        vm.zone,
        vm.host,
        vm.port,
        leaving,
        era,
        vm.capacity,
        run,
        vm.features,
        vm.build,
    )
    return msgspec.json.encode(node)


def decode_node_run(value: bytes) -> str:
    """Return the process that a registration names, empty if it names none."""
    try:
        return msgspec.json.decode(value, type=_Node).run
    except DECODE_ERRORS:
        # ``decode_node`` reports it.
        return ""


def decode_node(key: str, value: bytes) -> Vm | None:
    """Return the node that a registration describes, or None if it is invalid."""
    try:
        node = msgspec.json.decode(value, type=_Node)
    except DECODE_ERRORS as exc:
        log.warning("documents: node not understood", key=key, error=str(exc))
        return None
    state = "leaving" if node.leaving else "live"
    name = key.removeprefix(NODES_PREFIX)
    return Vm(
        name,
        node.zone,
        node.host,
        node.port,
        state=state,
        capacity=node.capacity,
        features=node.features,
        build=node.build,
    )


class _Reserve(msgspec.Struct):
    owner: str
    tokens: dict[str, float]
    era: int | None = None


def encode_reserve(owner: str, tokens: Mapping[str, float], era: int) -> bytes:
    """Return the record of the reserved tokens in the format of the store.

    ``tokens`` maps organisations to the tokens that the quota coordinator ``owner``
    keeps for the next coordinator.
    """
    return msgspec.json.encode(_Reserve(owner, dict(tokens), era))


def decode_reserve(key: str, value: bytes, rev: int) -> Reserve | None:
    """Return the record of the reserved tokens, or None if it is invalid.

    A record of an older era still names the coordinator, so that the nodes stay with
    it, but its tokens may have been handed out since.
    """
    try:
        record = msgspec.json.decode(value, type=_Reserve)
    except DECODE_ERRORS as exc:
        log.warning("documents: reserve not understood", key=key, error=str(exc))
        return None
    is_current = record.era is None or record.era == era_of(rev)
    return Reserve(record.owner, record.tokens if is_current else {}, rev)


def encode_ownership(node: str, era: int, group: str = "") -> bytes:
    """Return the record of a group's owner in the format of the store."""
    named = group if has_digest(OWNERSHIP_PREFIX, group) else msgspec.UNSET
    return msgspec.json.encode(_Ownership(node, era, named))


def decode_ownership(key: str, value: bytes, rev: int) -> RecordedOwnership | None:
    """Return the recorded owner of a group, or None if the record is invalid.

    The position of the record is the epoch. Positions only increase and are never
    reused, not even after a lost answer, an outage or a restore of the store, so no two
    claims of a group have the same epoch.
    """
    try:
        ownership = msgspec.json.decode(value, type=_Ownership)
    except DECODE_ERRORS as exc:
        log.warning("documents: ownership not understood", key=key, error=str(exc))
        return None
    return RecordedOwnership(ownership.node, rev)


class _ReplicaSet(msgspec.Struct):
    primary: str
    # The name of each replica and when its run began, in Unix milliseconds.
    replicas: list[tuple[str, int]]
    as_of: int = 0
    era: int | None = None
    # Only where the key has no room for it.
    group: str | msgspec.UnsetType = msgspec.UNSET


def encode_replica_set(replicas: ReplicaSet, era: int, group: str = "") -> bytes:
    """Return the record of a group's replica set in the format of the store."""
    runs = [(run.name, run.started_ms) for run in sorted(replicas.replicas)]
    named = group if has_digest(REPLICAS_PREFIX, group) else msgspec.UNSET
    record = _ReplicaSet(replicas.primary, runs, replicas.as_of, era, named)
    return msgspec.json.encode(record)


def decode_replica_set(key: str, value: bytes) -> ReplicaSet | None:
    """Return the recorded replica set of a group, or None if the record is invalid."""
    try:
        record = msgspec.json.decode(value, type=_ReplicaSet)
    except DECODE_ERRORS as exc:
        log.warning("documents: replica set not understood", key=key, error=str(exc))
        return None
    runs = frozenset(TargetRun(*run) for run in record.replicas)
    return ReplicaSet(record.primary, runs, record.as_of)
