"""The operator of a soak: it writes the configuration, grants and withdraws keys."""

import asyncio
import json
import random
from dataclasses import dataclass, field

from bench.soak_record import (
    Database,
    EvacuatedSpan,
    Freshness,
    KeyChange,
    Plan,
    Record,
)
from lavenderstack.core import clock
from standins.line_group import MAX_CONNECTIONS
from standins.metadata_store import MetadataStore

TIMEOUT_S = 2.0
MAX_AGE_S = {Freshness.PRIMARY: 0.0, Freshness.BOUNDED: 1.5, Freshness.SESSION: 3.0}
CHANGE_INTERVAL_S = (2.0, 5.0)
PLANS = {"wide": Plan(2000.0, 500.0), "narrow": Plan(15.0, 10.0)}
_KINDS = {
    "now": Freshness.PRIMARY,
    "aged": Freshness.BOUNDED,
    "own": Freshness.SESSION,
}


def _evacuation_key(zone: str) -> str:
    return f"op/evacuate/{zone}"


@dataclass
class Operator:
    """``keys`` maps an organisation to the keys in force, oldest first."""

    store: MetadataStore
    record: Record
    rng: random.Random
    version: int = 0
    groups: list[str] = field(default_factory=list)
    databases: dict[str, Database] = field(default_factory=dict)
    keys: dict[str, list[str]] = field(default_factory=dict)
    made: int = 0

    def begin(self, groups: list[str]) -> None:
        """Write the first configuration."""
        self.groups = groups
        for group in groups:
            for kind, freshness in _KINDS.items():
                name = f"{group}{kind}"
                self.databases[name] = Database(
                    name, group, freshness, TIMEOUT_S, MAX_AGE_S[freshness]
                )
        self.record.plans.update(PLANS)
        granted = []
        for organisation in PLANS:
            self.keys[organisation] = []
            granted += [self._add_key(organisation) for _ in range(2)]
        self._write(granted, [])

    def _add_key(self, organisation: str) -> str:
        self.made += 1
        key = f"key{self.made}{organisation}"
        self.keys[organisation].append(key)
        return key

    def _config(self) -> bytes:
        routes = [
            {
                "name": one.name,
                "host": one.name,
                "service": one.group,
                "type": one.freshness,
                "timeout_ms": one.timeout_s * 1000,
                "target_latency_ms": 500,
                "max_stale_ms": one.max_age_s * 1000,
                "prio": 1,
                "public": False,
            }
            for one in self.databases.values()
        ]
        tenants = [
            {
                "name": name,
                "api_keys": self.keys[name],
                "per_s": plan.rate,
                "burst": plan.burst,
            }
            for name, plan in PLANS.items()
        ]
        services = [
            {"name": name, "max_conns": MAX_CONNECTIONS, "sync_replicas": 1}
            for name in self.groups
        ]
        config = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {"tx_idle_ms": 3000},
            "tenants": tenants,
        }
        return json.dumps(config).encode()

    def _write(self, granted: list[str], withdrawn: list[str]) -> None:
        self.version += self.rng.randint(1, 5)
        self.store.put("op/config", self._config())
        now = clock.now()
        for key in granted:
            self.record.granted[key] = KeyChange(key, self.version, now)
        for key in withdrawn:
            self.record.withdrawn[key] = KeyChange(key, self.version, now)

    def write_again(self) -> None:
        """Write the present lists again, after the store came from a copy."""
        self.store.put("op/config", self._config())
        for span in self.record.evacuations:
            if span.end is not None:
                self.store.delete(_evacuation_key(span.zone))
        for zone in self.evacuated():
            self.store.put(_evacuation_key(zone), b"{}")

    def evacuated(self) -> list[str]:
        """Return the zones that are evacuated."""
        return [one.zone for one in self.record.evacuations if one.end is None]

    def evacuate(self, zone: str) -> EvacuatedSpan:
        """Evacuate a zone."""
        self.store.put(_evacuation_key(zone), b"{}")
        span = EvacuatedSpan(zone, clock.now())
        self.record.evacuations.append(span)
        return span

    def give_back(self, span: EvacuatedSpan) -> None:
        """Return a zone that was evacuated."""
        span.end = clock.now()
        self.store.delete(_evacuation_key(span.zone))

    async def run(self) -> None:
        """Grant a key and withdraw the oldest one from time to time."""
        while True:
            await asyncio.sleep(self.rng.uniform(*CHANGE_INTERVAL_S))
            if self.store.down or self.store.silent:
                continue
            organisation = self.rng.choice(list(PLANS))
            withdrawn = []
            if len(self.keys[organisation]) > 2:
                withdrawn = [self.keys[organisation].pop(0)]
            self._write([self._add_key(organisation)], withdrawn)
