"""Tests of the ports that test processes listen on."""

import asyncio
import socket

import pytest

from standins.sockets import HOST, free_port


class TestFreePort:
    def test_a_search_for_free_ports_skips_it(self):
        """Otherwise another process could take the port before its node listens."""
        port = free_port()
        with socket.socket() as sock, pytest.raises(OSError):
            sock.bind((HOST, port))

    async def test_a_server_can_listen_on_it(self):
        port = free_port()
        server = await asyncio.start_server(lambda *_: None, HOST, port)
        async with server:
            _, writer = await asyncio.open_connection(HOST, port)
            writer.close()

    async def test_a_connection_is_refused_before_a_server_listens(self):
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(HOST, free_port())
