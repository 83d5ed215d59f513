"""Turns agreed state on in a sidecar: its store on a thread of its own, its connections, its words at the
door, and what holds to the decisions. It decides nothing, and no request waits for it.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
import secrets
from collections.abc import Awaitable, Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from typing import Any

from sidecar_proxy.admin.endpoint_overrides import ALWAYS, EndpointOverrides
from sidecar_proxy.admin.server import AdminCommand, AdminCommandError, AdminServer
from sidecar_proxy.config.errors import OperatorError
from sidecar_proxy.config.schema import Agreement
from sidecar_proxy.consensus import disruption_budgets as permits
from sidecar_proxy.consensus import frames
from sidecar_proxy.consensus import replicated_commands as words
from sidecar_proxy.consensus.disk import of_this_process
from sidecar_proxy.consensus.frames import Frame
from sidecar_proxy.consensus.log import PersistedState
from sidecar_proxy.consensus.messages import Node
from sidecar_proxy.consensus.proposals import ERROR, ProposalResult
from sidecar_proxy.consensus.raft import ProposalRejected
from sidecar_proxy.consensus.replica import (
    Broadcast,
    LogMessage,
    Output,
    PersistState,
    Replica,
    ReplicaLimits,
    SendMessage,
    StateChanged,
)
from sidecar_proxy.consensus.session import MAGIC
from sidecar_proxy.consensus.storage import Damaged, Store
from sidecar_proxy.consensus.transport import Address, Links
from sidecar_proxy.consensus.voters import name_of
from sidecar_proxy.consensus.witness import Witness
from sidecar_proxy.discovery.endpoint_list import EndpointDirectory
from sidecar_proxy.engine import wall_clock as wall
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.gossip.instance import SubsystemMessage
from sidecar_proxy.gossip.subsystem import GossipSubsystem

log = logging.getLogger("sidecar_proxy")

TOPIC = "agreement"
AGAIN_S = 0.5  # after a write that failed
LOOK_S = 1.0
COMPLAIN_S = 1.0
SAYS = {
    "SUSPEND": words.SUSPEND,
    "DRAIN": words.DRAIN,
    "RESUME": words.RESUME,
    "SET": words.SET,
    "UNSET": words.UNSET,
    "PERMIT": words.PERMIT,
    "RETURN": words.RETURN,
}
NOBODY = 0  # the context of a word that nobody waits for


class ConsensusSubsystem:
    """A sidecar that takes part."""

    def __init__(
        self,
        told: Agreement,
        engine: Engine,
        directory: EndpointDirectory,
        gossip: GossipSubsystem,
        seed: int,
        holding: EndpointOverrides,
        door: AdminServer | None,
        serving: Callable[[], bool],
    ) -> None:
        """Raises OperatorError for a folder that can't be used."""
        self.told = told
        self.engine = engine
        self.directory = directory
        self.gossip = gossip
        self.holding = holding
        self.serving = serving  # clients are taken
        self.limits = ReplicaLimits(
            told.voters, told.votes, int(told.replace_s * 1e6), told.kib_per_s * 1024.0, told.compact
        )
        self.store = Store(Path(told.folder), of_this_process())
        self.thread = ThreadPoolExecutor(1, "agreement")
        self.failing = False  # the last write did
        self.contexts: dict[int, asyncio.Future[ProposalResult]] = {}
        self.last_context = 0
        self.addresses: dict[str, Address] = {}  # as last heard: one held for dead may be there yet
        self.next_complaint = 0.0
        self.closed = False
        self.due_us = 0  # when the timer fires; 0: it is not set yet, or has fired
        self.timer: asyncio.TimerHandle | None = None
        self.looking: asyncio.TimerHandle | None = None
        self.again: asyncio.TimerHandle | None = None
        try:
            self.member = self.opened(seed)
        except OSError as error:
            raise OperatorError(f"agreement.folder: {error}") from error
        self.witness = Witness(engine, directory, gossip, self.member)
        self.member.witness = self.witness.facts
        clock = engine.clock
        self.links = Links(
            gossip.keyring,
            self.member.me,
            clock.now_us,
            self.address,
            self.local,
            self.received,
            self.unsent,
            self.broken,
        )
        if door is not None:
            door.calls["FLEET"] = self.call
            for word, gives in (("PAUSE", False), ("RESUME", True)):
                if word in door.calls:
                    door.calls[word] = partial(self.as_one, door.calls[word], gives)

    def opened(self, seed: int) -> Replica:
        """Raises OSError."""
        try:
            kept = self.store.open()
            if kept.torn:
                log.info("agreement: %d bytes that a crash had left were cut", kept.torn)
            return self.made(kept, seed)
        except (Damaged, words.CommandError) as error:
            log.error("agreement: %s; it rejoins as one who has promised nothing", error)
            return self.made(self.store.begin_again(), seed)

    def made(self, kept: PersistedState, seed: int) -> Replica:
        now_us = self.engine.clock.now_us()
        dice = random.Random(f"{seed} {self.gossip.name} {kept.incarnation} {now_us}")
        certificate = self.gossip.keyring.certificate
        return Replica(certificate.name, certificate.site, kept, self.limits, dice, now_us, wall_ms())

    def start(self) -> None:
        assert self.gossip.transport is not None
        self.gossip.listeners[TOPIC] = self.hear
        self.gossip.transport.doors[MAGIC] = self.links.serve
        state = self.member.state
        log.info(
            "agreement: %s, %s, %d upstreams held",
            self.member.me,
            f"fleet {state.fleet} up to {state.index}" if state.fleet else "of no fleet yet",
            len(state.held),
        )
        self.effect()
        self.tick()
        self.look()

    # From the network

    def address(self, node: Node) -> Address | None:
        name = name_of(node)
        assert self.gossip.transport is not None
        peer = self.gossip.transport.instance.core.peers.get(name)
        if peer is not None:
            self.addresses[name] = peer.address
        return self.addresses.get(name)

    def local(self) -> Address | None:
        assert self.gossip.transport is not None
        return self.gossip.transport.local

    def received(self, node: Node, frame: Frame) -> None:
        self.step(lambda: self.member.received(node, frame, self.engine.clock.now_us()))

    def unsent(self, node: Node, frame: Frame) -> None:
        self.step(lambda: self.member.unsent(node, frame, self.engine.clock.now_us()))

    def broken(self, node: Node) -> None:
        self.step(lambda: self.member.broken(node, self.engine.clock.now_us()))

    def hear(self, told: SubsystemMessage) -> None:
        now_us = self.engine.clock.now_us()
        if told.left:
            self.step(lambda: self.member.left(told.author, now_us))
            return
        try:
            here = frames.read_here(told.body)
        except frames.FrameError as error:
            self.complain(f"a word of {told.author} that can't be read: {error}")
            return
        assert self.gossip.transport is not None
        peer = self.gossip.transport.instance.core.peers.get(told.author)
        if peer is not None and not told.alone:
            self.addresses[told.author] = peer.address
            self.step(lambda: self.member.heard(told.author, peer.site, here, now_us))

    def complain(self, text: str) -> None:
        """One line a second at most, whatever comes."""
        if self.engine.loop.time() >= self.next_complaint:
            self.next_complaint = self.engine.loop.time() + COMPLAIN_S
            log.warning("agreement: %s", text)

    # Time

    def tick(self) -> None:
        if self.closed:
            return
        self.step(lambda: self.member.tick(self.engine.clock.now_us(), wall_ms()))
        self.due_us = 0
        self.arm()

    def arm(self) -> None:
        """The timer is set anew where what has come brings the next tick forward."""
        due_us = self.member.due_us
        if self.closed or (self.due_us and self.due_us <= due_us):
            return
        if self.timer is not None:
            self.timer.cancel()
        self.due_us = due_us
        wait_us = max(0, due_us - self.engine.clock.now_us())
        self.timer = self.engine.loop.call_later(wait_us / 1e6 + 0.001, self.tick)

    def look(self) -> None:
        self.links.look()
        own = self.witness.own(self.member.state) if self.serving() else None
        if own is not None and not self.member.asks.open:
            self.step(partial(self.member.say, NOBODY, own, self.engine.clock.now_us()))
        if self.member.core.leads and not self.member.asks.open:
            for word in self.witness.back(self.member.state):
                self.step(partial(self.member.say, NOBODY, word, self.engine.clock.now_us()))
        self.looking = self.engine.loop.call_later(LOOK_S, self.look)

    # What comes of it

    def step(self, does: Callable[[], list[Output]]) -> None:
        """Hazard: a fault here costs this part, never a request; and one that has failed in the middle must
        neither promise nor vote any more.
        """
        if self.closed:
            return
        try:
            self.perform(does())
        except Exception:
            log.exception("agreement: this sidecar takes no part any more; what holds goes on holding")
            self.close()

    def perform(self, outputs: list[Output]) -> None:
        for one in outputs:
            if isinstance(one, PersistState):
                self.write(one)
            elif isinstance(one, SendMessage):
                self.links.post(one.to, one.frame)
            elif isinstance(one, Broadcast):
                self.gossip.say(TOPIC, frames.encode(one.here))
            elif isinstance(one, StateChanged):
                self.effect()
            elif isinstance(one, LogMessage):
                log.info("agreement: %s", one.text)
            else:
                future = self.contexts.pop(one.context, None)
                if future is not None and not future.done():
                    future.set_result(one)
        if self.due_us:
            self.arm()

    def write(self, one: PersistState) -> None:
        if not self.closed:
            done = self.thread.submit(
                self.store.save, one.hard, one.commit, one.snapshot, one.entries, one.known
            )
            done.add_done_callback(
                lambda _: self.engine.loop.call_soon_threadsafe(self.written, one, done.exception())
            )

    def written(self, one: PersistState, error: BaseException | None) -> None:
        if self.closed:
            return
        if error is None:
            if self.failing:
                self.failing = False
                log.info("agreement: its folder can be written again")
            self.step(lambda: self.member.stored(self.engine.clock.now_us()))
        elif isinstance(error, OSError):
            if not self.failing:
                self.failing = True
                log.error("agreement: %s; nothing is promised until it can be written", error)
            self.again = self.engine.loop.call_later(AGAIN_S, self.write, one)
        else:
            log.error("agreement: this sidecar takes no part any more", exc_info=error)
            self.close()

    def effect(self) -> None:
        held = {
            name: one.born_ms * 1000 + 999 if one.kind == words.DRAIN else ALWAYS
            for name, one in self.member.state.held.items()
        }
        if held != self.holding.sources.get("fleet", {}):
            self.holding.put("fleet", held)
            log.info(
                "agreement: held for the fleet up to word %d: %s",
                self.member.state.index,
                ", ".join(sorted(held)[:10]) or "none",
            )

    # At the door

    async def call(self, line: str) -> str:
        """`FLEET …`. Raises CallError."""
        word, _, rest = line.partition(" ")
        word, now_us = word.upper(), self.engine.clock.now_us()
        if self.closed:
            raise AdminCommandError("this sidecar takes no part any more; its log has why")
        if word == "STATUS":
            return shown({**self.member.described(now_us), "counts": dict(self.links.counts)})
        if word == "LOG":
            return shown({"age_s": self.member.age_s(now_us), "words": self.member.log()})
        if word == "WORDS":
            return shown({"age_s": self.member.age_s(now_us), **words.shown(self.member.state)})
        if word == "BEGIN":
            try:
                self.perform(self.member.begin(now_us))
            except ProposalRejected as error:
                raise AdminCommandError(str(error)) from error
            return "done"
        if word == "READ" and rest:
            name = rest[: words.MOST_NAME]
            return await self.answered(lambda context: self.member.look(context, name, now_us))
        if word not in SAYS:
            raise AdminCommandError(
                f"expected FLEET and one of BEGIN, STATUS, LOG, WORDS, READ NAME, {', '.join(SAYS)} ID NAME"
            )
        ident, _, name = rest.partition(" ")
        value, born_ms = "", 0
        if word == "SET":
            name, _, value = name.partition(" ")
        elif name.rpartition(" ")[2] in (words.FORCE, words.WAIT):
            name, _, value = name.rpartition(" ")
        if word in ("SUSPEND", "DRAIN"):
            born_ms = self.known(name)
        elif word == "PERMIT" and name.startswith("node:"):
            born_ms = self.known(name.removeprefix("node:"))
        said = words.ReplicatedCommand(SAYS[word], ident, self.member.name, wall_ms(), name, born_ms, value)
        return await self.answered(lambda context: self.member.say(context, said, now_us))

    def as_one(self, does: AdminCommand, gives: bool, argument: str) -> str | Awaitable[str]:
        """PAUSE and RESUME of this sidecar: where sidecars have a budget, it takes a place first, and gives
        it back after. `force` is done in any case.
        """
        if self.closed or not permits.budgets(words.limits(self.member.state), "sidecar"):
            return does("")
        return self.resumed(does) if gives else self.paused(does, argument)

    async def paused(self, does: AdminCommand, argument: str) -> str:
        answer = await self.place(words.PERMIT, argument)
        if not answer.startswith("done") and argument != words.FORCE:
            raise AdminCommandError(f"not paused: {answer}")
        assert isinstance(done := does(""), str)
        return done if answer.startswith("done") else f"{done}, by force; {answer}"

    async def resumed(self, does: AdminCommand) -> str:
        assert isinstance(done := does(""), str)
        answer = await self.place(words.RETURN, "")
        return done if answer.startswith("done") else f"{done}; its place: {answer}"

    async def place(self, kind: str, value: str) -> str:
        """Of this sidecar itself."""
        value = value if value == words.FORCE else ""
        said = words.ReplicatedCommand(
            kind,
            f"{kind}-{secrets.token_hex(6)}",
            self.member.name,
            wall_ms(),
            f"sidecar:{self.member.name}",
            0,
            value,
        )
        try:
            return await self.answered(
                lambda context: self.member.say(context, said, self.engine.clock.now_us())
            )
        except AdminCommandError as error:
            return str(error)

    def known(self, name: str) -> int:
        """Its start as it is listed here, in Unix ms; 0 = long ago. Raises CallError for one that is not."""
        host = self.witness.host(name)
        if host is None:
            raise AdminCommandError("no upstream of that name is listed")
        return host.entry.started_us // 1000

    async def answered(self, says: Callable[[int], list[Output]]) -> str:
        self.last_context += 1
        context = self.last_context
        future = self.contexts[context] = self.engine.loop.create_future()
        try:
            self.perform(says(context))
            told = await future
        except words.CommandError as error:
            raise AdminCommandError(str(error)) from error
        finally:
            self.contexts.pop(context, None)
        if told.what == ERROR:
            raise AdminCommandError(told.text)
        text = f": {told.text}" if told.text else ""
        return f"{told.what}{f' {told.index}' if told.index else ''}{text}"

    def close(self) -> None:
        self.closed = True
        self.gossip.listeners.pop(TOPIC, None)
        if self.gossip.transport is not None:
            self.gossip.transport.doors.pop(MAGIC, None)
        for timer in (self.timer, self.looking, self.again):
            if timer is not None:
                timer.cancel()
        self.links.close()
        self.thread.submit(self.store.close)
        self.thread.shutdown(wait=False)


def wall_ms() -> int:
    return wall.now_ns() // 1_000_000


def shown(told: dict[str, Any]) -> str:
    return json.dumps(told, ensure_ascii=False) + "\nend"
