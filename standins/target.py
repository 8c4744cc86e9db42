"""A database target in its own process, with faults that tests can inject.

Run as ``python -m standins.target --name a1 --group studio --port 0``. It prints one
line, ``ready PORT``, and runs until it gets a signal. It speaks the protocol described
in ``lavenderstack.border.target``. All data is in memory, so a restarted process is a
new, empty target; the fault ``down_s`` simulates a restart that keeps the log. Replicas
and tests use three more calls:

- ``pull(term, seq, own term)`` on a connection for the group ``replication``
- ``fault(kind, value)`` on one for the group ``control``; see ``standins.faults``
- ``seen()`` on one for ``control``: the recorded calls, the log and the tables
"""

import argparse
import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from standins.target_conn import TargetSideConn
from standins.target_process import Limits, TargetProcess


@asynccontextmanager
async def serve(
    name: str, group: str, limits: Limits, port: int = 0
) -> AsyncIterator[tuple[TargetProcess, int]]:
    """Serve a target in this event loop; yield it and its port."""
    loop = asyncio.get_running_loop()
    target = TargetProcess(name, group, limits)
    server = await loop.create_server(lambda: TargetSideConn(target), "127.0.0.1", port)
    try:
        yield target, server.sockets[0].getsockname()[1]
    finally:
        server.close()
        target.stop_following()
        for conn in list(target.conns):
            conn.stop()


async def _main(args: argparse.Namespace) -> None:
    limits = Limits(
        args.slots, args.connections, args.open_ms, args.run_ms, args.lag_ms
    )
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    async with serve(args.name, args.group, limits, args.port) as (_, port):
        print(f"ready {port}", flush=True)
        await stopped.wait()


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m standins.target")
    parser.add_argument("--name", required=True)
    parser.add_argument("--group", required=True)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=5)
    parser.add_argument("--connections", type=int, default=30)
    parser.add_argument("--open-ms", type=float, default=10.0)
    parser.add_argument("--run-ms", type=float, default=1.0)
    parser.add_argument("--lag-ms", type=float, default=0.0)
    return parser.parse_args()


def main() -> None:
    """Run one target until it gets a signal."""
    import uvloop

    uvloop.run(_main(_arguments()))


if __name__ == "__main__":
    main()
