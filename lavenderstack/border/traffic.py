"""Bytes sent and received by this process, by the kind of peer."""

from dataclasses import dataclass


@dataclass(slots=True)
class Traffic:
    """Bytes since the start of the process, excluding TCP and IP headers."""

    nodes_sent_b: int = 0
    nodes_received_b: int = 0
    targets_sent_b: int = 0
    targets_received_b: int = 0


TRAFFIC = Traffic()
