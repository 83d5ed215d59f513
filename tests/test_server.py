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


@pytest.mark.parametrize(
    ("raw", "status"),
    [
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
        (
            f"POST /pay/7 HTTP/1.1\r\n{HEAD}Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (
            f"POST /pay/7 HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n",
            400,
        ),
        (f"POST /pay/7 HTTP/1.1\r\n{HEAD}Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi", 400),
        (f"POST /pay/7 HTTP/1.1\r\n{HEAD}Content-Length: +2\r\n\r\nhi", 400),
        (f"POST /pay/7 HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\nzz\r\nhi\r\n0\r\n\r\n", 400),
        ("not http at all\r\n\r\n", 400),
        (f"POST /pay/7 HTTP/1.1\r\n{HEAD}Content-Length: 67108865\r\n\r\n", 413),
        (f"POST /pay/7 HTTP/1.1\r\n{HEAD}Content-Length: 99999999999999999999999\r\n\r\n", 400),
        (f"GET /read/7 HTTP/1.1\r\n{HEAD}X: " + "x" * 70_000 + "\r\n\r\n", 431),
        ("GET /read/" + "x" * 70_000, 431),
        (f"GET /read/7 HTTP/1.1\r\n{HEAD}" + "".join(f"X-{n}: {n}\r\n" for n in range(3000)) + "\r\n", 431),
    ],
)
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
    with (
        Upstream(script=lambda request, client: answer(request.body)) as upstream,
        Sidecar([upstream]) as sidecar,
    ):
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
    for piece in (
        f"POST /pay/7 HTTP/1.1\r\n{HEAD}Transfer-",
        "Encoding: chunked\r\n\r\n2\r\nh",
        "i\r\n0\r\n",
        "\r\n",
    ):
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


LIMIT = (96 - 48) // 2  # client connections under `ulimit -n 96`


@pytest.mark.parametrize("bad", [b"", b"POST /pay/7 HTTP/1.1\r\nHost: b\r\nReq-"], ids=["silent", "half"])
def test_at_the_limit_those_that_never_asked_make_room_and_not_usual_ones(bad: bytes) -> None:
    with Upstream(body=b"ok") as upstream, Sidecar([upstream], before="ulimit -n 96; ") as sidecar:
        usual = sidecar.client()
        assert usual.request("POST", "/pay/7", b"x").status == 200
        others = [sidecar.client() for _ in range(3 * LIMIT)]
        for other in others:
            other.socket.sendall(bad)
        one_more = sidecar.client()
        assert one_more.request("POST", "/pay/7", b"x", Req_Deadline="15.0").status == 200
        assert usual.request("POST", "/pay/7", b"x").status == 200


def test_kept_connections_do_not_shut_new_ones_out_at_the_limit() -> None:
    """All that may be open rest or are in the midst of a request, and one more waits."""
    with Upstream(body=b"ok") as upstream, Sidecar([upstream], before="ulimit -n 96; ") as sidecar:
        kept = [sidecar.client() for _ in range(LIMIT)]
        for client in kept:
            assert client.request("POST", "/pay/7", b"x").status == 200
        assert sidecar.client().request("POST", "/pay/7", b"x").status == 200


def test_of_those_that_asked_once_and_stay_only_half_the_limit_is_kept() -> None:
    with Upstream(body=b"ok") as upstream, Sidecar([upstream], before="ulimit -n 96; ") as sidecar:
        kept = [sidecar.client() for _ in range(LIMIT - 4)]
        for client in kept:
            assert client.request("POST", "/pay/7", b"x").status == 200
        assert kept[0].read() is None and kept[-1].request("POST", "/pay/7", b"x").status == 200


