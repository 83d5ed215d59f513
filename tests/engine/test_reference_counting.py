"""Requests are freed by reference counting, in interpreted and in compiled modules.

In compiled modules an inner function and its closure reference each other. With a body of 64 KiB in every
request, such cycles filled the memory of a sidecar to its limit before the cycle collector ran.
"""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Awaitable, Callable

import uvloop

from sidecar_proxy.balancer import events as api
from sidecar_proxy.engine.engine import Clock, Engine
from sidecar_proxy.engine.interfaces import ListedUpstream
from sidecar_proxy.http1.server import Server
from sidecar_proxy.http1.upstream import ConnectionPool
from tests.balancer.harness import settings
from tests.engine.test_engine import NoDiscovery
from tests.grpc.rig import GrpcUpstream, Rig, run
from tests.sockets import Client, Message, Upstream, answer

ROUNDS = 30


def send_requests(address: tuple[str, int]) -> list[int]:
    """Send requests that succeed and fail, with buffered and streamed bodies; return the statuses."""
    kept_alive = Client(address)
    statuses = []
    for number in range(ROUNDS):
        statuses.append(kept_alive.request("POST", "/pay/1", b"x" * 60_000).status)
        new = Client(address)
        statuses.append(new.request("GET", f"/read/{number}").status)
        statuses.append(new.request("POST", "/pay/2", b"y" * 200_000).status)
        statuses.append(new.request("POST", "/pay/err", b"z").status)
        new.close()
    kept_alive.close()
    return statuses


async def collect_cyclic_garbage(run_traffic: Callable[[], Awaitable[None]]) -> list[object]:
    """Run traffic and return the objects of this package that only the cycle collector would free."""
    gc.collect()
    gc.disable()
    gc.set_debug(gc.DEBUG_SAVEALL)
    try:
        await run_traffic()
        gc.collect()
        return [item for item in gc.garbage if type(item).__module__.startswith("sidecar_proxy")]
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()


def class_names(garbage: list[object]) -> list[str]:
    """Return the names of the objects' classes."""
    return sorted({type(item).__name__ for item in garbage})


def test_http_request_leaves_nothing_to_the_cycle_collector() -> None:
    def script(request: Message, _: object) -> bytes:
        if request.start.split()[1] == "/pay/err":
            return answer(b"", "500 Internal Server Error")
        return answer(b"w" * 150_000 if request.start.startswith("GET") else b"ok")

    async def test(upstream: Upstream) -> tuple[list[int], list[object]]:
        pool = ConnectionPool(connect_timeout_s=5.0, idle_timeout_s=5.0, max_connections=16)
        engine = Engine(settings(instances=1), 1, Clock(), pool, NoDiscovery())
        server = Server(engine, 16)
        host, _, port = upstream.address.partition(":")
        engine.list_changed(api.ListKind.FULL, [ListedUpstream(api.Upstream(7), (host, int(port)))], 1)
        address = server.listen(("127.0.0.1", 0))
        statuses: list[int] = []

        async def run_traffic() -> None:
            statuses.extend(await asyncio.to_thread(send_requests, address))
            while server.connections or pool.open_connections > len(pool.upstreams[7].idle):
                await asyncio.sleep(0.01)

        await asyncio.to_thread(send_requests, address)  # creates the objects that are kept for good
        garbage = await collect_cyclic_garbage(run_traffic)
        pool.close()
        await server.stop()
        return statuses, garbage

    with Upstream(script=script) as upstream:
        statuses, garbage = uvloop.run(asyncio.wait_for(test(upstream), 60.0))
    assert statuses.count(200) >= ROUNDS
    assert len(garbage) < ROUNDS, f"{len(garbage)} objects: {class_names(garbage)}"


def test_grpc_call_leaves_nothing_to_the_cycle_collector() -> None:
    """Covers answered and failed calls, long calls, and calls that the client resets."""

    async def test() -> None:
        def script(upstream: GrpcUpstream, stream: int) -> None:
            call_kind = upstream.request(stream)[b"what"]
            if call_kind != b"slow":
                upstream.serve(stream, b"w" * 30_000, b"13" if call_kind == b"bad" else b"0")

        rig = Rig()
        await rig.add_upstream(lambda: GrpcUpstream(script))
        client = await rig.connect_client()

        async def run_traffic() -> None:
            for _ in range(ROUNDS):
                for path, call_kind in (("/t.T/Read", "good"), ("/t.T/Pay", "bad"), ("/t.S/Any", "good")):
                    await client.receive_response(client.call(path, b"x" * 20_000, what=call_kind))
                reset_call = client.call("/t.T/Pay", what="slow")
                client.http2.reset(reset_call, 8)
                client.flush()
            await client.receive_response(client.call("/t.T/Read", what="good"))

        await run_traffic()
        garbage = await collect_cyclic_garbage(run_traffic)
        rig.close()
        assert len(garbage) < ROUNDS, f"{len(garbage)} objects for {4 * ROUNDS} calls: {class_names(garbage)}"

    run(test)
