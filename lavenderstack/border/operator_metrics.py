"""Metrics of a running node for operators: latencies, targets held, traffic.

===================  =========================================================
``GET /v1/metrics``  latencies and outcomes by organisation and class; traffic;
                     evacuated zones and refusals because of them
``GET /v1/targets``  the targets whose connections this node holds
===================  =========================================================
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import asdict, dataclass
from typing import Any

from aiohttp import web

from lavenderstack.border.traffic import TRAFFIC


@dataclass(frozen=True, slots=True)
class HeldTarget:
    """State of a target at its connection holder.

    ``term`` and ``position`` are the last ones that the target reported;
    ``position`` is (term, sequence number).
    """

    name: str
    group: str
    role: str
    term: int
    position: tuple[int, int]
    slots: int
    slots_free: int
    queued: int
    connections_lent: int
    transactions: int


def add_routes(
    app: web.Application,
    summaries: Callable[[], Sequence[Any]],
    targets: Callable[[], Sequence[HeldTarget]],
    more: Callable[[], Mapping[str, int]],
) -> None:
    """Add the routes to the operators' application.

    ``more`` returns further gauges and counters by name.
    """

    async def get_metrics(_: web.Request) -> web.Response:
        series = [asdict(summary) for summary in summaries()]
        body = {"series": series, "traffic": asdict(TRAFFIC), **more()}
        return web.json_response(body)

    async def get_targets(_: web.Request) -> web.Response:
        return web.json_response({"targets": [asdict(target) for target in targets()]})

    app.router.add_get("/v1/metrics", get_metrics)
    app.router.add_get("/v1/targets", get_targets)
