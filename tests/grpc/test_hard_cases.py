"""Failures of calls, caused by scripted clients and upstreams."""

from __future__ import annotations

import asyncio
import struct

import pytest

from sidecar_proxy.balancer import events as api
from sidecar_proxy.config.schema import Grpc
from sidecar_proxy.grpc.message import frame_message
from sidecar_proxy.grpc.status import Code
from sidecar_proxy.http2.connection import DataReceived, Limits, StreamReset
from tests.grpc.rig import METHODS, RESPONSE_HEADERS, GrpcUpstream, Rig, run, send_to
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

Outcome = api.Outcome


def outcomes(rig: Rig) -> list[tuple[int, api.Outcome]]:
    return [(attempt.upstream, attempt.outcome) for attempt in rig.ended_attempts()]


async def wait_until_idle(rig: Rig) -> None:
    """Wait until the engine has no open requests."""
    async with asyncio.timeout(10):
        while rig.engine.requests:
            await asyncio.sleep(0.005)


def test_call_and_response_are_forwarded() -> None:
    async def test() -> None:
        rig = Rig(send_to(1))
        seen = (b"seen", b"1")
        await rig.add_upstream(
            lambda: GrpcUpstream(lambda upstream, stream: upstream.serve(stream, b"served", b"0", seen))
        )
        client = await rig.connect_client()
        stream = client.call("/t.T/Pay", req_id="abc", grpc_timeout="700m", req_owner="x", other="y")
        code, trailers, data = await client.receive_response(stream)
        assert (code, data, trailers[b"seen"]) == (0, frame_message(b"served"), b"1")
        request = rig.upstream_connections[0][0].request(1)
        assert request[b"req-id"] == b"abc" and request[b"other"] == b"y" and request[b"te"] == b"trailers"
        # The time left of the client's timeout.
        assert 0 < int(request[b"grpc-timeout"].rstrip(b"u")) <= 690_000
        assert outcomes(rig) == [(1, Outcome.OK)]
        rig.close()

    run(test)


