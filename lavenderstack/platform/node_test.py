"""Tests of a node process with stand-ins for callers, targets and the store."""

import asyncio
import base64
import json
import os
import signal
import sys
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from lavenderstack.core import clock
from lavenderstack.platform import settings
from lavenderstack.platform.documents_test import CONFIG, REPORT
from standins import line_target, metadata_store
from standins.line_target import LineTarget
from standins.metadata_store import MetadataStore
from standins.sockets import free_port

ROOT = Path(__file__).parents[2]
READY_TIMEOUT_S = 15.0


def config(**fields):
    route = {**CONFIG["routes"][0], "type": "read_your_writes", "timeout_ms": 2000}
    other = {**route, "host": "db2", "type": "primary"}
    return json.dumps({**CONFIG, "routes": [route, other], **fields}).encode()


def node_settings(ports, store):
    return {
        "name": "n1",
        "availability_zone": "z1",
        "host": "127.0.0.1",
        "callers": f"127.0.0.1:{ports[0]}",
        "readiness": f"127.0.0.1:{ports[1]}",
        "peers_port": ports[2],
        "metrics_port": ports[3],
        "store": store,
        "orders": f"127.0.0.1:{ports[4]}",
    }


class CallerClient:
    """A caller's connection; ``greeting`` is the answer to its first message."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    async def send(self, line):
        self.writer.write(f"{line}\r\n".encode())
        return await self.answer()

    async def answer(self):
        """Return the lines up to the next READY, or up to the end of the connection."""
        lines = []
        while data := await asyncio.wait_for(self.reader.readline(), 10):
            lines.append(data.decode().rstrip("\r\n"))
            if lines[-1].startswith("READY"):
                break
        return lines

    async def query(self, text, request="q1"):
        return await self.send(f"QUERY {request} {text}")


class NodeHarness:
    """A running node with its ports, settings file and stand-ins."""

    def __init__(self, process, ports, store, targets, path):
        self.process, self.ports = process, ports
        self.store, self.targets, self.path = store, targets, path

    async def caller(self, line="CONNECT db1 k1"):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[0])
        caller = CallerClient(reader, writer)
        caller.greeting = await caller.send(line)
        return caller

    async def get(self, port, path):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"GET {path} HTTP/1.0\r\n\r\n".encode())
        data = await reader.read()
        writer.close()
        return data.decode()

    async def wait_until_ready(self):
        deadline = clock.now() + READY_TIMEOUT_S
        while clock.now() < deadline:
            try:
                if " 200 " in (await self.get(self.ports[1], "/api/ready"))[:20]:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise AssertionError("node did not become ready")

    async def stop(self):
        """Stop the node with SIGTERM; return its exit status and its log."""
        self.process.send_signal(signal.SIGTERM)
        out, _ = await asyncio.wait_for(self.process.communicate(), 20)
        return self.process.returncode, out.decode()


async def start_process(path, stdout):
    """Start a node process on a settings file."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "lavenderstack",
        "serve",
        "--settings",
        str(path),
        cwd=ROOT,
        stdout=stdout,
    )


@asynccontextmanager
async def run_node(tmp_path, prepare_store=lambda store: None):
    store = MetadataStore()
    prepare_store(store)
    targets = [LineTarget("i-1"), LineTarget("i-2", leads=False)]
    ports = [free_port() for _ in range(5)]
    async with (
        metadata_store.serving(store) as addr,
        line_target.serving(targets[0]) as primary_port,
        line_target.serving(targets[1]) as replica_port,
    ):
        store.put("op/config", config())
        target_ports = zip(
            targets,
            (primary_port, replica_port),
            ("primary", "replica"),
            strict=True,
        )
        for target, port, role in target_ports:
            fields = {"addr": f"127.0.0.1:{port}", "db_role": role}
            data = json.dumps({**REPORT, **fields}).encode()
            store.put(f"servers/{target.name}", data)
        path = tmp_path / "node.yaml"
        path.write_text(json.dumps(node_settings(ports, addr)))
        process = await start_process(path, asyncio.subprocess.PIPE)
        node = NodeHarness(process, ports, store, targets, path)
        try:
            await node.wait_until_ready()
            yield node
        finally:
            if process.returncode is None:
                process.kill()
                await process.communicate()


async def connect_when_known(node, line):
    """Connect once the node knows the database; return the caller."""
    deadline = clock.now() + READY_TIMEOUT_S
    while (caller := await node.caller(line)).greeting[0].startswith("ERROR"):
        assert clock.now() < deadline, caller.greeting
        await asyncio.sleep(0.05)
    return caller


