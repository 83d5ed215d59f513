"""The interfaces between the engine and the downstream servers, the upstream transports and discovery.

A downstream server parses requests into Calls, passes them to `Engine.accept`, and serializes the response
that it gets back for each. It never picks upstreams, retries or sheds load. Every other collaborator is a
Protocol here, with its contract. Times that end in `_us` are microseconds of the engine's clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from sidecar_proxy.balancer import events as api
from sidecar_proxy.balancer.endpoint import Endpoint
from sidecar_proxy.engine.address import Address
from sidecar_proxy.engine.body_buffers import ClientStreamOpener, ResponseSink, ResponseSource, Upload
from sidecar_proxy.engine.response_floor import ResponseFloor

# Called once with the final response to a request: status, header lines, body.
Reply = Callable[[int, bytes, bytes], None]
# Opens a streamed response. Arguments: the header lines, the length if it is known, the value of Srv-Load,
# and the source. Returns None if the response is no longer needed.
ResponseStreamOpener = Callable[[bytes, "int | None", bytes, ResponseSource], "ResponseSink | None"]


@dataclass(slots=True)
class UpstreamResponse:
    """A complete response of an upstream."""

    status: int
    header_lines: bytes  # the header lines that are forwarded to the client
    body: bytes
    load_report: bytes  # the value of Srv-Load; empty if there is none
    is_final: bool = False  # the request cannot be retried after this response


# Called once at the end of an attempt, with the response if there is one.
AttemptCallback = Callable[[api.Outcome, "UpstreamResponse | None"], None]


class Attempt(Protocol):
    """The engine's interface to an attempt in flight.

    Its end is reported exactly once, whatever ends it. The outcome is NOT_SENT or CONNECT_FAILED only if the
    request was not written completely to the kernel, so that the upstream can't have executed it.
    """

    def finish(self, outcome: api.Outcome) -> None:
        """End the attempt now."""

    def abandon_unsent(self, outcome: api.Outcome) -> None:
        """End the attempt with this outcome when its request was answered otherwise.

        An attempt whose request was written completely to the kernel continues.
        """

    def forward_begun_response(self) -> bool:
        """Begin to forward a long response that has begun to arrive; return False if there is none.

        The first bytes of a long response count, so it is in time.
        """

    def expire_unsent(self) -> None:
        """End the attempt as NOT_SENT when its deduplication window is over.

        An attempt whose request was written completely to the kernel continues.
        """


class StartableAttempt(Attempt, Protocol):
    """An attempt that has not started."""

    def start(self, upstream: int, timeout_s: float) -> None:
        """Start the attempt; it may end before this returns."""


class AttemptFactory(Protocol):
    """Creates the attempts of a request of another protocol than HTTP/1.1."""

    def new_attempt(
        self, left_us: Callable[[], int], on_end: AttemptCallback, on_response_started: Callable[[], None]
    ) -> StartableAttempt:
        """Return a new attempt.

        `left_us` returns the time left, 0 once nothing may be sent any more. `on_end` is called once.
        `on_response_started` is called when the first part of the response was forwarded to the client; after
        that no further attempt is possible.
        """


@dataclass(slots=True, eq=False)
class Call:
    """A request as the application sent it, and its routing data."""

    class_index: int
    due_us: int
    head: bytes  # request line and the headers that are forwarded to upstreams
    body: bytes
    tenant: int = 0
    key: int = 0
    cost_us: int = 0
    is_retry: bool = False
    request_id: bytes = b""  # value of Req-Id
    attempt_factory: AttemptFactory | None = None  # None = HTTP/1.1, with the head and body above
    upload: Upload | None = None  # a large body, in place of `body`
    time_after_upload_us: int = 0  # time to the deadline, counted from the end of the upload
    open_stream: ClientStreamOpener | None = None  # None = the response cannot be streamed
    # Returns whether the client has disconnected, also while that can't be read yet; None = not known
    is_client_gone: Callable[[], bool] | None = None


class IdleConnection(Protocol):
    """A connection that carries one exchange at a time and is idle."""

    def close(self) -> None:
        """Close the connection."""


class MultiplexedConnection(Protocol):
    """A connection that carries concurrent streams."""

    def retire(self) -> None:
        """Open no new streams; open streams continue."""


@dataclass(slots=True, eq=False)
class ListedUpstream:
    """An upstream of the endpoint list: its list entry, its addresses and its connections.

    What discovery has reported and what applies are kept apart: an override changes `entry` alone, so that
    the reported entry applies again when the override ends.
    """

    entry: api.Upstream  # entry that applies, after overrides by operators
    address: Address
    grpc_address: Address | None = None  # address for gRPC; None = `address`
    multiplexed: list[MultiplexedConnection] = field(default_factory=list)
    idle: dict[IdleConnection, None] = field(
        default_factory=dict
    )  # idle connections, the most recently used one last
    listed_entry: api.Upstream = field(init=False)  # entry that discovery has reported last
    last_received_s: float = 0.0  # loop time of the last byte that the upstream sent
    has_violated_protocol: bool = False  # the upstream has sent a response twice, or without a request
    response_floor: ResponseFloor = field(default_factory=ResponseFloor)  # of the current process
    spares_allowed_at_s: float = 0.0  # monotonic time from which spare connections may be opened
    generation: int = 0  # number of restarts of the upstream
    open_connections: int = 0  # includes connections that are being established

    def __post_init__(self) -> None:
        """Start without an override."""
        self.listed_entry = self.entry

    def is_same_listing(self, other: ListedUpstream) -> bool:
        """Return whether discovery has reported the same entry and addresses, whatever overrides apply."""
        return (self.listed_entry, self.address, self.grpc_address) == (
            other.listed_entry,
            other.address,
            other.grpc_address,
        )

    def start_generation(self) -> None:
        """Begin with the upstream's next process: close the connections to the previous one."""
        self.generation += 1
        self.has_violated_protocol = False
        self.response_floor = ResponseFloor()
        self.spares_allowed_at_s = 0.0
        self.close_idle()

    def is_ready(self) -> bool:
        """Return whether new requests may be sent to the upstream."""
        return self.entry.state is api.UpstreamState.READY

    def close_idle(self) -> None:
        """Close the idle connections, and open no new streams on multiplexed ones."""
        for connection in list(self.idle):
            connection.close()
        for multiplexed in list(self.multiplexed):
            multiplexed.retire()


