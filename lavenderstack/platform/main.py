"""A node on the platform: builds its parts, runs them and shuts them down."""

import asyncio
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import structlog

from lavenderstack import __version__
from lavenderstack.border import http, logs
from lavenderstack.border.address import parse_address
from lavenderstack.border.http import HttpResponse
from lavenderstack.core import clock
from lavenderstack.core.catalog import TargetState
from lavenderstack.core.change_messages import ChangesRequest
from lavenderstack.core.cold_start import ColdLimits
from lavenderstack.core.coordinator_messages import Attach, Detach, DrawTokens
from lavenderstack.core.log_rate_limit import LogRateLimiter
from lavenderstack.core.members import Members
from lavenderstack.core.messages import Message
from lavenderstack.core.placement import capacity
from lavenderstack.core.position_history import PositionHistory
from lavenderstack.core.view import Vm
from lavenderstack.core.view_proof import ViewProof
from lavenderstack.core.work_messages import (
    EndWork,
    GroupPositionRequest,
    LeadAcknowledged,
    LeadTaken,
    PrimaryPositionRequest,
    Work,
)
from lavenderstack.node import supervisor
from lavenderstack.node.admitter import Admitter
from lavenderstack.node.connection_gauges import add_connection_gauges
from lavenderstack.node.counters import Counters
from lavenderstack.node.directory import Directory
from lavenderstack.node.dispatch import Dispatcher
from lavenderstack.node.executors import Executors
from lavenderstack.node.holder_placement import HolderPlacement
from lavenderstack.node.peers import Peers
from lavenderstack.node.primary_positions import PrimaryPositions
from lavenderstack.node.replacer import Replacer
from lavenderstack.node.session import Services
from lavenderstack.node.streams import StreamLimits, StreamPool, StreamServer
from lavenderstack.node.supervisor import Part
from lavenderstack.node.target_gauges import TargetGauges
from lavenderstack.platform import settings, store, targets
from lavenderstack.platform.callers import CallerServer
from lavenderstack.platform.loader import Loader
from lavenderstack.platform.orders import PlatformOrders
from lavenderstack.platform.registration import Registration
from lavenderstack.platform.settings import Settings

log = structlog.get_logger()

EXIT_BAD_SETTINGS = 2
EXIT_PART_FAILED = 1
# Callers wait about a second for a statement. A node that froze or became unreachable
# must be detected sooner, so that a read can still be served elsewhere.
STREAM_LIMITS = StreamLimits(
    connect_s=0.3, ping_after_s=0.25, silent_after_s=0.8, tick_s=0.1
)
# File descriptors reserved for streams and for connections to targets and the store.
RESERVED_DESCRIPTORS = 600
# The store is asked about every 1.5 seconds, so at this age of the proof two answers
# are missing. Callers are sent to other nodes from then on, before the proof expires
# and requests with keys must be refused.
MAX_READY_PROOF_AGE_S = 3.6
READINESS_CHECK_INTERVAL_S = 0.3
# The load balancer probes once a second and removes a node after two failed probes.
BALANCER_REMOVAL_S = 2.2
# Part of the stop limit that is reserved for ending the lease.
STOP_MARGIN_S = 0.7
STOP_POLL_INTERVAL_S = 0.05
SETTINGS_POLL_INTERVAL_S = 1.0


@dataclass
class Node:
    """The parts of a node; ``build`` connects them, ``_serve`` runs them."""

    cfg: Settings
    directory: Directory
    pool: StreamPool
    peers: Peers
    executors: Executors
    admitter: Admitter
    replacer: Replacer
    registration: Registration
    loader: Loader
    server: StreamServer
    callers: CallerServer
    counters: Counters
    stop: asyncio.Event = field(default_factory=asyncio.Event)

    def ready(self) -> bool:
        """Return whether this node should get new sessions."""
        if self.stop.is_set() or not self.directory.catalog.version:
            return False
        return self.directory.proof.age_s(clock.now()) <= MAX_READY_PROOF_AGE_S


class TargetBackend:
    """Implements ``node.backend.Backend``."""

    connect = staticmethod(targets.connect)
    parse_replication_status = staticmethod(targets.parse_replication_status)


