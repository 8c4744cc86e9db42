"""Checks the groups and routes of a configuration, and their times and connections.

A part of ``core/config/config_check.py``.
"""

from collections import defaultdict
from collections.abc import Iterator
from itertools import chain

from lavenderstack.core.catalog import Consistency
from lavenderstack.core.config.declared_config import (
    DeclaredConfig,
    DeclaredGroup,
    DeclaredRoute,
    DeclaredTarget,
    Finding,
    Place,
    error,
    fmt,
    shown_name,
    shown_names,
    warning,
)

# A read of a bounded age needs a position of the primary that is as young. Positions
# are asked for every 0.2 s and may be 0.2 s old by then, and the read starts up to
# 0.05 s later (``node/primary_positions.py``).
USUAL_LAG_S = 0.45


def check(cfg: DeclaredConfig) -> Iterator[Finding]:
    """Yield what is wrong with the groups and routes."""
    routed = {route.group for route in cfg.routes or ()}
    customers = {organisation.name for organisation in cfg.organisations or ()}
    for group in cfg.groups or ():
        if cfg.routes is not None and group.name not in routed:
            text = f"No route leads to the group {shown_name(group.name)}."
            yield warning("group-without-route", group.place, text)
        yield from _check_callers(
            group, customers if cfg.organisations is not None else None
        )
        yield from _check_connections(group, customers)
        yield from _check_cold_limit(group)
    yield from _check_targets(cfg)
    known = {group.name for group in cfg.groups or ()}
    for route in cfg.routes or ():
        if cfg.groups is not None and route.group not in known:
            yield _unknown_group(route)
        yield from _check_age(route)
        yield from _check_times(route)
        yield from _check_home_regions(cfg, route)
    yield from _check_idle_time(cfg)


def _check_callers(
    group: DeclaredGroup, customers: set[str] | None
) -> Iterator[Finding]:
    if group.organisations is None:
        return
    name = shown_name(group.name)
    if not group.organisations and not group.open_statements:
        text = f"No organisation may use the group {name}, and nothing there is open."
        yield warning("group-without-callers", group.place, text)
    unknown = set() if customers is None else group.organisations - customers
    if unknown:
        text = (
            f"The group {name} lists organisations without a plan, which are refused: "
            f"{shown_names(unknown)}."
        )
        place = group.place.field("organisations")
        yield warning("organisation-without-plan", place, text)


def _check_connections(group: DeclaredGroup, customers: set[str]) -> Iterator[Finding]:
    name, place = shown_name(group.name), group.place
    if group.targets is None:
        place = place.field("connections")
    if group.connections < 1:
        text = (
            f"The group {name} allows {fmt(group.connections)} connections, so "
            "nothing can be sent to it."
        )
        yield error("connections-not-positive", place, text)
        return
    count = len(customers if group.organisations is None else group.organisations)
    if group.connections < count:
        text = (
            f"A target of the group {name} holds {fmt(group.connections)} connections "
            f"for {fmt(count)} organisations. A connection serves one organisation, "
            "so they compete for them, and opening one costs time."
        )
        yield warning("connections-below-organisations", place, text)


def _check_cold_limit(group: DeclaredGroup) -> Iterator[Finding]:
    name = shown_name(group.name)
    if group.cold_rate < 0:
        text = (
            f"Cold targets of the group {name} may get {fmt(group.cold_rate)} "
            "statements/s; below 0 nothing limits them."
        )
        yield warning("cold-rate-negative", group.place.field("cold_rate"), text)
    elif group.cold_rate > 0 and group.cold_s <= 0:
        text = (
            f"The group {name} limits its cold targets, but without the time for which "
            "they are cold, one that restarts isn't limited until it reports that."
        )
        yield warning("cold-time-missing", group.place.field("cold_s"), text)


def _check_targets(cfg: DeclaredConfig) -> Iterator[Finding]:
    first_at: dict[str, Place] = {}
    for group in cfg.groups or ():
        names: set[str] = set()
        for target in group.targets or ():
            name = shown_name(target.name)
            if target.name in names:
                text = f"The group has another target {name}; names must differ."
                yield error("target-twice", target.place, text)
            names.add(target.name)
            if target.address in first_at:
                other = first_at[target.address].text
                text = f"The target {name} has the same address as {other}."
                yield warning("address-twice", target.place, text)
            first_at.setdefault(target.address, target.place)
            yield from _check_slots(target)


