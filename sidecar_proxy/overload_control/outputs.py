"""What an overload controller asks its shell to do."""

from __future__ import annotations

from dataclasses import dataclass

from sidecar_proxy.balancer import events as api
from sidecar_proxy.overload_control.messages import LeaseMessage, Report


@dataclass(slots=True, frozen=True)
class Broadcast:
    """Send a report to all sidecars, in place of the previous one."""

    report: Report


@dataclass(slots=True, frozen=True)
class SendMessage:
    """Send a message to one sidecar."""

    recipient: str
    message: LeaseMessage


@dataclass(slots=True, frozen=True)
class LogMessage:
    """Write a line to the log."""

    text: str


Output = Broadcast | SendMessage | LogMessage | api.OverloadUpdated
