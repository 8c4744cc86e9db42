"""Creates the parts of a node, runs them, and stops the node as planned.

Parts start in the order of their dependencies: streams first, since the relay may have
to get its view from other nodes; the interface for callers last, once there is a view.
"""

import asyncio
import signal
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from functools import partial

import structlog

from lavenderstack.border import admin, callers, logs, operator_metrics, store
from lavenderstack.border.address import parse_address
from lavenderstack.border.listener import Listener, listening
from lavenderstack.border.settings import Settings
from lavenderstack.core import clock
from lavenderstack.core.members import Members
from lavenderstack.core.view import Group, Target
from lavenderstack.node import drain, metrics, supervisor
from lavenderstack.node.confirmers import Confirmers
from lavenderstack.node.control import NodeControl
from lavenderstack.node.entry import Entry
from lavenderstack.node.evacuation.zone_evacuations import ZoneEvacuations
from lavenderstack.node.holder import Holders
from lavenderstack.node.monitors import Monitors
from lavenderstack.node.peers import Peers
from lavenderstack.node.primaries import Primaries
from lavenderstack.node.quota.admission import Admission
from lavenderstack.node.quota.quota_coordinator import QuotaCoordinator
from lavenderstack.node.relay import Relay
from lavenderstack.node.revisions import where_in_force
from lavenderstack.node.router import Router
from lavenderstack.node.stream_server import StreamServer
from lavenderstack.node.streams import StreamPool
from lavenderstack.node.supervisor import Part
from lavenderstack.node.target_holder import TargetHolder

VIEW_POLL_S = 0.05
PROOF_WAIT_S = 10.0
STREAMS_STOP_S = 5.0
# Exit status when a part has failed too often.
EXIT_PART_FAILED = 1

log = structlog.get_logger()


@dataclass
class Node:
    """The parts of a node, wired together but not yet running."""

    cfg: Settings
    relay: Relay
    peers: Peers
    pool: StreamPool
    server: StreamServer
    holders: Holders
    confirmers: Confirmers
    monitors: Monitors
    coordinator: QuotaCoordinator
    admission: Admission
    entry: Entry
    metrics: metrics.Metrics
    evacuations: ZoneEvacuations
    stop: asyncio.Event = field(default_factory=asyncio.Event)


def build(cfg: Settings, platform: store.Store) -> Node:
    """Wire the parts of a node together."""
    pool = StreamPool()
    seeds = [parse_address(seed) for seed in cfg.seeds]
    relay = Relay(cfg.name, cfg.availability_zone, platform, pool, seeds)
    members = Members(cfg.name)
    peers = Peers(cfg.name, lambda: relay.view, pool, members)
    coordinator = QuotaCoordinator(cfg.name, relay, lambda: relay.view, peers.call)
    admission = Admission(cfg.name, lambda: relay.view, peers.call)
    evacuations = ZoneEvacuations(relay)
    control = NodeControl(relay, admission, evacuations)
    confirmers = Confirmers(peers)

    def make_holder(target: Target, group: Group) -> TargetHolder:
        confirmer = confirmers.for_group(group)
        return TargetHolder(cfg.name, target, group, control, confirmer)

    holders = Holders(control, make_holder)
    monitors = Monitors(cfg.name, lambda: relay.view, peers.live, pool)
    primaries = Primaries(peers.ask, monitors.monitoring_nodes)
    zone = cfg.availability_zone
    router = Router(zone, lambda: relay.view, peers, primaries, evacuations)
    request_metrics = metrics.Metrics()
    entry = Entry(relay, router, request_metrics)
    parts = (holders, relay, monitors, coordinator, admission)
    handlers = {}
    for part in parts:
        handlers |= part.handlers()
    peers.set_handlers(handlers)
    return Node(
        cfg=cfg,
        relay=relay,
        peers=peers,
        pool=pool,
        server=StreamServer(handlers),
        holders=holders,
        confirmers=confirmers,
        monitors=monitors,
        coordinator=coordinator,
        admission=admission,
        entry=entry,
        metrics=request_metrics,
        evacuations=evacuations,
    )