def _check_slots(target: DeclaredTarget) -> Iterator[Finding]:
    if target.connections < target.slots:
        text = (
            f"The target {shown_name(target.name)} has {fmt(target.slots)} slots but "
            f"only {fmt(target.connections)} connections, so the other slots stay "
            "unused."
        )
        yield warning(
            "connections-below-slots", target.place.field("connections"), text
        )


def _unknown_group(route: DeclaredRoute) -> Finding:
    text = (
        f"The route {shown_name(route.name)} leads to the group "
        f"{shown_name(route.group)}, which isn't declared: every statement fails."
    )
    return error("unknown-group", route.place.field("group"), text)


def _check_age(route: DeclaredRoute) -> Iterator[Finding]:
    name, place = shown_name(route.name), route.place.field("max_age")
    if route.consistency is Consistency.PRIMARY:
        if route.max_age_s > 0:
            text = f"The route {name} reads only the primary; its age limit is ignored."
            yield warning("age-ignored", place, text)
    elif route.max_age_s < USUAL_LAG_S:
        text = (
            f"The route {name} takes reads up to {fmt(route.max_age_s)} s old, but the "
            f"age of a replica is usually proved only to {fmt(USUAL_LAG_S)} s, so "
            "replicas seldom meet it."
        )
        yield warning("age-below-lag", place, text)


def _check_times(route: DeclaredRoute) -> Iterator[Finding]:
    name, place = shown_name(route.name), route.place.field("timeout")
    timeout, goal = route.timeout_s, route.latency_goal_s
    if timeout <= 0:
        text = (
            f"The time-out of the route {name} is {fmt(timeout)} s: every statement "
            "fails."
        )
        yield error("timeout-not-positive", place, text)
    elif goal > timeout:
        text = (
            f"The latency goal of the route {name} is {fmt(goal)} s, above its "
            f"time-out of {fmt(timeout)} s: a statement fails before it is late."
        )
        yield warning("timeout-below-goal", place, text)
    if goal < 0:
        text = f"The latency goal of the route {name} is {fmt(goal)} s, below 0."
        yield error("goal-negative", route.place.field("latency_goal"), text)


def _check_home_regions(cfg: DeclaredConfig, route: DeclaredRoute) -> Iterator[Finding]:
    """Find organisations whose home regions exclude all of the route's."""
    if not cfg.own_plans or not route.home_regions:
        return
    apart = [
        limits.name
        for limits in cfg.limits or ()
        if limits.home_regions
        and not set(limits.home_regions).intersection(route.home_regions)
    ]
    if apart:
        text = (
            f"The route {shown_name(route.name)} has no home region in common with "
            f"{shown_names(apart)}: all of their statements there are refused."
        )
        yield warning("home-regions-apart", route.place.field("home_regions"), text)


def _check_idle_time(cfg: DeclaredConfig) -> Iterator[Finding]:
    """Compare the idle time of transactions with the routes' goals and time-outs."""
    idle, place = cfg.tx_idle_s, cfg.tx_idle_place
    if idle is None:
        return
    if idle <= 0:
        text = f"Transactions may be idle for {fmt(idle)} s, so each is ended at once."
        yield error("idle-not-positive", place, text)
        return
    yield from _check_idle_time_of_routes(cfg.routes or (), idle, place)


def _check_idle_time_of_routes(
    routes: tuple[DeclaredRoute, ...], idle: float, place: Place
) -> Iterator[Finding]:
    slower, shorter = defaultdict(list), defaultdict(list)
    for route in routes:
        if route.latency_goal_s > idle:
            slower[route.latency_goal_s].append(route.name)
        if 0 < route.timeout_s < idle and route.consistency is not Consistency.BOUNDED:
            shorter[route.timeout_s].append(route.name)
    if slower:
        text = (
            f"Transactions may be idle for {fmt(idle)} s, less than a latency goal of "
            f"{fmt(max(slower))} s: callers that pause for as long as one statement "
            f"may take lose them. Routes: {shown_names(chain(*slower.values()))}."
        )
        yield warning("idle-below-goal", place, text)
    if shorter:
        text = (
            f"Transactions may be idle for {fmt(idle)} s, longer than a time-out of "
            f"{fmt(min(shorter))} s: a statement that waits for an abandoned one fails "
            f"first. Routes: {shown_names(chain(*shorter.values()))}."
        )
        yield warning("idle-above-timeout", place, text)
