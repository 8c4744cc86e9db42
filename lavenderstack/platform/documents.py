"""Decodes the operators' documents in the platform's store.

The platform calls a group a service and an organisation a tenant. An invalid catalog is
logged and ignored, so that the last valid one stays in effect. The reports of targets
are in ``platform/target_reports.py``, this service's own records in
``platform/records.py``.
"""

from collections.abc import Iterator
from itertools import chain
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
from lavenderstack.core.names import is_one_field, is_usable_name
from lavenderstack.core.view import DEFAULT_PRIORITY, Plan
from lavenderstack.platform.callers import digest_of
from lavenderstack.platform.decoding import DECODE_ERRORS, EVACUATIONS_PREFIX, MS_PER_S

log = structlog.get_logger()

CATALOG_KEY = "op/config"

DEFAULT_TIMEOUT_MS = 1000.0

# Where an entry stands in the operators' document.
Path = tuple[str | int, ...]


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


def parse_config(value: bytes) -> _Config:
    """Return the operators' document; raises an error of ``DECODE_ERRORS``."""
    return convert_config(msgspec.json.decode(value))


def convert_config(raw: Any) -> _Config:
    """Return the operators' document from plain values; raises as ``parse_config``."""
    return msgspec.convert(raw, _Config)


def decode_catalog(value: bytes) -> Catalog | None:
    """Return the catalog that the operators wrote, or None if it is invalid."""
    try:
        cfg = parse_config(value)
    except DECODE_ERRORS as exc:
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
            if key
        },
        tx_idle_s=cfg.limits.tx_idle_ms / MS_PER_S,
        unusable=tuple(
            _shown(path) for path in chain(unusable_names(cfg), empty_keys(cfg))
        ),
    )


def _shown(path: Path) -> str:
    """Return a path as text, without a text of the document."""
    parts = [f"[{part}]" if isinstance(part, int) else f".{part}" for part in path]
    return "".join(parts)[1:]


def unusable_names(cfg: _Config) -> Iterator[Path]:
    """Yield the paths of names that can't be a field of a message.

    No statement is run for such a tenant or service: a session of the tenant is
    refused, and targets can't report such a service.
    """
    rules = {"tenants": is_one_field, "services": is_usable_name}
    for field, is_valid in rules.items():
        for index, entry in enumerate(getattr(cfg, field)):
            if not is_valid(entry.name):
                yield field, index, "name"


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


def empty_keys(cfg: _Config) -> Iterator[Path]:
    """Yield the paths of empty keys, which all callers without a key would have."""
    for index, tenant in enumerate(cfg.tenants):
        for number, key in enumerate(tenant.api_keys):
            if not key:
                yield "tenants", index, "api_keys", number


def evacuated_zone(key: str) -> str | None:
    """Return the zone that an entry evacuates, whatever its value is, or None."""
    if not key.startswith(EVACUATIONS_PREFIX):
        return None
    return key.removeprefix(EVACUATIONS_PREFIX) or None
