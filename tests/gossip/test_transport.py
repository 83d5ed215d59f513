"""The gossip transport on real sockets: stalling peers, too many exchanges, arbitrary datagrams."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from sidecar_proxy.gossip import transport as transport_module
from sidecar_proxy.gossip.transport import FRAME_HEADER_BYTES, MAX_EXCHANGES, wall_clock_us
from sidecar_proxy.testbed.gossip import Keys
from tests.gossip.sidecars import transport_pair, wait_until
from tests.sockets import LONG_S

Stall = Callable[[asyncio.StreamWriter, bytes], Awaitable[None]]


@pytest.fixture
def keys(tmp_path: Path) -> Keys:
    return Keys(str(tmp_path))


async def send_nothing(writer: asyncio.StreamWriter, frame: bytes) -> None:
    """Send nothing and leave the connection open."""


async def send_byte_by_byte(writer: asyncio.StreamWriter, frame: bytes) -> None:
    for index in range(len(frame)):
        writer.write(frame[index : index + 1])
        await asyncio.sleep(0.05)


async def send_too_large_length(writer: asyncio.StreamWriter, frame: bytes) -> None:
    writer.write(b"\xff\xff\xff\xff")


async def send_half(writer: asyncio.StreamWriter, frame: bytes) -> None:
    writer.write(frame[:50])


async def send_noise(writer: asyncio.StreamWriter, frame: bytes) -> None:
    writer.write(b"\0\0\0\x20" + bytes(32))


async def abort(writer: asyncio.StreamWriter, frame: bytes) -> None:
    writer.transport.abort()


STALLS = [send_nothing, send_byte_by_byte, send_too_large_length, send_half, send_noise, abort]


async def stall_until_closed(address: tuple[str, int], stall: Stall, frame: bytes) -> None:
    """Open a connection for a state exchange, stall, and wait until the other side closes it."""
    reader, writer = await asyncio.open_connection(*address)
    with contextlib.suppress(OSError):
        await stall(writer, frame)
        while await reader.read(1 << 16):
            pass


@pytest.mark.parametrize("stall", STALLS)
def test_stalling_peers_are_disconnected_and_do_not_disturb_others(
    stall: Stall, keys: Keys, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(transport_module, "EXCHANGE_TIMEOUT_S", 0.4)

    async def scenario() -> None:
        async with transport_pair(keys) as pair:
            data = keys.keyring("i9", "s").seal_state([], wall_clock_us())
            frame = len(data).to_bytes(FRAME_HEADER_BYTES, "big") + data
            address = pair.first.instance.address
            stalls = [stall_until_closed(address, stall, frame) for _ in range(MAX_EXCHANGES)]
            await asyncio.wait_for(asyncio.gather(*stalls), LONG_S)
            await wait_until(pair.know_each_other)
            assert pair.first.exchanges == 0

    asyncio.run(scenario())


def test_exchanges_over_the_limit_are_reset(keys: Keys) -> None:
    async def scenario() -> None:
        async with transport_pair(keys) as pair:
            first = pair.first
            await wait_until(lambda: pair.know_each_other() and not first.exchanges)
            address = first.instance.address
            header = (100).to_bytes(FRAME_HEADER_BYTES, "big")
            writers = [(await asyncio.open_connection(*address))[1] for _ in range(MAX_EXCHANGES)]
            for writer in writers:
                writer.write(header)
            await wait_until(lambda: first.exchanges == MAX_EXCHANGES)
            reader, extra_writer = await asyncio.open_connection(*address)
            extra_writer.write(header)
            # The connection may end with or without a reset, but no byte may be received.
            with contextlib.suppress(ConnectionError):
                assert await reader.read(1) == b""
            for writer in writers:
                writer.transport.abort()
            await wait_until(lambda: first.exchanges == 0)

    asyncio.run(scenario())


def test_arbitrary_datagrams_are_rejected(keys: Keys) -> None:
    async def scenario() -> None:
        async with transport_pair(keys) as pair:
            await wait_until(pair.know_each_other)
            udp, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                asyncio.DatagramProtocol, remote_addr=pair.first.instance.address
            )
            rng = random.Random(4)
            for size in (0, 1, 60, 500, 1300, 9000):
                udp.sendto(rng.randbytes(size))
            await wait_until(lambda: pair.first.instance.keyring.rejections.total() >= 5)
            udp.close()
            assert len(pair.first.instance.core.members.live_peers()) == 1

    asyncio.run(scenario())
