"""Connects the overload controller to the engine, the gossip transport, the admin server and the log.

The subsystem makes no decisions. It passes events of the engine and messages of peers to the controller, and
the controller's outputs to the balancer, the peers and the log.
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
from sidecar_proxy.overload_control import messages
from sidecar_proxy.overload_control.controller import FleetBudgets, OverloadController
from sidecar_proxy.overload_control.outputs import Broadcast, LogMessage, Output, SendMessage
from sidecar_proxy.overload_control.slow_start import mean_slow_start_weight
from sidecar_proxy.overload_control.status import controller_status

logger = logging.getLogger("sidecar_proxy")

ADMIN_COMMAND = "OVERLOAD"
REJECTION_LOG_INTERVAL_S = 1.0
TIMER_SLACK_S = 0.001  # added to each delay, so that the timer does not fire just before the tick is due
# Log lines of the trace; the testbed parses them.
TRACE_REPORT = "said overload %d %s"
TRACE_QUOTA = "said lease %d %s"


class OverloadControlSubsystem:
    """The overload control of one running sidecar."""

    def __init__(
        self,
        options: Overload,
        engine: Engine,
        gossip: GossipSubsystem,
        seed: int,
        admin_server: AdminServer | None,
    ) -> None:
        self.options = options
        self.engine = engine
        self.gossip = gossip
        self.controller = _new_controller(options, engine, gossip.name, seed)
        self.timer: asyncio.TimerHandle | None = None
        self.last_quota_trace = ""
        self.rejected_messages = 0
        self.next_rejection_log_s = 0.0
        if admin_server is not None:
            admin_server.commands[ADMIN_COMMAND] = self.handle_admin_command

    def start(self) -> None:
        """Starts to count requests, to receive messages and to tick."""
        self.gossip.listeners[messages.TOPIC] = self.receive
        self.engine.fleet_observer = self
        self._tick()

    def close(self) -> None:
        """Stops the subsystem; the balancer uses the last update until it expires."""
        self.engine.fleet_observer = None
        self.gossip.listeners.pop(messages.TOPIC, None)
        if self.timer is not None:
            self.timer.cancel()

    # Events of the engine. They are on the path of every request, and a bug in the controller must not fail a
    # request. An exception therefore turns overload control off instead.

    def request_arrived(self, call: Call) -> int:
        """Counts a request; returns when its client's Retry-After expires, 0 if it has none."""
        try:
            return self.controller.record_arrival(
                call.class_index, call.key, call.is_retry, self.engine.clock.now_us()
            )
        except Exception:
            self._turn_off()
            return 0

    def request_rejected(self, call: Call, after_us: int, shed: bool) -> None:
        """Counts a rejected request, its Retry-After, and whether it was shed."""
        try:
            self.controller.record_rejection(call.key, after_us, shed, self.engine.clock.now_us())
        except Exception:
            self._turn_off()

    def attempt_ended(self, class_index: int, outcome: api.Outcome, elapsed_us: int) -> None:
        """Counts an attempt that has ended, if an upstream has served it."""
        if outcome is api.Outcome.OK:
            self.controller.record_success(class_index, elapsed_us)

    def _turn_off(self) -> None:
        logger.exception("overload: overload control is off after an internal error")
        self.close()

    # Messages of the other sidecars

    def receive(self, delivery: SubsystemMessage) -> None:
        """Passes a message of the gossip transport to the controller; logs an invalid one."""
        now_us = self.engine.clock.now_us()
        if delivery.is_departure:
            self.controller.remove_peer(delivery.author)
            return
        try:
            message = messages.decode(delivery.body)
        except messages.MessageError as error:
            self._log_rejected(f"{delivery.author}: {error}")
            return
        is_broadcast = not delivery.is_direct
        if isinstance(message, messages.Report):
            if is_broadcast:
                self._perform(self.controller.receive_report(delivery.author, message, now_us))
                return
        elif not is_broadcast:
            self._perform(self.controller.receive_message(delivery.author, message, now_us))
            return
        self._log_rejected(f"{delivery.author}: a report to one sidecar, or a lease message to all")

    def _log_rejected(self, text: str) -> None:
        """Counts a rejected message, and logs at most one line per second."""
        self.rejected_messages += 1
        now_s = self.engine.loop.time()
        if now_s >= self.next_rejection_log_s:
            self.next_rejection_log_s = now_s + REJECTION_LOG_INTERVAL_S
            logger.warning("overload: %d messages rejected, the last from %s", self.rejected_messages, text)

    # Time

    def _tick(self) -> None:
        now_us = self.engine.clock.now_us()
        try:
            upstreams = self.engine.balancer.entries.values()
            slow_start_weight = mean_slow_start_weight(upstreams, self.engine.settings, now_us)
            self._perform(self.controller.tick(now_us, slow_start_weight))
        except Exception:  # a bug in the controller must not fail requests
            self._turn_off()
            return
        wait_us = max(0, self.controller.next_tick_us - self.engine.clock.now_us())
        self.timer = self.engine.loop.call_later(wait_us / 1e6 + TIMER_SLACK_S, self._tick)

    # Outputs of the controller

    def _perform(self, outputs: list[Output]) -> None:
        if self.options.trace:
            self._trace_quota()
        for output in outputs:
            if isinstance(output, Broadcast):
                if self.options.trace:
                    self._trace_report()
                self.gossip.broadcast(messages.TOPIC, messages.encode(output.report))
            elif isinstance(output, SendMessage):
                self.gossip.send_message(output.recipient, messages.TOPIC, messages.encode(output.message))
            elif isinstance(output, LogMessage):
                logger.info("overload: %s", output.text)
            else:
                self.engine.dispatch(output)

    def _trace_report(self) -> None:
        clock = self.engine.clock
        at_us = clock.now_us() - clock.base_ns // 1000
        logger.info(TRACE_REPORT, at_us, json.dumps(controller_status(self.controller, clock.now_us())))

    def _trace_quota(self) -> None:
        """Logs the usable quota if it has changed: [retained, [[borrowed, expires], ...]].

        The times are those of a clock that all processes of a machine share, so that a checker can add up the
        quotas of a fleet. The line is written before the outputs that follow from the change are performed.
        """
        escrow = self.controller.escrow
        now_us = self.engine.clock.now_us()
        base_us = self.engine.clock.base_ns // 1000
        borrowed = [
            [lease.parts, lease.expires_us - base_us]
            for lease in escrow.borrowed.values()
            if lease.expires_us > now_us
        ]
        if escrow.is_suspended:
            borrowed = []
        trace = json.dumps([escrow.retained_parts(now_us), borrowed])
        if trace != self.last_quota_trace:
            self.last_quota_trace = trace
            logger.info(TRACE_QUOTA, now_us - base_us, trace)

    # Admin

    def handle_admin_command(self, _: str) -> str:
        """Returns the answer of the OVERLOAD command: one line of JSON and `end`."""
        return json.dumps(controller_status(self.controller, self.engine.clock.now_us())) + "\nend"


def _new_controller(options: Overload, engine: Engine, name: str, seed: int) -> OverloadController:
    settings = engine.settings
    now_us = engine.clock.now_us()
    # Without the time in the seed, a restarted process would reuse the lease ids of its predecessor.
    rng = random.Random(f"{seed} {name} {now_us}")
    return OverloadController(
        name,
        settings.self_index,
        settings.instances,
        [request_class.priority_weight for request_class in settings.classes],
        settings.max_retry_after_us * settings.retry_after,
        FleetBudgets(options.reissues_per_s, options.probes_per_s, options.tries_per_s),
        rng,
        now_us,
        slow_latency_us=min(request_class.latency_objective_us for request_class in settings.classes) // 2,
    )
