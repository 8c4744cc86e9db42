"""Short seeded runs of callers that choose their texts, with one verdict each."""

import asyncio
import json
import random
from contextlib import asynccontextmanager

from bench import texts
from bench.soak_fleet import run_fleet
from bench.soak_record import DONE
from bench.texts_callers import TextSession
from bench.texts_words import Words
from lavenderstack.core import clock
from standins.sockets import HOST
from standins.target_session import MAX_MESSAGE_B, READ_LIMIT_B, read_line

SECONDS = 4
# A caller with long texts may be served or refused, never left without an outcome.
CLEAR_OUTCOMES = {DONE, "MALFORMED"}


def run(folder, *options):
    status = texts.main(
        ["texts", "--seconds", str(SECONDS), "--nodes", "3", "--groups", "1"]
        + ["--callers", "9", "--folder", str(folder), *options]
    )
    return status, json.loads((folder / "report.json").read_text())


class TestShortTexts:
    """Names made of callers' texts gave 51 cases in 6 s before fa365cb."""

    def test_statements_run_as_they_were_sent(self, tmp_path, capsys):
        status, report = run(tmp_path, "--seed", "1", "--long", "0")
        assert report["violations"] == []
        assert status == 0
        assert report["executed shapes"] > 20
        assert report["outcomes"]["DONE"] > 100
        assert "violations: 0" in capsys.readouterr().out


@asynccontextmanager
async def sessions_of(fleet, count):
    """Open sessions at the nodes in turn."""
    database = next(iter(fleet.operator.databases.values()))
    key = fleet.operator.keys["wide"][0]
    nodes = list(fleet.nodes.values())
    opened = []
    try:
        for number in range(count):
            node = nodes[number % len(nodes)]
            streams = await asyncio.open_connection(
                HOST, node.own_port, limit=READ_LIMIT_B
            )
            session = TextSession(fleet, node.identity, key, "wide", database, *streams)
            streams[1].write(f"CONNECT {database.name} {key}\r\n".encode())
            assert (await read_line(streams[0])).startswith(b"READY")
            opened.append(session)
        yield opened
    finally:
        for session in opened:
            session.writer.close()


class TestLongTexts:
    """A text that can't be passed on is refused and costs no other session anything."""

    async def test_values_longer_than_a_frame_cost_no_other_answer(self, tmp_path):
        async with (
            run_fleet(tmp_path, 1, 3, 1) as fleet,
            sessions_of(fleet, 12) as all_,
        ):
            for group in fleet.groups.values():
                group.work_s = (0.1, 0.2)
            words = Words(random.Random(1))
            filled = all_[:3]
            for session in filled:
                for name in "abcde":
                    value = words.sized(MAX_MESSAGE_B - 100)
                    await session.send(words, "v", clock.now(), f"SET {name} {value}")
            writes = [
                session.send(words, f"w{number}", clock.now(), "WRITE a b")
                for number, session in enumerate(all_)
            ]
            requests = await asyncio.gather(*writes)
            assert {one.outcome for one in requests[len(filled) :]} == {DONE}
            assert {one.outcome for one in requests[: len(filled)]} <= CLEAR_OUTCOMES

    async def test_a_shape_too_long_under_another_name_is_refused(self, tmp_path):
        async with run_fleet(tmp_path, 1, 1, 1) as fleet, sessions_of(fleet, 1) as all_:
            words = Words(random.Random(1))
            shape = words.sized(MAX_MESSAGE_B - len("QUERY q PREPARE s WRITE "))
            at = clock.now()
            texts_sent = (f"PREPARE s WRITE {shape}", "EXEC s a b")
            requests = [await all_[0].ask("w", at, text, "q") for text in texts_sent]
            assert fleet.record.groups["g1"].too_long == []
            assert requests[-1].outcome == "MALFORMED"


class TestEmptyIds:
    """A caller's statement must not run under the id of the service's own."""

    async def test_an_empty_id_is_refused_or_kept(self, tmp_path):
        async with run_fleet(tmp_path, 1, 1, 1) as fleet, sessions_of(fleet, 1) as all_:
            all_[0].writer.write(b"QUERY  WRITE a b\r\n")
            answer = await read_line(all_[0].reader)
            ran = [run.request for run in fleet.groups["g1"].runs]
            assert ran == ([""] if answer.startswith(b"DONE") else [])
