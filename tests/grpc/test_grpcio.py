"""A real sidecar process between the client and the server of grpcio."""

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

TEST_TIMEOUT_S = 20.0
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
    """The upstream's behaviour, by the name of the method."""

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
        metadata = dict(context.invocation_metadata())
        context.send_initial_metadata((("first", "1"),))
        context.set_trailing_metadata(
            (
                ("last-bin", b"\x00\xff"),
                ("left", str(context.time_remaining())),
                ("told", metadata.get("mine", "")),
                ("req", metadata.get("req-id", "")),
            )
        )
        if len(request) == 100_000:
            context.set_compression(grpc.Compression.Gzip)
        return request

    def down(self, request: bytes, context: Any) -> Iterator[bytes]:
        for number in range(int(request)):
            yield b"%d" % number

    def up(self, requests: Iterator[bytes], context: Any) -> bytes:
        return b"%d" % sum(len(message) for message in requests)

    def chat(self, requests: Iterator[bytes], context: Any) -> Iterator[bytes]:
        for message in requests:
            yield b"re " + message

    def fail(self, request: bytes, context: Any) -> bytes:
        context.abort(grpc.StatusCode[request.decode()], "as asked")
        return b""

    buy = fail

    def slow(self, request: bytes, context: Any) -> bytes:
        context.add_callback(self.cancelled.set)
        self.entered.set()
        self.cancelled.wait(TEST_TIMEOUT_S)
        return b""


class Installation:
    """A grpcio server, a platform discovery service and a sidecar. The event loop runs in its own thread."""

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
        asyncio.run_coroutine_threadsafe(self.start(), self.loop).result(TEST_TIMEOUT_S)
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

    async def stop(self) -> int | None:
        code = await self.sidecar.stop()
        self.roster.close()
        return code

    def close(self) -> int | None:
        self.channel.close()
        code = asyncio.run_coroutine_threadsafe(self.stop(), self.loop).result(TEST_TIMEOUT_S)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(TEST_TIMEOUT_S)
        self.server.stop(0)
        self.folder.cleanup()
        return code

    def unary(self, name: str) -> Callable[..., Any]:
        return self.channel.unary_unary("/komiks.Test/" + name)  # type: ignore[no-any-return]


@pytest.fixture(scope="module")
def installation() -> Iterator[Installation]:
    installation = Installation()
    try:
        yield installation
    finally:
        assert installation.close() == 0
        assert not any("Traceback" in line for line in installation.sidecar.lines)


def test_unary_with_metadata_both_ways(installation: Installation) -> None:
    answer, call = installation.unary("Echo").with_call(b"hello", timeout=5, metadata=(("mine", "yes"),))  # type: ignore[attr-defined]
    trailers = dict(call.trailing_metadata())
    assert answer == b"hello" and dict(call.initial_metadata())["first"] == "1"
    assert trailers["last-bin"] == b"\x00\xff" and trailers["told"] == "yes" and trailers["req"]
    assert 0 < float(trailers["left"]) < 5


def test_streams_in_each_direction(installation: Installation) -> None:
    at = "/komiks.Test/"
    assert list(installation.channel.unary_stream(at + "Down")(b"200", timeout=5)) == [
        b"%d" % n for n in range(200)
    ]
    sent = iter([bytes(1000)] * 300)
    assert installation.channel.stream_unary(at + "Up")(sent, timeout=5) == b"300000"
    answers = installation.channel.stream_stream(at + "Chat")(iter([b"a", b"b", b"c"]), timeout=5)
    assert list(answers) == [b"re a", b"re b", b"re c"]


def test_bidirectional_stream_in_turns(installation: Installation) -> None:
    """Each message is sent after the response to the previous one: a delayed message would block the call."""
    last_answered: futures.Future[None] = futures.Future()
    turns = [futures.Future[None]() for _ in range(5)]
    turns[0].set_result(None)

    def send_in_turns() -> Iterator[bytes]:
        for number, turn in enumerate(turns):
            turn.result(TEST_TIMEOUT_S)
            yield b"%d" % number

    answers = installation.channel.stream_stream("/komiks.Test/Chat")(send_in_turns(), timeout=8)
    for number, answer in enumerate(answers):
        assert answer == b"re %d" % number
        if number + 1 < len(turns):
            turns[number + 1].set_result(None)
        else:
            last_answered.set_result(None)
    assert last_answered.done()


