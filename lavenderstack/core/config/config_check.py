"""Checks a configuration for entries that can't work, or probably don't as intended.

The models that load the configuration check each value alone; this module and
``core/config/config_check_groups.py`` check what the values mean together. They need no
node and no store.
"""

from collections.abc import Iterator
from itertools import chain

from lavenderstack.core.catalog import Consistency
from lavenderstack.core.config import config_check_groups
from lavenderstack.core.config.declared_config import (
    DeclaredConfig,
    DeclaredGroup,
    DeclaredKey,
    DeclaredLimits,
    Finding,
    by_name,
    error,
    fmt,
    shown_digest,
    shown_name,
    warning,
)
from lavenderstack.core.names import MAX_NAME_CHARS

# A statement holds a slot for 1 ms at least, on any database.
MAX_STATEMENTS_PER_SLOT_S = 1000


def check(cfg: DeclaredConfig) -> list[Finding]:
    """Return what is wrong with a configuration, in the order of the checks."""
    checks = (
        _check_version,
        _check_names,
        _check_duplicates,
        _check_limits,
        _check_organisations,
        _check_keys,
        config_check_groups.check,
    )
    return list(chain.from_iterable(check_part(cfg) for check_part in checks))


def _check_version(cfg: DeclaredConfig) -> Iterator[Finding]:
    if cfg.version is not None and cfg.version < 1:
        text = f"The version is {fmt(cfg.version)}; nodes take versions from 1 on."
        yield error("version-not-positive", cfg.root.field("version"), text)


def _check_names(cfg: DeclaredConfig) -> Iterator[Finding]:
    for place in cfg.unusable_names:
        text = (
            "The name can't be sent to targets: it is empty or has a blank or line "
            "end. Targets can't report a service with other blanks or control "
            f"characters or over {MAX_NAME_CHARS} characters. Nothing is run for it."
        )
        yield error("name-not-usable", place, text)


def _check_duplicates(cfg: DeclaredConfig) -> Iterator[Finding]:
    """Find entries of a list that a later one of the same name replaces."""
    for kind, entries in (
        ("route", cfg.routes),
        ("group", cfg.groups),
        ("organisation", cfg.organisations),
    ):
        last = by_name(entries)
        for entry in entries or ():
            if entry is not last[entry.name]:
                later = last[entry.name].place.text
                text = (
                    f"The {kind} {shown_name(entry.name)} is declared again at "
                    f"{later}; only the last one takes effect, this one never does."
                )
                yield error("duplicate-name", entry.place, text)


def _check_limits(cfg: DeclaredConfig) -> Iterator[Finding]:
    best = _best_capacity(cfg)
    bought = {organisation.plan for organisation in cfg.organisations or ()}
    is_bought_known = cfg.organisations is not None and not cfg.own_plans
    for limits in cfg.limits or ():
        yield from _check_rate(limits, best)
        if limits.burst < 1:
            text = (
                f"The burst is {fmt(limits.burst)}; below 1 no request is ever "
                "admitted."
            )
            yield error("burst-below-one", limits.place.field("burst"), text)
        if is_bought_known and limits.name not in bought:
            text = f"No organisation has the plan {shown_name(limits.name)}."
            yield warning("plan-not-bought", limits.place, text)


def _check_rate(limits: DeclaredLimits, best: float | None) -> Iterator[Finding]:
    place = limits.place.field("rate")
    if limits.rate <= 0:
        text = (
            f"The rate is {fmt(limits.rate)} requests/s; after the burst every "
            "request is refused, for good."
        )
        yield error("rate-not-positive", place, text)
    elif best is not None and limits.rate > best:
        text = (
            f"The rate is {fmt(limits.rate)} requests/s, but no group can carry more "
            f"than {fmt(best)}/s, even with statements of 1 ms."
        )
        yield warning("rate-too-high", place, text)


def _best_capacity(cfg: DeclaredConfig) -> float | None:
    """Return the requests/s that the largest group carries at most, None if unknown."""
    routes = cfg.routes or ()
    on_replicas = {r.group for r in routes if r.consistency is not Consistency.PRIMARY}
    capacities = [_capacity(group, on_replicas) for group in cfg.groups or ()]
    if not capacities or None in capacities:
        return None
    return max(capacities)


def _capacity(group: DeclaredGroup, on_replicas: set[str]) -> float | None:
    if group.targets is not None:
        return sum(target.slots for target in group.targets) * MAX_STATEMENTS_PER_SLOT_S
    if group.name in on_replicas:
        # The number of replicas isn't declared.
        return None
    # A connection runs one statement at a time, and only the primary's are used.
    return group.connections * MAX_STATEMENTS_PER_SLOT_S


def _check_organisations(cfg: DeclaredConfig) -> Iterator[Finding]:
    plans = {limits.name for limits in cfg.limits or ()}
    owners = _owners_of_working_keys(cfg.keys or ())
    reachable = _organisations_with_a_group(cfg)
    for organisation in cfg.organisations or ():
        name, place = shown_name(organisation.name), organisation.place
        if cfg.limits is not None and organisation.plan not in plans:
            plan = shown_name(organisation.plan)
            text = f"{name} has the plan {plan}, which isn't declared."
            yield error("unknown-plan", place, text)
        if cfg.keys is not None and organisation.name not in owners:
            text = f"{name} has no key that works, so it can't call anything."
            yield warning("organisation-without-key", place, text)
        elif cfg.groups is not None and organisation.name not in reachable:
            text = f"{name} has no group and no route that it could use."
            yield warning("organisation-without-route", place, text)


def _owners_of_working_keys(keys: tuple[DeclaredKey, ...]) -> set[str]:
    owners = {key.digest: key.organisation for key in keys if not key.withdrawn}
    return set(owners.values())


def _organisations_with_a_group(cfg: DeclaredConfig) -> set[str]:
    everyone = {organisation.name for organisation in cfg.organisations or ()}
    routed = {route.group for route in cfg.routes or ()}
    found: set[str] = set()
    for group in cfg.groups or ():
        if cfg.routes is None or group.name in routed:
            found |= everyone if group.organisations is None else group.organisations
    return found


def _check_keys(cfg: DeclaredConfig) -> Iterator[Finding]:
    for place in cfg.empty_keys:
        text = "The key is empty, as for all callers that send none; nodes ignore it."
        yield error("empty-key", place, text)
    last = {key.digest: key for key in cfg.keys or ()}
    customers = {organisation.name for organisation in cfg.organisations or ()}
    for key in cfg.keys or ():
        counted, shown = last[key.digest], shown_digest(key.digest)
        owner = shown_name(key.organisation)
        if key is not counted:
            text = (
                f"The key {shown} is given to {owner} and again to "
                f"{shown_name(counted.organisation)}; only the last one counts."
            )
            yield error("same-key", key.place, text)
        elif cfg.organisations is not None and key.organisation not in customers:
            if not key.withdrawn:
                text = (
                    f"The key {shown} is for {owner}, which has no plan: it is refused."
                )
                yield warning("organisation-without-plan", key.place, text)
