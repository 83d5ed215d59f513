"""SIGTERM crosses requests that come. docs/design/crossings.md."""

from __future__ import annotations

import select

from tests.crossings.stand_ins import Gate
from tests.sockets import LONG_S, Client, Sidecar, eventually

SLOW = b"z" * 60_000  # a body that may take its time: by its size, longer than the sidecar's end


def test_what_comes_whole_after_all_have_been_given_up_is_answered_too() -> None:
    """The upstream hangs. At the end of its patience the sidecar gives up what is out, once; a request whose
    last byte came later was sent to the same upstream, and its connection ended with no answer."""
    gate = Gate()
    with gate.upstream as upstream, Sidecar([upstream]) as sidecar:
        first, half = sidecar.client(), sidecar.client()
        first.send("POST", "/pay/1", b"first", Req_Deadline="15.0")
        eventually(lambda: upstream.requests)
        sidecar.process.terminate()
        half.socket.sendall(
            b"POST /pay/2 HTTP/1.1\r\nHost: b\r\nReq-Id: half\r\nReq-Deadline: 3.0\r\n"
            b"Content-Length: %d\r\n\r\n" % len(SLOW) + SLOW[1:]
        )
        found = first.read()
        assert found is not None and found.status == 504  # given up
        half.socket.sendall(SLOW[:1])
        found = half.read()
        assert found is not None and found.status not in (200, 429, 503)
        assert sidecar.process.wait(LONG_S) == 0
        gate.opened.set()


def test_what_waits_in_the_backlog_at_the_limit_is_served_and_not_reset() -> None:
    """All places are held by requests under way, so a new connection waits where the kernel has accepted it:
    it has been taken. The listener was closed on it."""
    gate = Gate()
    with gate.upstream as upstream:
        many = [upstream.entry(host=f"s-many-{number}") for number in range(40)]  # so that none is refused
        with Sidecar([upstream], known=many, before="ulimit -n 72; ", instances="1") as sidecar:
            clients: list[Client] = []
            for _ in range(40):
                clients.append(sidecar.client())
                clients[-1].send("POST", "/pay/1", b"x", Req_Deadline="15.0")
            eventually(lambda: upstream.requests)
            sidecar.process.terminate()
            # neither answered nor reset: its connection is accepted later, or in the backlog
            assert not select.select([clients[-1].socket], [], [], 1.5)[0]
            gate.opened.set()
            found = [client.read() for client in clients]
            assert all(one is not None and one.status in (200, 503) for one in found)
            assert sum(one is not None and one.status == 200 for one in found) == len(upstream.requests)
            assert sidecar.process.wait(LONG_S) == 0