class TestServing:
    async def test_reads_writes_values_prepared_statements_and_transactions(
        self, tmp_path
    ):
        async with run_node(tmp_path) as node:
            caller = await node.caller()
            assert caller.greeting == ["READY I -"]
            written = await caller.query("WRITE a 1")
            assert written[0].startswith("DONE i-1.")
            read = await caller.query("READ a")
            assert read[0] == "ROW 1"
            await caller.query("SET v 1")
            await caller.query("PREPARE s READ a")
            assert (await caller.query("EXEC s a"))[0] == "ROW 1"
            assert await caller.query("BEGIN") == ["DONE -", "READY T -"]
            await caller.query("WRITE b 2")
            committed = await caller.query("COMMIT")
            assert committed[0].startswith("DONE i-1.")
            assert node.targets[0].items == {"a": "1", "b": "2"}

    async def test_rolled_back_transaction_has_no_effect(self, tmp_path):
        async with run_node(tmp_path) as node:
            caller = await node.caller()
            await caller.query("BEGIN")
            await caller.query("WRITE a 1")
            assert await caller.query("ROLLBACK") == ["DONE -", "READY I -"]
            assert node.targets[0].items == {}

    async def test_refused_greeting_gets_the_reason(self, tmp_path):
        async with run_node(tmp_path) as node:
            unknown = await node.caller("CONNECT nowhere k1")
            assert unknown.greeting[0].startswith("ERROR NODB")
            wrong_key = await node.caller("CONNECT db1 wrong")
            assert wrong_key.greeting[0].startswith("ERROR NOAUTH")

    async def test_targets_get_the_organisation_and_not_the_key(self, tmp_path):
        async with run_node(tmp_path) as node:
            caller = await node.caller()
            await caller.query("WRITE a 1")
            assert {
                organisation for organisation, _, _ in node.targets[0].executed
            } == {"org"}

    async def test_withdrawn_key_is_refused_on_an_open_session(self, tmp_path):
        async with run_node(tmp_path) as node:
            caller = await node.caller()
            await caller.query("WRITE a 1")
            tenants = [{**CONFIG["tenants"][0], "api_keys": ["k2"]}]
            node.store.put("op/config", config(version=8, tenants=tenants))
            deadline = clock.now() + 5
            while (await caller.query("WRITE a 2"))[0].startswith("DONE"):
                assert clock.now() < deadline
                await asyncio.sleep(0.02)
            executed = len(node.targets[0].executed)
            assert (await caller.query("READ a"))[0].startswith("ERROR NOAUTH")
            assert len(node.targets[0].executed) == executed

    async def test_write_on_a_lost_connection_is_unknown_and_runs_once(self, tmp_path):
        async with run_node(tmp_path) as node:
            caller = await node.caller("CONNECT db2 k1")
            await caller.query("READ a")
            node.targets[0].drop_after = 1
            answer = await caller.query("WRITE a 1", request="once")
            assert answer[0].startswith("ERROR UNKNOWN")
            executed = [request for _, request, _ in node.targets[0].executed]
            assert executed.count("once") == 1

    async def test_a_cold_target_gets_no_more_than_its_limit(self, tmp_path):
        """Half of 2 * 1.5 + 5, once this node has been first for long enough."""
        async with run_node(tmp_path) as node:
            cfg = {**json.loads(node.path.read_text()), "cold_excess": 1.5}
            node.path.write_text(json.dumps({**cfg, "cold_slack": 5}))
            service = {**CONFIG["services"][0], "cold_per_s": 2, "cold_start_s": 60}
            node.store.put("op/config", config(version=8, services=[service]))
            item = json.loads(
                base64.b64decode(node.store.items["servers/i-1"]["value"])
            )
            cold = {**item, "cold_left_ms": 60_000}
            node.store.put("servers/i-1", json.dumps(cold).encode())
            metric = "lavenderstack_cold_targets 1.0"
            deadline = clock.now() + READY_TIMEOUT_S
            while metric not in await node.get(node.ports[3], "/metrics"):
                assert clock.now() < deadline
                await asyncio.sleep(0.05)
            caller = await node.caller("CONNECT db2 k1")
            while (await caller.query("READ a"))[0].startswith("ERROR"):
                assert clock.now() < deadline
                await asyncio.sleep(0.05)
            callers = [await node.caller("CONNECT db2 k1") for _ in range(20)]
            answers = await asyncio.gather(*(one.query("READ a") for one in callers))
            # They wait up to the time-out of 2 s, in which two further seconds begin.
            refused = [one[0] for one in answers if one[0].startswith("ERROR")]
            assert 20 - 2 * 4 <= len(refused) < 20
            assert all("retry after" in line for line in refused)


class TestOutdatedView:
    async def test_a_removed_public_route_ends_though_the_store_is_silent(
        self, tmp_path
    ):
        route = {**CONFIG["routes"][0], "host": "db3", "public": True}
        async with run_node(tmp_path) as node:
            routes = [*json.loads(config())["routes"], route]
            node.store.put("op/config", config(version=8, routes=routes))
            caller = await connect_when_known(node, "CONNECT db3")
            assert (await caller.query("READ a"))[0] == "ROW nothing"
            node.store.silent = True
            node.store.put("op/config", config(version=9))
            await asyncio.sleep(5.0)
            caller = await node.caller("CONNECT db3")
            assert (await caller.query("READ a"))[0].startswith("ERROR BUSY")
            unknown = await node.caller("CONNECT nowhere k1")
            assert unknown.greeting[0].startswith("ERROR BUSY")


