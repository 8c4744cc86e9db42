"""Bytes that this process has sent and received, by the kind of the other end."""

from dataclasses import dataclass


@dataclass(slots=True)
class Traffic:
    """Bytes since the start of the process, without the headers of TCP and IP."""

    nodes_sent_b: int = 0
    nodes_received_b: int = 0
    targets_sent_b: int = 0
    targets_received_b: int = 0


TRAFFIC = Traffic()
