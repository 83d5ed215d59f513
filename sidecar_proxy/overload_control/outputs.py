"""The outputs of an overload controller, which its caller carries out."""

from __future__ import annotations

from dataclasses import dataclass

from sidecar_proxy.balancer import events as api
from sidecar_proxy.overload_control.messages import LeaseMessage, Report


@dataclass(slots=True, frozen=True)
class Broadcast:
    """A report to send to all sidecars, which replaces the previous one."""

    report: Report


@dataclass(slots=True, frozen=True)
class SendMessage:
    """A message to send to one sidecar."""

    recipient: str
    message: LeaseMessage


@dataclass(slots=True, frozen=True)
class LogMessage:
    """A line to write to the log."""

    text: str


Output = Broadcast | SendMessage | LogMessage | api.OverloadUpdated
