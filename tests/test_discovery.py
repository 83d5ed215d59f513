"""Discovery on real sockets: what is told is followed, and what breaks is asked for again."""

from __future__ import annotations

import pytest

from tests.sockets import Discovery, Sidecar, Upstream, eventually


def served_by(sidecar: Sidecar, upstream: Upstream) -> bool:
    before = len(upstream.requests)
    return sidecar.request("POST", "/pay/7", b"x").status == 200 and len(upstream.requests) > before


def test_the_watch_starts_from_the_known_version_and_a_line_may_come_in_pieces() -> None:
    with Upstream(body=b"ok") as old, Upstream(body=b"ok") as new, Sidecar([old]) as sidecar:
        assert served_by(sidecar, old)
        assert eventually(lambda: sidecar.discovery.calls)[0] == "GET /v1/endpoints?stream=1&index=1 HTTP/1.1"
        sidecar.discovery.tell(new.entry(), pieces=9)
        eventually(lambda: served_by(sidecar, new))
        sidecar.discovery.tell(old.entry(health="terminating"))
        eventually(lambda: not served_by(sidecar, old))
        before = len(old.requests)
        for _ in range(10):
            assert served_by(sidecar, new)
        assert len(old.requests) == before  # rule 3


def test_a_gone_upstream_needs_no_address() -> None:
    with Upstream(body=b"ok") as old, Upstream(body=b"ok") as new, Sidecar([old, new]) as sidecar:
        sidecar.discovery.tell(old.entry(health="terminated", dial=""))
        eventually(lambda: not served_by(sidecar, old))
        assert served_by(sidecar, new)


def test_an_upstream_that_moved_is_reached_at_its_new_address() -> None:
    with Upstream(body=b"ok") as old, Upstream(body=b"ok") as new, Sidecar([old]) as sidecar:
        assert served_by(sidecar, old)
        sidecar.discovery.tell(old.entry(dial=new.address))
        eventually(lambda: served_by(sidecar, new))


@pytest.mark.parametrize("reply", [
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
    b"garbage\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnot json\n",
    b'HTTP/1.1 200 OK\r\nContent-Length: 38\r\n\r\n{"seq":9,"whole":true,"hosts":[{"x":1}\n',
    b'HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\n{"seq":9,"whole":true,"hosts":[3]}\n',
    b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nnull\n',
])
def test_a_failed_call_leaves_the_old_list_and_is_made_again(reply: bytes) -> None:
    with Upstream(body=b"ok") as old, Upstream(body=b"ok") as new, Discovery([]) as discovery:
        discovery.reply = reply
        discovery.hosts = [new.entry()]
        with Sidecar([old], discovery) as sidecar:
            eventually(lambda: [line for line in sidecar.lines if "discovery: " in line])
            assert served_by(sidecar, old)
            eventually(lambda: len(discovery.calls) >= 2)
            discovery.reply = None
            eventually(lambda: served_by(sidecar, new))


def test_a_watch_that_ends_is_taken_up_where_it_was() -> None:
    with Upstream(body=b"ok") as one, Upstream(body=b"ok") as two, Sidecar([one]) as sidecar:
        sidecar.discovery.tell(two.entry())
        eventually(lambda: served_by(sidecar, two))
        sidecar.discovery.hang_up()
        eventually(lambda: "GET /v1/endpoints?stream=1&index=2 HTTP/1.1" in sidecar.discovery.calls)


def test_a_silent_watch_is_given_up_and_asked_again() -> None:
    """Two heartbeats and a little: what it does not tell counts as told after 6 s."""
    with Upstream(body=b"ok") as one, Sidecar([one]) as sidecar:
        eventually(lambda: sidecar.discovery.watches)
        eventually(lambda: len(sidecar.discovery.calls) >= 2)
        assert [line for line in sidecar.lines if "silence" in line]


def test_an_empty_line_alone_answers_the_call() -> None:
    """Otherwise a quiet watch would count as lost, and be asked for over and over."""
    with Upstream(body=b"ok") as one, Discovery([]) as discovery:
        discovery.reply = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"
        with Sidecar([one], discovery) as sidecar:
            eventually(lambda: discovery.calls)
            assert served_by(sidecar, one)
            assert len(discovery.calls) == 1 and not [line for line in sidecar.lines if "bad list" in line]