class UpstreamTransport(Protocol):
    """The HTTP/1.1 connections to upstreams: makes one attempt, with one end, of each Send action."""

    upstreams: dict[int, ListedUpstream]

    def update(self, upstreams: list[ListedUpstream], is_full_list: bool) -> None:
        """Apply changed entries, or replace the complete list.

        By service rule 3, an upstream that is no longer READY gets no new requests; its idle connections are
        closed.
        """

    def exchange(
        self,
        render: Callable[[], list[bytes] | None],
        on_end: AttemptCallback,
        on_written: Callable[[], None] | None = None,
        open_stream: ResponseStreamOpener | None = None,
        upload: Upload | None = None,
    ) -> Attempt:
        """Return an attempt that has not started.

        `render` is called just before the first byte is written and returns the parts of the request, or None
        if it must not be sent any more. `on_written` is called when the request was written completely to the
        kernel. `open_stream` begins to stream a large response.
        """

    def start(self, upstream: int, exchange: Attempt, timeout_s: float) -> None:
        """Start an attempt; it may end before this returns."""

    def close_idle(self, upstream: int) -> None:
        """Close the idle connections to one upstream."""

    def halve_connection_limit(self, is_halved: bool) -> None:
        """Halve the connection limit while another process of this sidecar runs, or restore it."""


class DiscoveryClient(Protocol):
    """Fetches and watches the endpoint list, and passes the results to an EndpointListListener."""

    def subscribe(self, active: bool) -> None:
        """Open a watch on the endpoint list, or close it."""

    def fetch(self) -> None:
        """Fetch the endpoint list once."""


class EndpointListListener(Protocol):
    """Receives the endpoint list from a discovery source: the engine, or a merge of several sources."""

    def list_changed(self, kind: api.ListKind, upstreams: list[ListedUpstream], version: int) -> None:
        """Apply an endpoint list, or changes of it."""

    def list_failed(self) -> None:
        """Record that a fetch failed or a watch broke."""

    def listed_upstreams(self) -> dict[int, ListedUpstream]:
        """Return the listed upstreams by their numbers."""

    def has_reported(self, upstream: ListedUpstream) -> bool:
        """Return whether this was the last report of the endpoint list about the upstream.

        Overrides and the reports of other sources do not count.
        """

    def reported_numbers(self) -> list[int]:
        """Return the numbers of the upstreams that the endpoint list has reported and not removed."""


class FleetObserver(Protocol):
    """Counts requests for fleet-wide overload control, and stores each Retry-After sent to a client.

    Its methods never raise or block.
    """

    def request_arrived(self, call: Call) -> int:
        """Count a request; return when the client may retry by its last Retry-After.

        The time is in microseconds of the engine's clock; 0 = the client has received no Retry-After.
        """

    def request_rejected(self, call: Call, after_us: int, shed: bool) -> None:
        """Record a rejection and the Retry-After sent to the client."""

    def attempt_ended(self, class_index: int, outcome: api.Outcome, elapsed_us: int) -> None:
        """Record the end of an attempt."""


class Recorder(Protocol):
    """Records the events and actions of the balancer. Its methods never raise or block."""

    def request_named(self, request: int, ident: bytes) -> None:
        """Record the Req-Id of a request number."""

    def event_handled(self, now_us: int, event: api.Event, actions: list[api.Action]) -> None:
        """Record an event and the actions that the balancer returned for it."""

    def balancer_failed(self, now_us: int, event: api.Event, error: Exception) -> None:
        """Record an event on which the balancer raised an exception."""


class BalancerInterface(Protocol):
    """The methods of the balancer, which only the engine calls, and the fields that other packages read."""

    entries: dict[int, api.Upstream]  # the endpoint list
    endpoints: dict[int, Endpoint]  # the endpoints in use

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Return the actions that an event calls for, in order."""

    def count_avoided(self) -> int:
        """Return how many listed upstreams get few or no requests now."""

    def export_warm_start_state(self) -> api.WarmStartState:
        """Return the state that the next process of this sidecar may start with."""
