"""grpcio's own client and server, a real peer on both ends, with a real sidecar process between them."""

from __future__ import annotations

import asyncio
import json
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent import futures
from typing import Any

import grpc
import pytest

from sidecar_proxy.grpc import health
from sidecar_proxy.testbed.clients import Load
from sidecar_proxy.testbed.history import Ledger
from sidecar_proxy.testbed.platform_discovery import Roster
from sidecar_proxy.testbed.process import SidecarProcess
from sidecar_proxy.testbed.scenario import Plan, settings

LONG_S = 20.0
LOADS = (
    Load("chapter-buy", "at_most_once", 0.5, 10.0),
    Load("coin-topup", "deduplicated", 0.3, 10.0),
    Load("read", "idempotent", 0.2, 10.0),
    Load("quick", "at_most_once", 0.1, 2.0),
)
OPERATOR = """
[grpc]
enabled = true
[grpc.methods]
"/komiks.Test/*" = "read"
"/komiks.Test/Buy" = "chapter-buy"
"/komiks.Test/TopUp" = "coin-topup"
"/komiks.Test/Slow" = "quick"
"""
LARGE = [("grpc.max_receive_message_length", -1), ("grpc.max_send_message_length", -1)]


class Service(grpc.GenericRpcHandler):  # type: ignore[misc]
    """What the node does, by the method's name."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.cancelled = threading.Event()
        self.entered = threading.Event()

    def service(self, details: Any) -> Any:
        name = details.method.rpartition("/")[2]
        if details.method == health.CHECK_PATH.decode():
            return None
        self.calls[name] += 1
        kinds = {
            "Down": grpc.unary_stream_rpc_method_handler,
            "Up": grpc.stream_unary_rpc_method_handler,
            "Chat": grpc.stream_stream_rpc_method_handler,
        }
        return kinds.get(name, grpc.unary_unary_rpc_method_handler)(getattr(self, name.lower(), self.echo))

    def echo(self, request: bytes, context: Any) -> bytes:
        told = dict(context.invocation_metadata())
        context.send_initial_metadata((("first", "1"),))
        context.set_trailing_metadata(
            (
                ("last-bin", b"\x00\xff"),
                ("left", str(context.time_remaining())),
                ("told", told.get("mine", "")),
                ("req", told.get("req-id", "")),
            )
        )
        if len(request) == 100_000:
            context.set_compression(grpc.Compression.Gzip)
        return request

    def down(self, request: bytes, context: Any) -> Iterator[bytes]:
        for number in range(int(request)):
            yield b"%d" % number

    def up(self, requests: Iterator[bytes], context: Any) -> bytes:
        return b"%d" % sum(len(one) for one in requests)

    def chat(self, requests: Iterator[bytes], context: Any) -> Iterator[bytes]:
        for one in requests:
            yield b"re " + one

    def fail(self, request: bytes, context: Any) -> bytes:
        context.abort(grpc.StatusCode[request.decode()], "as asked")
        return b""

    buy = fail

    def slow(self, request: bytes, context: Any) -> bytes:
        context.add_callback(self.cancelled.set)
        self.entered.set()
        self.cancelled.wait(LONG_S)
        return b""


class Installation:
    """A grpcio server, a roster and a sidecar; the asyncio part has a thread of its own."""

    def __init__(self) -> None:
        self.service = Service()
        self.server = grpc.server(futures.ThreadPoolExecutor(16), options=LARGE)
        self.server.add_generic_rpc_handlers((self.service,))
        self.port = self.server.add_insecure_port("127.0.0.1:0")
        self.server.start()
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.folder = tempfile.TemporaryDirectory()
        asyncio.run_coroutine_threadsafe(self.start(), self.loop).result(LONG_S)
        self.channel = grpc.insecure_channel("{}:{}".format(*self.sidecar.address), options=LARGE)

    async def start(self) -> None:
        entry = {
            "host": "node-0",
            "dial": "127.0.0.1:9",
            "dial_grpc": f"127.0.0.1:{self.port}",
            "site": "makati",
            "class": "lab",
            "block": 0,
            "health": "in_service",
            "share": 1.0,
            "born_ms": 0,
        }
        self.roster = Roster(Ledger(), [entry])
        plan = Plan(loads=LOADS)
        config = {
            "discovery": await self.roster.serve("s"),
            "seed": "1",
            "limits": {"sockets": 256},
            "known": self.roster.known(),
            "settings": settings(plan, 0),
        }
        self.sidecar = SidecarProcess("s", config, self.folder.name, OPERATOR)
        await self.sidecar.start()

    async def end(self) -> int | None:
        code = await self.sidecar.stop()
        self.roster.close()
        return code

    def close(self) -> int | None:
        self.channel.close()
        code = asyncio.run_coroutine_threadsafe(self.end(), self.loop).result(LONG_S)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(LONG_S)
        self.server.stop(0)
        self.folder.cleanup()
        return code

    def unary(self, name: str) -> Callable[..., Any]:
        return self.channel.unary_unary("/komiks.Test/" + name)  # type: ignore[no-any-return]


@pytest.fixture(scope="module")
def made() -> Iterator[Installation]:
    made = Installation()
    try:
        yield made
    finally:
        assert made.close() == 0
        assert not any("Traceback" in line for line in made.sidecar.lines)


def test_unary_with_metadata_both_ways(made: Installation) -> None:
    answer, call = made.unary("Echo").with_call(b"hello", timeout=5, metadata=(("mine", "yes"),))  # type: ignore[attr-defined]
    trailers = dict(call.trailing_metadata())
    assert answer == b"hello" and dict(call.initial_metadata())["first"] == "1"
    assert trailers["last-bin"] == b"\x00\xff" and trailers["told"] == "yes" and trailers["req"]
    assert 0 < float(trailers["left"]) < 5


def test_streams_each_way(made: Installation) -> None:
    at = "/komiks.Test/"
    assert list(made.channel.unary_stream(at + "Down")(b"200", timeout=5)) == [b"%d" % n for n in range(200)]
    sent = iter([bytes(1000)] * 300)
    assert made.channel.stream_unary(at + "Up")(sent, timeout=5) == b"300000"
    answers = made.channel.stream_stream(at + "Chat")(iter([b"a", b"b", b"c"]), timeout=5)
    assert list(answers) == [b"re a", b"re b", b"re c"]


def test_a_conversation_in_turns(made: Installation) -> None:
    """Each message is sent only when the one before has been answered: nothing may be held back."""
    heard: futures.Future[None] = futures.Future()
    turns = [futures.Future[None]() for _ in range(5)]
    turns[0].set_result(None)

    def say() -> Iterator[bytes]:
        for number, turn in enumerate(turns):
            turn.result(LONG_S)
            yield b"%d" % number

    answers = made.channel.stream_stream("/komiks.Test/Chat")(say(), timeout=8)
    for number, answer in enumerate(answers):
        assert answer == b"re %d" % number
        if number + 1 < len(turns):
            turns[number + 1].set_result(None)
        else:
            heard.set_result(None)
    assert heard.done()


def test_large_messages_and_compression(made: Installation) -> None:
    body = bytes(range(256)) * 20_000  # 5 MB
    assert made.unary("Echo")(body, timeout=8) == body
    # both ends compress and take apart by the flag and the header that came with the message
    assert made.unary("Echo")(b"z" * 100_000, timeout=5, compression=grpc.Compression.Gzip) == b"z" * 100_000


@pytest.mark.parametrize("code", ["NOT_FOUND", "INVALID_ARGUMENT", "PERMISSION_DENIED", "UNAUTHENTICATED"])
def test_a_status_about_the_request_is_passed_on(made: Installation, code: str) -> None:
    with pytest.raises(grpc.RpcError) as found:
        made.unary("Fail")(code.encode(), timeout=5)
    assert found.value.code() is grpc.StatusCode[code] and found.value.details() == "as asked"


def test_a_deadline(made: Installation) -> None:
    begun = time.monotonic()
    made.service.cancelled.clear()
    with pytest.raises(grpc.RpcError) as found:
        made.unary("Slow")(b"", timeout=0.6)
    assert found.value.code() is grpc.StatusCode.DEADLINE_EXCEEDED and time.monotonic() - begun < 5
    assert made.service.cancelled.wait(LONG_S)  # and the node's handler is told


def test_a_cancel_reaches_the_node(made: Installation) -> None:
    made.service.cancelled.clear()
    made.service.entered.clear()
    call = made.unary("Slow").future(b"", timeout=9)  # type: ignore[attr-defined]
    assert made.service.entered.wait(LONG_S)
    call.cancel()
    assert made.service.cancelled.wait(LONG_S)


def test_what_is_wrong_is_answered_here(made: Installation) -> None:
    for path, code in (
        ("/komiks.Other/Echo", grpc.StatusCode.UNIMPLEMENTED),
        ("/komiks.Test/TopUp", grpc.StatusCode.INVALID_ARGUMENT),
    ):
        with pytest.raises(grpc.RpcError) as found:
            made.channel.unary_unary(path)(b"", timeout=5)
        assert found.value.code() is code
    assert made.service.calls["TopUp"] == 0
    keyed = made.unary("TopUp")(b"5", timeout=5, metadata=(("idempotency-key", "k1"),))
    assert keyed == b"5" and made.service.calls["TopUp"] == 1


def test_clients_own_retries_do_not_repeat_an_unsafe_call(made: Installation) -> None:
    policy = {
        "methodConfig": [
            {
                "name": [{}],
                "retryPolicy": {
                    "maxAttempts": 4,
                    "initialBackoff": "0.01s",
                    "maxBackoff": "0.05s",
                    "backoffMultiplier": 1,
                    "retryableStatusCodes": ["UNAVAILABLE", "INTERNAL", "ABORTED", "UNKNOWN"],
                },
            }
        ]
    }
    address = "{}:{}".format(*made.sidecar.address)
    with grpc.insecure_channel(address, options=[("grpc.service_config", json.dumps(policy))]) as channel:
        for code in ("UNAVAILABLE", "INTERNAL", "ABORTED"):
            before = made.service.calls["Buy"]
            with pytest.raises(grpc.RpcError) as found:
                channel.unary_unary("/komiks.Test/Buy")(code.encode(), timeout=5)
            assert found.value.code() in (grpc.StatusCode.INTERNAL, grpc.StatusCode.ABORTED)
            assert made.service.calls["Buy"] == before + 1, code


def test_health_by_grpcio(made: Installation) -> None:
    answer = made.channel.unary_unary(health.CHECK_PATH.decode())(b"", timeout=5)
    assert answer == health.encode_response(health.ServingStatus.SERVING)[5:]


def test_many_calls_at_once(made: Installation) -> None:
    echo = made.unary("Echo")
    calls = [echo.future(b"%d" % n, timeout=9) for n in range(64)]  # type: ignore[attr-defined]
    done = Counter(call.code() for call in calls)
    served, refused = done[grpc.StatusCode.OK], done[grpc.StatusCode.UNAVAILABLE]
    assert served + refused == 64 and served >= 1  # its earlier failures have closed slots