@pytest.mark.parametrize(
    ("path", "metadata", "code"),
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
def test_invalid_call_is_answered_by_the_sidecar_and_not_forwarded(
    path: str, metadata: dict[str, str], code: Code
) -> None:
    async def test() -> None:
        rig = Rig(send_to(1))
        await rig.add_upstream(GrpcUpstream)
        client = await rig.connect_client()
        assert (await client.receive_response(client.call(path, b"hello", True, **metadata)))[0] == code
        assert rig.balancer is not None
        assert not any(isinstance(event, api.RequestArrived) for event in rig.balancer.events)
        assert rig.upstream_connections[0] == [] and not rig.server.open_request_ids
        rig.close()

    run(test)


def test_second_open_call_with_the_same_req_id_is_rejected() -> None:
    async def test() -> None:
        rig = Rig(send_to(1))
        await rig.add_upstream(GrpcUpstream)
        client = await rig.connect_client()
        client.call("/t.T/Read", req_id="same")
        assert (await client.receive_response(client.call("/t.T/Read", req_id="same")))[
            0
        ] == Code.ALREADY_EXISTS
        rig.close()

    run(test)


@pytest.mark.parametrize(("path", "repeated"), [("/t.T/Read", True), ("/t.T/Pay", False)])
def test_stream_reset_after_response_headers_may_have_run(path: str, repeated: bool) -> None:
    """With the real balancer a safe call is retried. An unsafe call fails, and its status forbids a retry."""

    async def test() -> None:
        rig = Rig()
        cut: list[int] = []

        def script(upstream: GrpcUpstream, stream: int) -> None:
            if cut:
                upstream.serve(stream)
                return
            cut.append(stream)
            upstream.http2.send_headers(stream, RESPONSE_HEADERS)
            upstream.flush()
            upstream.http2.reset(stream, 0x2)
            upstream.flush()

        for _ in range(3):
            await rig.add_upstream(lambda: GrpcUpstream(script))
        client = await rig.connect_client()
        code, trailers, _ = await client.receive_response(client.call(path))
        if repeated:
            assert code == 0
        else:
            assert code == Code.INTERNAL and trailers[b"grpc-retry-pushback-ms"] == b"-1"
            assert b"srv-declined" not in trailers
        assert (
            sum(len(upstream.calls()) for connections in rig.upstream_connections for upstream in connections)
            == 1 + repeated
        )
        rig.close()

    run(test)


def test_call_is_bound_to_its_upstream_once_a_message_was_forwarded() -> None:
    async def test() -> None:
        rig = Rig(send_to(1, 2))

        def script(upstream: GrpcUpstream, stream: int) -> None:
            upstream.http2.send_headers(stream, RESPONSE_HEADERS)
            upstream.http2.send_data(stream, frame_message(b"first"))
            upstream.flush()

        await rig.add_upstream(lambda: GrpcUpstream(script))
        await rig.add_upstream(lambda: GrpcUpstream(lambda upstream, stream: upstream.serve(stream)))
        client = await rig.connect_client()
        stream = client.call("/t.T/Read")
        await client.wait_until(lambda: client.events_of(DataReceived, stream))
        assert rig.upstream_connections[0][0].transport is not None
        rig.upstream_connections[0][0].transport.abort()
        code, trailers, data = await client.receive_response(stream)
        assert (code, data) == (Code.INTERNAL, frame_message(b"first"))
        assert trailers[b"grpc-retry-pushback-ms"] == b"-1"
        assert outcomes(rig) == [(1, Outcome.RESET)] and not rig.upstream_connections[1]
        assert rig.balancer is not None
        assert any(isinstance(event, api.StreamStarted) for event in rig.balancer.events)
        rig.close()

    run(test)


def test_incomplete_message_does_not_bind_the_call() -> None:
    async def test() -> None:
        rig = Rig(send_to(1, 2))
        begun = asyncio.Event()

        def script(upstream: GrpcUpstream, stream: int) -> None:
            upstream.http2.send_headers(stream, RESPONSE_HEADERS)
            upstream.http2.send_data(stream, frame_message(b"x" * 1000)[:500])
            upstream.flush()
            begun.set()

        await rig.add_upstream(lambda: GrpcUpstream(script))
        await rig.add_upstream(lambda: GrpcUpstream(lambda upstream, stream: upstream.serve(stream)))
        client = await rig.connect_client()
        stream = client.call("/t.T/Read")
        await begun.wait()
        # Enough time to read the data; if it is not read by then, the test covers less but passes.
        await asyncio.sleep(0.05)
        rig.upstream_connections[0][0].http2.reset(stream, 0x2)
        rig.upstream_connections[0][0].flush()
        assert (await client.receive_response(stream))[0] == 0
        assert outcomes(rig) == [(1, Outcome.RESET), (2, Outcome.OK)]
        rig.close()

    run(test)


def test_goaway_with_50_streams_retries_only_those_above_its_last_stream() -> None:
    async def test() -> None:
        rig = Rig(send_to(1, 2))
        seen: list[int] = []

        def script(upstream: GrpcUpstream, stream: int) -> None:
            seen.append(stream)
            if len(seen) == 50:  # the first 30 were accepted
                upstream.write(frame(GOAWAY, 0, 0, struct.pack(">II", 59, 0)))

        await rig.add_upstream(lambda: GrpcUpstream(script))
        await rig.add_upstream(lambda: GrpcUpstream(lambda upstream, stream: upstream.serve(stream)))
        client = await rig.connect_client()
        streams = [client.call("/t.T/Pay", str(n).encode()) for n in range(50)]
        for stream in streams[30:]:
            assert (await client.receive_response(stream))[0] == 0
        assert [entry for entry in outcomes(rig) if entry[0] == 1] == [(1, Outcome.FULL)] * 20
        assert len(rig.upstream_connections[1][0].calls()) == 20
        # Streams up to the last one continue on the old connection.
        first = rig.upstream_connections[0][0]
        for stream in range(1, 60, 2):
            first.serve(stream)
        for stream in streams[:30]:
            assert (await client.receive_response(stream))[0] == 0
        # New calls do not use the old connection.
        again = client.call("/t.T/Pay")
        await asyncio.wait_for(wait_for_connections(rig, 2), 10)
        assert len(first.calls()) == 50 and rig.upstream_connections[0][1] is not first
        client.http2.reset(again, 8)
        rig.close()

    run(test)


async def wait_for_connections(rig: Rig, count: int) -> None:
    while len(rig.upstream_connections[0]) < count:
        await asyncio.sleep(0.005)


@pytest.mark.parametrize(
    ("how", "outcome"),
    [
        ("refused", Outcome.FULL),
        ("declined", Outcome.FULL),
        ("reset", Outcome.RESET),
        ("unavailable", Outcome.ERROR),
        ("no status", Outcome.ERROR),
        ("http 503", Outcome.ERROR),
        ("http declined", Outcome.FULL),
        ("closed", Outcome.RESET),
        ("broken", Outcome.RESET),
        ("trailers too large", Outcome.RESET),
    ],
)
def test_unsafe_call_is_retried_only_if_it_cannot_have_run(how: str, outcome: api.Outcome) -> None:
    """The real balancer uses the second upstream only if the first cannot have executed the call."""

    async def test() -> None:
        rig = Rig()
        first: list[GrpcUpstream] = []

        def script(upstream: GrpcUpstream, stream: int) -> None:
            if not first:
                first.append(upstream)
            if upstream is not first[0]:
                upstream.serve(stream)
            elif how == "refused":
                upstream.http2.reset(stream, 0x7)
            elif how == "declined":
                upstream.trailers_only(stream, b"14", (b"srv-declined", b"1"))
            elif how == "reset":
                upstream.http2.reset(stream, 0x2)
            elif how == "unavailable":
                upstream.trailers_only(stream, b"14")
            elif how == "no status":
                upstream.http2.send_headers(stream, RESPONSE_HEADERS)
                upstream.http2.send_data(stream, frame_message(b"lost")[:-1], ended=True)
            elif how.startswith("http"):
                extra_headers = [(b"srv-declined", b"1")] if how == "http declined" else []
                upstream.http2.send_headers(stream, [(b":status", b"503"), *extra_headers], ended=True)
            elif how == "closed" and upstream.transport is not None:
                upstream.transport.abort()
            elif how == "broken":
                upstream.write(frame(HEADERS, END_HEADERS, 0, b""))
            elif how == "trailers too large":
                upstream.http2.send_headers(stream, RESPONSE_HEADERS)
                upstream.http2.send_trailers(stream, [(b"grpc-status", b"0"), (b"big", b"x" * 60_000)])
            upstream.flush()

        for _ in range(2):
            await rig.add_upstream(lambda: GrpcUpstream(script))
        client = await rig.connect_client()
        code, trailers, _ = await client.receive_response(client.call("/t.T/Pay"))
        calls = sum(
            len(upstream.calls()) for connections in rig.upstream_connections for upstream in connections
        )
        if outcome is Outcome.FULL:
            assert (code, calls) == (0, 2)
        else:
            assert code > 0 and calls == 1 and b"srv-declined" not in trailers
            assert trailers[b"grpc-retry-pushback-ms"] == b"-1" and code != Code.UNAVAILABLE
        rig.close()

    run(test)


def test_deadline_before_the_response() -> None:
    async def test() -> None:
        rig = Rig(send_to(1))
        await rig.add_upstream(GrpcUpstream)  # never responds
        client = await rig.connect_client()
        started_us = rig.engine.clock.now_us()
        stream = client.call("/t.T/Pay", grpc_timeout="300m")
        code, _, _ = await client.receive_response(stream)
        elapsed_us = rig.engine.clock.now_us() - started_us
        assert code == Code.DEADLINE_EXCEEDED and elapsed_us > 200_000
        upstream = rig.upstream_connections[0][0]
        # The stream to the upstream is reset.
        await upstream.wait_until(lambda: upstream.events_of(StreamReset, 1))
        assert outcomes(rig) == [(1, Outcome.TIMEOUT)] and not rig.engine.requests
        rig.close()

    run(test)


@pytest.mark.parametrize("how", ["reset", "lost"])
def test_client_cancellation_resets_the_stream_to_the_upstream(how: str) -> None:
    async def test() -> None:
        rig = Rig(send_to(1))
        await rig.add_upstream(GrpcUpstream)
        client = await rig.connect_client()
        stream = client.call("/t.T/Pay", req_id="abc")
        await rig.wait_for_calls()
        if how == "reset":
            client.http2.reset(stream, 8)
            client.flush()
        else:
            assert client.transport is not None
            client.transport.abort()
        upstream = rig.upstream_connections[0][0]
        await upstream.wait_until(lambda: upstream.events_of(StreamReset, 1))
        await wait_until_idle(rig)
        assert outcomes(rig) == [(1, Outcome.CANCELLED)] and not rig.server.open_request_ids
        rig.close()

    run(test)


def test_drain_refuses_new_streams_and_lets_open_ones_finish() -> None:
    async def test() -> None:
        rig = Rig(send_to(1, 2))
        await rig.add_upstream(GrpcUpstream)
        await rig.add_upstream(
            lambda: GrpcUpstream(lambda upstream, stream: upstream.serve(stream, b"second"))
        )
        client = await rig.connect_client()
        old = client.call("/t.T/Pay", req_id="old")
        await rig.wait_for_calls()
        rig.set_upstream_state(1, api.UpstreamState.DRAINING)
        code, _, data = await client.receive_response(client.call("/t.T/Pay", req_id="new"))
        assert (code, data) == (0, frame_message(b"second"))
        assert len(rig.upstream_connections[0][0].calls()) == 1 and (1, Outcome.NOT_SENT) in outcomes(rig)
        rig.upstream_connections[0][0].serve(1, b"finished")
        code, _, data = await client.receive_response(old)
        assert (code, data) == (0, frame_message(b"finished"))
        upstream = rig.upstream_connections[0][0]
        # The drained connection is closed once it is idle.
        await upstream.wait_until(lambda: upstream.is_lost)
        rig.close()

    run(test)


def test_upstream_without_window_buffers_a_bounded_part_until_the_deadline() -> None:
    async def test() -> None:
        rig = Rig(send_to(1))
        await rig.add_upstream(lambda: GrpcUpstream(limits=Limits(window=0)))
        client = await rig.connect_client()
        stream = client.call("/t.S/Up", None, ended=False, grpc_timeout="500m")
        client.http2.send_data(stream, bytes(400_000))
        client.flush()
        while rig.upstream_pool.buffer_budget.total_bytes < 65_536:
            await asyncio.sleep(0.005)
        assert client.http2.unsent(stream) >= 400_000 - 2 * 65_536  # the rest waits for the client's window
        code, _, _ = await client.receive_response(stream)
        assert code == Code.DEADLINE_EXCEEDED
        assert rig.upstream_pool.buffer_budget.total_bytes == 0
        # Other calls are not affected.
        await rig.add_upstream(lambda: GrpcUpstream(lambda upstream, stream: upstream.serve(stream)))
        rig.balancer.choose_actions = send_to(2)  # type: ignore[union-attr]
        assert (await client.receive_response(client.call("/t.T/Read")))[0] == 0
        rig.close()

    run(test)


def test_client_that_never_reads_buffers_a_bounded_part_and_does_not_affect_others() -> None:
    async def test() -> None:
        rig = Rig(send_to(1))

        def script(upstream: GrpcUpstream, stream: int) -> None:
            if upstream.request(stream)[b":path"] == b"/t.T/Read":
                upstream.serve(stream)
                return
            upstream.http2.send_headers(stream, RESPONSE_HEADERS)
            upstream.http2.send_data(stream, frame_message(bytes(3_000_000)))
            upstream.flush()

        await rig.add_upstream(lambda: GrpcUpstream(script))
        client = await rig.connect_client(Limits(window=0))
        streams = [client.call("/t.S/Down", grpc_timeout="900m") for _ in range(50)]
        other = await rig.connect_client()
        for _ in range(20):
            assert (await other.receive_response(other.call("/t.T/Read")))[0] == 0
        assert rig.upstream_pool.buffer_budget.total_bytes <= 50 * 65_536 + 10_000
        for stream in streams:
            await client.receive_response(stream)
        await wait_until_idle(rig)
        assert rig.upstream_pool.buffer_budget.total_bytes == 0
        rig.close()

    run(test)


def test_calls_with_most_buffered_data_fail_over_the_buffer_limit() -> None:
    async def test() -> None:
        rig = Rig(send_to(1), Grpc(True, METHODS, buffered_kib=256))

        def script(upstream: GrpcUpstream, stream: int) -> None:
            upstream.http2.send_headers(stream, RESPONSE_HEADERS)
            upstream.http2.send_data(stream, frame_message(bytes(1_000_000)))
            upstream.flush()

        await rig.add_upstream(lambda: GrpcUpstream(script))
        client = await rig.connect_client(Limits(window=0))
        streams = [client.call("/t.S/Down") for _ in range(8)]
        await client.wait_until(lambda: any(client.events_of(StreamReset, stream) for stream in streams))
        assert rig.upstream_pool.buffer_budget.total_bytes <= 256 * 1024 + 65_536
        open_calls = len(rig.engine.requests)
        assert 0 < open_calls < 8, "some calls fail before their deadline, and no more than necessary"
        rig.close()

    run(test)


def test_response_received_byte_by_byte() -> None:
    async def test() -> None:
        rig = Rig(send_to(1))
        request_received = asyncio.Event()
        await rig.add_upstream(lambda: GrpcUpstream(lambda upstream, stream: request_received.set()))
        client = await rig.connect_client()
        stream = client.call("/t.T/Pay")
        await request_received.wait()
        upstream = rig.upstream_connections[0][0]
        upstream.http2.send_headers(1, RESPONSE_HEADERS)
        upstream.http2.send_data(1, frame_message(b"slow"))
        upstream.http2.send_trailers(1, [(b"grpc-status", b"0")])
        for byte in upstream.http2.outgoing():
            upstream.write(bytes([byte]))
            await asyncio.sleep(0)
        code, _, data = await client.receive_response(stream)
        assert (code, data) == (0, frame_message(b"slow"))
        rig.close()

    run(test)


def test_request_over_64_kib_is_never_retried() -> None:
    async def test() -> None:
        rig = Rig(send_to(1, 2))

        def fail(upstream: GrpcUpstream, stream: int) -> None:
            # REFUSED_STREAM: it did not run, but the start of the request is no longer buffered.
            upstream.http2.reset(stream, 0x7)
            upstream.flush()

        await rig.add_upstream(lambda: GrpcUpstream(fail))
        await rig.add_upstream(GrpcUpstream)
        client = await rig.connect_client()
        code, trailers, _ = await client.receive_response(client.call("/t.T/Read", bytes(200_000)))
        assert code > 0 and trailers[b"grpc-retry-pushback-ms"] == b"-1"
        assert outcomes(rig) == [(1, Outcome.FULL)] and not rig.upstream_connections[1]
        rig.close()

    run(test)


def test_request_of_64_kib_is_retried() -> None:
    async def test() -> None:
        rig = Rig(send_to(1, 2))

        def fail(upstream: GrpcUpstream, stream: int) -> None:
            upstream.http2.reset(stream, 0x7)
            upstream.flush()

        await rig.add_upstream(lambda: GrpcUpstream(fail))
        await rig.add_upstream(lambda: GrpcUpstream(lambda upstream, stream: upstream.serve(stream)))
        client = await rig.connect_client()
        body = bytes(range(256)) * 255  # a little less than 64 KiB with its prefix
        assert (await client.receive_response(client.call("/t.T/Read", body)))[0] == 0
        assert b"".join(
            event.data for event in rig.upstream_connections[1][0].events_of(DataReceived, 1)
        ) == frame_message(body)
        rig.close()

    run(test)


def test_rejection_states_that_the_call_did_not_run_and_the_retry_delay() -> None:
    async def test() -> None:
        rig = Rig(
            lambda event: (
                [api.Refuse(event.request, 250_300)] if isinstance(event, api.RequestArrived) else []
            )
        )
        client = await rig.connect_client()
        code, trailers, _ = await client.receive_response(client.call("/t.T/Pay"))
        assert code == Code.UNAVAILABLE and trailers[b"srv-declined"] == b"1"
        assert trailers[b"grpc-retry-pushback-ms"] == b"251"
        rig.close()

    run(test)


def test_silent_connection_gets_a_ping_and_is_then_aborted() -> None:
    async def test() -> None:
        rig = Rig(send_to(1), Grpc(True, METHODS, ping_s=0.1))
        # Sends no frames at all, not even SETTINGS.
        await rig.add_upstream(lambda: GrpcUpstream(use_http2_layer=False))
        client = await rig.connect_client()
        code, _, _ = await client.receive_response(client.call("/t.T/Pay"))
        assert code == Code.INTERNAL and outcomes(rig) == [(1, Outcome.RESET)]
        assert any(kind == PING for kind, _, _, _ in rig.upstream_connections[0][0].frames())
        rig.close()

    run(test)


def test_call_without_connection_did_not_run_and_is_retried() -> None:
    async def test() -> None:
        rig = Rig(send_to(1, 2))
        await rig.add_upstream(GrpcUpstream)
        rig.listeners[0].close()
        await rig.add_upstream(lambda: GrpcUpstream(lambda upstream, stream: upstream.serve(stream)))
        client = await rig.connect_client()
        assert (await client.receive_response(client.call("/t.T/Pay")))[0] == 0
        assert outcomes(rig) == [(1, Outcome.CONNECT_FAILED), (2, Outcome.OK)]
        rig.close()

    run(test)


def test_client_that_keeps_sending_after_its_response_gets_a_reset() -> None:
    async def test() -> None:
        rig = Rig(send_to(1))
        await rig.add_upstream(GrpcUpstream)
        client = await rig.connect_client()
        stream = client.call("/t.S/Up", b"first", ended=False)
        await rig.wait_for_calls()
        rig.upstream_connections[0][0].trailers_only(1, b"9")
        code, trailers, _ = await client.receive_response(stream)
        assert code == Code.FAILED_PRECONDITION and trailers[b"grpc-retry-pushback-ms"] == b"-1"
        await client.wait_until(lambda: client.events_of(StreamReset, stream))
        assert client.events_of(StreamReset, stream)[0].code == 0
        rig.close()

    run(test)


def test_100_mb_of_messages_are_forwarded_within_the_windows() -> None:
    async def test() -> None:
        rig = Rig(send_to(1))
        received_bytes = 0

        class Sink(GrpcUpstream):
            def on_event(self, event: object) -> None:
                nonlocal received_bytes
                if isinstance(event, DataReceived):
                    received_bytes += len(event.data)
                    self.events.pop()
                    if event.ended:
                        self.serve(event.stream)

        await rig.add_upstream(Sink)
        client = await rig.connect_client()
        stream = client.call("/t.S/Up", None, ended=False)
        max_buffered_bytes = 0
        for number in range(100):
            client.http2.send_data(stream, frame_message(bytes(1_048_571)), ended=number == 99)
            client.flush()
            max_buffered_bytes = max(max_buffered_bytes, rig.upstream_pool.buffer_budget.total_bytes)
            while client.http2.unsent(stream) > 2_000_000:
                client.changed.clear()
                await client.changed.wait()
                max_buffered_bytes = max(max_buffered_bytes, rig.upstream_pool.buffer_budget.total_bytes)
        assert (await client.receive_response(stream))[0] == 0
        assert received_bytes == 100 * 1_048_576 and max_buffered_bytes <= 65_536 + 2 * 524_288
        rig.close()

    run(test)


def test_raw_frames_of_scripted_peers_are_understood() -> None:
    """The scripts above depend on this: the HTTP/2 layer parses raw frames as their names say."""

    async def test() -> None:
        rig = Rig(send_to(1))
        await rig.add_upstream(lambda: GrpcUpstream(use_http2_layer=False))
        client = await rig.connect_client()
        stream = client.call("/t.T/Read")
        while not (
            rig.upstream_connections[0]
            and any(kind == HEADERS for kind, _, _, _ in rig.upstream_connections[0][0].frames())
        ):
            await asyncio.sleep(0.005)
        upstream = rig.upstream_connections[0][0]
        upstream.write(
            frame(SETTINGS, 0, 0, b"")
            + frame(SETTINGS, ACK, 0, b"")
            + frame(
                HEADERS,
                END_HEADERS | END_STREAM,
                1,
                b"\x88\x10\x0bgrpc-status\x010" + b"\x0f\x10\x10application/grpc",
            )
        )
        assert (await client.receive_response(stream))[0] == 0
        stream = client.call("/t.T/Read")
        while sum(kind == HEADERS for kind, _, _, _ in upstream.frames()) < 2:
            await asyncio.sleep(0.005)
        upstream.write(frame(RST, 0, 3, struct.pack(">I", 0xB)))
        code, _, _ = await client.receive_response(stream)
        assert code == Code.INTERNAL and outcomes(rig) == [(1, Outcome.OK), (1, Outcome.RESET)]
        rig.close()

    run(test)


def test_attempt_timeout_does_not_end_a_started_response() -> None:
    async def test() -> None:
        def act(event: api.Event) -> list[api.Action]:
            if isinstance(event, api.RequestArrived):
                return [api.Send(event.request, 1, 150_000)]
            return []

        rig = Rig(act)

        def script(upstream: GrpcUpstream, stream: int) -> None:
            upstream.http2.send_headers(stream, RESPONSE_HEADERS)
            upstream.http2.send_data(stream, frame_message(b"first"))
            upstream.flush()
            asyncio.get_running_loop().call_later(0.4, finish, upstream, stream)

        def finish(upstream: GrpcUpstream, stream: int) -> None:
            upstream.http2.send_data(stream, frame_message(b"last"))
            upstream.http2.send_trailers(stream, [(b"grpc-status", b"0")])
            upstream.flush()

        await rig.add_upstream(lambda: GrpcUpstream(script))
        client = await rig.connect_client()
        code, _, data = await client.receive_response(client.call("/t.T/Read"))
        assert (code, data) == (0, frame_message(b"first") + frame_message(b"last"))
        assert outcomes(rig) == [(1, Outcome.OK)]
        rig.close()

    run(test)


@pytest.mark.parametrize(("messages", "outcome"), [(1, Outcome.CONNECT_FAILED), (3, Outcome.RESET)])
def test_partly_written_request_may_have_run_only_with_several_messages(
    messages: int, outcome: api.Outcome
) -> None:
    """A part of one message cannot be executed; of several, the first can be before the last arrives."""

    async def test() -> None:
        rig = Rig(send_to(1))

        def make() -> GrpcUpstream:
            upstream = GrpcUpstream(limits=Limits(window=12_000))
            upstream.returns_window = False  # no window is returned
            return upstream

        await rig.add_upstream(make)
        client = await rig.connect_client()
        parts = [frame_message(bytes(30_000 // messages)) for _ in range(messages)]
        stream = client.call("/t.T/Pay", None)
        client.http2.send_data(stream, b"".join(parts), ended=True)
        client.flush()
        while not rig.upstream_connections[0]:
            await asyncio.sleep(0.005)
        upstream = rig.upstream_connections[0][0]
        await upstream.wait_until(
            lambda: sum(len(event.data) for event in upstream.events_of(DataReceived, 1)) == 12_000
        )
        assert rig.upstream_connections[0][0].transport is not None
        rig.upstream_connections[0][0].transport.abort()
        await client.receive_response(stream)
        assert outcomes(rig) == [(1, outcome)]
        rig.close()

    run(test)


def test_hedged_call_is_bound_before_its_other_attempt_is_cancelled() -> None:
    async def test() -> None:
        def act(event: api.Event) -> list[api.Action]:
            if isinstance(event, api.RequestArrived):
                return [api.Send(event.request, 1), api.Send(event.request, 2)]
            return []

        rig = Rig(act)
        both = asyncio.Event()
        seen: list[GrpcUpstream] = []

        def script(upstream: GrpcUpstream, stream: int) -> None:
            seen.append(upstream)
            if len(seen) == 2:
                both.set()

        for _ in range(2):
            await rig.add_upstream(lambda: GrpcUpstream(script))
        client = await rig.connect_client()
        stream = client.call("/t.T/Read")
        await both.wait()
        first, second = seen
        first.http2.send_headers(1, RESPONSE_HEADERS)
        first.http2.send_data(1, frame_message(b"first"))
        first.flush()
        await client.wait_until(lambda: client.events_of(DataReceived, stream))
        await second.wait_until(lambda: second.events_of(StreamReset, 1))
        first.http2.send_trailers(1, [(b"grpc-status", b"0")])
        first.flush()
        assert (await client.receive_response(stream))[0] == 0
        await wait_until_idle(rig)
        assert rig.balancer is not None
        kinds = [type(event).__name__ for event in rig.balancer.events[-3:]]
        assert kinds == ["StreamStarted", "AttemptEnded", "AttemptEnded"]
        assert sorted(attempt.outcome.name for attempt in rig.ended_attempts()) == ["CANCELLED", "OK"]
        rig.close()

    run(test)
