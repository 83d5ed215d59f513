"""The interfaces of the engine: what downstream servers, upstream transports and discovery are to it.

A downstream server turns bytes into Calls (`Engine.accept`) and the one response that it is handed back into
bytes. It never picks, retries or sheds load. Every other side is a Protocol here, with its contract. Times
that end in `_us` are microseconds of the engine's clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.endpoint import Endpoint
from sidecar_proxy.engine.address import Address
from sidecar_proxy.engine.body_buffers import ClientStreamOpener, ResponseSink, ResponseSource, Upload

# Takes the one response of a request: status, header lines, body.
Reply = Callable[[int, bytes, bytes], None]
# Opens a streamed response, given its header lines, its length if known, its Srv-Load and its source.
ResponseStreamOpener = Callable[[bytes, "int | None", bytes, ResponseSource], "ResponseSink | None"]


@dataclass(slots=True)
class UpstreamResponse:
    """What an upstream answered."""

    status: int
    header_lines: bytes  # those that go on to the client
    body: bytes
    load_report: bytes  # the value of Srv-Load, if any
    is_final: bool = False  # no further attempt can be made


# Called once when an attempt has ended, with the response if there is one.
AttemptCallback = Callable[[api.Outcome, "UpstreamResponse | None"], None]


class Attempt(Protocol):
    """An attempt in flight, as the engine holds it.

    Its end is reported once, whatever ends it. It is reported as NOT_SENT or CONNECT_FAILED only if the
    kernel never had the whole request, so that the request can't have run.
    """

    def finish(self, outcome: api.Outcome) -> None:
        """End the attempt now."""

    def abandon_unsent(self, outcome: api.Outcome) -> None:
        """End it with this outcome, unless the kernel has the whole request: the request is over."""

    def expire_unsent(self) -> None:
        """End it as NOT_SENT, unless the kernel has the whole request: its deduplication window is over."""


class StartableAttempt(Attempt, Protocol):
    """An attempt that has not begun."""

    def start(self, upstream: int, timeout_s: float) -> None:
        """Begin it; it may end before this returns."""


class AttemptFactory(Protocol):
    """Makes the attempts of a request that is not plain HTTP/1.1."""

    def new_attempt(
        self, left_us: Callable[[], int], ended: AttemptCallback, began: Callable[[], None]
    ) -> StartableAttempt:
        """Return a new attempt.

        `left_us` gives the time left, 0 once nothing may be sent any more; `ended` is called once; `began` is
        called when a part of the response has gone to the client, after which no other attempt may follow.
        """


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
    is_retry: bool = False
    request_id: bytes = b""  # its Req-Id
    attempt_factory: AttemptFactory | None = None  # None = HTTP/1.1, with the head and body above
    upload: Upload | None = None  # in place of `body`, for a large body
    time_after_upload_us: int = 0  # what is left of its time once an upload is complete
    open_stream: ClientStreamOpener | None = None  # where a large response goes; None = nowhere


class IdleConnection(Protocol):
    """A connection that carries one exchange at a time, and none now."""

    def close(self) -> None:
        """Close it."""


class MultiplexedConnection(Protocol):
    """A connection that carries many streams."""

    def retire(self) -> None:
        """Open no new streams; those that are open go on."""


@dataclass(slots=True, eq=False)
class ListedUpstream:
    """One upstream: its entry of the endpoint list, its addresses and its connections."""

    entry: api.Upstream
    address: Address
    grpc_address: Address | None = None  # where it speaks gRPC, if at another address
    multiplexed: list[MultiplexedConnection] = field(default_factory=list)
    idle: dict[IdleConnection, None] = field(default_factory=dict)  # the last one was used most recently
    listed_entry: api.Upstream | None = None  # as the list has it, where an operator's override differs
    last_received_s: float = 0.0  # loop time of the last byte from it
    has_violated_protocol: bool = False  # it has answered twice, or without a request
    generation: int = 0  # counts its restarts
    open_connections: int = 0  # those being made among them

    def is_ready(self) -> bool:
        """Say whether new requests may go to it."""
        return self.entry.state is api.UpstreamState.READY

    def close_idle(self) -> None:
        """Close the connections that carry nothing."""
        for connection in list(self.idle):
            connection.close()
        for shared in list(self.multiplexed):
            shared.retire()


class UpstreamTransport(Protocol):
    """The connections to upstreams by HTTP/1.1: turns one Send into one attempt with one end."""

    upstreams: dict[int, ListedUpstream]

    def update(self, upstreams: list[ListedUpstream], is_full_list: bool) -> None:
        """Take over changed entries, or the whole list.

        Rule 3: nothing new goes to an upstream that is no longer READY; its idle connections are closed.
        """

    def exchange(
        self,
        render: Callable[[], list[bytes] | None],
        ended: AttemptCallback,
        wrote: Callable[[], None] | None = None,
        opens: ResponseStreamOpener | None = None,
        upload: Upload | None = None,
    ) -> Attempt:
        """Return an attempt that has not begun.

        `render` is asked for the parts of the request just before the first byte (None: it is no longer
        wanted); `wrote` is called once the kernel has the whole request.
        """

    def start(self, upstream: int, exchange: Attempt, timeout_s: float) -> None:
        """Begin an attempt; it may end before this returns."""

    def close_idle(self, upstream: int) -> None:
        """Close the idle connections to one upstream."""

    def halve_connection_limit(self, is_halved: bool) -> None:
        """Use half of the connections while another process of this sidecar runs, or all again."""


class DiscoveryClient(Protocol):
    """Asks for the endpoint list; the results go to an EndpointListListener."""

    def subscribe(self, active: bool) -> None:
        """Open a watch, or close it."""

    def fetch(self) -> None:
        """Ask for the list once."""


class EndpointListListener(Protocol):
    """Receives the endpoint list from a discovery source: the engine, or a merge in front of it."""

    def list_changed(self, kind: api.ListKind, upstreams: list[ListedUpstream], version: int) -> None:
        """Take a list or changes of it."""

    def list_failed(self) -> None:
        """Note that a call failed or a watch broke."""

    def listed_upstreams(self) -> dict[int, ListedUpstream]:
        """Return the upstreams by number."""


class FleetObserver(Protocol):
    """Counts requests for all sidecars together, and knows the Retry-After given to clients.

    It never raises or blocks.
    """

    def request_arrived(self, call: Call) -> int:
        """Return when the client was told to retry, in microseconds of the engine's clock; 0 = it was not."""

    def request_rejected(self, call: Call, after_us: int, shed: bool) -> None:
        """Note a rejection and the Retry-After that the client was given."""

    def attempt_ended(self, class_index: int, outcome: api.Outcome, elapsed_us: int) -> None:
        """Note the end of an attempt."""


class Recorder(Protocol):
    """Keeps what goes into the decisions and what comes out. It never raises or blocks."""

    def request_named(self, request: int, ident: bytes) -> None:
        """Note the Req-Id that a request's number stands for."""

    def event_handled(self, now_us: int, event: api.Event, actions: list[api.Action]) -> None:
        """Note an event and the actions that came of it."""

    def balancer_failed(self, now_us: int, event: api.Event, error: Exception) -> None:
        """Note an event on which the decisions failed."""


class BalancerInterface(Protocol):
    """The part of the balancer that the engine calls, and nobody else."""

    entries: dict[int, api.Upstream]  # the endpoint list
    endpoints: dict[int, Endpoint]  # those in use

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Return the actions that an event calls for, in order."""

    def count_avoided(self) -> int:
        """Return how many listed upstreams get nothing now, or next to nothing."""

    def export_warm_start_state(self) -> api.WarmStartState:
        """Return what a next process of this sidecar may begin with."""
