"""Runs a node on the platform and shuts it down."""

import asyncio
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import structlog

from lavenderstack import __version__
from lavenderstack.border import http, logs
from lavenderstack.border.address import parse_address
from lavenderstack.border.http import HttpResponse
from lavenderstack.core import clock
from lavenderstack.core.features import OWN_FEATURES
from lavenderstack.core.log.log_rate_limit import LogRateLimiter
from lavenderstack.core.stop_phases import StopPhase
from lavenderstack.node import supervisor
from lavenderstack.node.supervisor import Part
from lavenderstack.platform import settings, store
from lavenderstack.platform.build_id import build_id
from lavenderstack.platform.gauges import add_gauges
from lavenderstack.platform.node import Node, apply_settings, build
from lavenderstack.platform.orders import PlatformOrders
from lavenderstack.platform.settings import Settings

log = structlog.get_logger()

EXIT_BAD_SETTINGS = 2
EXIT_PART_FAILED = 1
READINESS_CHECK_INTERVAL_S = 0.3
# Part of the stop limit that is left for the process to end in.
EXIT_S = 0.2
STOP_POLL_INTERVAL_S = 0.05
SETTINGS_POLL_INTERVAL_S = 1.0


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
    apply_settings(node.directory, cfg)
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


def _unfinished(node: Node) -> dict[str, int]:
    """Return how much work of each kind is open, as fields of a log line."""
    return {
        "statements": len(node.callers.running),
        "sessions": len(node.callers.connections),
        "undelivered": node.callers.undelivered,
        "transactions": node.executors.open_transactions,
        "node_requests": len(node.server.running),
    }


def _is_drained(node: Node) -> bool:
    """Return whether nothing is open here, for callers and for other nodes."""
    callers = node.callers
    caller_operations = callers.open_operations + len(callers.running)
    other_work = node.executors.open_transactions + len(node.server.running)
    return not (caller_operations + callers.undelivered + other_work)


async def _drain(node: Node) -> None:
    """Wait until nothing is open, accepting ever less, as ``stop_phases`` says."""
    stop = node.planned_stop
    while (phase := stop.phase) < StopPhase.ENDED:
        if phase >= StopPhase.FINISHING:
            node.callers.abort_idle_transactions()
            node.executors.end_idle_transactions()
        if phase >= StopPhase.CLOSING:
            # What has arrived is read before a session counts as idle.
            await asyncio.sleep(0)
            node.callers.close_idle()
            if _is_drained(node):
                break
        await asyncio.sleep(STOP_POLL_INTERVAL_S)
    stop.end()
    after_s = round(clock.now() - stop.begun_at, 3)
    log.info("node: drained", after_s=after_s, **_unfinished(node))


async def _end_lease(node: Node, limit_s: float) -> None:
    try:
        async with asyncio.timeout(limit_s):
            await node.registration.end()
    except TimeoutError:
        log.info("registration: lease not ended", error="no answer in time")


async def _shut_down(node: Node) -> None:
    """Stop within ``stop_limit_s``, with an answer to all that was read."""
    node.planned_stop.begin(node.cfg.stop_limit_s)
    until = node.planned_stop.begun_at + node.cfg.stop_limit_s - EXIT_S
    node.replacer.stopping = True
    leave_task = asyncio.ensure_future(node.registration.leave())
    await _drain(node)
    node.callers.stop_listening()
    node.loader.stop_waiting()
    leave_task.cancel()
    left_s = max(0.0, until - clock.now())
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(node.callers.close(until))
        tasks.create_task(node.server.stop(left_s))
        tasks.create_task(_end_lease(node, left_s))
    log.info("node: ending", **_unfinished(node))


async def _serve(node: Node, path: Path) -> None:
    _add_signal_handlers(node, path)
    cfg = node.cfg
    await node.server.start(cfg.host, cfg.peers_port)
    async with asyncio.TaskGroup() as tasks, _serve_probes(node):
        settings_part = Part("settings", lambda: _follow_settings(node, path))
        parts = tasks.create_task(supervisor.run([*_parts(node), settings_part]))
        await node.callers.start(*parse_address(cfg.callers))
        log.info(
            "node: started",
            zone=cfg.availability_zone,
            version=__version__,
            build=build_id(),
            features=sorted(OWN_FEATURES),
        )
        await node.stop.wait()
        log.info("node: stopping", open=node.callers.open_operations)
        await _shut_down(node)
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
        add_gauges(node)
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