def test_large_messages_and_compression(installation: Installation) -> None:
    body = bytes(range(256)) * 20_000  # 5 MB
    assert installation.unary("Echo")(body, timeout=8) == body
    # Client and server compress and decompress by the flag of the message and the encoding header.
    assert (
        installation.unary("Echo")(b"z" * 100_000, timeout=5, compression=grpc.Compression.Gzip)
        == b"z" * 100_000
    )


@pytest.mark.parametrize("code", ["NOT_FOUND", "INVALID_ARGUMENT", "PERMISSION_DENIED", "UNAUTHENTICATED"])
def test_request_error_status_is_forwarded(installation: Installation, code: str) -> None:
    with pytest.raises(grpc.RpcError) as error:
        installation.unary("Fail")(code.encode(), timeout=5)
    assert error.value.code() is grpc.StatusCode[code] and error.value.details() == "as asked"


def test_deadline_ends_the_call_and_cancels_the_handler(installation: Installation) -> None:
    started_s = time.monotonic()
    installation.service.cancelled.clear()
    with pytest.raises(grpc.RpcError) as error:
        installation.unary("Slow")(b"", timeout=0.6)
    assert error.value.code() is grpc.StatusCode.DEADLINE_EXCEEDED and time.monotonic() - started_s < 5
    # The handler of the upstream is cancelled as well.
    assert installation.service.cancelled.wait(TEST_TIMEOUT_S)


def test_cancellation_reaches_the_upstream(installation: Installation) -> None:
    installation.service.cancelled.clear()
    installation.service.entered.clear()
    call = installation.unary("Slow").future(b"", timeout=9)  # type: ignore[attr-defined]
    assert installation.service.entered.wait(TEST_TIMEOUT_S)
    call.cancel()
    assert installation.service.cancelled.wait(TEST_TIMEOUT_S)


def test_invalid_call_is_answered_by_the_sidecar(installation: Installation) -> None:
    for path, code in (
        ("/komiks.Other/Echo", grpc.StatusCode.UNIMPLEMENTED),
        ("/komiks.Test/TopUp", grpc.StatusCode.INVALID_ARGUMENT),
    ):
        with pytest.raises(grpc.RpcError) as error:
            installation.channel.unary_unary(path)(b"", timeout=5)
        assert error.value.code() is code
    assert installation.service.calls["TopUp"] == 0
    keyed = installation.unary("TopUp")(b"5", timeout=5, metadata=(("idempotency-key", "k1"),))
    assert keyed == b"5" and installation.service.calls["TopUp"] == 1


def test_client_retry_policy_does_not_repeat_an_unsafe_call(installation: Installation) -> None:
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
    address = "{}:{}".format(*installation.sidecar.address)
    with grpc.insecure_channel(address, options=[("grpc.service_config", json.dumps(policy))]) as channel:
        for code in ("UNAVAILABLE", "INTERNAL", "ABORTED"):
            before = installation.service.calls["Buy"]
            with pytest.raises(grpc.RpcError) as error:
                channel.unary_unary("/komiks.Test/Buy")(code.encode(), timeout=5)
            assert error.value.code() in (grpc.StatusCode.INTERNAL, grpc.StatusCode.ABORTED)
            assert installation.service.calls["Buy"] == before + 1, code


def test_health_check_by_grpcio(installation: Installation) -> None:
    answer = installation.channel.unary_unary(health.CHECK_PATH.decode())(b"", timeout=5)
    assert answer == health.encode_response(health.ServingStatus.SERVING)[5:]


def test_64_concurrent_calls(installation: Installation) -> None:
    echo = installation.unary("Echo")
    calls = [echo.future(b"%d" % n, timeout=9) for n in range(64)]  # type: ignore[attr-defined]
    done = Counter(call.code() for call in calls)
    served, refused = done[grpc.StatusCode.OK], done[grpc.StatusCode.UNAVAILABLE]
    assert served + refused == 64 and served >= 1  # earlier failures have reduced the concurrency limit
