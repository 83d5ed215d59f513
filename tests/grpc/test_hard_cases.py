"""What can go wrong with a call, caused by peers that write frames by hand."""

from __future__ import annotations

import asyncio
import struct

import pytest

from sidecar_proxy.balancer import events as api
from sidecar_proxy.config.schema import Grpc
from sidecar_proxy.grpc.message import frame_message
from sidecar_proxy.grpc.status import Code
from sidecar_proxy.http2.connection import DataReceived, Limits, StreamReset
from tests.grpc.rig import ANSWER, METHODS, Node, Rig, run, send_to
from tests.http2.frames import (
    ACK,
    END_HEADERS,
    END_STREAM,
    GOAWAY,
    HEADERS,
    PING,
    RST,
    SETTINGS,
    frame,
)

O = api.Outcome  # noqa: E741


def outcomes(rig: Rig) -> list[tuple[int, api.Outcome]]:
    return [(one.upstream, one.outcome) for one in rig.ended()]


async def settled(rig: Rig) -> None:
    """Until nothing is out any more."""
    async with asyncio.timeout(10):
        while rig.engine.requests:
            await asyncio.sleep(0.005)


def test_a_call_goes_to_a_node_and_its_answer_comes_back() -> None:
    async def test() -> None:
        rig = Rig(send_to(1))
        seen = (b"seen", b"1")
        await rig.node(lambda: Node(lambda node, stream: node.serve(stream, b"served", b"0", seen)))
        client = await rig.client()
        stream = client.call("/t.T/Pay", req_id="abc", grpc_timeout="700m", req_owner="x", other="y")
        code, trailers, data = await client.answer(stream)
        assert (code, data, trailers[b"seen"]) == (0, frame_message(b"served"), b"1")
        asked = rig.made[0][0].request(1)
        assert asked[b"req-id"] == b"abc" and asked[b"other"] == b"y" and asked[b"te"] == b"trailers"
        assert 0 < int(asked[b"grpc-timeout"].rstrip(b"u")) <= 690_000  # what is left of it
        assert outcomes(rig) == [(1, O.OK)]
        rig.close()

    run(test)


@pytest.mark.parametrize(
    ("path", "more", "code"),
    [
        ("/t.T/Nothing", {}, Code.UNIMPLEMENTED),
        ("/u.U/Read", {}, Code.UNIMPLEMENTED),
        ("/t.T/Top", {}, Code.INVALID_ARGUMENT),
        ("/t.T/Pay", {"idempotency_key": "k"}, Code.INVALID_ARGUMENT),
        ("/t.T/Read", {"grpc_timeout": "soon"}, Code.INVALID_ARGUMENT),
        ("/t.T/Read", {"grpc_timeout": "123456789S"}, Code.INVALID_ARGUMENT),
        ("/t.T/Read", {"req_id": "a b"}, Code.INVALID_ARGUMENT),
    ],
)
def test_what_is_wrong_is_answered_here_and_never_sent_on(
    path: str, more: dict[str, str], code: Code
) -> None:
    async def test() -> None:
        rig = Rig(send_to(1))
        await rig.node(Node)
        client = await rig.client()
        assert (await client.answer(client.call(path, b"hello", True, **more)))[0] == code
        assert rig.decisions is not None
        assert not any(isinstance(one, api.RequestArrived) for one in rig.decisions.events)
        assert rig.made[0] == [] and not rig.server.open_request_ids
        rig.close()

    run(test)


def test_two_open_calls_with_one_req_id() -> None:
    async def test() -> None:
        rig = Rig(send_to(1))
        await rig.node(Node)
        client = await rig.client()
        client.call("/t.T/Read", req_id="same")
        assert (await client.answer(client.call("/t.T/Read", req_id="same")))[0] == Code.ALREADY_EXISTS
        rig.close()

    run(test)


