"""Translates the platform's configuration document into a ``DeclaredConfig``.

It only translates; ``core/config/config_check.py`` and ``core/config/config_diff.py``
decide. The document is decoded by the function that nodes decode it with.
"""

import re
from collections.abc import Iterator
from typing import Any

import msgspec

from lavenderstack.core.config.declared_config import (
    DeclaredConfig,
    DeclaredGroup,
    DeclaredKey,
    DeclaredLimits,
    DeclaredOrganisation,
    DeclaredRoute,
    Finding,
    Place,
    error,
    shown_name,
)
from lavenderstack.platform.callers import digest_of
from lavenderstack.platform.decoding import DECODE_ERRORS
from lavenderstack.platform.documents import (
    CONSISTENCIES,
    MS_PER_S,
    Path,
    convert_config,
    empty_keys,
    parse_config,
    unusable_names,
)

_LISTS = ("routes", "services", "tenants")
_ALIASES = {
    "rate": "per_s",
    "priority": "prio",
    "connections": "max_conns",
    "replicated": "sync_replicas",
    "cold_rate": "cold_per_s",
    "cold_s": "cold_start_s",
    "group": "service",
    "consistency": "type",
    "timeout": "timeout_ms",
    "latency_goal": "target_latency_ms",
    "max_age": "max_stale_ms",
    "groups": "services",
    "limits": "tenants",
    "customers": "tenants",
    "keys": "tenants",
}
_ROOT = Place(aliases=_ALIASES)
# In place of what is not being checked.
_EMPTY = {"version": 1, "routes": [], "services": [], "tenants": []}
_WORDS = {"str": "text", "int": "a whole number", "float": "a number"}
# The end of an error's text: the path of the value.
_PATH = re.compile(r"^(.*?)(?: - at `\$(.*)`)?$", re.DOTALL)
_PATH_PART = re.compile(r"\.([^.\[]+)|\[(\d+)\]")


def recognises(document: Any) -> bool:
    """Return whether a document has one of the lists of the platform's."""
    return isinstance(document, dict) and any(name in document for name in _LISTS)


def translate(document: dict, raw: bytes) -> tuple[DeclaredConfig, list[Finding]]:
    """Return the configuration, and what a node would refuse in it.

    A node takes the document whole or not at all, so one that it refuses is empty here.
    """
    try:
        cfg = parse_config(raw)
    except DECODE_ERRORS as exc:
        return DeclaredConfig(root=_ROOT), _find_errors(document, raw, exc)
    routes = tuple(_declare_routes(cfg.routes))
    tenants = [(tenant, _at("tenants", i)) for i, tenant in enumerate(cfg.tenants)]
    declared = DeclaredConfig(
        root=_ROOT,
        version=cfg.version,
        limits=tuple(
            DeclaredLimits(
                t.name,
                place,
                t.per_s,
                t.burst,
                priority=t.prio,
                home_regions=tuple(t.home_regions),
            )
            for t, place in tenants
        ),
        organisations=tuple(
            DeclaredOrganisation(t.name, place, t.name) for t, place in tenants
        ),
        keys=tuple(
            DeclaredKey(digest_of(key), t.name, place.child("api_keys").child(index))
            for t, place in tenants
            for index, key in enumerate(t.api_keys)
            if key
        ),
        groups=tuple(_declare_groups(cfg.services)),
        routes=routes,
        tx_idle_s=cfg.limits.tx_idle_ms / MS_PER_S,
        tx_idle_place=_ROOT.child("limits").child("tx_idle_ms"),
        own_plans=True,
        unusable_names=tuple(map(_place_of, unusable_names(cfg))),
        empty_keys=tuple(map(_place_of, empty_keys(cfg))),
    )
    return declared, []


def _place_of(path: Path) -> Place:
    place = _ROOT
    for part in path:
        place = place.child(part)
    return place


def _at(name: str, index: int) -> Place:
    return _ROOT.child(name).child(index)


def _declare_routes(routes: list) -> Iterator[DeclaredRoute]:
    for index, route in enumerate(routes):
        yield DeclaredRoute(
            name=route.host,
            place=_at("routes", index),
            group=route.service,
            consistency=CONSISTENCIES[route.type],
            timeout_s=route.timeout_ms / MS_PER_S,
            latency_goal_s=route.target_latency_ms / MS_PER_S,
            max_age_s=route.max_stale_ms / MS_PER_S,
            priority=route.prio,
            public=route.public,
            home_regions=tuple(route.home_regions),
        )


def _declare_groups(services: list) -> Iterator[DeclaredGroup]:
    for index, service in enumerate(services):
        yield DeclaredGroup(
            service.name,
            _at("services", index),
            service.max_conns,
            replicated=service.sync_replicas > 0,
            cold_rate=service.cold_per_s,
            cold_s=service.cold_start_s,
        )


def _find_errors(document: dict, raw: bytes, exc: Exception) -> list[Finding]:
    """Return the errors of a document that can't be decoded, one for each entry."""
    try:
        msgspec.json.decode(raw)
    except DECODE_ERRORS as not_json:
        text = f"The document isn't JSON, which nodes read: {_split(not_json)[0]}."
        return [error("invalid-value", Place(), text)]
    emptied = {n: [] for n in _LISTS if isinstance(document.get(n), list)}
    found = list(_errors_of(document | emptied))
    for name in emptied:
        for index, entry in enumerate(document[name]):
            found += _errors_of(_EMPTY | {name: [entry]}, index)
    return found or [error("invalid-value", Place(), f"{_split(exc)[0]}.")]


def _errors_of(document: dict, index: int = 0) -> Iterator[Finding]:
    """Yield the error of a document whose lists have one entry, at ``index``."""
    try:
        convert_config(document)
    except DECODE_ERRORS as exc:
        message, path = _split(exc)
        place = _ROOT
        for name, number in _PATH_PART.findall(path):
            if name:
                place = place.child(name)
            else:
                place = place.child(index if len(place.path) == 1 else int(number))
        yield error("invalid-value", place, f"{message}.")


def _split(exc: Exception) -> tuple[str, str]:
    """Return the message of an error without the path, and the path.

    Only messages of msgspec have a path; others could quote a value.
    """
    if not isinstance(exc, msgspec.MsgspecError):
        return "A value is out of range, or nested too deeply", ""
    message, path = _PATH.match(str(exc)).groups()
    for name, words in _WORDS.items():
        message = message.replace(f"`{name}`", words)
    return shown_name(message), path or ""
