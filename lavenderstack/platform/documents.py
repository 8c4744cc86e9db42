"""Decodes the documents in the platform's store into the types of this project.

The platform calls a group a service, an organisation a tenant and a target a server.

All decoding is in this module. For a document that can't be decoded, the functions log
a line and return None. An invalid catalog, node, reserve or ownership record is
ignored, so that the last valid one stays in effect; an invalid report removes its
target.

This service's own records name the era of the store in which they were written. One
that came back with a copy of the store, from an older era, is void: its lease is gone,
and tokens that it reserves may have been handed out since. A record without an era was
written by a build that knows none and counts as one of the present era.
"""

from collections.abc import Mapping
from typing import Any, Literal

import msgspec
import structlog

from lavenderstack.core.catalog import (
    DEFAULT_TX_IDLE_S,
    Catalog,
    Consistency,
    GroupLimits,
    RecordedOwnership,
    Reserve,
    Route,
)
from lavenderstack.core.failover.replica_set import ReplicaSet, TargetRun
from lavenderstack.core.store_position import era_of
from lavenderstack.core.view import DEFAULT_PRIORITY, Plan, Target, Vm
from lavenderstack.platform.callers import digest_of

log = structlog.get_logger()

CATALOG_KEY = "op/config"
TARGETS_PREFIX = "servers/"
EVACUATIONS_PREFIX = "op/evacuate/"
SERVICE_PREFIX = "ls/"
NODES_PREFIX = SERVICE_PREFIX + "nodes/"
OWNERSHIP_PREFIX = SERVICE_PREFIX + "duties/"
REPLICAS_PREFIX = SERVICE_PREFIX + "replicas/"
RESERVE_KEY = SERVICE_PREFIX + "reserve"
ERA_KEY = SERVICE_PREFIX + "era"

DEFAULT_TIMEOUT_MS = 1000.0
MS_PER_S = 1000.0


class _Route(msgspec.Struct):
    # The platform's "host" is the name of a database, not of a machine.
    host: str
    service: str
    type: Literal["primary", "bounded", "read_your_writes"]
    timeout_ms: float = DEFAULT_TIMEOUT_MS
    target_latency_ms: float = DEFAULT_TIMEOUT_MS
    prio: int = DEFAULT_PRIORITY
    max_stale_ms: float = 0.0
    public: bool = False
    home_regions: list[str] = []


class _Service(msgspec.Struct):
    name: str
    max_conns: int
    sync_replicas: int = 0
    cold_per_s: float = 0.0
    cold_start_s: float = 0.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str]
    per_s: float
    burst: float
    prio: int = DEFAULT_PRIORITY
    home_regions: list[str] = []


class _Limits(msgspec.Struct):
    tx_idle_ms: float = DEFAULT_TX_IDLE_S * MS_PER_S


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


CONSISTENCIES = {
    "primary": Consistency.PRIMARY,
    "bounded": Consistency.BOUNDED,
    "read_your_writes": Consistency.SESSION,
}

# msgspec raises SystemError for an integer beyond the range of floats in the place of a
# float, and RecursionError for a document that is nested too deeply.
CONFIG_ERRORS = (msgspec.MsgspecError, ValueError, SystemError, RecursionError)


def parse_config(value: bytes) -> _Config:
    """Return the operators' document; raises an error of ``CONFIG_ERRORS``."""
    return convert_config(msgspec.json.decode(value))


def convert_config(raw: Any) -> _Config:
    """Return the operators' document from plain values; raises as ``parse_config``."""
    return msgspec.convert(raw, _Config)


def decode_catalog(value: bytes) -> Catalog | None:
    """Return the catalog that the operators wrote, or None if it is invalid."""
    try:
        cfg = parse_config(value)
    except CONFIG_ERRORS as exc:
        log.warning("documents: catalog not understood", error=repr(exc)[:200])
        return None
    return Catalog(
        version=cfg.version,
        routes={route.host: _convert_route(route) for route in cfg.routes},
        groups={service.name: _convert_service(service) for service in cfg.services},
        plans={tenant.name: _convert_tenant(tenant) for tenant in cfg.tenants},
        keys={
            digest_of(key): tenant.name
            for tenant in cfg.tenants
            for key in tenant.api_keys
        },
        tx_idle_s=cfg.limits.tx_idle_ms / MS_PER_S,
    )


def _convert_service(service: _Service) -> GroupLimits:
    return GroupLimits(
        connections=service.max_conns,
        replicated=service.sync_replicas > 0,
        cold_rate=service.cold_per_s,
        cold_s=service.cold_start_s,
    )


def _convert_tenant(tenant: _Tenant) -> Plan:
    return Plan(
        tenant.name,
        tenant.per_s,
        tenant.burst,
        priority=tenant.prio,
        home_regions=tuple(tenant.home_regions),
    )


def _convert_route(route: _Route) -> Route:
    return Route(
        database=route.host,
        group=route.service,
        freshness=CONSISTENCIES[route.type],
        timeout_s=route.timeout_ms / MS_PER_S,
        latency_goal_s=route.target_latency_ms / MS_PER_S,
        priority=route.prio,
        max_age_s=route.max_stale_ms / MS_PER_S,
        public=route.public,
        home_regions=tuple(route.home_regions),
    )


