"""The metrics of a node on the platform whose values are read at each scrape."""

from lavenderstack.core import clock
from lavenderstack.node.targets.connection_gauges import add_connection_gauges
from lavenderstack.node.targets.target_gauges import TargetGauges
from lavenderstack.platform.build_id import build_id
from lavenderstack.platform.node import Node


def add_gauges(node: Node) -> None:
    """Add the metrics whose values are read at each scrape."""
    counters, executors = node.counters, node.executors
    directory, own_build = node.directory, build_id()

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
    counters.gauge(
        "nodes_of_other_builds",
        "Registered nodes whose build isn't this node's",
        lambda: sum(vm.build != own_build for vm in directory.view.vms.values()),
    )
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
