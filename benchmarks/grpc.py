"""What gRPC costs: `python -m benchmarks.grpc [calls] [rounds]`. Needs the `dev` and `sidecar` extras.

Each round, interleaved: unary calls through a sidecar with 16 nodes, the same requests by HTTP/1.1 through
the same sidecar, compiled and from its sources, and the calls through a grpc.aio process that passes them on.
CPU is the process's own, from /proc; then one stream of 1 MB messages through each, and the memory of 100
connections of 100 streams.
"""

from __future__ import annotations

import asyncio
import os
import statistics
import sys
import tempfile
from typing import Any

from benchmarks.sidecar import entry
from sidecar_proxy.balancer import events as api
from sidecar_proxy.grpc.message import frame_message
from sidecar_proxy.http2.connection import DataReceived, Event, Limits
from sidecar_proxy.http2.guard import Rates
from sidecar_proxy.testbed import http1, http2
from sidecar_proxy.testbed.clients import Load
from sidecar_proxy.testbed.history import Ledger
from sidecar_proxy.testbed.platform_discovery import Roster
from sidecar_proxy.testbed.process import SidecarProcess
from sidecar_proxy.testbed.scenario import Plan, settings

NODES = 16
IN_FLIGHT = 32
MESSAGES = 200  # of 1 MB, on one stream
LOADS = (Load("chapter-buy", "at_most_once", 1.0, 60.0),)
PATH = b"/bench.Komiks/Buy"
OPERATOR = '[grpc]\nenabled = true\n[grpc.methods]\n"/bench.Komiks/*" = "chapter-buy"\n'
PASS = """
import asyncio, itertools, sys, grpc
ports = sys.argv[1:]
LARGE = [("grpc.max_receive_message_length", -1), ("grpc.max_send_message_length", -1)]
async def main():
    channels = [grpc.aio.insecure_channel("127.0.0.1:" + port, options=LARGE) for port in ports]
    turn = itertools.cycle(channels)
    class Handler(grpc.GenericRpcHandler):
        def service(self, details):
            async def one(request, context):
                return await next(turn).unary_unary(details.method)(
                    request, timeout=context.time_remaining(), metadata=context.invocation_metadata())
            async def many(requests, context):
                async for answer in next(turn).stream_stream(details.method)(
                        requests, timeout=context.time_remaining()):
                    yield answer
            if details.method.endswith("Stream"):
                return grpc.stream_stream_rpc_method_handler(many)
            return grpc.unary_unary_rpc_method_handler(one)
    server = grpc.aio.server(options=LARGE)
    server.add_generic_rpc_handlers((Handler(),))
    print("port", server.add_insecure_port("127.0.0.1:0"), flush=True)
    await server.start()
    await server.wait_for_termination()
asyncio.run(main())
"""


class PlainNode(http1.ServerPeer):
    def on_request(self, request: http1.Request) -> None:
        self.answer(b"200 OK", b"done")


class GrpcNode(http2.ServerPeer):
    def on_call(self, stream: int, told: http2.Stream) -> None:
        self.answer(stream, 0, b"done")

    def take(self, event: Event) -> None:
        if isinstance(event, DataReceived) and event.stream in self.streams:
            headers = self.streams[event.stream].headers
            if headers.get(b":path", b"").endswith(b"Stream"):  # counted, not kept
                self.http2.consumed(event.stream, len(event.data))
                if event.ended:
                    self.whole(event.stream, self.streams[event.stream])
                return
        super().take(event)