class TestBadInput:
    @pytest.mark.parametrize(
        "data",
        [
            b"HELLO\r\n",
            b"\xff\xfe\r\n",
            b"CONNECT " + b"x" * 5000 + b"\r\n",
            b"CONNECT db1 k1\r\nJUMP\r\n",
            b"x" * 10_000,
        ],
    )
    async def test_bad_input_is_refused_and_other_sessions_go_on(self, tmp_path, data):
        async with run_node(tmp_path) as node:
            reader, writer = await asyncio.open_connection("127.0.0.1", node.ports[0])
            writer.write(data)
            received = await asyncio.wait_for(reader.read(), 10)
            assert b"ERROR" in received or received == b""
            caller = await node.caller()
            assert (await caller.query("WRITE a 1"))[0].startswith("DONE")

    async def test_invalid_statement_gets_an_error_and_the_session_goes_on(
        self, tmp_path
    ):
        async with run_node(tmp_path) as node:
            caller = await node.caller()
            assert (await caller.query("DANCE"))[0].startswith("ERROR MALFORMED")
            assert (await caller.query("READ a"))[0].startswith("ROW")

    async def test_open_sessions_are_served_during_a_connection_flood(self, tmp_path):
        async with run_node(tmp_path) as node:
            caller = await node.caller()
            flood = [
                await asyncio.open_connection("127.0.0.1", node.ports[0])
                for _ in range(600)
            ]
            assert (await caller.query("READ a"))[0].startswith("ROW")
            for _, writer in flood:
                writer.close()


class TestStopping:
    async def test_stop_lets_transactions_finish_and_removes_own_entries(
        self, tmp_path
    ):
        async with run_node(tmp_path) as node:
            caller = await node.caller()
            await caller.query("BEGIN")
            await caller.query("WRITE a 1")
            node.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.3)
            assert " 503 " in (await node.get(node.ports[1], "/api/ready"))[:20]
            committed = await caller.query("COMMIT")
            assert committed[0].startswith("DONE i-1.")
            out, _ = await asyncio.wait_for(node.process.communicate(), 20)
            assert node.process.returncode == 0
            assert "node: stopping" in out.decode()
            remaining = set(node.store.items) - {"ls/reserve"}
            assert not [key for key in remaining if key.startswith("ls/")]


class TestSettings:
    async def test_changed_settings_are_loaded_without_a_signal(self, tmp_path):
        async with run_node(tmp_path) as node:
            raw = json.loads(node.path.read_text())
            node.path.write_text(json.dumps({**raw, "withdrawn_key_limit_ms": 4000}))
            await asyncio.sleep(1.5)
            _, out = await node.stop()
            assert '"node: settings read"' in out
            assert "withdrawn_key_limit_ms" in out

    async def test_rewrite_of_the_same_time_and_size_is_noticed(self, tmp_path):
        async with run_node(tmp_path) as node:
            raw = json.loads(node.path.read_text())
            node.path.write_text(json.dumps({**raw, "withdrawn_key_limit_ms": 4000}))
            await asyncio.sleep(1.5)
            times = node.path.stat()
            node.path.write_text(json.dumps({**raw, "withdrawn_key_limit_ms": 3000}))
            os.utime(node.path, ns=(times.st_atime_ns, times.st_mtime_ns))
            await asyncio.sleep(1.5)
            _, out = await node.stop()
            assert out.count('"node: settings read"') == 2

    async def test_settings_with_mistakes_are_ignored_and_logged(self, tmp_path):
        async with run_node(tmp_path) as node:
            node.path.write_text("name: 5\n")
            node.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.3)
            caller = await node.caller()
            assert (await caller.query("READ a"))[0].startswith("ROW")
            _, out = await node.stop()
            record = next(line for line in out.splitlines() if "settings kept" in line)
            mistakes = json.loads(record)["mistakes"]
            assert any(mistake.startswith("name:") for mistake in mistakes)
            assert any(mistake.startswith("callers:") for mistake in mistakes)

    def test_all_mistakes_are_reported_together(self):
        with pytest.raises(settings.SettingsError) as raised:
            settings.parse("name: x\npeers_port: many\nhost: h\n")
        mistakes = " ".join(raised.value.mistakes)
        assert "peers_port" in mistakes
        assert "store: missing" in mistakes


class TestMetrics:
    async def test_answers_are_counted_by_reason_and_organisation(self, tmp_path):
        async with run_node(tmp_path) as node:
            caller = await node.caller()
            await caller.query("WRITE a 1")
            await caller.query("DANCE")
            text = await node.get(node.ports[3], "/metrics")
            assert 'lavenderstack_requests_total{reason="done"} 1.0' in text
            assert 'lavenderstack_requests_total{reason="bad_request"} 1.0' in text
            assert 'organisation="org"' in text
            assert "lavenderstack_proof_age_seconds" in text
