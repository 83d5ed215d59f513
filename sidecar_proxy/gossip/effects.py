"""The effects that the SWIM core returns and its caller carries out."""

from __future__ import annotations

from dataclasses import dataclass

from sidecar_proxy.gossip.codec import Message, OutlierReport, SignedStatement

Address = tuple[str, int]  # IP address and port


@dataclass(slots=True, frozen=True)
class SendPacket:
    """Send a message and the broadcasts that are piggybacked on it."""

    address: Address
    message: Message
    broadcasts: tuple[SignedStatement, ...] = ()


@dataclass(slots=True, frozen=True)
class StartPushPull:
    """Start a push-pull state exchange with the instance at an address."""

    address: Address


@dataclass(slots=True, frozen=True)
class ReportReceived:
    """A new outlier report of a peer was received."""

    author: str
    site: str
    report: OutlierReport


@dataclass(slots=True, frozen=True)
class MemberDied:
    """A peer is now dead, so its reports must be removed."""

    name: str


@dataclass(slots=True, frozen=True)
class TopicReceived:
    """A peer's message for another subsystem was received; it is direct if sent to this instance only."""

    author: str
    topic: str
    body: bytes
    is_direct: bool


Effect = SendPacket | StartPushPull | ReportReceived | MemberDied | TopicReceived
