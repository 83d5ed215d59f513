"""Groups of controllers for the tests, and the types of the fixtures that create them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from sidecar_proxy.overload_control.controller import OverloadController
from sidecar_proxy.overload_control.outputs import Broadcast, Output, SendMessage

STEP_US = 50_000
STEPS_PER_S = 20


@dataclass
class ControllerGroup:
    """Controllers that receive each other's messages without delay."""

    controllers: list[OverloadController]
    now_us: int = 0

    def run(self, seconds: float) -> None:
        """Advances the time in steps of 50 ms and ticks all controllers at each step."""
        for _ in range(int(seconds * STEPS_PER_S)):
            self.now_us += STEP_US
            for controller in self.controllers:
                self.deliver(controller, controller.tick(self.now_us))

    def deliver(self, source: OverloadController, outputs: list[Output]) -> None:
        """Delivers the messages among the outputs, and those that the recipients send in response."""
        for output in outputs:
            if isinstance(output, Broadcast):
                for peer in self.controllers:
                    self.deliver(peer, peer.receive_report(source.name, output.report, self.now_us))
            elif isinstance(output, SendMessage):
                recipient = next(peer for peer in self.controllers if peer.name == output.recipient)
                responses = recipient.receive_message(source.name, output.message, self.now_us)
                self.deliver(recipient, responses)

    def quotas(self) -> list[int]:
        """Returns the usable quota of each controller, in parts."""
        return [controller.escrow.usable_parts(self.now_us) for controller in self.controllers]


ControllerFactory = Callable[..., OverloadController]
GroupFactory = Callable[[int], ControllerGroup]