@pytest.mark.parametrize(("path", "repeated"), [("/t.T/Read", True), ("/t.T/Pay", False)])
def test_a_stream_cut_after_its_headers_may_have_run(path: str, repeated: bool) -> None:
    """By the real decisions: what is safe is repeated, what is not has failed, and clients are told so."""

    async def test() -> None:
        rig = Rig()
        cut: list[int] = []

        def script(node: Node, stream: int) -> None:
            if cut:
                node.serve(stream)
                return
            cut.append(stream)
            node.http2.send_headers(stream, ANSWER)
            node.flush()
            node.http2.reset(stream, 0x2)
            node.flush()

        for _ in range(3):
            await rig.node(lambda: Node(script))
        client = await rig.client()
        code, trailers, _ = await client.answer(client.call(path))
        if repeated:
            assert code == 0
        else:
            assert code == Code.INTERNAL and trailers[b"grpc-retry-pushback-ms"] == b"-1"
            assert b"srv-declined" not in trailers
        assert sum(len(node.calls()) for made in rig.made for node in made) == 1 + repeated
        rig.close()

    run(test)


def test_a_call_is_bound_to_its_node_once_a_message_has_gone_on() -> None:
    async def test() -> None:
        rig = Rig(send_to(1, 2))

        def script(node: Node, stream: int) -> None:
            node.http2.send_headers(stream, ANSWER)
            node.http2.send_data(stream, frame_message(b"first"))
            node.flush()

        await rig.node(lambda: Node(script))
        await rig.node(lambda: Node(lambda node, stream: node.serve(stream)))
        client = await rig.client()
        stream = client.call("/t.T/Read")
        await client.until(lambda: client.of(DataReceived, stream))
        assert rig.made[0][0].transport is not None
        rig.made[0][0].transport.abort()
        code, trailers, data = await client.answer(stream)
        assert (code, data) == (Code.INTERNAL, frame_message(b"first"))
        assert trailers[b"grpc-retry-pushback-ms"] == b"-1"
        assert outcomes(rig) == [(1, O.RESET)] and not rig.made[1]
        assert rig.decisions is not None
        assert any(isinstance(one, api.StreamStarted) for one in rig.decisions.events)
        rig.close()

    run(test)


def test_half_a_message_binds_nothing() -> None:
    async def test() -> None:
        rig = Rig(send_to(1, 2))
        begun = asyncio.Event()

        def script(node: Node, stream: int) -> None:
            node.http2.send_headers(stream, ANSWER)
            node.http2.send_data(stream, frame_message(b"x" * 1000)[:500])
            node.flush()
            begun.set()

        await rig.node(lambda: Node(script))
        await rig.node(lambda: Node(lambda node, stream: node.serve(stream)))
        client = await rig.client()
        stream = client.call("/t.T/Read")
        await begun.wait()
        await asyncio.sleep(0.05)  # it has been read by then; if not, the test shows less, and never fails
        rig.made[0][0].http2.reset(stream, 0x2)
        rig.made[0][0].flush()
        assert (await client.answer(stream))[0] == 0
        assert outcomes(rig) == [(1, O.RESET), (2, O.OK)]
        rig.close()

    run(test)


def test_goaway_amid_50_streams_only_those_above_its_last_are_sent_again() -> None:
    async def test() -> None:
        rig = Rig(send_to(1, 2))
        seen: list[int] = []

        def script(node: Node, stream: int) -> None:
            seen.append(stream)
            if len(seen) == 50:  # the first 30 were taken
                node.write(frame(GOAWAY, 0, 0, struct.pack(">II", 59, 0)))

        await rig.node(lambda: Node(script))
        await rig.node(lambda: Node(lambda node, stream: node.serve(stream)))
        client = await rig.client()
        streams = [client.call("/t.T/Pay", str(n).encode()) for n in range(50)]
        for stream in streams[30:]:
            assert (await client.answer(stream))[0] == 0
        assert [one for one in outcomes(rig) if one[0] == 1] == [(1, O.FULL)] * 20
        assert len(rig.made[1][0].calls()) == 20
        # those below it go on, on the old connection
        first = rig.made[0][0]
        for stream in range(1, 60, 2):
            first.serve(stream)
        for stream in streams[:30]:
            assert (await client.answer(stream))[0] == 0
        # nothing new goes to the old connection
        again = client.call("/t.T/Pay")
        await asyncio.wait_for(rig_connects(rig, 2), 10)
        assert len(first.calls()) == 50 and rig.made[0][1] is not first
        client.http2.reset(again, 8)
        rig.close()

    run(test)


