"""Tests of how the process of a node ends."""

import asyncio
import signal
import sys

from lavenderstack.platform.node_test import ROOT, run_node

# Runs the service's command in an interpreter that takes a minute to end.
SLOW_TO_END = """
import atexit, runpy, sys, time
atexit.register(time.sleep, 60)
sys.argv = ["lavenderstack", "serve", "--settings", sys.argv[1]]
runpy.run_module("lavenderstack", run_name="__main__")
"""


class TestExit:
    """A node that had ended its work was killed while its interpreter ended."""

    async def test_the_process_ends_with_the_last_line_of_its_log(self, tmp_path):
        async with run_node(tmp_path) as node:
            node.process.kill()
            await node.process.communicate()
            node.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                SLOW_TO_END,
                str(node.path),
                cwd=ROOT,
                stdout=asyncio.subprocess.PIPE,
            )
            try:
                await node.wait_until_ready()
                node.process.send_signal(signal.SIGTERM)
                out, _ = await asyncio.wait_for(node.process.communicate(), 20)
            finally:
                if node.process.returncode is None:
                    node.process.kill()
            assert node.process.returncode == 0
            assert b'"node: ended"' in out.splitlines()[-1]

    async def test_bad_settings_have_their_status_and_mistakes(self, tmp_path):
        path = tmp_path / "bad.yaml"
        path.write_text("name: 5")
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "lavenderstack", "serve", "--settings", str(path)),
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
        )
        _, errors = await asyncio.wait_for(process.communicate(), 20)
        assert (process.returncode, b"callers: missing" in errors) == (2, True)
