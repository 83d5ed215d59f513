"""The interface of the balancer: its settings, the events that it handles and the actions that it returns.

Times are integer microseconds (`_us`) on the sidecar's monotonic clock. An embedding sidecar builds
`Settings`, passes events to `Balancer.handle` in the order of their arrival, and carries out the returned
actions in order.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class Outcome(enum.Enum):
    """The outcome of one attempt or probe."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    FULL = "full"  # rejected by the upstream for lack of capacity; never ran
    TIMEOUT = "timeout"  # no response in time; may have run or still be running
    CONNECT_FAILED = "connect_failed"  # no connection could be established; never ran
    RESET = "reset"  # the connection was lost; may have run
    CANCELLED = "cancelled"  # cancelled by the sidecar; may have run
    NOT_SENT = "not_sent"  # the sidecar could not send it; never ran


class UpstreamState(enum.Enum):
    """The state of an upstream according to the endpoint list."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class ListKind(enum.Enum):
    """What an `UpstreamsUpdated` event carries."""

    DELTA = "delta"  # changed entries only
    FULL = "full"  # the complete list
    CACHED = "cached"  # the complete list from a local cache, possibly outdated
    HELD = "held"  # changed entries only, from an operator's override and not from discovery
    FAILED = "failed"  # a call failed or the subscription broke; the list is unchanged


EFFECTS = ("idempotent", "deduplicated", "at_most_once")
GROUPS = ("all", "zone", "cell")


def _require(condition: bool, expected: str, got: object) -> None:
    if not condition:
        raise ValueError(f"expected {expected}, got {got!r}")


@dataclass(slots=True)
class RequestClass:
    """A request class: its objectives, its weight, and whether its requests may be repeated."""

    name: str
    latency_objective_us: int  # a response within this time earns the full weight
    deadline_us: int
    priority_weight: float = 1.0
    late_weight: float = 0.0  # share of the weight that a response after the objective earns
    objective_stretch: float = 0.0  # the objective is extended by this multiple of the request's work
    effect: str = "idempotent"
    group: str = "all"  # for deduplicated requests: the upstreams that drop each other's repeats
    deduplication_window_us: int = 0  # for deduplicated requests: how long upstreams detect a repeat
    stream: bool = False

    def __post_init__(self) -> None:
        _require(
            self.latency_objective_us > 0,
            "a request class latency_objective_us above 0",
            self.latency_objective_us,
        )
        _require(self.deadline_us > 0, "a request class deadline_us above 0", self.deadline_us)
        _require(
            self.priority_weight >= 0, "a request class priority_weight of 0 or more", self.priority_weight
        )
        _require(0 <= self.late_weight <= 1, "a late_weight from 0 to 1", self.late_weight)
        _require(self.objective_stretch >= 0, "an objective_stretch of 0 or more", self.objective_stretch)
        _require(self.effect in EFFECTS, f"an effect out of {', '.join(EFFECTS)}", self.effect)
        _require(self.group in GROUPS, f"a group out of {', '.join(GROUPS)}", self.group)
        _require(
            self.deduplication_window_us >= 0,
            "a deduplication_window_us of 0 or more",
            self.deduplication_window_us,
        )


@dataclass(slots=True)
class Tenant:
    """A tenant and the request rate that it is entitled to, over all sidecars together."""

    name: str
    allowance_per_s: float
    share: float = 0.0

    def __post_init__(self) -> None:
        _require(self.allowance_per_s >= 0, "a tenant allowance_per_s of 0 or more", self.allowance_per_s)
        _require(0 <= self.share <= 1, "a tenant share from 0 to 1", self.share)


@dataclass(slots=True)
class Settings:
    """The operator's settings; the same for all sidecars except for `self_index` and `zone`."""

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    over_quota_weight: float = 1.0
    weight_by_work: bool = False
    instances: int = 1
    self_index: int = 0
    zone: int = 0
    tick_us: int = 1000  # minimum interval between two batches of events
    max_attempts: int = 1
    max_retry_after_us: int = 0
    connect_timeout_us: int = 0
    retry_after: bool = True  # whether rejections carry Retry-After
    cancel: bool = False
    probes: bool = False
    peers: bool = False  # whether messages to other sidecars are allowed
    hedging_allowed: bool = False  # whether two attempts of a request may be in flight at once
    list_on_request: bool = False  # whether list updates come only after Subscribe or FetchList
    max_poll_interval_us: int = 0  # without a subscription, maximum interval between two list polls
    cold_share: float = 1.0  # minimum share of its capacity that an upstream has when it starts
    warm_up_us: int = 0  # time after its start when an upstream has its full capacity
    overload_factor: float = 1.0  # multiple of its capacity at which a warming upstream fails
    fall_us: int = 0  # duration of such an overload after which the upstream fails
    cross_zone_fee: float = 0.0
    probe_fee: float = 0.0  # cost of one probe per request, in points of the result
    key_affinity: bool = False  # whether upstreams serve recently served keys with less work
    report_names: list[str] = field(default_factory=list)
    weighted: bool = False  # whether the weights in the list state the upstreams' capacity
    zones: list[str] = field(default_factory=list)  # names of the zones, by zone number
    kinds: list[str] = field(default_factory=list)  # names of the kinds of upstreams, by number
    idle_us: int = 0  # idle timeout of the upstreams' connections; 0 = none
    probe_timeout_us: int = 250_000
    is_successor: bool = False  # whether this process takes over from another one while other sidecars run on
    max_upstreams: int = 0  # maximum size of the subset that one sidecar uses; 0 = no limit

    def __post_init__(self) -> None:
        _require(len(self.classes) > 0, "at least one request class", self.classes)
        _require(self.instances >= 1, "an instances of 1 or more", self.instances)
        _require(self.self_index >= 0, "a self_index of 0 or more", self.self_index)
        _require(0 <= self.over_quota_weight <= 1, "an over_quota_weight from 0 to 1", self.over_quota_weight)
        _require(self.max_attempts >= 1, "a max_attempts of 1 or more", self.max_attempts)
        _require(0 < self.cold_share <= 1, "a cold_share above 0, at most 1", self.cold_share)
        _require(self.overload_factor > 0, "an overload_factor above 0", self.overload_factor)
        for name in (
            "zone",
            "tick_us",
            "max_retry_after_us",
            "connect_timeout_us",
            "max_poll_interval_us",
            "warm_up_us",
            "fall_us",
            "cross_zone_fee",
            "probe_fee",
            "idle_us",
            "probe_timeout_us",
            "max_upstreams",
        ):
            _require(getattr(self, name) >= 0, f"a {name} of 0 or more", getattr(self, name))