async def rig_connects(rig: Rig, count: int) -> None:
    while len(rig.made[0]) < count:
        await asyncio.sleep(0.005)


@pytest.mark.parametrize(
    ("how", "outcome"),
    [
        ("refused", O.FULL),
        ("declined", O.FULL),
        ("reset", O.RESET),
        ("unavailable", O.ERROR),
        ("no status", O.ERROR),
        ("http 503", O.ERROR),
        ("http declined", O.FULL),
        ("closed", O.RESET),
        ("broken", O.RESET),
        ("trailers too large", O.RESET),
    ],
)
def test_only_what_never_ran_is_sent_again_for_an_unsafe_call(how: str, outcome: api.Outcome) -> None:
    """By the real decisions: the second node is asked only where the first has surely not begun."""

    async def test() -> None:
        rig = Rig()
        first: list[Node] = []

        def script(node: Node, stream: int) -> None:
            if not first:
                first.append(node)
            if node is not first[0]:
                node.serve(stream)
            elif how == "refused":
                node.http2.reset(stream, 0x7)
            elif how == "declined":
                node.trailers_only(stream, b"14", (b"srv-declined", b"1"))
            elif how == "reset":
                node.http2.reset(stream, 0x2)
            elif how == "unavailable":
                node.trailers_only(stream, b"14")
            elif how == "no status":
                node.http2.send_headers(stream, ANSWER)
                node.http2.send_data(stream, frame_message(b"lost")[:-1], ended=True)
            elif how.startswith("http"):
                more = [(b"srv-declined", b"1")] if how == "http declined" else []
                node.http2.send_headers(stream, [(b":status", b"503"), *more], ended=True)
            elif how == "closed" and node.transport is not None:
                node.transport.abort()
            elif how == "broken":
                node.write(frame(HEADERS, END_HEADERS, 0, b""))
            elif how == "trailers too large":
                node.http2.send_headers(stream, ANSWER)
                node.http2.send_trailers(stream, [(b"grpc-status", b"0"), (b"big", b"x" * 60_000)])
            node.flush()

        for _ in range(2):
            await rig.node(lambda: Node(script))
        client = await rig.client()
        code, trailers, _ = await client.answer(client.call("/t.T/Pay"))
        calls = sum(len(node.calls()) for made in rig.made for node in made)
        if outcome is O.FULL:
            assert (code, calls) == (0, 2)
        else:
            assert code > 0 and calls == 1 and b"srv-declined" not in trailers
            assert trailers[b"grpc-retry-pushback-ms"] == b"-1" and code != Code.UNAVAILABLE
        rig.close()

    run(test)


def test_a_deadline_shorter_than_the_answer() -> None:
    async def test() -> None:
        rig = Rig(send_to(1))
        await rig.node(Node)  # never answers
        client = await rig.client()
        begun = rig.engine.clock.now_us()
        stream = client.call("/t.T/Pay", grpc_timeout="300m")
        code, _, _ = await client.answer(stream)
        took_us = rig.engine.clock.now_us() - begun
        assert code == Code.DEADLINE_EXCEEDED and took_us > 200_000
        node = rig.made[0][0]
        await node.until(lambda: node.of(StreamReset, 1))  # and the node is told
        assert outcomes(rig) == [(1, O.TIMEOUT)] and not rig.engine.requests
        rig.close()

    run(test)


