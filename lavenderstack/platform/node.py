"""The parts of a node on the platform, and how they are connected."""

import asyncio
from dataclasses import dataclass, field

from lavenderstack.core import clock
from lavenderstack.core.catalog import TargetState
from lavenderstack.core.change_messages import ChangesRequest
from lavenderstack.core.features import OWN_FEATURES
from lavenderstack.core.members import Members
from lavenderstack.core.messages import Message
from lavenderstack.core.position_history import PositionHistory
from lavenderstack.core.quota.coordinator_messages import Attach, Detach, DrawTokens
from lavenderstack.core.targets.cold_start import ColdLimits
from lavenderstack.core.targets.placement import capacity
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
from lavenderstack.node.counters import Counters
from lavenderstack.node.directory import Directory
from lavenderstack.node.dispatch import Dispatcher
from lavenderstack.node.executors import Executors
from lavenderstack.node.failover.replacer import Replacer
from lavenderstack.node.holder_placement import HolderPlacement
from lavenderstack.node.peers import Peers
from lavenderstack.node.planned_stop import PlannedStop
from lavenderstack.node.primary_positions import PrimaryPositions
from lavenderstack.node.quota.admitter import Admitter
from lavenderstack.node.session_services import Services
from lavenderstack.node.stream_server import StreamServer
from lavenderstack.node.streams import StreamLimits, StreamPool
from lavenderstack.platform import store, targets
from lavenderstack.platform.build_id import build_id
from lavenderstack.platform.callers import CallerServer
from lavenderstack.platform.loader import Loader
from lavenderstack.platform.orders import PlatformOrders
from lavenderstack.platform.registration import Registration
from lavenderstack.platform.settings import Settings

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
    planned_stop: PlannedStop
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


def _seconds(limit_ms: float | None) -> float | None:
    return None if limit_ms is None else limit_ms / 1000


def apply_settings(directory: Directory, cfg: Settings) -> None:
    """Apply the settings that may change while the node runs."""
    directory.proof.limit_s = cfg.withdrawn_key_limit_ms / 1000
    directory.proof.catalog_limit_s = _seconds(cfg.catalog_limit_ms)
    directory.load_control = cfg.load_control
    directory.evacuation_limit_s = _seconds(cfg.evacuation_limit_ms)
    directory.drain_limit_s = _seconds(cfg.target_drain_limit_ms)
    directory.orders_per_s = cfg.orders_per_s
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
    apply_settings(directory, cfg)
    vm = Vm(
        cfg.name,
        cfg.availability_zone,
        cfg.host,
        cfg.peers_port,
        capacity=_capacity(cfg),
        features=OWN_FEATURES,
        build=build_id(),
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
    planned_stop = executors.stop
    admitter = Admitter(directory, peers, registration)
    replacer = Replacer(directory, peers, backend, registration, orders, counters)

    async def lead_taken(msg: LeadTaken) -> Message:
        directory.record_primary(msg.group, msg.target)
        executors.acknowledged.primary_replaced(msg.group)
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
    services = Services(directory, dispatcher, admitter, peers, counters, planned_stop)
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
        planned_stop=planned_stop,
    )
