"""Gossip on real sockets: peers that stall in an exchange, whole sidecars, and the commands for keys."""

from __future__ import annotations

import asyncio
import json
import os
import random
import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from sidecar_proxy.cli.gossip import main
from sidecar_proxy.gossip import files
from sidecar_proxy.gossip import transport as sockets
from sidecar_proxy.gossip.instance import GossipInstance
from sidecar_proxy.gossip.transport import GossipTransport, wall_clock_us
from sidecar_proxy.testbed.gossip import Keys
from sidecar_proxy.testbed.history import now_us
from sidecar_proxy.testbed.scenario import Plan, settings
from tests.sockets import LONG_S, ROOT, Discovery, Sidecar, Upstream, eventually

FOLDER = tempfile.TemporaryDirectory()
KEYS = Keys(FOLDER.name)


async def speaker(number: int, seeds: list[tuple[str, int]]) -> GossipTransport:
    ring = KEYS.keyring(f"i{number}", "s")
    instance = GossipInstance(
        ring,
        ("127.0.0.1", 0),
        seeds,
        random.Random(number),
        now_us(),
        wall_clock_us(),
        lambda node: 5,
        min_instances=1,
    )
    one = GossipTransport(instance, now_us, lambda told: None)
    instance.set_address(await one.open(("127.0.0.1", 0)))
    one.start()
    return one


async def until(what: Callable[[], Any]) -> None:
    async with asyncio.timeout(LONG_S):
        while not what():
            await asyncio.sleep(0.005)


def play(test: Callable[[GossipTransport, GossipTransport], Awaitable[None]]) -> None:
    async def run() -> None:
        one = await speaker(1, [])
        two = await speaker(2, [one.instance.address])
        try:
            await asyncio.wait_for(test(one, two), 2 * LONG_S)
        finally:
            one.close()
            two.close()

    asyncio.run(run())


def knows(one: GossipTransport, count: int) -> bool:
    return len(one.instance.core.peers.living()) == count


