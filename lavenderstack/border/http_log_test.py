"""Tests that malformed requests put no caller's key into the output of a node."""

import asyncio

import pytest
from structlog.testing import capture_logs

from lavenderstack.border.callers_test import BODY, running_service

KEY = b"a-callers-key"


async def send(port, header):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    start = b"POST /v1/groups/g/statements HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n"
    writer.write(start + header + b"\r\n\r\n")
    async with asyncio.timeout(5.0):
        answer = await reader.read(65536)
    writer.close()
    return answer


class TestMalformedRequests:
    @pytest.mark.parametrize(
        "header",
        [
            b"Authorization: Bearer " + KEY + b"\0",
            b"Authorization: Bearer " + KEY + b"\rx",
            b"Authorization : Bearer " + KEY,
            b"Authorization: Bearer " + KEY * 1000,
            b"Authorization: Bearer " + KEY + b"\r\nAuthorization: " + KEY + b"\0",
        ],
        ids=["NUL", "CR", "blank", "long", "twice"],
    )
    async def test_no_output_has_the_key(self, header, capfd):
        async with running_service() as (_, __, port):
            with capture_logs() as lines:
                answer = await send(port, header)
            assert answer.startswith(b"HTTP/1.0 400 ")
        assert [line["event"] for line in lines] == ["http: message not understood"]
        assert KEY.decode() not in f"{lines}{capfd.readouterr()}"

    async def test_a_fault_of_this_process_is_logged_with_its_traceback(self):
        async with running_service() as (service, http, _):
            service.outcome = RuntimeError("a defect")
            with capture_logs() as lines:
                headers = {"Authorization": f"Bearer {KEY.decode()}"}
                path = "/v1/groups/g/statements"
                async with http.post(path, json=BODY, headers=headers) as resp:
                    assert resp.status == 500
            (line,) = lines
            assert line["event"] == "http: request failed"
            assert isinstance(line["exc_info"], RuntimeError)
            assert KEY.decode() not in repr(lines)