def test_at_the_limit_new_connections_are_let_in_as_fast_as_they_come() -> None:
    with Upstream(body=b"ok") as upstream, Sidecar([upstream], before="ulimit -n 96; ") as sidecar:
        kept = [sidecar.client() for _ in range(LIMIT)]
        for client in kept:
            assert client.request("POST", "/pay/7", b"x").status == 200
        started = time.monotonic()
        clients = []
        for _ in range(400):
            clients.append(sidecar.client())
            assert clients[-1].request("POST", "/pay/7", b"x").status == 200
        assert time.monotonic() - started < 12.0  # 20 s if one is let in in 50 ms


def test_a_connection_that_never_asks_is_ended_and_half_a_request_is_an_error(pair: Pair) -> None:
    body = f"POST /pay/7 HTTP/1.1\r\n{HEAD}Content-Length: 300\r\n\r\nhalf"
    raws = ["", "GET /re", f"GET /read/7 HTTP/1.1\r\n{HEAD}X: ", body, "\r\n"]
    clients = [pair.sidecar.client() for _ in raws]
    for client, raw in zip(clients, raws, strict=True):
        client.socket.sendall(raw.encode())
    found = [client.read() for client in clients]
    assert [one and one.status for one in found] == [None, 408, 408, 408, 408]
    again = pair.sidecar.client()  # the second request on a connection has its own time
    assert again.request("GET", "/read/7").status == 200
    again.socket.sendall(b"GET /re")
    late = again.read()
    assert late is not None and late.status == 408 and again.read() is None


def test_a_connection_that_asked_once_and_stays_is_ended(pair: Pair) -> None:
    client = pair.sidecar.client()
    assert client.request("GET", "/read/7").status == 200
    assert client.read() is None


def test_an_id_that_is_open_elsewhere_is_turned_away_and_the_first_is_served() -> None:
    release = threading.Event()

    def script(request: Message, client: object) -> bytes:
        release.wait(LONG_S)
        return answer(request.body)

    with Upstream(script=script) as upstream, Sidecar([upstream], instances="1") as sidecar:
        first, second = sidecar.client(), sidecar.client()
        first.send("POST", "/pay/7", b"first", Req_Id="1", Req_Deadline="15.0")
        eventually(lambda: upstream.requests)
        assert second.request("POST", "/pay/7", b"second", Req_Id="1").status == 409
        release.set()
        found = first.read()
        assert found is not None and (found.status, found.body) == (200, b"first")
        assert upstream.bodies() == [b"first"]
        assert sidecar.request("POST", "/pay/7", b"third", Req_Id="1").status == 200  # it is open no more


def test_of_hundreds_in_one_read_only_a_few_are_taken() -> None:
    release = threading.Event()

    def script(request: Message, client: object) -> bytes:
        release.wait(LONG_S)
        return answer(b"ok")

    with Upstream(script=script) as upstream, Sidecar([upstream]) as sidecar:
        client = sidecar.client()
        client.socket.sendall(
            b"".join(
                f"POST /pay/7 HTTP/1.1\r\nHost: b\r\nReq-Id: {n}\r\nReq-Deadline: 0.5\r\n"
                "Content-Length: 0\r\n\r\n".encode()
                for n in range(400)
            )
        )
        release.set()
        statuses = []
        while (found := client.read()) is not None:
            statuses.append(found.status)
        assert len(statuses) == 17 and statuses[-1] == 400 and 200 in statuses
        assert len(upstream.requests) <= 16


def test_what_comes_behind_a_bad_request_is_not_looked_at(pair: Pair) -> None:
    before = len(pair.upstream.requests)
    client = pair.sidecar.client()
    both = f"GET /nowhere HTTP/1.1\r\nHost: b\r\n\r\nGET /read/7 HTTP/1.1\r\n{HEAD}\r\n"
    client.socket.sendall(both.encode())
    found = client.read()
    assert found is not None and found.status == 404 and client.read() is None
    assert len(pair.upstream.requests) == before


def test_an_endless_body_is_an_error_that_reaches_the_client(pair: Pair) -> None:
    """A reset on top of unread input would take the answer with it."""
    client = pair.sidecar.client()
    piece = b"x" * 65536
    client.socket.sendall(f"POST /pay/7 HTTP/1.1\r\n{HEAD}Content-Length: 600000000\r\n\r\n".encode())
    for _ in range(40):
        client.socket.sendall(piece)
    found = client.read()
    assert found is not None and found.status == 413 and client.read() is None


