"""Turns the fleet's part in overload on: counts of the engine and words of the others go into the core, what
comes of it to the decisions and the others. It decides nothing.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random

from sidecar_proxy.admin.server import AdminServer
from sidecar_proxy.balancer import events as api
from sidecar_proxy.config.schema import Overload
from sidecar_proxy.engine.engine import Engine
from sidecar_proxy.engine.interfaces import Call
from sidecar_proxy.gossip.instance import SubsystemMessage
from sidecar_proxy.gossip.subsystem import GossipSubsystem
from sidecar_proxy.overload_control import messages as words
from sidecar_proxy.overload_control.controller import (
    Broadcast,
    FleetBudgets,
    LogMessage,
    Output,
    OverloadController,
    SendMessage,
    mean_slow_start_weight,
)

log = logging.getLogger("sidecar_proxy")

COMPLAIN_S = 1.0  # between two log lines on what could not be read


class OverloadControlSubsystem:
    """A sidecar that handles overload with the others."""

    def __init__(
        self, told: Overload, engine: Engine, gossip: GossipSubsystem, seed: int, door: AdminServer | None
    ) -> None:
        self.engine = engine
        self.gossip = gossip
        self.told = told
        settings, now_us = engine.settings, engine.clock.now_us()
        most_us = settings.max_retry_after_us * settings.retry_after
        # hazard: numbers of loans of a process before this one must not come again
        dice = random.Random(f"{seed} {gossip.name} {now_us}")
        self.member = OverloadController(
            gossip.name,
            settings.self_index,
            settings.instances,
            [one.priority_weight for one in settings.classes],
            most_us,
            FleetBudgets(told.reissues_per_s, told.probes_per_s, told.tries_per_s),
            dice,
            now_us,
            min(one.latency_objective_us for one in settings.classes) // 2,
        )
        self.timer: asyncio.TimerHandle | None = None
        self.traced = ""
        self.bad = self.bad_logged = 0
        self.next_complaint = 0.0
        if door is not None:
            door.calls["OVERLOAD"] = self.show

    def start(self) -> None:
        self.gossip.listeners[words.TOPIC] = self.hear
        self.engine.fleet_observer = self
        self.tick()

    def close(self) -> None:
        self.engine.fleet_observer = None
        self.gossip.listeners.pop(words.TOPIC, None)
        if self.timer is not None:
            self.timer.cancel()

    # From the engine. Hazard: on the way of every request; a fault here costs this part, never a request.

    def arrived(self, call: Call) -> int:
        try:
            return self.member.arrived(call.class_index, call.key, call.is_retry, self.engine.clock.now_us())
        except Exception:
            self.give_up()
            return 0

    def refused(self, call: Call, after_us: int, shed: bool) -> None:
        try:
            self.member.refused(call.key, after_us, shed, self.engine.clock.now_us())
        except Exception:
            self.give_up()

    def ended(self, class_index: int, outcome: api.Outcome, elapsed_us: int) -> None:
        if outcome is api.Outcome.OK:
            self.member.served(class_index, elapsed_us)

    def give_up(self) -> None:
        log.exception("overload: this sidecar goes on by itself")
        self.close()

    # From the others

    def hear(self, told: SubsystemMessage) -> None:
        now_us = self.engine.clock.now_us()
        if told.left:
            self.member.left(told.author)
            return
        try:
            word = words.read(told.body)
        except words.MessageError as error:
            self.complain(f"{told.author}: {error}")
            return
        if isinstance(word, words.Report) == told.alone:
            self.complain(f"{told.author}: a word out of its place")
        elif isinstance(word, words.Report):
            self.perform(self.member.heard(told.author, word, now_us))
        else:
            self.perform(self.member.noted(told.author, word, now_us))

    def complain(self, text: str) -> None:
        """One line a second at most, whatever comes."""
        self.bad += 1
        if self.engine.loop.time() >= self.next_complaint:
            self.next_complaint = self.engine.loop.time() + COMPLAIN_S
            log.warning("overload: %d words not taken so far, the last of %s", self.bad, text)

    # Time

    def tick(self) -> None:
        now_us = self.engine.clock.now_us()
        try:
            warmth = mean_slow_start_weight(
                self.engine.balancer.entries.values(), self.engine.settings, now_us
            )
            self.perform(self.member.tick(now_us, warmth))
        except Exception:
            self.give_up()
            return
        wait_us = max(0, self.member.due_us - self.engine.clock.now_us())
        self.timer = self.engine.loop.call_later(wait_us / 1e6 + 0.001, self.tick)

    def perform(self, outputs: list[Output]) -> None:
        if self.told.trace:
            self.trace()
        for one in outputs:
            if isinstance(one, Broadcast):
                if self.told.trace:
                    at_us = self.engine.clock.now_us() - self.engine.clock.base_ns // 1000
                    log.info(
                        "said overload %d %s",
                        at_us,
                        json.dumps(self.member.described(self.engine.clock.now_us())),
                    )
                self.gossip.say(words.TOPIC, words.encode(one.report))
            elif isinstance(one, SendMessage):
                self.gossip.note(one.to, words.TOPIC, words.encode(one.word))
            elif isinstance(one, LogMessage):
                log.info("overload: %s", one.text)
            else:
                self.engine.dispatch(one)

    def trace(self) -> None:
        """What may be spent, for whoever adds it up over the fleet: [own, [[borrowed, until]]], by the clock
        that all processes of a machine share. Hazard: written before what comes of it has left.
        """
        escrow, now_us = self.member.escrow, self.engine.clock.now_us()
        base_us = self.engine.clock.base_ns // 1000
        held = [[one.parts, one.until_us - base_us] for one in escrow.held.values() if one.until_us > now_us]
        text = json.dumps([escrow.own(now_us), [] if escrow.barred else held])
        if text != self.traced:
            self.traced = text
            log.info("said lease %d %s", now_us - base_us, text)

    # For people

    def show(self, _: str) -> str:
        return json.dumps(self.member.described(self.engine.clock.now_us())) + "\nend"