@pytest.mark.parametrize("how", ["reset", "lost"])
def test_a_client_that_cancels_is_a_reset_at_the_node(how: str) -> None:
    async def test() -> None:
        rig = Rig(send_to(1))
        await rig.node(Node)
        client = await rig.client()
        stream = client.call("/t.T/Pay", req_id="abc")
        await rig.reached()
        if how == "reset":
            client.http2.reset(stream, 8)
            client.flush()
        else:
            assert client.transport is not None
            client.transport.abort()
        node = rig.made[0][0]
        await node.until(lambda: node.of(StreamReset, 1))
        await settled(rig)
        assert outcomes(rig) == [(1, O.CANCELLED)] and not rig.server.open_request_ids
        rig.close()

    run(test)


def test_a_drain_ends_new_streams_and_lets_the_open_ones_finish() -> None:
    async def test() -> None:
        rig = Rig(send_to(1, 2))
        await rig.node(Node)
        await rig.node(lambda: Node(lambda node, stream: node.serve(stream, b"second")))
        client = await rig.client()
        old = client.call("/t.T/Pay", req_id="old")
        await rig.reached()
        rig.told(1, api.UpstreamState.DRAINING)
        code, _, data = await client.answer(client.call("/t.T/Pay", req_id="new"))
        assert (code, data) == (0, frame_message(b"second"))
        assert len(rig.made[0][0].calls()) == 1 and (1, O.NOT_SENT) in outcomes(rig)
        rig.made[0][0].serve(1, b"finished")
        code, _, data = await client.answer(old)
        assert (code, data) == (0, frame_message(b"finished"))
        node = rig.made[0][0]
        await node.until(lambda: node.lost)  # and then the connection ends
        rig.close()

    run(test)


def test_a_node_with_no_window_holds_a_bounded_part_and_the_deadline_ends_it() -> None:
    async def test() -> None:
        rig = Rig(send_to(1))
        await rig.node(lambda: Node(limits=Limits(window=0)))
        client = await rig.client()
        stream = client.call("/t.S/Up", None, ended=False, grpc_timeout="500m")
        client.http2.send_data(stream, bytes(400_000))
        client.flush()
        while rig.upstream_pool.buffer_budget.total_bytes < 65_536:
            await asyncio.sleep(0.005)
        assert client.http2.unsent(stream) >= 400_000 - 2 * 65_536  # the rest is held back
        code, _, _ = await client.answer(stream)
        assert code == Code.DEADLINE_EXCEEDED
        assert rig.upstream_pool.buffer_budget.total_bytes == 0
        # others are not in its way
        await rig.node(lambda: Node(lambda node, stream: node.serve(stream)))
        rig.decisions.choose_actions = send_to(2)  # type: ignore[union-attr]
        assert (await client.answer(client.call("/t.T/Read")))[0] == 0
        rig.close()

    run(test)


def test_a_client_that_never_reads_holds_a_bounded_part_and_costs_others_nothing() -> None:
    async def test() -> None:
        rig = Rig(send_to(1))

        def script(node: Node, stream: int) -> None:
            if node.request(stream)[b":path"] == b"/t.T/Read":
                node.serve(stream)
                return
            node.http2.send_headers(stream, ANSWER)
            node.http2.send_data(stream, frame_message(bytes(3_000_000)))
            node.flush()

        await rig.node(lambda: Node(script))
        client = await rig.client(Limits(window=0))
        streams = [client.call("/t.S/Down", grpc_timeout="900m") for _ in range(50)]
        other = await rig.client()
        for _ in range(20):
            assert (await other.answer(other.call("/t.T/Read")))[0] == 0
        assert rig.upstream_pool.buffer_budget.total_bytes <= 50 * 65_536 + 10_000
        for stream in streams:
            await client.answer(stream)
        await settled(rig)
        assert rig.upstream_pool.buffer_budget.total_bytes == 0
        rig.close()

    run(test)


