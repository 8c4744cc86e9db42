"""Finds free ports on loopback, and the process that opened a connection there.

A socket is looked up by its two ports with the kernel's ``sock_diag`` netlink
interface. Reading the list of all sockets instead takes 0.1 s once it holds thousands
of closed connections.
"""

import random
import socket
import struct
from collections import deque
from contextlib import suppress
from pathlib import Path

HOST = "127.0.0.1"
# Below the kernel's default range for outgoing connections, 32768 to 60999.
PORT_RANGE = (12_000, 30_000)
# Enough for a few test clusters; each socket takes a file descriptor of the process.
MAX_BOUND_SOCKETS = 200
_bound_sockets: deque[socket.socket] = deque()
_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_NLM_F_REQUEST = 1
_ALL_BITS = 0xFFFFFFFF
# The parts of ``struct nlmsghdr`` and ``struct inet_diag_req_v2`` of the kernel.
_HEADER = struct.Struct("=IHHII")
_FAMILY_TO_STATES = struct.Struct("=BBBBI")
_PORTS = struct.Struct("!HH")
_INTERFACE_AND_COOKIE = struct.Struct("=III")
# The header is followed by 4 bytes of state, 48 of socket id, and 16 of expiry time,
# queue sizes and user id.
_INODE_OFFSET_B = _HEADER.size + 4 + 48 + 16
_LOOPBACK = socket.inet_aton("127.0.0.1").ljust(16, b"\0")


def socket_inode(local_port: int, remote_port: int) -> int | None:
    """Return the inode of the socket connected between two ports, or None."""
    request = _FAMILY_TO_STATES.pack(
        socket.AF_INET, socket.IPPROTO_TCP, 0, 0, _ALL_BITS
    )
    request += (
        _PORTS.pack(local_port, remote_port)
        + _LOOPBACK * 2
        + _INTERFACE_AND_COOKIE.pack(0, _ALL_BITS, _ALL_BITS)
    )
    length = _HEADER.size + len(request)
    header = _HEADER.pack(length, _SOCK_DIAG_BY_FAMILY, _NLM_F_REQUEST, 1, 0)
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_DGRAM, _NETLINK_SOCK_DIAG
    ) as diag:
        diag.settimeout(1.0)
        diag.send(header + request)
        answer = diag.recv(4096)
    message_type = _HEADER.unpack_from(answer)[1]
    if message_type != _SOCK_DIAG_BY_FAMILY:
        return None
    return struct.unpack_from("=I", answer, _INODE_OFFSET_B)[0]


def has_socket_open(pid: int, inode: int) -> bool:
    """Return whether a process has the socket with this inode open."""
    with suppress(OSError):
        for fd in Path(f"/proc/{pid}/fd").iterdir():
            with suppress(OSError):
                if str(fd.readlink()) == f"socket:[{inode}]":
                    return True
    return False


def free_port() -> int:
    """Return a free port outside of the range for outgoing connections.

    The kernel could give a port of that range to another connection before the intended
    process listens on it. For the same reason the port stays bound here: a search for a
    free port skips it, while a server that sets SO_REUSEADDR can still listen on it.
    """
    while True:
        port = random.randrange(*PORT_RANGE)
        with suppress(OSError):
            with socket.socket() as sock:
                sock.bind((HOST, port))
            _keep_bound(port)
            return port


def _keep_bound(port: int) -> None:
    """Keep a port bound until ``MAX_BOUND_SOCKETS`` later ones were returned."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((HOST, port))
    except OSError:
        sock.close()
        raise
    _bound_sockets.append(sock)
    if len(_bound_sockets) > MAX_BOUND_SOCKETS:
        _bound_sockets.popleft().close()