def _apply_evacuation_settings(directory: Directory, cfg: Settings) -> None:
    limit_ms = cfg.evacuation_limit_ms
    directory.evacuation_limit_s = None if limit_ms is None else limit_ms / 1000
    directory.orders_per_s = cfg.orders_per_s


def _apply_placement_settings(directory: Directory, cfg: Settings) -> None:
    """Apply the regions of the zones and the limits of cold targets."""
    directory.regions = cfg.zones
    directory.cold_limits = None
    if cfg.cold_excess is not None and cfg.cold_slack is not None:
        directory.cold_limits = ColdLimits(cfg.cold_excess, cfg.cold_slack)


def _capacity(cfg: Settings) -> float:
    """Return the statements a second that this VM can pass on, 0 if unknown."""
    if cfg.cores is None or cfg.core_share is None or cfg.link_mbps is None:
        return 0.0
    return capacity(cfg.cores * cfg.core_share, cfg.link_mbps)


def build(cfg: Settings, metadata_store: store.Store, orders: PlatformOrders) -> Node:
    """Create the parts of a node and connect them."""
    proof = ViewProof(cfg.withdrawn_key_limit_ms / 1000)
    directory = Directory(cfg.name, cfg.availability_zone, proof)
    directory.load_control = cfg.load_control
    _apply_evacuation_settings(directory, cfg)
    _apply_placement_settings(directory, cfg)
    vm = Vm(
        cfg.name,
        cfg.availability_zone,
        cfg.host,
        cfg.peers_port,
        capacity=_capacity(cfg),
    )
    pool = StreamPool(STREAM_LIMITS)
    peers = Peers(cfg.name, lambda: directory.view, pool, Members(cfg.name))
    peers.assigned_to = HolderPlacement(directory).assigned_to
    executors: Executors

    def local_positions(group: str) -> PositionHistory | None:
        primary = directory.primary(group)
        executor = (
            executors.target_executors.get(primary.target.name) if primary else None
        )
        return executor.positions if executor else None

    def is_first_choice(state: TargetState) -> bool:
        holders = peers.holders(state.target)
        return bool(holders) and holders[0].name == cfg.name

    def cold_choice(state: TargetState) -> tuple[bool, float]:
        first = peers.first_choice(state.target)
        assigned = peers.assigned_to(state.target) is not None
        # An assignment depends on all targets, so it may be new at any time.
        changed_at = clock.now() if assigned else directory.members_changed_at
        return first is not None and first.name == cfg.name, changed_at

    positions = PrimaryPositions(directory, peers, local_positions)
    backend = TargetBackend()
    executors = Executors(
        directory,
        backend,
        positions.min_position_for,
        is_first_choice,
        cold_choice=cold_choice,
    )
    counters = Counters()
    executors.cold.refused = lambda cause: counters.cold_refusals.labels(cause).inc()
    dispatcher = Dispatcher(directory, peers, counters)
    registration = Registration(metadata_store, vm)
    executors.run_id = registration.identity
    admitter = Admitter(directory, peers, registration)
    replacer = Replacer(directory, peers, backend, registration, orders, counters)

    async def lead_taken(msg: LeadTaken) -> Message:
        directory.record_primary(msg.group, msg.target)
        return LeadAcknowledged()

    loader = Loader(metadata_store, directory, peers, cfg.first_store_era)
    handlers = {
        ChangesRequest: loader.handle_changes_request,
        LeadTaken: lead_taken,
        Work: executors.work,
        EndWork: executors.end,
        PrimaryPositionRequest: executors.primary_position,
        GroupPositionRequest: executors.group_position,
        Attach: admitter.attach,
        Detach: admitter.detach,
        DrawTokens: admitter.draw,
    }
    peers.set_handlers(handlers)
    services = Services(directory, dispatcher, admitter, peers, counters)
    max_connections = max(100, cfg.descriptors - RESERVED_DESCRIPTORS)
    return Node(
        cfg=cfg,
        directory=directory,
        pool=pool,
        peers=peers,
        executors=executors,
        admitter=admitter,
        replacer=replacer,
        registration=registration,
        loader=loader,
        server=StreamServer(handlers),
        callers=CallerServer(services, max_connections),
        counters=counters,
    )


