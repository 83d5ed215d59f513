"""The lab's nodes in the stand-in of etcd: who writes what, when, and with which members wrong."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

from sidecar_proxy.testbed.etcd import Member, cluster
from sidecar_proxy.testbed.history import Ledger, Told, now_us

PREFIX = "/komiks/nodes/"


class Registry:
    """A cluster that lists the nodes beside the roster. What is written while it is away is written at its
    return, in the same order."""

    def __init__(self, ledger: Ledger, members: int) -> None:
        self.ledger = ledger
        self.store, self.members = cluster(members)
        self.sidecars: list[str] = []  # that follow it
        self.waiting: list[dict[str, Any]] = []
        self.last: dict[str, str] = {}  # what was written of each node
        self.is_down = False

    async def serve(self, sidecars: Iterable[str]) -> str:
        """Their operator file's tables."""
        self.sidecars = list(sidecars)
        addresses = [await member.serve() for member in self.members]
        return f'[membership.etcd]\nendpoints = {json.dumps(addresses)}\nprefix = "{PREFIX}"\n'

    def put(self, *entries: dict[str, Any]) -> None:
        """Entries of discovery's form, in one transaction; those that are `terminated` are deleted."""
        if self.is_down:
            self.waiting += entries
            return
        changes: list[tuple[str, bytes | None]] = []
        for entry in entries:
            name, health = entry["host"], entry["health"]
            gone = health == "terminated"
            changes.append((PREFIX + name, None if gone else json.dumps(entry).encode()))
            if self.last.get(name, "in_service") != health:
                self.last[name] = health
                for sidecar in self.sidecars:
                    self.ledger.add(Told(now_us(), sidecar, name, health))
        self.store.commit(*changes)

    async def down(self, is_down: bool) -> None:
        """All members end, or are back at their addresses."""
        self.is_down = is_down
        if is_down:
            self.close()
            return
        for member in self.members:
            await member.serve(int(member.address.rpartition(":")[2]))
        waiting, self.waiting = self.waiting, []
        for entry in waiting:
            self.put(entry)

    def followed(self) -> Member | None:
        """A member that somebody watches."""
        return next((member for member in self.members if member.watchers), None)

    def close(self) -> None:
        for member in self.members:
            member.stop()