def test_over_the_limit_of_the_sidecar_the_call_that_holds_most_is_given_up() -> None:
    async def test() -> None:
        rig = Rig(send_to(1), Grpc(True, METHODS, buffered_kib=256))

        def script(node: Node, stream: int) -> None:
            node.http2.send_headers(stream, ANSWER)
            node.http2.send_data(stream, frame_message(bytes(1_000_000)))
            node.flush()

        await rig.node(lambda: Node(script))
        client = await rig.client(Limits(window=0))
        streams = [client.call("/t.S/Down") for _ in range(8)]
        await client.until(lambda: any(client.of(StreamReset, stream) for stream in streams))
        assert rig.upstream_pool.buffer_budget.total_bytes <= 256 * 1024 + 65_536
        left = len(rig.engine.requests)
        assert 0 < left < 8, "some are given up long before their time, and no more than need be"
        rig.close()

    run(test)


def test_a_status_that_comes_byte_by_byte() -> None:
    async def test() -> None:
        rig = Rig(send_to(1))
        whole = asyncio.Event()
        await rig.node(lambda: Node(lambda node, stream: whole.set()))
        client = await rig.client()
        stream = client.call("/t.T/Pay")
        await whole.wait()
        node = rig.made[0][0]
        node.http2.send_headers(1, ANSWER)
        node.http2.send_data(1, frame_message(b"slow"))
        node.http2.send_trailers(1, [(b"grpc-status", b"0")])
        for byte in node.http2.outgoing():
            node.write(bytes([byte]))
            await asyncio.sleep(0)
        code, _, data = await client.answer(stream)
        assert (code, data) == (0, frame_message(b"slow"))
        rig.close()

    run(test)


def test_requests_over_64_kib_are_never_sent_twice() -> None:
    async def test() -> None:
        rig = Rig(send_to(1, 2))

        def fail(node: Node, stream: int) -> None:
            node.http2.reset(stream, 0x7)  # it says that it has not run; but its first part is gone
            node.flush()

        await rig.node(lambda: Node(fail))
        await rig.node(Node)
        client = await rig.client()
        code, trailers, _ = await client.answer(client.call("/t.T/Read", bytes(200_000)))
        assert code > 0 and trailers[b"grpc-retry-pushback-ms"] == b"-1"
        assert outcomes(rig) == [(1, O.FULL)] and not rig.made[1]
        rig.close()

    run(test)


def test_requests_of_64_kib_are_sent_again() -> None:
    async def test() -> None:
        rig = Rig(send_to(1, 2))

        def fail(node: Node, stream: int) -> None:
            node.http2.reset(stream, 0x7)
            node.flush()

        await rig.node(lambda: Node(fail))
        await rig.node(lambda: Node(lambda node, stream: node.serve(stream)))
        client = await rig.client()
        body = bytes(range(256)) * 255  # with its prefix a little less than 64 KiB
        assert (await client.answer(client.call("/t.T/Read", body)))[0] == 0
        assert b"".join(one.data for one in rig.made[1][0].of(DataReceived, 1)) == frame_message(body)
        rig.close()

    run(test)


def test_a_refusal_says_that_nothing_has_run_and_when_to_come_back() -> None:
    async def test() -> None:
        rig = Rig(
            lambda event: (
                [api.Refuse(event.request, 250_300)] if isinstance(event, api.RequestArrived) else []
            )
        )
        client = await rig.client()
        code, trailers, _ = await client.answer(client.call("/t.T/Pay"))
        assert code == Code.UNAVAILABLE and trailers[b"srv-declined"] == b"1"
        assert trailers[b"grpc-retry-pushback-ms"] == b"251"
        rig.close()

    run(test)