def _add_gauges(node: Node) -> None:
    """Add the metrics whose values are read at each scrape."""
    counters, executors = node.counters, node.executors
    directory = node.directory

    def connections() -> int:
        return sum(
            len(executor.connections)
            for executor in executors.target_executors.values()
        )

    def queued() -> int:
        return sum(
            executor.slots.waiting for executor in executors.target_executors.values()
        )

    def handshakes() -> int:
        return sum(
            executor.connections.opened.total()
            for executor in executors.target_executors.values()
        )

    counters.gauge(
        "proof_age_seconds",
        "Age of the proof that the view is current",
        lambda: directory.proof.age_s(clock.now()),
    )
    counters.gauge(
        "catalog_version", "Version in force", lambda: directory.catalog.version
    )
    counters.gauge(
        "sessions", "Open sessions of callers", lambda: len(node.callers.connections)
    )
    counters.gauge("target_connections", "Open connections to targets", connections)
    add_connection_gauges(counters, executors)
    counters.gauge("target_handshakes", "Connections opened to targets", handshakes)
    counters.gauge("queued", "Statements that wait for a slot", queued)
    counters.gauge(
        "shed_statements",
        "Statements refused here by load control, as their holder",
        lambda: sum(
            executor.slots.shedder.refused
            for executor in executors.target_executors.values()
        ),
    )
    counters.gauge(
        "full_refusals",
        "Statements refused here since all targets reported full",
        lambda: node.callers.services.dispatcher.limits.refused,
    )
    counters.registry.register(TargetGauges(executors))
    counters.gauge(
        "executors", "Targets held here", lambda: len(executors.target_executors)
    )
    counters.gauge("nodes", "Nodes known", lambda: len(directory.view.vms))
    counters.gauge(
        "evacuated_zones", "Zones evacuated", lambda: len(directory.evacuations)
    )
    counters.gauge(
        "cold_targets",
        "Targets that are cold and limited",
        directory.cold_targets,
    )
    counters.gauge(
        "history_known",
        "1 if all that were ever registered in the store are known",
        lambda: int(directory.history.known),
    )
    counters.gauge("store_calls", "Calls of the store", node.loader.store_calls)
    counters.gauge(
        "store_restores",
        "Times that the store came back from a copy",
        node.loader.store_restores,
    )


async def _close_idle_when_unready(node: Node) -> None:
    """Close idle sessions while the node is not ready, so callers connect elsewhere."""
    was_ready = False
    while True:
        ready = node.ready()
        if ready != was_ready:
            was_ready = ready
            age_s = round(node.directory.proof.age_s(clock.now()), 3)
            log.info("node: ready", ready=ready, proof_age_s=age_s)
        if not ready and not node.stop.is_set():
            node.callers.close_idle()
        await asyncio.sleep(READINESS_CHECK_INTERVAL_S)


def _parts(node: Node) -> list[Part]:
    return [
        Part("loader", node.loader.run),
        Part("registration", node.registration.run),
        Part("streams", node.pool.run),
        Part("executors", node.executors.run),
        Part("admitter", node.admitter.run),
        Part("replacer", node.replacer.run),
        Part("callers", node.callers.run),
        Part("readiness", lambda: _close_idle_when_unready(node)),
    ]


@asynccontextmanager
async def _serve_probes(node: Node) -> AsyncIterator[None]:
    """Serve the readiness probe and the metrics while the block runs."""

    async def ready() -> HttpResponse:
        return HttpResponse(200 if node.ready() else 503, b"")

    async def metrics() -> HttpResponse:
        return HttpResponse(200, node.counters.text())

    cfg = node.cfg
    async with http.serve_pages({"/api/ready": ready}, *parse_address(cfg.readiness)):
        if not cfg.metrics_port:
            yield
            return
        async with http.serve_pages({"/metrics": metrics}, cfg.host, cfg.metrics_port):
            yield


def _add_signal_handlers(node: Node, path: Path) -> None:
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, node.stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: _reload(node, path))


