"""Free ports on loopback, and which process opened a connection there.

One socket is asked for by its two ports, over the kernel's socket diagnosis. Reading
the list of all sockets instead takes a tenth of a second once thousands of closed
connections linger on it.
"""

import random
import socket
import struct
from collections import deque
from contextlib import suppress
from pathlib import Path

HOST = "127.0.0.1"
PORTS = (12_000, 30_000)
# Ports of a few test clusters; the descriptors of a test process bound it.
MOST_HELD = 200
_held: deque[socket.socket] = deque()
_SOCK_DIAG = 4
_BY_FAMILY = 20
_REQUEST = 1
_ALL = 0xFFFFFFFF
_HEADER = struct.Struct("=IHHII")
_FILTER = struct.Struct("=BBBBI")
_PORTS = struct.Struct("!HH")
_COOKIE = struct.Struct("=III")
# After the header come 4 bytes of state, the socket's id (48) and 16 of queues.
_INODE_AT = _HEADER.size + 4 + 48 + 16
_LOOPBACK = socket.inet_aton("127.0.0.1").ljust(16, b"\0")


def inode_of(port: int, far_port: int) -> int | None:
    """Return the inode of the socket that connects from a port to another one."""
    wanted = _FILTER.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, 0, _ALL)
    wanted += _PORTS.pack(port, far_port) + _LOOPBACK * 2 + _COOKIE.pack(0, _ALL, _ALL)
    length = _HEADER.size + len(wanted)
    header = _HEADER.pack(length, _BY_FAMILY, _REQUEST, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM, _SOCK_DIAG) as diag:
        diag.settimeout(1.0)
        diag.send(header + wanted)
        answer = diag.recv(4096)
    kind = _HEADER.unpack_from(answer)[1]
    if kind != _BY_FAMILY:
        return None
    return struct.unpack_from("=I", answer, _INODE_AT)[0]


def holds(pid: int, inode: int) -> bool:
    """Tell whether a process has the socket open."""
    with suppress(OSError):
        for fd in Path(f"/proc/{pid}/fd").iterdir():
            with suppress(OSError):
                if str(fd.readlink()) == f"socket:[{inode}]":
                    return True
    return False


def free_port() -> int:
    """Return a port that nobody has, outside of those given to outgoing connections.

    One of those could be taken again before the process that it is for listens. For the
    same reason the port stays bound here: whoever looks for a free one passes it over,
    while a server, which asks to reuse its address, may still listen on it.
    """
    while True:
        port = random.randrange(*PORTS)
        with suppress(OSError):
            with socket.socket() as sock:
                sock.bind((HOST, port))
            _hold(port)
            return port


def _hold(port: int) -> None:
    """Keep a port bound until many later ones have been given out."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((HOST, port))
    except OSError:
        sock.close()
        raise
    _held.append(sock)
    if len(_held) > MOST_HELD:
        _held.popleft().close()
