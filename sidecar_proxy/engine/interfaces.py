"""The seams of the house: what fronts, node transports and sources of the list are to the engine.

A front turns bytes into Calls (`Engine.accept`) and the one answer that it is handed back into bytes. It
never picks, retries or refuses for load. Every other side is one Protocol here, with its contract.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.endpoint import Endpoint
from sidecar_proxy.engine.address import Address
from sidecar_proxy.engine.body_buffers import Flow, Opens, Source, Upload

# Where a request's one answer goes: status, header lines, body.
Reply = Callable[[int, bytes, bytes], None]
# Given a large answer's header lines, its length if known, its Srv-Load and where it comes from.
OpensAnswer = Callable[[bytes, "int | None", bytes, Source], "Flow | None"]


@dataclass(slots=True)
class Answer:
    """What a node answered."""

    status: int
    head: bytes  # the header lines that go on to the client
    body: bytes
    load: bytes  # its Srv-Load, if any
    last: bool = False  # no further attempt can be made


Finished = Callable[[api.Outcome, "Answer | None"], None]


class Attempt(Protocol):
    """What the engine holds of one that is out. `finish` gives it up; its end is told once, whatever ends it,
    and says NOT_SENT or CONNECT_FAILED only if the kernel never had the whole request."""

    def finish(self, outcome: api.Outcome) -> None: ...

    def forgo(self, outcome: api.Outcome) -> None:
        """Its request is over: what the kernel has not whole goes no further, and ends so."""

    def lapse(self) -> None:
        """Rule 2's window is over: what the kernel has not whole goes no further, and ends as NOT_SENT."""


class Started(Attempt, Protocol):
    def start(self, upstream: int, timeout_s: float) -> None: ...


class Carrier(Protocol):
    """Takes a request's attempts where it is no plain HTTP/1.1. `left_us` is 0 once nothing may be sent any
    more; `ended` is called once; `began` is called when a part of the answer has gone to the client, from
    when on no other attempt may follow."""

    def attempt(self, left_us: Callable[[], int], ended: Finished, began: Callable[[], None]) -> Started: ...


@dataclass(slots=True, eq=False)
class Call:
    """A request as the application sent it."""

    class_index: int
    due_us: int
    head: bytes  # request line and the headers that go on to upstreams
    body: bytes
    tenant: int = 0
    key: int = 0
    cost_us: int = 0
    retried: bool = False
    ident: bytes = b""  # its Req-Id
    carrier: Carrier | None = None  # None = HTTP/1.1, with the head and body above
    upload: Upload | None = None  # in place of `body`: it is passed on as it comes
    after_us: int = 0  # what is left of its time once an upload is whole
    opens: Opens | None = None  # where a large answer goes; None = nowhere


class Idle(Protocol):
    """A connection that carries one exchange at a time, and none now."""

    def close(self) -> None: ...


class Shared(Protocol):
    """A connection that carries many streams."""

    def retire(self) -> None:
        """No new streams; those that are open go on."""


@dataclass(slots=True, eq=False)
class Host:
    """One upstream: its entry of the list, where it listens, its connections."""

    entry: api.Upstream
    dial: Address
    dial_grpc: Address | None = None  # where it speaks gRPC, if not there as well
    shared: list[Shared] = field(default_factory=list)
    idle: dict[Idle, None] = field(default_factory=dict)  # the last one was used most recently
    told: api.Upstream | None = None  # the entry as the list has it, where a hand holds it otherwise
    heard: float = 0.0  # loop time of the last byte from it
    odd: bool = False  # it has answered twice, or what nobody asked
    generation: int = 0  # counts its restarts
    open: int = 0  # connections, those being made among them

    def wanted(self) -> bool:
        return self.entry.state is api.UpstreamState.READY

    def close_idle(self) -> None:
        for connection in list(self.idle):
            connection.close()
        for shared in list(self.shared):
            shared.retire()


class Nodes(Protocol):
    """The upstreams' side by HTTP/1.1: knows the hosts, and turns one Send into one attempt with one end."""

    hosts: dict[int, Host]

    def update(self, hosts: list[Host], whole: bool) -> None:
        """Rule 3: to what is READY no more, nothing new goes from here on; its idle connections end."""

    def exchange(
        self,
        render: Callable[[], list[bytes] | None],
        ended: Finished,
        wrote: Callable[[], None] | None = None,
        opens: OpensAnswer | None = None,
        upload: Upload | None = None,
    ) -> Attempt:
        """One that is not begun. `render` is asked for the request's parts just before the first byte (None:
        it is no longer wanted); `wrote` is called once the kernel has the whole request."""

    def start(self, upstream: int, exchange: Attempt, timeout_s: float) -> None:
        """Begin it; it may end before this returns."""

    def close_idle(self, upstream: int) -> None: ...

    def shrink(self, half: bool) -> None: ...


class Discovery(Protocol):
    """Who tells the list when it is asked to; what comes of it goes to a Sink."""

    def subscribe(self, active: bool) -> None: ...

    def fetch(self) -> None: ...


class Sink(Protocol):
    """Whom a source of membership tells what it has heard: the engine, or a merge in front of it."""

    def list_changed(self, kind: api.ListKind, hosts: list[Host], version: int) -> None: ...

    def list_failed(self) -> None: ...

    def known(self) -> dict[int, Host]: ...


class Fleet(Protocol):
    """Who counts requests for all sidecars together, and knows what clients were told. None of it raises, or
    takes long."""

    def arrived(self, call: Call) -> int:
        """When its client was told to come back, on our clock; 0 = it was not."""

    def refused(self, call: Call, after_us: int, shed: bool) -> None: ...

    def ended(self, class_index: int, outcome: api.Outcome, elapsed_us: int) -> None: ...


class Recorder(Protocol):
    """Who keeps what goes into the decisions and what comes out. None of it raises, or takes long."""

    def named(self, request: int, ident: bytes) -> None: ...

    def handled(self, now_us: int, event: api.Event, actions: list[api.Action]) -> None: ...

    def failed(self, now_us: int, event: api.Event, error: Exception) -> None: ...


class Decisions(Protocol):
    """What of the decision module is called by the engine, and nowhere else."""

    entries: dict[int, api.Upstream]  # the list
    endpoints: dict[int, Endpoint]  # those in use

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]: ...

    def count_avoided(self) -> int: ...

    def learnt(self) -> api.WarmStartState: ...
