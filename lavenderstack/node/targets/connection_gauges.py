"""Gauges of a node's connections to targets: by state, and handshakes by cause."""

from functools import partial

from lavenderstack.node.counters import Counters
from lavenderstack.node.executors import Executors
from lavenderstack.node.targets.allocated_connections import ConnectionState
from lavenderstack.node.targets.target_connections import OpenCause


def add_connection_gauges(counters: Counters, executors: Executors) -> None:
    """Register one gauge for each state of connections and each cause of opening."""
    for state in ConnectionState:
        counters.gauge(
            f"target_connections_{state}",
            f"Connections to targets that are {state}",
            partial(_count_in_state, executors, state),
        )
    for cause in OpenCause:
        counters.gauge(
            f"target_handshakes_{cause}",
            f"Connections opened to targets, cause: {cause}",
            partial(_count_opened, executors, cause),
        )


def _count_in_state(executors: Executors, state: ConnectionState) -> int:
    held = executors.target_executors.values()
    return sum(executor.connections.count(state) for executor in held)


def _count_opened(executors: Executors, cause: OpenCause) -> int:
    held = executors.target_executors.values()
    return sum(executor.connections.opened[cause] for executor in held)
