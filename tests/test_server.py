"""The application's side: what is taken, what is rejected, and one answer inside the client's time."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator

import pytest

from tests.sockets import LONG_S, Client, Message, Sidecar, Upstream, answer, eventually


class Pair:
    """A sidecar and its only upstream, shared by the tests that leave no trace."""

    def __init__(self, sidecar: Sidecar, upstream: Upstream) -> None:
        self.sidecar, self.upstream = sidecar, upstream


@pytest.fixture(scope="module")
def pair() -> Iterator[Pair]:
    with Upstream(body=b"unlocked") as upstream, Sidecar([upstream]) as sidecar:
        yield Pair(sidecar, upstream)


HEAD = "Host: b\r\nReq-Id: 1\r\nReq-Deadline: 1.0\r\n"


@pytest.mark.parametrize(("raw", "status"), [
    ("GET / HTTP/1.1\r\nHost: b\r\n\r\n", 404),
    ("GET /nowhere HTTP/1.1\r\nHost: b\r\n\r\n", 404),
    (f"GET /nosuchclass/7 HTTP/1.1\r\n{HEAD}\r\n", 400),
    ("GET /read/7 HTTP/1.1\r\nHost: b\r\nReq-Deadline: 1.0\r\n\r\n", 400),
    ("GET /read/7 HTTP/1.1\r\nHost: b\r\nReq-Id: a b\r\nReq-Deadline: 1.0\r\n\r\n", 400),
    (f"GET /read/7 HTTP/1.1\r\n{HEAD}Req-Id: 2\r\n\r\n", 400),
    ("GET /read/7 HTTP/1.1\r\nHost: b\r\nReq-Id: 1\r\n\r\n", 400),
    ("GET /read/7 HTTP/1.1\r\nHost: b\r\nReq-Id: 1\r\nReq-Deadline: soon\r\n\r\n", 400),
    ("GET /read/7 HTTP/1.1\r\nHost: b\r\nReq-Id: 1\r\nReq-Deadline: -1\r\n\r\n", 400),
    ("GET /read/7 HTTP/1.1\r\nHost: b\r\nReq-Id: 1\r\nReq-Deadline: nan\r\n\r\n", 400),
    (f"POST /read/7 HTTP/1.1\r\n{HEAD}Content-Length: 0\r\n\r\n", 400),
    (f"GET /read/7 HTTP/1.1\r\n{HEAD}Content-Length: 2\r\n\r\nhi", 400),
    (f"GET /pay/7 HTTP/1.1\r\n{HEAD}\r\n", 400),
    (f"POST /pay/7 HTTP/1.1\r\n{HEAD}Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n", 400),
    (f"POST /mark/7 HTTP/1.1\r\n{HEAD}Content-Length: 0\r\n\r\n", 400),
    (f"POST /mark/7 HTTP/1.1\r\n{HEAD}Idempotency-Key:\r\nContent-Length: 0\r\n\r\n", 400),
    (f"POST /pay/7 HTTP/1.1\r\n{HEAD}Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
    (f"POST /pay/7 HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n", 400),
    (f"POST /pay/7 HTTP/1.1\r\n{HEAD}Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi", 400),
    (f"POST /pay/7 HTTP/1.1\r\n{HEAD}Content-Length: +2\r\n\r\nhi", 400),
    (f"POST /pay/7 HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\nzz\r\nhi\r\n0\r\n\r\n", 400),
    ("not http at all\r\n\r\n", 400),
    (f"POST /pay/7 HTTP/1.1\r\n{HEAD}Content-Length: 65537\r\n\r\n", 413),
    (f"POST /pay/7 HTTP/1.1\r\n{HEAD}Content-Length: 99999999999999999999999\r\n\r\n", 400),
    (f"POST /pay/7 HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\n11000\r\n" + "x" * 0x11000, 413),
    (f"GET /read/7 HTTP/1.1\r\n{HEAD}X: " + "x" * 70_000 + "\r\n\r\n", 431),
    ("GET /read/" + "x" * 70_000, 431),
    (f"GET /read/7 HTTP/1.1\r\n{HEAD}" + "".join(f"X-{n}: {n}\r\n" for n in range(3000)) + "\r\n", 431),
])
def test_bad_input_is_rejected_and_never_forwarded(pair: Pair, raw: str, status: int) -> None:
    before = len(pair.upstream.requests)
    client = pair.sidecar.client()
    client.socket.sendall(raw.encode())
    found = client.read()
    client.close()
    assert found is not None and found.status == status
    assert pair.sidecar.request("GET", "/read/7").status == 200  # it lives, and the next one is forwarded
    assert len(pair.upstream.requests) == before + 1


def test_the_largest_body_goes_through_and_comes_back_unchanged() -> None:
    body = bytes(range(256)) * 256
    with (Upstream(script=lambda request, client: answer(request.body)) as upstream,
          Sidecar([upstream]) as sidecar):
        found = sidecar.request("POST", "/pay/7?x=1%20&y", body, X_Trace="t1", Connection="keep-alive")
        assert (found.status, found.body) == (200, body)
        sent = upstream.requests[0]
        assert sent.start == "POST /pay/7?x=1%20&y HTTP/1.1" and sent.headers["x-trace"] == "t1"
        assert 0 < float(sent.headers["req-deadline"]) <= 5.0 and "connection" not in sent.headers


def test_what_the_upstream_says_of_its_body_reaches_the_client(pair: Pair) -> None:
    def typed(request: Message, client: object) -> bytes:
        return answer(b"{}", headers="Content-Type: text/x-json\r\nConnection: close\r\nSrv-Load: {}\r\n")

    pair.upstream.script, script = typed, pair.upstream.script
    try:
        found = pair.sidecar.request("GET", "/read/1")
    finally:
        pair.upstream.script = script
    assert found.headers["content-type"] == "text/x-json"
    assert "srv-load" not in found.headers and "connection" not in found.headers


def test_a_request_may_come_in_pieces_and_be_chunked(pair: Pair) -> None:
    client = pair.sidecar.client()
    for piece in (f"POST /pay/7 HTTP/1.1\r\n{HEAD}Transfer-", "Encoding: chunked\r\n\r\n2\r\nh", "i\r\n0\r\n",
                  "\r\n"):
        client.socket.sendall(piece.encode())
        time.sleep(0.01)  # for the pieces to come apart; the verdict does not hang on it
    found = client.read()
    client.close()
    assert found is not None and found.status == 200 and pair.upstream.bodies()[-1] == b"hi"


def test_an_expected_continue_is_given(pair: Pair) -> None:
    client = pair.sidecar.client()
    head = f"POST /pay/7 HTTP/1.1\r\n{HEAD}Content-Length: 2\r\nExpect: 100-continue\r\n\r\n"
    client.socket.sendall(head.encode())
    first = client.read()
    assert first is not None and first.status == 100
    client.socket.sendall(b"hi")
    second = client.read()
    assert second is not None and second.status == 200
    client.close()


def test_pipelined_requests_are_answered_in_order(pair: Pair) -> None:
    client = pair.sidecar.client()
    both = f"GET /read/7 HTTP/1.1\r\n{HEAD}\r\nGET /nowhere HTTP/1.1\r\nHost: b\r\n\r\n"
    client.socket.sendall(both.encode())
    found = [client.read(), client.read()]
    client.close()
    assert [one.status for one in found if one is not None] == [200, 404]


def test_a_client_that_wants_no_more_is_told_so(pair: Pair) -> None:
    client = pair.sidecar.client()
    assert client.request("GET", "/read/7", Connection="close").headers["connection"] == "close"
    assert client.read() is None
    client.close()


@pytest.mark.parametrize("deadline", ["0.0", "0.001"])
def test_a_request_with_no_time_left_is_answered_and_not_sent(pair: Pair, deadline: str) -> None:
    before = len(pair.upstream.requests)
    assert pair.sidecar.request("POST", "/pay/7", b"x", Req_Deadline=deadline).status in (502, 503, 504)
    assert len(pair.upstream.requests) == before


def test_silence_is_answered_inside_the_clients_time_and_is_no_refusal() -> None:
    """Rules 1 and 2: an unsafe request that may have run fails before its deadline, once."""
    deadline = "0.4"
    quiet = threading.Event()

    def script(request: Message, client: object) -> bytes | None:
        quiet.wait(LONG_S)
        return None

    with Upstream(script=script) as upstream, Sidecar([upstream]) as sidecar:
        client = sidecar.client()
        started = time.monotonic()
        found = client.request("POST", "/pay/7", b"x", Req_Deadline=deadline)
        took = time.monotonic() - started
        assert found.status not in (200, 429, 503)
        assert took < float(deadline) + 0.05 + 1.0  # wide, for a busy machine
        assert len(upstream.requests) == 1
        assert sidecar.client().request("GET", "/nowhere").status == 404
        quiet.set()


def test_what_no_upstream_can_take_is_refused_with_a_retry_after() -> None:
    with Sidecar([]) as sidecar:
        found = sidecar.request("POST", "/pay/7", b"x", Req_Deadline="0.5")
        assert found.status == 503 and 0 < float(found.headers["retry-after"]) <= 1.0


def test_a_request_whose_client_has_gone_is_not_sent_later() -> None:
    """It waits in the buffer, with all slots taken; its client leaves; then slots free."""
    release = threading.Event()

    def script(request: Message, client: object) -> bytes:
        release.wait(LONG_S)
        return answer(b"ok")

    with Upstream(script=script) as upstream, Sidecar([upstream], instances="1") as sidecar:
        first: list[Client] = []
        for number in range(12):  # more than there are slots: the last to wait is in the buffer
            client = sidecar.client()
            client.send("POST", "/pay/7", b"first%d" % number, Req_Deadline="15.0")
            first.append(client)
        taken = eventually(lambda: len(upstream.requests))
        for client in first:
            client.close()
        eventually(lambda: sidecar.request("GET", "/nowhere").status == 404)
        release.set()
        assert sidecar.stop() == 0
        assert taken <= len(upstream.requests) < 12


def test_more_clients_than_descriptors_are_all_answered() -> None:
    """EMFILE must not cost a request: what has no descriptor waits in the backlog, idle ones make room."""
    with Upstream(body=b"ok") as upstream, Sidecar([upstream], before="ulimit -n 96; ") as sidecar:
        clients = [sidecar.client() for _ in range(150)]
        statuses = []
        for client in reversed(clients):
            client.socket.settimeout(LONG_S)
            try:
                statuses.append(client.request("POST", "/pay/7", b"x", Req_Deadline="15.0").status)
            except (AssertionError, OSError):  # closed while idle: the client asks again on a new one
                statuses.append(sidecar.request("POST", "/pay/7", b"x", Req_Deadline="15.0").status)
        for client in clients:
            client.close()
        assert set(statuses) == {200} and len(upstream.requests) == 150


def test_kept_connections_do_not_shut_new_ones_out_at_the_limit() -> None:
    """All that may be open are in the midst of a request, and one more waits: when one of them has been
    answered and rests, it makes room."""
    with Upstream(body=b"ok") as upstream, Sidecar([upstream], before="ulimit -n 96; ") as sidecar:
        half = [sidecar.client() for _ in range((96 - 48) // 2)]
        for client in half:
            head = f"POST /pay/7 HTTP/1.1\r\n{HEAD}Content-Length: 2\r\nExpect: 100-continue\r\n\r\n"
            client.socket.sendall(head.encode())
            begun = client.read()
            assert begun is not None and begun.status == 100
        one_more = sidecar.client()
        one_more.send("POST", "/pay/7", b"x", Req_Deadline="15.0")
        half[0].socket.sendall(b"hi")
        found = half[0].read()
        assert found is not None and found.status == 200
        found = one_more.read()
        assert found is not None and found.status == 200


def test_at_its_limit_requests_at_once_all_get_an_answer() -> None:
    def script(request: Message, client: object) -> bytes:
        time.sleep(0.02)  # the work
        return answer(b"ok")

    with Upstream(script=script) as upstream, Sidecar([upstream], before="ulimit -n 72; ") as sidecar:
        statuses: list[int] = []

        def one() -> None:
            statuses.append(sidecar.request("POST", "/pay/7", b"x", Req_Deadline="15.0").status)

        threads = [threading.Thread(target=one) for _ in range(60)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(LONG_S)
        assert len(statuses) == 60 and set(statuses) <= {200, 503}
        assert statuses.count(200) == len(upstream.requests)


def test_a_planned_stop_loses_nothing() -> None:
    """SIGTERM: what was taken is finished, idle connections end, new ones are served for a while, exit 0."""
    release = threading.Event()

    def script(request: Message, client: object) -> bytes:
        if request.body == b"slow":
            release.wait(LONG_S)
        return answer(b"ok")

    with (Upstream(script=script) as upstream, Upstream(script=script) as other,
          Sidecar([upstream, other]) as sidecar):
        idle, busy = sidecar.client(), sidecar.client()
        assert idle.request("POST", "/pay/1", b"x").status == 200
        busy.send("POST", "/pay/2", b"slow", Req_Deadline="15.0")
        eventually(lambda: b"slow" in upstream.bodies() + other.bodies())
        sidecar.process.terminate()
        assert idle.read() is None
        late = sidecar.client()
        found = late.request("POST", "/pay/3", b"x")
        assert found.status == 200 and found.headers["connection"] == "close"
        release.set()
        last = busy.read()
        assert last is not None and last.status == 200 and last.headers["connection"] == "close"
        assert sidecar.process.wait(LONG_S) == 0
