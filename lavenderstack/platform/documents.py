"""Decodes the documents in the platform's store into the types of this project.

The platform calls a group a service, an organisation a tenant and a target a server.

For a document that can't be decoded, the functions log a line and return None. An
invalid catalog is ignored, so that the last valid one stays in effect; an invalid
report removes its target. This service's own records are in ``platform/records.py``.
"""

from typing import Any, Literal

import msgspec
import structlog

from lavenderstack.core.catalog import (
    DEFAULT_TX_IDLE_S,
    Catalog,
    Consistency,
    GroupLimits,
    Route,
)
from lavenderstack.core.failover.replica_set import TargetRun
from lavenderstack.core.view import DEFAULT_PRIORITY, Plan, Target
from lavenderstack.platform.callers import digest_of

log = structlog.get_logger()

CATALOG_KEY = "op/config"
TARGETS_PREFIX = "servers/"
EVACUATIONS_PREFIX = "op/evacuate/"

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