def cpu_s(pid: int) -> float:
    with open(f"/proc/{pid}/stat") as file:
        parts = file.read().rpartition(")")[2].split()
    return (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")


def resident(pid: int) -> int:
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


async def loaded(calls: int, one: Any) -> None:
    """So many calls, IN_FLIGHT of them at a time."""
    left = iter(range(calls))

    async def worker() -> None:
        for number in left:
            await one(number)

    await asyncio.gather(*[worker() for _ in range(IN_FLIGHT)])


async def by_grpc(address: tuple[str, int], pid: int, calls: int, tag: str) -> float:
    """CPU microseconds a unary call."""
    _, peer = await asyncio.get_running_loop().create_connection(http2.ClientPeer, *address)

    async def one(number: int) -> None:
        begun = peer.call(PATH, [(b"req-id", b"%s-%d" % (tag.encode(), number))], b"x" * 64)
        assert begun is not None
        told = await begun[1]
        assert told is not None and told.trailers.get(b"grpc-status") == b"0", told

    await loaded(calls // 10, one)
    tag += "m"
    before = cpu_s(pid)
    await loaded(calls, one)
    spent = cpu_s(pid) - before
    peer.abort()
    return spent / calls * 1e6


async def by_http1(address: tuple[str, int], pid: int, calls: int, tag: str) -> float:
    idle: list[http1.ClientPeer] = []

    async def one(number: int) -> None:
        if idle:
            peer = idle.pop()
        else:
            _, peer = await asyncio.get_running_loop().create_connection(http1.ClientPeer, *address)
        head = b"POST /chapter-buy/7 HTTP/1.1\r\nHost: b\r\nReq-Id: %s-%d\r\nReq-Deadline: 5\r\n" % (
            tag.encode(),
            number,
        )
        reply = await peer.ask(head + b"Content-Length: 64\r\n\r\n" + b"x" * 64)
        assert reply is not None and reply.status == 200, reply
        idle.append(peer)

    await loaded(calls // 10, one)
    tag += "m"
    before = cpu_s(pid)
    await loaded(calls, one)
    spent = cpu_s(pid) - before
    for peer in idle:
        peer.abort()
    return spent / calls * 1e6


async def stream(address: tuple[str, int], pid: int) -> tuple[float, float]:
    """MB a second, and CPU milliseconds a MB, of one stream of messages of 1 MB to a node."""
    loop = asyncio.get_running_loop()
    _, peer = await loop.create_connection(http2.ClientPeer, *address)
    headers = [
        (b":method", b"POST"),
        (b":scheme", b"http"),
        (b":path", b"/bench.Komiks/Stream"),
        (b":authority", b"b"),
        (b"te", b"trailers"),
        (b"content-type", b"application/grpc"),
    ]
    peer.http2.limits = Limits(unsent=1 << 30, rates=Rates(1e9, 1e9, 1e9, 1e9, 1e9))
    number = peer.http2.open_stream(headers)
    assert number is not None
    peer.streams[number] = http2.Stream()
    done: asyncio.Future[http2.Stream | None] = loop.create_future()
    peer.waiting[number] = done
    message = frame_message(bytes(1_000_000))
    before, begun = cpu_s(pid), loop.time()
    for count in range(MESSAGES):
        peer.http2.send_data(number, message, ended=count == MESSAGES - 1)
        peer.flush()
        while peer.http2.unsent(number) > 4_000_000:
            await asyncio.sleep(0)
    told = await asyncio.wait_for(done, 60)
    took_s = loop.time() - begun
    assert told is not None and told.trailers.get(b"grpc-status") == b"0", told
    peer.abort()
    return MESSAGES / took_s, (cpu_s(pid) - before) / MESSAGES * 1e3


async def costs(calls: int, rounds: int) -> None:
    loop = asyncio.get_running_loop()
    entries, ports = [], []
    for number in range(NODES):
        plain = await loop.create_server(PlainNode, "127.0.0.1", 0)
        node = await loop.create_server(GrpcNode, "127.0.0.1", 0)
        ports.append(str(node.sockets[0].getsockname()[1]))
        dial = f"127.0.0.1:{plain.sockets[0].getsockname()[1]}"
        entries.append(entry(f"node-{number}", number, dial) | {"dial_grpc": f"127.0.0.1:{ports[-1]}"})
    roster = Roster(Ledger(), entries)
    config = {
        "discovery": await roster.serve("s"),
        "seed": "1",
        "limits": {"sockets": 1024},
        "known": roster.known(),
        "settings": settings(Plan(loads=LOADS), 0),
    }
    passing = await asyncio.create_subprocess_exec(
        sys.executable, "-c", PASS, *ports, stdout=asyncio.subprocess.PIPE
    )
    with tempfile.TemporaryDirectory() as folder:
        forms = [SidecarProcess(name, config, folder, OPERATOR) for name in ("compiled", "sources")]
        forms[1].env = {"SIDECAR_PROXY_PURE": "1"}
        try:
            for one in forms:
                await one.start()
            assert passing.stdout is not None
            through = ("127.0.0.1", int((await passing.stdout.readline()).split()[1]))
            rows: list[list[float]] = []
            for turn in range(rounds):
                row = [await by_grpc(through, passing.pid, calls, f"p{turn}")]
                for one in forms:
                    assert one.process is not None
                    row += [
                        await by_grpc(one.address, one.process.pid, calls, f"g{turn}"),
                        await by_http1(one.address, one.process.pid, calls, f"h{turn}"),
                    ]
                rows.append(row)
                print(
                    f"round {turn + 1}, us: grpc.aio passing on; gRPC and HTTP/1.1 compiled; both from the "
                    f"sources: {' '.join(f'{one:.0f}' for one in row)}",
                    flush=True,
                )
            aio, *ours = (statistics.median(column) for column in zip(*rows, strict=True))
            for one, grpc, plain_us in zip(forms, ours[::2], ours[1::2], strict=True):
                print(
                    f"CPU a call, medians, {one.name}: gRPC {grpc:.0f} us; {grpc / aio:.2f} of grpc.aio's "
                    f"({aio:.0f}), {grpc / plain_us:.2f} of HTTP/1.1's ({plain_us:.0f})"
                )
            sides = [("grpc.aio", through, passing.pid)] + [
                (one.name, one.address, one.process.pid) for one in forms if one.process is not None
            ]
            for name, address, process in sides * 2:
                rate, cost = await stream(address, process)
                print(f"one stream of 1 MB messages, {name}: {rate:.0f} MB/s, {cost:.1f} ms CPU a MB")
        finally:
            for one in forms:
                await one.stop()
            passing.kill()
            await passing.wait()
            roster.close()


async def child() -> None:
    """A sidecar's gRPC side whose decisions send everything on at once, for the memory."""
    from sidecar_proxy.config.schema import Grpc
    from sidecar_proxy.engine.engine import Clock, Engine
    from sidecar_proxy.engine.interfaces import ListedUpstream
    from sidecar_proxy.grpc.subsystem import start
    from sidecar_proxy.http1.server import Server
    from sidecar_proxy.http1.upstream import ConnectionPool

    class Quiet:
        def subscribe(self, active: bool) -> None: ...

        def fetch(self) -> None: ...

    class Sends:
        def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.RequestArrived):
                return [api.Send(event.request, event.request % NODES)]
            return []

    told = api.Settings(classes=[api.RequestClass("chapter-buy", 1_000_000, 60_000_000)])
    pool = ConnectionPool(5.0, 60.0, 1000)
    engine = Engine(told, 1, Clock(), pool, Quiet())
    engine.balancer = Sends()  # type: ignore[assignment]
    server = Server(engine, 1000)
    start(Grpc(True, {"/bench.Komiks/*": "chapter-buy"}), engine, server)
    hosts = [ListedUpstream(api.Upstream(n), ("127.0.0.1", int(port))) for n, port in enumerate(sys.argv[2:])]
    engine.list_changed(api.ListKind.FULL, hosts, 1)
    print("port", server.listen(("127.0.0.1", 0))[1], flush=True)
    await asyncio.sleep(120)


class SilentNode(http2.ServerPeer):
    def on_call(self, stream: int, told: http2.Stream) -> None: ...


async def memory() -> None:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(SilentNode, "127.0.0.1", 0) for _ in range(NODES)]
    ports = [str(one.sockets[0].getsockname()[1]) for one in servers]
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "benchmarks.grpc", "child", *ports, stdout=asyncio.subprocess.PIPE
    )
    try:
        assert process.stdout is not None
        address = ("127.0.0.1", int((await process.stdout.readline()).split()[1]))
        print(f"memory: {resident(process.pid) / 1e6:.1f} MB at the start", end="", flush=True)
        peers = []
        for number in range(100):
            _, peer = await loop.create_connection(http2.ClientPeer, *address)
            peers.append(peer)
            if number == 99:
                await asyncio.sleep(1)
                print(f", {resident(process.pid) / 1e6:.1f} MB with 100 connections", end="", flush=True)
        for peer in peers:
            for _ in range(100):
                assert peer.call(PATH, [], b"x" * 64) is not None
        await asyncio.sleep(4)
        print(f", {resident(process.pid) / 1e6:.1f} MB with 100 calls open on each")
        for peer in peers:
            peer.abort()
    finally:
        process.kill()
        await process.wait()


async def main(calls: int, rounds: int) -> None:
    await costs(calls, rounds)
    await memory()


if __name__ == "__main__":
    if sys.argv[1:2] == ["child"]:
        asyncio.run(child())
    else:
        asyncio.run(
            asyncio.wait_for(main(int((sys.argv[1:] or ["4000"])[0]), int((sys.argv[2:] or ["3"])[0])), 300)
        )