def _parts(node: Node) -> list[Part]:
    parts = [
        Part("streams", node.pool.run),
        Part("relay", node.relay.run),
        Part("evacuations", node.evacuations.run),
        Part("holders", node.holders.run),
        Part("confirm", node.confirmers.run),
        Part("monitors", node.monitors.run),
        Part("coordinator", node.coordinator.run),
        Part("admission", node.admission.run),
    ]
    statsd = node.cfg.statsd
    if statsd is not None:
        flush = metrics.run_flush
        run = lambda: flush(node.metrics, statsd.host, statsd.port)  # noqa: E731
        parts.append(Part("metrics", run))
    return parts


def _caller_listener(node: Node) -> AbstractAsyncContextManager[Listener]:
    cfg = node.cfg.callers
    app = callers.make_app(node.entry, cfg)
    return listening(
        app, cfg.host, cfg.port, cfg.header_timeout_s, drain.RUNNING_LIMIT_S
    )


def _operator_listener(node: Node) -> AbstractAsyncContextManager[Listener]:
    cfg, relay = node.cfg.administration, node.relay
    locate = partial(where_in_force, relay)
    app = admin.make_app(relay.store, relay, cfg.operators, locate)
    operator_metrics.add_routes(
        app, node.metrics.summaries, node.holders.statuses, node.evacuations.metrics
    )
    limits = node.cfg.callers.header_timeout_s, drain.RUNNING_LIMIT_S
    return listening(app, cfg.host, cfg.port, *limits)


async def _wait_for_view(node: Node) -> None:
    """Wait for a view, and up to ``PROOF_WAIT_S`` for the proof that it is recent.

    Without that proof only open routes can be served.
    """
    while not node.relay.view.revision:
        await node.relay.wait_for_change(VIEW_POLL_S)
    until = clock.now() + PROOF_WAIT_S
    while not node.relay.usable(clock.now()) and clock.now() < until:
        await node.relay.wait_for_change(VIEW_POLL_S)


async def _wait_for_stop(node: Node) -> None:
    """Wait for the stop signal, then until the load balancer must have noticed."""
    await node.stop.wait()
    log.info("node: stopping", running=node.entry.running)
    node.entry.stopping = True
    await asyncio.sleep(drain.UNREADY_NOTICE_S)


async def _drain(node: Node) -> None:
    limit_s = drain.RUNNING_LIMIT_S
    if not await drain.wait_idle(lambda: node.entry.running, limit_s):
        log.warning("node: requests still running at the limit")
    open_transactions = node.holders.open_transactions
    if not await drain.wait_idle(open_transactions, limit_s):
        log.warning("node: transactions still open at the limit")
    await node.admission.stop()
    await node.coordinator.stop()


async def _serve(node: Node) -> None:
    await node.server.start(node.cfg.peers.host, node.cfg.peers.port)
    async with asyncio.TaskGroup() as tasks:
        control_parts = tasks.create_task(supervisor.run(_parts(node)))
        await _wait_for_view(node)
        async with _operator_listener(node), _caller_listener(node) as listener:
            print(f"ready {listener.port}", flush=True)
            log.info("node: ready", revision=node.relay.view.revision)
            await _wait_for_stop(node)
            listener.close()
            await _drain(node)
        # Running requests of other nodes need the control parts until they end.
        await node.server.stop(STREAMS_STOP_S)
        control_parts.cancel()
    node.pool.close()


def _add_signal_handlers(stop: asyncio.Event) -> None:
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)


async def _run(cfg: Settings) -> int:
    status = 0
    async with store.open_store(cfg.platform.urls) as platform:
        node = build(cfg, platform)
        _add_signal_handlers(node.stop)
        try:
            await _serve(node)
        except* supervisor.PartFailed as group:
            log.error("node: a part failed too often", parts=str(group.exceptions))
            status = EXIT_PART_FAILED
    return status


def _runner() -> Callable:
    import uvloop

    return uvloop.run


def run(cfg: Settings) -> int:
    """Run a node until it receives a stop signal; return the exit status."""
    logs.configure(cfg.log_level, cfg.name)
    started = clock.now()
    status = _runner()(_run(cfg))
    log.info("node: ended", status=status, ran_s=round(clock.now() - started, 1))
    return status
