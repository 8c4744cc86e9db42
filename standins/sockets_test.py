"""Tests of the ports given to test processes."""

import asyncio
import socket

import pytest

from standins.sockets import HOST, free_port


class TestFreePort:
    def test_whoever_looks_for_a_free_one_passes_it_over(self):
        """Found beside hunts: another process took a port before its node listened."""
        port = free_port()
        with socket.socket() as sock, pytest.raises(OSError):
            sock.bind((HOST, port))

    async def test_the_server_that_it_is_for_may_listen_on_it(self):
        port = free_port()
        server = await asyncio.start_server(lambda *_: None, HOST, port)
        async with server:
            _, writer = await asyncio.open_connection(HOST, port)
            writer.close()

    async def test_until_then_a_connection_is_refused(self):
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(HOST, free_port())
