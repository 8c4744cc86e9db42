"""The entries that the platform's key-value service holds at the start."""

import hashlib
import secrets
from collections.abc import Mapping
from typing import Any

from standins.sizes import Size

HOST = "127.0.0.1"

Entries = dict[str, Any]


def digest(key: str) -> str:
    """Return the digest under which the store knows a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def entries(size: Size, ports: Mapping[str, int], keys: Mapping[str, str]) -> Entries:
    """Return the entries; ``ports`` is by VM, ``keys`` has each organisation's key."""
    found: Entries = {
        "lavenderstack/plans": {
            "standard": {"rate": size.rate, "burst": size.burst},
            "small": {"rate": 2.0, "burst": 5.0},
        },
        "lavenderstack/bought": dict.fromkeys(size.organisations, "standard"),
        "lavenderstack/secrets/token": {"secret": secrets.token_urlsafe(32)},
    }
    for organisation, key in keys.items():
        found[f"lavenderstack/keys/{digest(key)}"] = {"organisation": organisation}
    for group in size.groups:
        found[f"lavenderstack/groups/{group}"] = _group(size, group, ports)
    for name, zone in size.nodes():
        found[f"platform/vms/{name}"] = _vm(zone, ports[name], "entry")
    for name, _, zone in size.targets():
        found[f"platform/vms/{name}"] = _vm(zone, ports[name], "target")
    return found


def _vm(zone: str, port: int, kind: str) -> Entries:
    return {"zone": zone, "host": HOST, "port": port, "kind": kind}


def _group(size: Size, group: str, ports: Mapping[str, int]) -> Entries:
    targets = [
        {
            "name": name,
            "zone": zone,
            "host": HOST,
            "port": ports[name],
            "slots": size.slots,
            "connections": size.connections,
        }
        for name, its_group, zone in size.targets()
        if its_group == group
    ]
    return {"targets": targets, "organisations": list(size.organisations)}