def test_a_silent_connection_is_asked_and_then_given_up() -> None:
    async def test() -> None:
        rig = Rig(send_to(1), Grpc(True, METHODS, ping_s=0.1))
        await rig.node(lambda: Node(frames=False))  # says nothing at all, not even SETTINGS
        client = await rig.client()
        code, _, _ = await client.answer(client.call("/t.T/Pay"))
        assert code == Code.INTERNAL and outcomes(rig) == [(1, O.RESET)]
        assert any(kind == PING for kind, _, _, _ in rig.made[0][0].frames())
        rig.close()

    run(test)


def test_no_connection_never_ran() -> None:
    async def test() -> None:
        rig = Rig(send_to(1, 2))
        await rig.node(Node)
        rig.listeners[0].close()
        await rig.node(lambda: Node(lambda node, stream: node.serve(stream)))
        client = await rig.client()
        assert (await client.answer(client.call("/t.T/Pay")))[0] == 0
        assert outcomes(rig) == [(1, O.CONNECT_FAILED), (2, O.OK)]
        rig.close()

    run(test)


def test_a_client_that_keeps_sending_behind_its_answer_is_told_to_stop() -> None:
    async def test() -> None:
        rig = Rig(send_to(1))
        await rig.node(Node)
        client = await rig.client()
        stream = client.call("/t.S/Up", b"first", ended=False)
        await rig.reached()
        rig.made[0][0].trailers_only(1, b"9")
        code, trailers, _ = await client.answer(stream)
        assert code == Code.FAILED_PRECONDITION and trailers[b"grpc-retry-pushback-ms"] == b"-1"
        await client.until(lambda: client.of(StreamReset, stream))
        assert client.of(StreamReset, stream)[0].code == 0
        rig.close()

    run(test)


def test_100_mb_of_messages_pass_within_the_windows() -> None:
    async def test() -> None:
        rig = Rig(send_to(1))
        got = 0

        class Sink(Node):
            def on_event(self, event: object) -> None:
                nonlocal got
                if isinstance(event, DataReceived):
                    got += len(event.data)
                    self.events.pop()
                    if event.ended:
                        self.serve(event.stream)

        await rig.node(Sink)
        client = await rig.client()
        stream = client.call("/t.S/Up", None, ended=False)
        most = 0
        for number in range(100):
            client.http2.send_data(stream, frame_message(bytes(1_048_571)), ended=number == 99)
            client.flush()
            most = max(most, rig.upstream_pool.buffer_budget.total_bytes)
            while client.http2.unsent(stream) > 2_000_000:
                client.news.clear()
                await client.news.wait()
                most = max(most, rig.upstream_pool.buffer_budget.total_bytes)
        assert (await client.answer(stream))[0] == 0
        assert got == 100 * 1_048_576 and most <= 65_536 + 2 * 524_288
        rig.close()

    run(test)


def test_peers_frames_by_hand_are_what_they_say() -> None:
    """The scripts above rest on it: a raw GOAWAY and a raw reset are understood by the layer."""

    async def test() -> None:
        rig = Rig(send_to(1))
        await rig.node(lambda: Node(frames=False))
        client = await rig.client()
        stream = client.call("/t.T/Read")
        while not (rig.made[0] and any(kind == HEADERS for kind, _, _, _ in rig.made[0][0].frames())):
            await asyncio.sleep(0.005)
        node = rig.made[0][0]
        node.write(
            frame(SETTINGS, 0, 0, b"")
            + frame(SETTINGS, ACK, 0, b"")
            + frame(
                HEADERS,
                END_HEADERS | END_STREAM,
                1,
                b"\x88\x10\x0bgrpc-status\x010" + b"\x0f\x10\x10application/grpc",
            )
        )
        assert (await client.answer(stream))[0] == 0
        stream = client.call("/t.T/Read")
        while sum(kind == HEADERS for kind, _, _, _ in node.frames()) < 2:
            await asyncio.sleep(0.005)
        node.write(frame(RST, 0, 3, struct.pack(">I", 0xB)))
        code, _, _ = await client.answer(stream)
        assert code == Code.INTERNAL and outcomes(rig) == [(1, O.OK), (1, O.RESET)]
        rig.close()

    run(test)


