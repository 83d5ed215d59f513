"""A gRPC client leaves while its call waits: no node hears of it. docs/design/crossings.md."""

from __future__ import annotations

import asyncio

import pytest

from sidecar_proxy.balancer import events as api
from sidecar_proxy.grpc.message import frame_message
from sidecar_proxy.http2.connection import HeadersReceived
from tests.grpc.rig import RESPONSE_HEADERS, Client, GrpcUpstream, Rig, run
from tests.http2.frames import GOAWAY, frame


def leave(client: Client, stream: int, how: str) -> None:
    assert client.transport is not None
    if how == "reset of its stream":
        client.http2.reset(stream, 8)
        client.flush()
    elif how == "GOAWAY":
        client.write(frame(GOAWAY, 0, 0, bytes(8)))
        client.transport.close()
    elif how == "half-close":
        client.transport.write_eof()
    else:
        client.transport.abort()


@pytest.mark.parametrize("reads", [True, False])
@pytest.mark.parametrize("how", ["reset of its stream", "GOAWAY", "half-close", "lost connection"])
def test_a_call_that_waits_is_not_sent_once_its_client_has_left(how: str, reads: bool) -> None:
    """The decisions keep it waiting, and send it as soon as they hear that it is gone. A client that does not
    read what it is given puts off the end of its connection."""

    async def test() -> None:
        gone = asyncio.Event()

        def act(event: api.Event) -> list[api.Action]:
            if isinstance(event, api.RequestArrived) and event.class_index == 0:
                return [api.Send(event.request, 1, 0)]
            if isinstance(event, api.RequestGone):
                gone.set()
                return [api.Send(event.request, 1, 0)]
            return []

        def script(node: GrpcUpstream, stream: int) -> None:
            node.http2.send_headers(stream, RESPONSE_HEADERS)
            node.http2.send_data(stream, frame_message(bytes(8_000_000)))
            node.flush()

        rig = Rig(act)
        await rig.add_upstream(lambda: GrpcUpstream(script))
        client = await rig.connect_client()
        if not reads:
            large = [client.call("/t.T/Read") for _ in range(30)]  # each within its window
            await client.wait_until(lambda: client.events_of(HeadersReceived, large[0]))
            assert client.transport is not None
            client.transport.pause_reading()
            while not any(one.has_unsent_output() for one in rig.server.connections):
                await asyncio.sleep(0)
        before = sum(len(node.calls()) for node in rig.upstream_connections[0])
        stream = client.call("/t.T/Pay")
        balancer = rig.balancer
        assert balancer is not None
        while not [1 for one in balancer.events if isinstance(one, api.RequestArrived) and one.class_index]:
            await asyncio.sleep(0)
        leave(client, stream, how)
        await gone.wait()
        for _ in range(20):
            await asyncio.sleep(0)
        assert sum(len(node.calls()) for node in rig.upstream_connections[0]) == before
        rig.close()

    run(test)