@dataclass(slots=True)
class Upstream:
    """One entry of the endpoint list."""

    id: int
    state: UpstreamState = UpstreamState.READY
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    started_us: int = 0  # time of the most recent start; 0 = long ago


# Events


@dataclass(slots=True)
class UpstreamsUpdated:
    """The endpoint list or changes to it have arrived, or a call for it has failed."""

    kind: ListKind
    upstreams: list[Upstream] = field(default_factory=list)
    version: int = 0


@dataclass(slots=True)
class RequestArrived:
    """A request has arrived from a client."""

    request: int
    due_us: int  # when the client stops waiting for the response
    class_index: int = 0
    tenant: int = 0
    key: int = 0  # 0 = no key
    cost_us: int = 0  # expected work on a standard core; 0 = unknown
    retried: bool = False  # whether the client has sent the request before
    write: bool = False
    retry_due_us: int = 0  # earliest retry time by Retry-After of an earlier rejection; 0 = none


@dataclass(slots=True)
class RequestGone:
    """The client has disconnected; no response is due any more."""

    request: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended."""

    request: int
    attempt: int
    upstream: int
    outcome: Outcome
    elapsed_us: int = 0
    final: bool = False  # whether the client has got its response; otherwise one is still due
    report: list[float] = field(default_factory=list)  # values in the order of `report_names`


@dataclass(slots=True)
class StreamStarted:
    """The client has begun to receive a streamed response."""

    request: int
    attempt: int
    upstream: int
    elapsed_us: int = 0


@dataclass(slots=True)
class ProbeEnded:
    """A load probe has ended, with a load report if the upstream sent one."""

    upstream: int
    outcome: Outcome
    elapsed_us: int = 0
    report: list[float] = field(default_factory=list)


@dataclass(slots=True)
class WarmStartUpstream:
    """Measurements of one upstream by another process of this sidecar, since it started."""

    upstream: int
    concurrency_limit: float
    failure_rate: float  # share of recent attempts that failed, 0 to 1
    response_time_us: float  # smoothed; 0 = no response yet


@dataclass(slots=True)
class WarmStartState:
    """Measurements of the previous process of this sidecar; arrives before the first request."""

    response_times_us: list[float]  # smoothed response times by class; 0 = unknown
    total_limit_ratio: float  # the total concurrency limit divided by its initial value
    upstreams: list[WarmStartUpstream]


@dataclass(slots=True)
class OutlierReported:
    """Other sidecars report failures of an upstream; replaces earlier reports on it."""

    upstream: int
    weight: float  # severity, 0 to 1; 0 = healthy


@dataclass(slots=True)
class FleetResized:
    """The number of sidecars has changed; replaces the settings' `instances` and `self_index`."""

    instances: int
    self_index: int