def test_the_time_out_of_an_attempt_ends_no_stream_that_has_begun() -> None:
    async def test() -> None:
        def act(event: api.Event) -> list[api.Action]:
            if isinstance(event, api.RequestArrived):
                return [api.Send(event.request, 1, 150_000)]
            return []

        rig = Rig(act)

        def script(node: Node, stream: int) -> None:
            node.http2.send_headers(stream, ANSWER)
            node.http2.send_data(stream, frame_message(b"first"))
            node.flush()
            asyncio.get_running_loop().call_later(0.4, finish, node, stream)

        def finish(node: Node, stream: int) -> None:
            node.http2.send_data(stream, frame_message(b"last"))
            node.http2.send_trailers(stream, [(b"grpc-status", b"0")])
            node.flush()

        await rig.node(lambda: Node(script))
        client = await rig.client()
        code, _, data = await client.answer(client.call("/t.T/Read"))
        assert (code, data) == (0, frame_message(b"first") + frame_message(b"last"))
        assert outcomes(rig) == [(1, O.OK)]
        rig.close()

    run(test)


@pytest.mark.parametrize(("messages", "outcome"), [(1, O.CONNECT_FAILED), (3, O.RESET)])
def test_what_a_node_has_of_a_request_that_is_cut(messages: int, outcome: api.Outcome) -> None:
    """Of one message a part runs nothing; of several, the first may have run when the last has not come."""

    async def test() -> None:
        rig = Rig(send_to(1))

        def make() -> Node:
            node = Node(limits=Limits(window=12_000))
            node.reads = False  # none of it is given back
            return node

        await rig.node(make)
        client = await rig.client()
        parts = [frame_message(bytes(30_000 // messages)) for _ in range(messages)]
        stream = client.call("/t.T/Pay", None)
        client.http2.send_data(stream, b"".join(parts), ended=True)
        client.flush()
        while not rig.made[0]:
            await asyncio.sleep(0.005)
        node = rig.made[0][0]
        await node.until(lambda: sum(len(one.data) for one in node.of(DataReceived, 1)) == 12_000)
        assert rig.made[0][0].transport is not None
        rig.made[0][0].transport.abort()
        await client.answer(stream)
        assert outcomes(rig) == [(1, outcome)]
        rig.close()

    run(test)


def test_a_hedged_call_is_bound_before_its_other_attempt_is_cancelled() -> None:
    async def test() -> None:
        def act(event: api.Event) -> list[api.Action]:
            if isinstance(event, api.RequestArrived):
                return [api.Send(event.request, 1), api.Send(event.request, 2)]
            return []

        rig = Rig(act)
        both = asyncio.Event()
        seen: list[Node] = []

        def script(node: Node, stream: int) -> None:
            seen.append(node)
            if len(seen) == 2:
                both.set()

        for _ in range(2):
            await rig.node(lambda: Node(script))
        client = await rig.client()
        stream = client.call("/t.T/Read")
        await both.wait()
        first, second = seen
        first.http2.send_headers(1, ANSWER)
        first.http2.send_data(1, frame_message(b"first"))
        first.flush()
        await client.until(lambda: client.of(DataReceived, stream))
        await second.until(lambda: second.of(StreamReset, 1))
        first.http2.send_trailers(1, [(b"grpc-status", b"0")])
        first.flush()
        assert (await client.answer(stream))[0] == 0
        await settled(rig)
        assert rig.decisions is not None
        kinds = [type(one).__name__ for one in rig.decisions.events[-3:]]
        assert kinds == ["StreamStarted", "AttemptEnded", "AttemptEnded"]
        assert sorted(one.outcome.name for one in rig.ended()) == ["CANCELLED", "OK"]
        rig.close()

    run(test)
