"""A stand-in for discovery, as docs/design.md describes it: the list by call and by watch, late or down."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs

from sidecar_proxy.testbed.history import Ledger, Told, now_us
from sidecar_proxy.testbed.http1 import Request, ServerPeer

HEARTBEAT_S = 2.0


class RosterPeer(ServerPeer):
    def __init__(self, roster: Roster, sidecar: str) -> None:
        super().__init__()
        self.roster = roster
        self.sidecar = sidecar

    def on_request(self, request: Request) -> None:
        self.roster.calls += 1
        path, _, query = request.target.decode("latin-1").partition("?")
        if self.roster.is_down or path != "/v1/endpoints":
            self.answer(b"503 Service Unavailable" if self.roster.is_down else b"404 Not Found")
            return
        told = parse_qs(query)
        if "stream" not in told:
            self.roster.note(self.sidecar, self.roster.hosts.values())
            self.answer(b"200 OK", self.roster.whole())
            return
        assert self.transport is not None
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.roster.watches.add(self)
        if told.get("index") == [str(self.roster.seq)]:
            self.line(b"\n")
        else:
            self.roster.note(self.sidecar, self.roster.hosts.values())
            self.line(self.roster.whole() + b"\n")

    def line(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(b"%x\r\n%s\r\n" % (len(data), data))

    def connection_lost(self, error: Exception | None) -> None:
        self.roster.watches.discard(self)


class Roster:
    """One list for all sidecars; each has an address of its own here, so that it is known who asks."""

    def __init__(self, ledger: Ledger, entries: list[dict[str, Any]]) -> None:
        self.ledger = ledger
        self.hosts = {entry["host"]: entry for entry in entries}
        self.seq = 1
        self.calls = 0
        self.delay_s = 0.0  # from a change to its being told
        self.is_down = False
        self.watches: set[RosterPeer] = set()
        self.last: dict[tuple[str, str], str] = {}  # what each sidecar was told of each node
        self.servers: list[asyncio.Server] = []
        self.beat: asyncio.TimerHandle | None = None

    async def serve(self, sidecar: str) -> str:
        """The address at which this sidecar finds the roster."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: RosterPeer(self, sidecar), "127.0.0.1", 0)
        self.servers.append(server)
        if self.beat is None:
            self.beat = loop.call_later(HEARTBEAT_S, self.heartbeat)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def known(self) -> dict[str, Any]:
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    def whole(self) -> bytes:
        return json.dumps(self.known()).encode()

    def note(self, sidecar: str, entries: Any) -> None:
        for entry in entries:
            key = sidecar, entry["host"]
            if self.last.get(key, "in_service") != entry["health"]:
                self.last[key] = entry["health"]
                self.ledger.add(Told(now_us(), sidecar, entry["host"], entry["health"]))

    def change(self, *entries: dict[str, Any]) -> None:
        """Some nodes are different now: told after the roster's delay, all in one change."""
        if self.delay_s > 0:
            asyncio.get_running_loop().call_later(self.delay_s, self.publish, entries)
        else:
            self.publish(entries)

    def publish(self, entries: tuple[dict[str, Any], ...]) -> None:
        self.seq += 1
        for entry in entries:
            if entry["health"] == "terminated":
                self.hosts.pop(entry["host"], None)
            else:
                self.hosts[entry["host"]] = entry
        data = json.dumps({"seq": self.seq, "whole": False, "hosts": entries}).encode() + b"\n"
        for watch in list(self.watches):
            watch.line(data)
            self.note(watch.sidecar, entries)

    def heartbeat(self) -> None:
        for watch in list(self.watches):
            watch.line(b"\n")
        self.beat = asyncio.get_running_loop().call_later(HEARTBEAT_S, self.heartbeat)

    def down(self, is_down: bool) -> None:
        """Watches end, and calls fail until it is back."""
        self.is_down = is_down
        if is_down:
            for watch in list(self.watches):
                watch.abort()

    def close(self) -> None:
        if self.beat is not None:
            self.beat.cancel()
        for server in self.servers:
            server.close()
        for watch in list(self.watches):
            watch.abort()