class _Server(msgspec.Struct):
    service: str
    addr: str
    zone: str
    slots: int
    state: str
    db_role: str
    # When its present run began, in Unix milliseconds.
    born: int = 0
    # For how much longer it is slow after its start.
    cold_left_ms: float = 0.0


# Values of ``state`` and ``db_role`` in a target's report.
READY = "ready"
DRAINING = "draining"
PRIMARY = "primary"
REPLICA = "replica"


class TargetReport(msgspec.Struct, frozen=True):
    """A target's report about itself.

    ``leads`` tells whether it is the primary, ``leaving`` whether it is draining.
    ``started_ms`` is when its present run began, in Unix milliseconds, 0 if it doesn't
    say so. ``cold_s`` is how many more seconds it is cold, from the report's arrival.
    """

    target: Target
    group: str
    leaving: bool
    leads: bool
    started_ms: int = 0
    cold_s: float = 0.0


def decode_report(key: str, value: bytes) -> TargetReport | None:
    """Return a target's report, or None if it names no usable target.

    The target's number of connections is left at 0: the catalog defines it.
    """
    try:
        server = msgspec.json.decode(value, type=_Server)
        host, _, port = server.addr.rpartition(":")
        if server.state not in (READY, DRAINING) or not host:
            raise ValueError(f"state {server.state!r}, address {server.addr!r}")
        if server.db_role not in (PRIMARY, REPLICA) or server.slots < 1:
            raise ValueError(f"role {server.db_role!r}, slots {server.slots}")
        name = key.removeprefix(TARGETS_PREFIX)
        target = Target(name, server.zone, host, int(port), server.slots, 0)
    except CONFIG_ERRORS as exc:
        log.info(
            "documents: report names no usable target", key=key, error=str(exc)[:200]
        )
        return None
    leaving = server.state == DRAINING
    leads = server.db_role == PRIMARY
    cold_s = max(0.0, server.cold_left_ms / MS_PER_S)
    return TargetReport(target, server.service, leaving, leads, server.born, cold_s)


def evacuated_zone(key: str) -> str | None:
    """Return the zone that an entry evacuates, whatever its value is, or None."""
    if not key.startswith(EVACUATIONS_PREFIX):
        return None
    return key.removeprefix(EVACUATIONS_PREFIX) or None


class _TargetRun(msgspec.Struct):
    service: str
    born: int = 0


def decode_target_run(key: str, value: bytes) -> tuple[str, TargetRun] | None:
    """Return the group and the run of a target, whatever state it reports.

    Returns None if the report is invalid.
    """
    try:
        report = msgspec.json.decode(value, type=_TargetRun)
    except CONFIG_ERRORS as exc:
        log.info("documents: target's run not understood", key=key, error=str(exc))
        return None
    return report.service, TargetRun(key.removeprefix(TARGETS_PREFIX), report.born)


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
    except msgspec.MsgspecError:
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
    except msgspec.MsgspecError as exc:
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
    except msgspec.MsgspecError:
        # ``decode_node`` reports it.
        return ""


def decode_node(key: str, value: bytes) -> Vm | None:
    """Return the node that a registration describes, or None if it is invalid."""
    try:
        node = msgspec.json.decode(value, type=_Node)
    except msgspec.MsgspecError as exc:
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
    except msgspec.MsgspecError as exc:
        log.warning("documents: reserve not understood", key=key, error=str(exc))
        return None
    is_current = record.era is None or record.era == era_of(rev)
    return Reserve(record.owner, record.tokens if is_current else {}, rev)


def encode_ownership(node: str, era: int) -> bytes:
    """Return the record of a group's owner in the format of the store."""
    return msgspec.json.encode(_Ownership(node, era))


def decode_ownership(key: str, value: bytes, rev: int) -> RecordedOwnership | None:
    """Return the recorded owner of a group, or None if the record is invalid.

    The position of the record is the epoch. Positions only increase and are never
    reused, not even after a lost answer, an outage or a restore of the store, so no two
    claims of a group have the same epoch.
    """
    try:
        ownership = msgspec.json.decode(value, type=_Ownership)
    except msgspec.MsgspecError as exc:
        log.warning("documents: ownership not understood", key=key, error=str(exc))
        return None
    return RecordedOwnership(ownership.node, rev)


class _ReplicaSet(msgspec.Struct):
    primary: str
    # The name of each replica and when its run began, in Unix milliseconds.
    replicas: list[tuple[str, int]]
    as_of: int = 0
    era: int | None = None


def encode_replica_set(replicas: ReplicaSet, era: int) -> bytes:
    """Return the record of a group's replica set in the format of the store."""
    runs = [(run.name, run.started_ms) for run in sorted(replicas.replicas)]
    record = _ReplicaSet(replicas.primary, runs, replicas.as_of, era)
    return msgspec.json.encode(record)


def decode_replica_set(key: str, value: bytes) -> ReplicaSet | None:
    """Return the recorded replica set of a group, or None if the record is invalid."""
    try:
        record = msgspec.json.decode(value, type=_ReplicaSet)
    except msgspec.MsgspecError as exc:
        log.warning("documents: replica set not understood", key=key, error=str(exc))
        return None
    runs = frozenset(TargetRun(*run) for run in record.replicas)
    return ReplicaSet(record.primary, runs, record.as_of)