@dataclass(slots=True)
class OverloadUpdated:
    """The limits that all sidecars have agreed on; replaces earlier ones."""

    budget_share: float  # share of the fleet's budgets that this sidecar has, 0 to 1
    admitted_shares: list[float]  # by class, the share of requests to admit, 0 to 1
    returning_shares: list[float]  # by class, the share to admit of requests retried as Retry-After states
    generation: int  # number of the threshold; it selects the keys that are admitted
    retry_after_us: int  # Retry-After of rejections; 0 = the sidecar chooses
    valid_until_us: int  # when the limits expire
    retries_per_s: float  # retries that this sidecar may send
    probes_per_s: float  # load probes that this sidecar may send
    attempts_per_s: float  # attempts that this sidecar may send to each failing upstream


@dataclass(slots=True)
class TimerFired:
    """A timer set by SetTimer has fired."""

    token: int


@dataclass(slots=True)
class PeerMessage:
    """A message from another sidecar has arrived."""

    sender: int
    payload: bytes


Event = (
    UpstreamsUpdated
    | RequestArrived
    | RequestGone
    | AttemptEnded
    | StreamStarted
    | ProbeEnded
    | WarmStartState
    | OutlierReported
    | FleetResized
    | OverloadUpdated
    | TimerFired
    | PeerMessage
)


# Actions


@dataclass(slots=True)
class Send:
    """Start an attempt; the attempts of a request are numbered 0, 1, 2 ... in order."""

    request: int
    upstream: int
    timeout_us: int = 0  # 0 = until the client stops waiting
    until_us: int = 0  # rule 2: the attempt is abandoned unless completely written by then; 0 = no limit


@dataclass(slots=True)
class Refuse:
    """Final response: the request is rejected, and the client can safely retry."""

    request: int
    retry_after_us: int = 0  # 0 = no Retry-After
    shed: bool = False  # whether the fleet's threshold rejects it, and not the lack of a slot


@dataclass(slots=True)
class Fail:
    """Final response: the request has failed, and may or may not have run."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt that is in flight."""

    request: int
    attempt: int


@dataclass(slots=True)
class Probe:
    """Send a load probe to an upstream."""

    upstream: int


@dataclass(slots=True)
class SetTimer:
    """Deliver TimerFired at this time."""

    at_us: int
    token: int = 0


@dataclass(slots=True)
class Subscribe:
    """Subscribe to the endpoint list and its changes, or end the subscription."""

    active: bool = True


@dataclass(slots=True)
class FetchList:
    """Request the endpoint list once."""


@dataclass(slots=True)
class CloseIdle:
    """Close idle connections to an upstream that has left the subset."""

    upstream: int


@dataclass(slots=True)
class SendPeerMessage:
    """Send a message of at most 256 bytes to another sidecar."""

    payload: bytes
    to: int | None = None  # None = every peer

    def __post_init__(self) -> None:
        _require(len(self.payload) <= 256, "a payload of 256 bytes at most", len(self.payload))


@dataclass(slots=True)
class Log:
    """Write a log line."""

    text: str


Action = (
    Send
    | Refuse
    | Fail
    | Cancel
    | Probe
    | SetTimer
    | Subscribe
    | FetchList
    | CloseIdle
    | SendPeerMessage
    | Log
)
