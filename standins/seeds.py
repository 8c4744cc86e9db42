"""The initial entries of the platform's key-value service."""

import hashlib
import secrets
from collections.abc import Mapping
from typing import Any

from standins.sizes import Size

HOST = "127.0.0.1"

Entries = dict[str, Any]


def digest(key: str) -> str:
    """Return the SHA-256 hex digest that identifies an API key in the store."""
    return hashlib.sha256(key.encode()).hexdigest()


def entries(size: Size, ports: Mapping[str, int], keys: Mapping[str, str]) -> Entries:
    """Return the initial entries, a mapping from store keys to JSON values.

    ``ports`` maps the name of a VM to its port, ``keys`` an organisation to its key.
    """
    result: Entries = {
        "lavenderstack/plans": {
            "standard": {"rate": size.rate, "burst": size.burst},
            "small": {"rate": 2.0, "burst": 5.0},
        },
        "lavenderstack/bought": dict.fromkeys(size.organisations, "standard"),
        "lavenderstack/secrets/token": {"secret": secrets.token_urlsafe(32)},
    }
    for organisation, key in keys.items():
        result[f"lavenderstack/keys/{digest(key)}"] = {"organisation": organisation}
    for group in size.groups:
        result[f"lavenderstack/groups/{group}"] = _group(size, group, ports)
    for name, zone in size.nodes():
        result[f"platform/vms/{name}"] = _vm(zone, ports[name], "entry")
    for name, _, zone in size.targets():
        result[f"platform/vms/{name}"] = _vm(zone, ports[name], "target")
    return result


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
        for name, target_group, zone in size.targets()
        if target_group == group
    ]
    return {"targets": targets, "organisations": list(size.organisations)}