def test_a_deadline_is_bound_by_the_classs() -> None:
    quiet = threading.Event()

    def script(request: Message, client: object) -> bytes | None:
        quiet.wait(LONG_S)
        return None

    with (
        Upstream(script=script) as upstream,
        Sidecar(
            [upstream], None, "", None, None, None, **{"request-classes.1.deadline": "600000"}
        ) as sidecar,
    ):
        assert sidecar.request("POST", "/pay/7", b"x", Req_Deadline="999999999").status in (502, 504)
        quiet.set()


def test_continue_is_not_written_ahead_of_an_answer_that_is_owed() -> None:
    release = threading.Event()

    def script(request: Message, client: object) -> bytes:
        release.wait(LONG_S)
        return answer(request.body)

    with Upstream(script=script) as upstream, Sidecar([upstream]) as sidecar:
        client = sidecar.client()
        client.socket.sendall(
            (
                f"POST /pay/7 HTTP/1.1\r\n{HEAD}Content-Length: 3\r\n\r\none"
                "POST /pay/7 HTTP/1.1\r\nHost: b\r\nReq-Id: 2\r\nReq-Deadline: 1.0\r\n"
                "Content-Length: 3\r\nExpect: 100-continue\r\n\r\n"
            ).encode()
        )
        eventually(lambda: upstream.requests)
        release.set()
        found = [client.read(), client.read()]
        assert [one and one.status for one in found] == [200, 100]
        client.socket.sendall(b"two")
        last = client.read()
        assert last is not None and last.body == b"two"


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
    """SIGTERM: what was taken is finished, all are served for a while, then idle ones end, exit 0."""
    release = threading.Event()

    def script(request: Message, client: object) -> bytes:
        if request.body == b"slow":
            release.wait(LONG_S)
        return answer(b"ok")

    with (
        Upstream(script=script) as upstream,
        Upstream(script=script) as other,
        Sidecar([upstream, other]) as sidecar,
    ):
        idle, busy, half, never = [sidecar.client() for _ in range(4)]
        assert idle.request("POST", "/pay/1", b"x").status == 200
        half.socket.sendall(b"POST /pa")
        never.socket.sendall(b"POST /pa")
        busy.send("POST", "/pay/2", b"slow", Req_Deadline="15.0")
        eventually(lambda: b"slow" in upstream.bodies() + other.bodies())
        sidecar.process.terminate()
        late = sidecar.client()
        assert late.request("POST", "/pay/3", b"x").status == 200
        assert late.read() is None and idle.read() is None
        # who has begun a request may finish it
        half.socket.sendall(f"y/4 HTTP/1.1\r\n{HEAD}Content-Length: 1\r\n\r\nx".encode())
        found = half.read()
        assert found is not None and found.status == 200 and found.headers["connection"] == "close"
        found = never.read()
        assert found is not None and found.status == 408
        release.set()
        last = busy.read()
        assert last is not None and last.status == 200 and last.headers["connection"] == "close"
        assert sidecar.process.wait(LONG_S) == 0


def test_of_a_crowd_that_says_nothing_none_pushes_out_a_client_that_writes_slowly(pair: Pair) -> None:
    with Sidecar([pair.upstream], before="ulimit -n 72; ") as sidecar:
        slow = sidecar.client()  # the oldest of all
        slow.socket.sendall(b"POST /pa")
        crowd = [sidecar.client() for _ in range(30)]  # more than are let in together
        assert sidecar.request("GET", "/read/7").status == 200
        slow.socket.sendall(f"y/4 HTTP/1.1\r\n{HEAD}Content-Length: 1\r\n\r\nx".encode())
        found = slow.read()
        assert found is not None and found.status == 200
        for client in [slow, *crowd]:
            client.close()
