"""Groups of controllers for the tests, and the types of the fixtures that make them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from sidecar_proxy.overload_control.controller import OverloadController
from sidecar_proxy.overload_control.outputs import Broadcast, Output, SendMessage

STEP_US = 50_000
STEPS_PER_S = 20


@dataclass
class ControllerGroup:
    """Controllers that receive each other's messages at once."""

    controllers: list[OverloadController]
    now_us: int = 0

    def run(self, seconds: float) -> None:
        """Ticks all controllers for so long."""
        for _ in range(int(seconds * STEPS_PER_S)):
            self.now_us += STEP_US
            for controller in self.controllers:
                self.deliver(controller, controller.tick(self.now_us))

    def deliver(self, source: OverloadController, outputs: list[Output]) -> None:
        """Hands the messages among the outputs to their recipients, and so on with what follows from them."""
        for output in outputs:
            if isinstance(output, Broadcast):
                for peer in self.controllers:
                    self.deliver(peer, peer.receive_report(source.name, output.report, self.now_us))
            elif isinstance(output, SendMessage):
                recipient = next(peer for peer in self.controllers if peer.name == output.recipient)
                responses = recipient.receive_message(source.name, output.message, self.now_us)
                self.deliver(recipient, responses)

    def quotas(self) -> list[int]:
        """Returns the usable quota of each controller."""
        return [controller.escrow.usable_parts(self.now_us) for controller in self.controllers]


ControllerFactory = Callable[..., OverloadController]
GroupFactory = Callable[[int], ControllerGroup]