def _reload(node: Node, path: Path) -> None:
    """Load the settings again; a file with mistakes changes nothing."""
    try:
        cfg = settings.load(path)
    except settings.SettingsError as exc:
        log.error("node: previous settings kept", mistakes=exc.mistakes)
        return
    previous, node.cfg = node.cfg, cfg
    changed = [
        field
        for field in cfg.__struct_fields__
        if getattr(cfg, field) != getattr(previous, field)
    ]
    node.directory.proof.limit_s = cfg.withdrawn_key_limit_ms / 1000
    node.directory.load_control = cfg.load_control
    _apply_placement_settings(node.directory, cfg)
    _apply_evacuation_settings(node.directory, cfg)
    log.info("node: settings read", changed=changed)


async def _follow_settings(node: Node, path: Path) -> None:
    """Load the settings again whenever the file changes, until cancelled."""
    known = _read_if_present(path)
    while True:
        await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
        found = _read_if_present(path)
        if found != known:
            known = found
            _reload(node, path)


def _read_if_present(path: Path) -> bytes | None:
    """Return the file's content, None if there is none.

    Its time and size may be the same after a change, so they are not enough.
    """
    try:
        return path.read_bytes()
    except OSError:
        return None


def _count_open_operations(node: Node) -> int:
    """Return the number of operations open here, for callers and for other nodes."""
    caller_operations = node.callers.open_operations + len(node.callers.running)
    return (
        caller_operations + node.executors.open_transactions + len(node.server.running)
    )


async def _drain(node: Node) -> None:
    """Shut down in order; open operations may finish within ``stop_limit_s``."""
    started_at = clock.now()
    deadline = started_at + node.cfg.stop_limit_s - STOP_MARGIN_S
    node.replacer.stopping = True
    leave_task = asyncio.ensure_future(node.registration.leave())
    while (now := clock.now()) < deadline:
        if now - started_at > BALANCER_REMOVAL_S:
            node.callers.close_idle()
            if not _count_open_operations(node):
                break
        await asyncio.sleep(STOP_POLL_INTERVAL_S)
    node.callers.stop_listening()
    await leave_task
    await node.registration.end()


async def _serve(node: Node, path: Path) -> None:
    _add_signal_handlers(node, path)
    cfg = node.cfg
    await node.server.start(cfg.host, cfg.peers_port)
    async with asyncio.TaskGroup() as tasks, _serve_probes(node):
        settings_part = Part("settings", lambda: _follow_settings(node, path))
        parts = tasks.create_task(supervisor.run([*_parts(node), settings_part]))
        await node.callers.start(*parse_address(cfg.callers))
        log.info("node: started", zone=cfg.availability_zone, version=__version__)
        await node.stop.wait()
        log.info("node: stopping", open=node.callers.open_operations)
        await _drain(node)
        parts.cancel()
    node.pool.close()


async def _run(cfg: Settings, path: Path, log_limiter: LogRateLimiter) -> int:
    status = 0
    orders_address = parse_address(cfg.orders)
    async with (
        store.open_store(cfg.store) as metadata_store,
        http.client(*orders_address) as platform,
    ):
        node = build(cfg, metadata_store, PlatformOrders(platform))
        _add_gauges(node)
        report_task = asyncio.ensure_future(logs.report_dropped_lines(log_limiter))
        try:
            await _serve(node, path)
        except* supervisor.PartFailed as group:
            log.error("node: a part failed too often", parts=str(group.exceptions))
            status = EXIT_PART_FAILED
        finally:
            report_task.cancel()
    return status


def run(settings_option: str | None) -> int:
    """Run a node until it gets a stop signal; return the exit status."""
    try:
        path = settings.resolve_path(settings_option)
        cfg = settings.load(path)
    except settings.SettingsError as exc:
        for mistake in exc.mistakes:
            print(mistake, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    import uvloop

    log_limiter, writer = logs.configure_rate_limited(
        cfg.log_level, cfg.name, sys.stdout.fileno()
    )
    status = uvloop.run(_run(cfg, path, log_limiter))
    log.info("node: ended", status=status)
    writer.flush()
    return status
