"""The log of a process tells why it closed connections, and rejected and retried requests, with an id."""

from __future__ import annotations

from tests.process_faults.crowd import LimitedSidecar
from tests.sockets import Message, Upstream, answer, eventually


def declines(request: Message, client: object) -> bytes:
    """Answer that the request has not run."""
    return answer(b"", "503 Service Unavailable", "Srv-Declined: 1\r\n")


def test_log_names_the_reason_and_the_request() -> None:
    with (
        Upstream(script=declines) as one,
        Upstream(script=declines) as two,
        LimitedSidecar([one, two]) as sidecar,
    ):
        client = sidecar.client()
        client.send("GET", "/read/1", Req_Id="id-declined", Req_Deadline="1.0")
        assert client.read() is not None
        client.send("GET", "/nothing/1", Req_Id="id-unknown")
        assert client.read() is not None

        def is_logged(*texts: str) -> bool:
            return any(all(text in line for text in texts) for line in sidecar.log_lines)

        eventually(lambda: is_logged("retried (full), the last one id-declined", "connections"))
        eventually(lambda: is_logged("rejected 400 (unknown class)"))


def test_log_names_the_begin_and_the_end_of_a_planned_stop() -> None:
    with Upstream() as upstream, LimitedSidecar([upstream]) as sidecar:
        assert sidecar.stop() == 0
        eventually(lambda: [line for line in sidecar.log_lines if "SIGTERM: shutting down; " in line])
        eventually(lambda: [line for line in sidecar.log_lines if "shutdown is complete; " in line])
