"""What a request takes is freed by its count of references, from the sources and compiled.

Compiled, each function inside another one and what it closes over hold one another: with a body of 64 KiB in
every request, a day of large bodies took a sidecar to its memory limit before the cycle collector came.
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
from sidecar_proxy.http1.upstream import Pool
from tests.balancer.world import settings
from tests.grpc.rig import Node, Rig, run
from tests.sockets import Client, Message, Upstream, answer
from tests.test_engine import NoDiscovery

ROUNDS = 30


def ask(address: tuple[str, int]) -> list[int]:
    """Kept and new connections, refused and failed ones, bodies held whole and passed on."""
    kept, found = Client(address), []
    for number in range(ROUNDS):
        found.append(kept.request("POST", "/pay/1", b"x" * 60_000).status)
        new = Client(address)
        found.append(new.request("GET", f"/read/{number}").status)
        found.append(new.request("POST", "/pay/2", b"y" * 200_000).status)
        found.append(new.request("POST", "/pay/err", b"z").status)
        new.close()
    kept.close()
    return found


async def leaves(play: Callable[[], Awaitable[None]]) -> list[object]:
    """What of ours only the cycle collector would free."""
    gc.collect()
    gc.disable()
    gc.set_debug(gc.DEBUG_SAVEALL)
    try:
        await play()
        gc.collect()
        return [one for one in gc.garbage if type(one).__module__.startswith("sidecar_proxy")]
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()


def names(left: list[object]) -> list[str]:
    return sorted({type(one).__name__ for one in left})


def test_a_request_leaves_nothing_to_the_cycle_collector() -> None:
    def script(request: Message, _: object) -> bytes:
        if request.start.split()[1] == "/pay/err":
            return answer(b"", "500 Internal Server Error")
        return answer(b"w" * 150_000 if request.start.startswith("GET") else b"ok")

    async def test(upstream: Upstream) -> tuple[list[int], list[object]]:
        pool = Pool(connect_s=5.0, idle_s=5.0, most=16)
        engine = Engine(settings(instances=1), 1, Clock(), pool, NoDiscovery())
        server = Server(engine, 16)
        host, _, port = upstream.address.partition(":")
        engine.list_changed(api.ListKind.FULL, [ListedUpstream(api.Upstream(7), (host, int(port)))], 1)
        address = server.listen(("127.0.0.1", 0))
        found: list[int] = []

        async def play() -> None:
            found.extend(await asyncio.to_thread(ask, address))
            while server.connections or pool.open > len(pool.upstreams[7].idle):
                await asyncio.sleep(0.01)

        await asyncio.to_thread(ask, address)  # what is made once is there
        left = await leaves(play)
        pool.close()
        await server.stop()
        return found, left

    with Upstream(script=script) as upstream:
        found, left = uvloop.run(asyncio.wait_for(test(upstream), 60.0))
    assert found.count(200) >= ROUNDS
    assert len(left) < ROUNDS, f"{len(left)} objects for {len(found)} requests: {names(left)}"


def test_a_call_of_grpc_leaves_nothing_to_the_cycle_collector() -> None:
    """Answered and failed calls, long ones, and calls that their client resets."""

    async def test() -> None:
        def script(node: Node, stream: int) -> None:
            what = node.request(stream)[b"what"]
            if what != b"slow":
                node.serve(stream, b"w" * 30_000, b"13" if what == b"bad" else b"0")

        rig = Rig()
        await rig.node(lambda: Node(script))
        client = await rig.client()

        async def play() -> None:
            for _ in range(ROUNDS):
                for path, what in (("/t.T/Read", "good"), ("/t.T/Pay", "bad"), ("/t.S/Any", "good")):
                    await client.answer(client.call(path, b"x" * 20_000, what=what))
                lost = client.call("/t.T/Pay", what="slow")
                client.http2.reset(lost, 8)
                client.flush()
            await client.answer(client.call("/t.T/Read", what="good"))

        await play()
        left = await leaves(play)
        rig.close()
        assert len(left) < ROUNDS, f"{len(left)} objects for {4 * ROUNDS} calls: {names(left)}"

    run(test)
