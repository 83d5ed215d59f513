"""What a request takes is freed by its count of references, from the sources and compiled.

Compiled, each function inside another one and what it closes over hold one another: with a body of 64 KiB in
every request, a day of large bodies took a sidecar to its memory limit before the cycle collector came.
"""

from __future__ import annotations

import asyncio
import gc

import uvloop

from tests.sockets import Client, Message, Upstream, answer
from tests.test_engine import NoDiscovery
from tests.world import settings
from wickspread import interface as api
from wickspread.sidecar.engine import Clock, Engine
from wickspread.sidecar.server import Server
from wickspread.sidecar.upstream import Host, Pool

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
        engine.list_changed(api.ListKind.FULL, [Host(api.Upstream(7), (host, int(port)))], 1)
        address = server.listen(("127.0.0.1", 0))
        await asyncio.to_thread(ask, address)  # what is made once is there
        gc.collect()
        gc.disable()
        gc.set_debug(gc.DEBUG_SAVEALL)
        try:
            found = await asyncio.to_thread(ask, address)
            while server.connections or pool.open > len(pool.hosts[7].idle):
                await asyncio.sleep(0.01)
            gc.collect()
            left = [one for one in gc.garbage if type(one).__module__.startswith("wickspread")]
        finally:
            gc.set_debug(0)
            gc.garbage.clear()
            gc.enable()
        pool.close()
        await server.stop()
        return found, left

    with Upstream(script=script) as upstream:
        found, left = uvloop.run(asyncio.wait_for(test(upstream), 60.0))
    assert found.count(200) >= ROUNDS
    kinds = sorted({type(one).__name__ for one in left})
    assert len(left) < ROUNDS, f"{len(left)} objects for {len(found)} requests: {kinds}"
