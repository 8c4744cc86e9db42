"""What lies in the platform's store, decoded into the product's own types.

Each document is decoded here and nowhere else. One that can't be understood yields
None and a log line; what was known before stays in force.
"""

from collections.abc import Mapping

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
from lavenderstack.core.view import Plan, Target, Vm
from lavenderstack.platform.callers import digest_of

log = structlog.get_logger()

CATALOG_KEY = "op/config"
TARGETS_PREFIX = "servers/"
OWN_PREFIX = "ls/"
NODES_PREFIX = OWN_PREFIX + "nodes/"
DUTIES_PREFIX = OWN_PREFIX + "duties/"
RESERVE_KEY = OWN_PREFIX + "reserve"

DEFAULT_PRIORITY = 2
DEFAULT_TIMEOUT_MS = 1000.0
MS = 1000.0


class _Route(msgspec.Struct):
    # The wire's "host" is the name of a database, not that of a machine.
    host: str
    service: str
    type: Consistency
    timeout_ms: float = DEFAULT_TIMEOUT_MS
    target_latency_ms: float = DEFAULT_TIMEOUT_MS
    prio: int = DEFAULT_PRIORITY
    max_stale_ms: float = 0.0
    public: bool = False


class _Service(msgspec.Struct):
    name: str
    max_conns: int
    sync_replicas: int = 0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str]
    per_s: float
    burst: float
    prio: int = DEFAULT_PRIORITY


class _Limits(msgspec.Struct):
    tx_idle_ms: float = DEFAULT_TX_IDLE_S * MS


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


_FRESHNESS = {
    "primary": Consistency.PRIMARY,
    "bounded": Consistency.BOUNDED,
    "read_your_writes": Consistency.SESSION,
}


def decode_catalog(value: bytes) -> Catalog | None:
    """Return the operators' lists, or None if the document is no such thing."""
    try:
        raw = msgspec.json.decode(value)
        for route in raw["routes"]:
            route["type"] = _FRESHNESS[route["type"]]
        cfg = msgspec.convert(raw, _Config)
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as exc:
        log.warning("documents: catalog not understood", error=repr(exc)[:200])
        return None
    return Catalog(
        version=cfg.version,
        routes={route.host: _route(route) for route in cfg.routes},
        groups={
            one.name: GroupLimits(one.max_conns, one.sync_replicas > 0)
            for one in cfg.services
        },
        plans={one.name: Plan(one.name, one.per_s, one.burst) for one in cfg.tenants},
        keys={digest_of(key): one.name for one in cfg.tenants for key in one.api_keys},
        tx_idle_s=cfg.limits.tx_idle_ms / MS,
    )


def _route(route: _Route) -> Route:
    return Route(
        database=route.host,
        group=route.service,
        freshness=route.type,
        timeout_s=route.timeout_ms / MS,
        latency_goal_s=route.target_latency_ms / MS,
        priority=route.prio,
        max_age_s=route.max_stale_ms / MS,
        public=route.public,
    )


class _Server(msgspec.Struct):
    service: str
    addr: str
    zone: str
    slots: int
    state: str
    db_role: str


READY = "ready"
DRAINING = "draining"
PRIMARY = "primary"
REPLICA = "replica"


class Report(msgspec.Struct, frozen=True):
    """What a target reported: where it is, and how it sees itself."""

    target: Target
    group: str
    leaving: bool
    leads: bool


def decode_report(key: str, value: bytes) -> Report | None:
    """Return a target's report, or None if it names no target to use.

    The number of connections is left at 0: the operators' lists have it.
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
    except (msgspec.MsgspecError, ValueError) as exc:
        log.info(
            "documents: report names no usable target", key=key, error=str(exc)[:200]
        )
        return None
    leaving = server.state == DRAINING
    return Report(target, server.service, leaving, server.db_role == PRIMARY)


class _Node(msgspec.Struct):
    zone: str
    host: str
    port: int
    leaving: bool = False


class _Duty(msgspec.Struct):
    node: str


def encode_node(vm: Vm) -> bytes:
    """Return the registration of a node as it lies in the store."""
    leaving = vm.state == "leaving"
    return msgspec.json.encode(_Node(vm.zone, vm.host, vm.port, leaving))


def decode_node(key: str, value: bytes) -> Vm | None:
    """Return the node that a registration describes, None if it can't be read."""
    try:
        node = msgspec.json.decode(value, type=_Node)
    except msgspec.MsgspecError as exc:
        log.warning("documents: node not understood", key=key, error=str(exc))
        return None
    state = "leaving" if node.leaving else "live"
    name = key.removeprefix(NODES_PREFIX)
    return Vm(name, node.zone, node.host, node.port, state=state)


class _Reserve(msgspec.Struct):
    owner: str
    tokens: dict[str, float]


def encode_reserve(owner: str, tokens: Mapping[str, float]) -> bytes:
    """Return the record of the reserves."""
    return msgspec.json.encode(_Reserve(owner, dict(tokens)))


def decode_reserve(key: str, value: bytes, rev: int) -> Reserve | None:
    """Return the record of the reserves, None if it can't be read."""
    try:
        record = msgspec.json.decode(value, type=_Reserve)
    except msgspec.MsgspecError as exc:
        log.warning("documents: reserve not understood", key=key, error=str(exc))
        return None
    return Reserve(record.owner, record.tokens, rev)


def encode_duty(node: str) -> bytes:
    """Return the record of who holds a duty."""
    return msgspec.json.encode(_Duty(node))


def decode_duty(key: str, value: bytes, rev: int) -> RecordedOwnership | None:
    """Return who holds a duty; the revision of its record is the epoch.

    Revisions only grow and are never given twice, also when an answer was lost or
    the store was away, so no two claims of a duty have the same epoch.
    """
    try:
        duty = msgspec.json.decode(value, type=_Duty)
    except msgspec.MsgspecError as exc:
        log.warning("documents: ownership not understood", key=key, error=str(exc))
        return None
    return RecordedOwnership(duty.node, rev)
