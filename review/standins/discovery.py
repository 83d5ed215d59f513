"""A stand-in for discovery: the list by call and by watch, on HTTP/1.1 (PROTOCOL-rosetrestle.md)."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any
from urllib.parse import parse_qs

from standins.http import read_message
from standins.record import Record

HEARTBEAT_S = 2.0


class Discovery:
    """One list for all sidecars. What a watch or an answer carries counts as told when it is written."""

    def __init__(self, record: Record, entries: list[dict[str, Any]]) -> None:
        self.record = record
        self.hosts: dict[str, dict[str, Any]] = {entry["host"]: entry for entry in entries}
        self.seq = 1
        self.changed_at: dict[str, int] = dict.fromkeys(self.hosts, 1)  # version of each host's last change
        self.oldest_seq = 1  # a watch from an older version begins with the whole list
        self.watches: set[asyncio.StreamWriter] = set()
        self.told_leaving_s: dict[str, float] = {}  # when it was first told that a host drains or is gone
        self.server: asyncio.Server | None = None
        self.heart: asyncio.Task[None] | None = None
        self.address = ("", 0)

    async def start(self) -> None:
        """Begin to listen."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()[:2]
        self.heart = asyncio.create_task(self.beat())

    def whole(self) -> bytes:
        """Return the whole list."""
        return json.dumps({"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}).encode()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while (request := await read_message(reader)) is not None:
                path, _, query = request.start[1].partition("?")
                arguments = parse_qs(query)
                if path != "/v1/endpoints":
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                elif "stream" not in arguments:
                    body = self.whole()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                    self.note_told(list(self.hosts.values()), is_whole=True)
                else:
                    self.open_watch(writer, int(arguments.get("index", ["0"])[0]))
        self.watches.discard(writer)
        writer.close()

    def open_watch(self, writer: asyncio.StreamWriter, index: int) -> None:
        """Begin a watch with what has changed after `index`, or with the whole list."""
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.add(writer)
        if index == self.seq:
            self.record.write("discovery", f"a watch from version {index}: nothing has changed")
            self.write_line(writer, b"")
        elif index < self.oldest_seq:
            self.record.write("discovery", f"a watch from version {index}: the whole list, {len(self.hosts)}")
            self.write_line(writer, self.whole())
            self.note_told(list(self.hosts.values()), is_whole=True)
        else:
            changed = [entry for name, entry in self.hosts.items() if self.changed_at[name] > index]
            self.record.write("discovery", f"a watch from version {index}: {len(changed)} changes")
            self.write_line(writer, json.dumps({"seq": self.seq, "whole": False, "hosts": changed}).encode())
            self.note_told(changed, is_whole=False)

    def write_line(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        """Write one line of a watch as a chunk."""
        if not writer.is_closing():
            writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))

    def note_told(self, entries: list[dict[str, Any]], is_whole: bool) -> None:
        """Note when the hosts that drain, or that a whole list leaves out, were first told to."""
        now_s = self.record.now_s()
        leaving = [entry["host"] for entry in entries if entry["health"] != "in_service"]
        if is_whole:
            leaving += [name for name in self.changed_at if name not in self.hosts]
        for name in leaving:
            if name not in self.told_leaving_s:
                self.told_leaving_s[name] = now_s
                self.record.write("discovery", f"told that {name} drains or is gone")
        for entry in entries:
            if entry["health"] == "in_service":
                self.told_leaving_s.pop(entry["host"], None)

    def change(self, *entries: dict[str, Any]) -> None:
        """Change entries; all open watches are told at once."""
        self.seq += 1
        for entry in entries:
            self.changed_at[entry["host"]] = self.seq
            if entry["health"] == "terminated":
                self.hosts.pop(entry["host"], None)
            else:
                self.hosts[entry["host"]] = entry
        line = json.dumps({"seq": self.seq, "whole": False, "hosts": entries}).encode()
        for watch in list(self.watches):
            self.write_line(watch, line)
        if self.watches:
            self.note_told(list(entries), is_whole=False)

    def reset_watches(self) -> None:
        """Reset all open watches."""
        self.record.write("discovery", f"{len(self.watches)} watches are reset")
        for watch in list(self.watches):
            watch.transport.abort()
        self.watches.clear()

    async def beat(self) -> None:
        """Send an empty line to each watch every 2 s."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for watch in list(self.watches):
                self.write_line(watch, b"")

    async def stop(self) -> None:
        """End all."""
        if self.heart is not None:
            self.heart.cancel()
        self.reset_watches()
        if self.server is not None:
            self.server.close()
