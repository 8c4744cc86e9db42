"""IP addresses with ports, as written in settings."""

import ipaddress
from typing import NamedTuple


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int


def checked_ip(text: str) -> str:
    """Return an IP address unchanged; raises ``ValueError`` for anything else."""
    ipaddress.ip_address(text)
    return text


def parse_address(text: str) -> Address:
    """Parse ``IP:PORT``; raises ``ValueError`` if it is malformed.

    >>> parse_address("[::1]:7001")
    Address(host='::1', port=7001)
    """
    host, _, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    host = checked_ip(host)
    if "%" in host:
        raise ValueError("an address with a zone of its own")
    if not (port.isascii() and port.isdecimal()):
        raise ValueError("the port is no number")
    number = int(port)
    if not 0 < number < 65536:
        raise ValueError("port out of range")
    return Address(host, number)