@pytest.mark.parametrize("manner", ["silent", "a byte at a time", "too large", "half", "noise", "leaves"])
def test_a_peer_that_stalls_in_an_exchange_is_left_and_costs_the_others_nothing(
    manner: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(sockets, "EXCHANGE_TIMEOUT_S", 0.4)

    async def test(one: GossipTransport, two: GossipTransport) -> None:
        ends: list[int] = []
        tasks: list[asyncio.Task[None]] = []

        async def stall(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            data = KEYS.keyring("i9", "s").seal_state([], wall_clock_us())
            with_size = len(data).to_bytes(4, "big") + data
            try:
                if manner == "a byte at a time":
                    for at in range(len(with_size)):
                        writer.write(with_size[at : at + 1])
                        await asyncio.sleep(0.05)
                elif manner == "too large":
                    writer.write(b"\xff\xff\xff\xff")
                elif manner == "half":
                    writer.write(with_size[:50])
                elif manner == "noise":
                    writer.write(b"\0\0\0\x20" + bytes(32))
                elif manner == "leaves":
                    writer.transport.abort()
                while await reader.read(1 << 16):
                    pass
            except OSError:
                pass
            ends.append(1)

        for _ in range(sockets.MAX_EXCHANGES):
            opened = await asyncio.open_connection(*one.instance.address)
            tasks.append(asyncio.get_running_loop().create_task(stall(*opened)))
        await until(lambda: len(ends) == sockets.MAX_EXCHANGES)
        await until(lambda: knows(one, 1) and knows(two, 1))
        assert one.exchanges == 0

    play(test)


def test_more_exchanges_than_are_allowed_are_turned_away(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test(one: GossipTransport, two: GossipTransport) -> None:
        await until(lambda: knows(one, 1) and knows(two, 1) and not one.exchanges)
        held = [await asyncio.open_connection(*one.instance.address) for _ in range(sockets.MAX_EXCHANGES)]
        for _, writer in held:
            writer.write((100).to_bytes(sockets.HEADER_BYTES, "big"))
        await until(lambda: one.exchanges == sockets.MAX_EXCHANGES)
        reader, more = await asyncio.open_connection(*one.instance.address)
        more.write((100).to_bytes(sockets.HEADER_BYTES, "big"))
        with pytest.raises(ConnectionError):
            assert await reader.read(1) == b""
            raise ConnectionResetError  # ended without a reset
        for _, writer in held:
            writer.transport.abort()
        await until(lambda: one.exchanges == 0)

    play(test)


def test_datagrams_of_any_kind_do_nothing() -> None:
    async def test(one: GossipTransport, two: GossipTransport) -> None:
        await until(lambda: knows(one, 1) and knows(two, 1))
        udp, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=one.instance.address
        )
        dice = random.Random(4)
        for size in (0, 1, 60, 500, 1300, 9000):
            udp.sendto(dice.randbytes(size))
        await until(lambda: one.instance.keyring.rejections.total() >= 5)
        udp.close()
        assert knows(one, 1)

    play(test)


@contextmanager
def gossiping(roster: list[Upstream], keys: Keys, name: str, seeds: list[str]) -> Iterator[Sidecar]:
    path = keys.folder / f"{name}.toml"
    path.write_text(keys.table(name, "s", seeds))
    with Discovery([one.entry() for one in roster]) as discovery:
        sidecar = Sidecar(roster, discovery, env={"SIDECAR_PROXY_OPERATOR": str(path)})
        sidecar.command = f"exec {sys.executable} -B -m sidecar_proxy.daemon"
        with sidecar:
            yield sidecar
            assert sidecar.stop() == 0


def members(keys: Keys, name: str, *more: str) -> str:
    path = str(keys.folder / f"{name}.sock")
    asked = [sys.executable, "-m", "sidecar_proxy", "gossip", "members", path, *more]
    return subprocess.run(asked, cwd=ROOT, capture_output=True, text=True, timeout=LONG_S, check=True).stdout


def test_sidecars_find_one_another_tell_what_they_see_and_stop_hearing_the_revoked() -> None:
    def silent(request: object, client: object) -> bytes:
        return b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"

    with tempfile.TemporaryDirectory() as folder, Upstream(script=silent) as bad:
        keys = Keys(folder)
        with gossiping([bad], keys, "one", []) as one:
            seed = eventually(lambda: [line.split()[-1] for line in one.lines if " is reachable at " in line])
            with gossiping([bad], keys, "two", seed) as two:
                eventually(lambda: "two  alive" in members(keys, "one"))
                for _ in range(3):
                    assert two.request("POST", "/pay/7", b"x").status == 502
                eventually(lambda: f"node {bad.name}: weight" in members(keys, "one"))
                told = json.loads(members(keys, "one", "--json"))
                assert told["nodes"][bad.name]["by"]["two"]["run"] >= 2
                assert told["nodes"][bad.name]["weight"] == 0.0  # of one alone
                serial = next(peer["serial"] for peer in told["peers"] if peer["name"] == "two")
                assert main(["revoke", f"{folder}/revoked", "--serial", str(serial)]) == 0
                eventually(lambda: " revoked" in members(keys, "one").splitlines()[-1])


def trusts(one: Sidecar, count: int) -> bool:
    return any(f"{count} fleet keys" in line for line in one.lines)


def test_a_certificate_under_a_new_fleet_key_holds_without_a_restart_and_the_old_key_ends() -> None:
    with tempfile.TemporaryDirectory() as folder, Upstream(b"ok") as good:
        keys, old, new = Keys(folder), f"{folder}/fleet.pub", f"{folder}/new"
        main(["keygen", new])
        with gossiping([good], keys, "one", []) as one:
            seed = eventually(lambda: [line.split()[-1] for line in one.lines if " is reachable at " in line])
            with gossiping([good], keys, "two", seed) as two:
                eventually(lambda: "two  alive" in members(keys, "one"))
                both = Path(old).read_text().strip() + "\n" + Path(new + ".pub").read_text()
                files.write_file(old, both, replace=True)
                eventually(lambda: trusts(one, 2) and trusts(two, 2))
                files.write_file(f"{folder}/one.cert", "00", replace=True)
                eventually(lambda: any("keeping the previous credentials" in line for line in one.lines))
                for number, name in enumerate(("one", "two")):
                    assert main(["keygen", f"{folder}/{name}2"]) == 0
                    os.replace(f"{folder}/{name}2", f"{folder}/{name}.key")  # before its certificate
                    assert (
                        main(
                            [
                                "certify",
                                new,
                                f"{folder}/{name}2.pub",
                                name,
                                "s",
                                f"{folder}/{name}.cert",
                                "--serial",
                                str(100 + number),
                                "--replace",
                            ]
                        )
                        == 0
                    )
                    assert [side.request("POST", "/pay/7", b"x").status for side in (one, two)] == [200, 200]
                eventually(lambda: "serial 101" in members(keys, "one"))
                eventually(lambda: "serial 100" in members(keys, "two"))
                files.write_file(old, Path(new + ".pub").read_text(), replace=True)
                eventually(lambda: trusts(one, 1) and trusts(two, 1))
                assert "two  alive" in members(keys, "one")


def test_keys_from_first_to_last(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    fleet, own, cert = str(tmp_path / "fleet"), str(tmp_path / "own"), str(tmp_path / "own.cert")
    assert main(["keygen", fleet]) == main(["keygen", own]) == 0
    assert main(["keygen", own]) == 1  # never over one that is there
    assert (tmp_path / "own").stat().st_mode & 0o077 == 0
    assert main(["certify", fleet, own + ".pub", "n0", "makati", cert, "--days", "7"]) == 0
    assert main(["certify", own + ".pub", own + ".pub", "n0", "makati", cert + "2"]) == 1
    assert main(["revoke", str(tmp_path / "revoked"), cert]) == 0
    assert main(["revoke", str(tmp_path / "revoked"), cert]) == 0
    assert len((tmp_path / "revoked").read_text().splitlines()) == 1
    assert main(["members", str(tmp_path / "nowhere")]) == 1
    said = capsys.readouterr()
    assert "n0 of makati" in said.out and "it is there already" in said.err and "Traceback" not in said.err


@pytest.mark.parametrize(
    ("changes", "line"),
    [
        ({"key_file": None}, "gossip.key_file: missing; gossip.bind needs it"),
        ({"key_file": "/nowhere"}, "gossip: /nowhere: No such file"),
        ({"certificate_file": "KEY.pub"}, "no certificate"),
        ({}, "gossip.certificate_file"),
        ({"bind": "here"}, "gossip.bind: "),
        ({"seeds": ["x"]}, "gossip.seeds: "),
        ({"bind": "0.0.0.0:0"}, "gossip.bind: expected an address that the others reach"),
        ({"advertise": "a.example:7"}, "gossip.advertise: expected an address"),
        ({"bind": "192.0.2.1:7000"}, "gossip.bind: "),
    ],
)  # an address that is no machine's
def test_what_can_not_be_used_ends_the_start_with_one_line(
    changes: dict[str, Any], line: str, tmp_path: Path
) -> None:
    key, other = str(tmp_path / "k"), str(tmp_path / "other")
    main(["keygen", key])
    main(["keygen", other])
    of = other if line == "gossip.certificate_file" else key
    main(["certify", key, of + ".pub", "n", "s", key + ".cert"])
    table = {
        "bind": "127.0.0.1:0",
        "key_file": key,
        "certificate_file": key + ".cert",
        "fleet_keys": [key + ".pub"],
    } | changes
    text = json.dumps({name: one for name, one in table.items() if one is not None}).replace("KEY", key)
    (tmp_path / "operator.toml").write_text(
        "[gossip]\n" + "\n".join(f"{name} = {json.dumps(one)}" for name, one in json.loads(text).items())
    )
    (tmp_path / "config.json").write_text(json.dumps({"seed": "1", "settings": settings(Plan(), 0)}))
    env = os.environ | {
        "PROXY_NAME": "n",
        "PROXY_LISTEN": "127.0.0.1:0",
        "PROXY_DISCOVERY": "127.0.0.1:9",
        "PROXY_CONFIG": str(tmp_path / "config.json"),
        "SIDECAR_PROXY_OPERATOR": str(tmp_path / "operator.toml"),
    }
    done = subprocess.run(
        [sys.executable, "-m", "sidecar_proxy.daemon"],
        cwd=ROOT,
        env=env,
        text=True,
        capture_output=True,
        timeout=LONG_S,
    )
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1 and line in done.stderr, done.stderr


def test_a_fault_in_gossip_costs_no_request() -> None:
    """The engine tells how each attempt ended; whatever becomes of that, the answer stands."""
    code = (
        "import sys; from sidecar_proxy.gossip.instance import GossipInstance\n"
        "def fault(*_): raise RuntimeError('a fault')\n"
        "GossipInstance.record_attempt = fault\n"
        "from sidecar_proxy.daemon.__main__ import main; sys.exit(main())"
    )
    with tempfile.TemporaryDirectory() as folder, Upstream(b"ok") as good:
        keys = Keys(folder)
        path = keys.folder / "one.toml"
        path.write_text(keys.table("one", "s", []))
        with Discovery([good.entry()]) as discovery:
            sidecar = Sidecar([good], discovery, env={"SIDECAR_PROXY_OPERATOR": str(path)})
            sidecar.command = f'exec {sys.executable} -B -c "$CODE"'
            sidecar.env["CODE"] = code
            with sidecar:
                assert [sidecar.request("POST", "/pay/7", b"x").status for _ in range(5)] == [200] * 5
                said = [
                    line for line in sidecar.lines if "recording of outcomes failed and is disabled" in line
                ]
                assert len(said) == 1
                sidecar.lines.clear()  # the traceback is the one that was asked for
