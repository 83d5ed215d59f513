"""The interface of the balancer: settings, events in, actions out.

Times are whole microseconds (`_us`) on the sidecar's own clock, which only moves forward. An embedding
sidecar builds `Settings`, passes events to `Balancer.handle` in their order of arrival, and carries out the
actions that are returned, in their order.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class Outcome(enum.Enum):
    """How one attempt or probe ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    FULL = "full"  # rejected by the upstream; never ran
    TIMEOUT = "timeout"  # no answer in time; may have run or be running
    CONNECT_FAILED = "connect_failed"  # no connection; never ran
    RESET = "reset"  # the connection was lost; may have run
    CANCELLED = "cancelled"  # cancelled by us; may have run
    NOT_SENT = "not_sent"  # the sidecar could not send it; never ran


class UpstreamState(enum.Enum):
    """The state of an upstream by the endpoint list."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class ListKind(enum.Enum):
    """What an `UpstreamsUpdated` event carries."""

    DELTA = "delta"  # changed entries only
    FULL = "full"  # the complete list
    CACHED = "cached"  # the complete list as last known, possibly outdated
    HELD = "held"  # changed entries only, by an operator's override and not from discovery
    FAILED = "failed"  # a call failed or the subscription broke; the list stays as it was


EFFECTS = ("idempotent", "deduplicated", "at_most_once")
GROUPS = ("all", "zone", "cell")


def _require(condition: bool, expected: str, got: object) -> None:
    if not condition:
        raise ValueError(f"expected {expected}, got {got!r}")


@dataclass(slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    latency_objective_us: int  # an answer within this earns the full weight
    deadline_us: int
    priority_weight: float = 1.0
    late_weight: float = 0.0  # share of the weight that an answer after the objective earns
    objective_stretch: float = 0.0  # the objective grows by this multiple of the request's own work
    effect: str = "idempotent"
    group: str = "all"  # deduplicated: which upstreams drop each other's repeats
    deduplication_window_us: int = 0  # deduplicated: how long they remember a request
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
    """One tenant and the request rate that is within its share, over all sidecars together."""

    name: str
    allowance_per_s: float
    share: float = 0.0

    def __post_init__(self) -> None:
        _require(self.allowance_per_s >= 0, "a tenant allowance_per_s of 0 or more", self.allowance_per_s)
        _require(0 <= self.share <= 1, "a tenant share from 0 to 1", self.share)


@dataclass(slots=True)
class Settings:
    """What the operator allows and wants; the same for all sidecars but for `self_index` and `zone`."""

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    over_quota_weight: float = 1.0
    weight_by_work: bool = False
    instances: int = 1
    self_index: int = 0
    zone: int = 0
    tick_us: int = 1000  # the shortest gap between batches
    max_attempts: int = 1
    max_retry_after_us: int = 0
    connect_timeout_us: int = 0
    retry_after: bool = True  # rejections carry Retry-After
    cancel: bool = False
    probes: bool = False
    peers: bool = False  # messages to other sidecars are allowed
    hedging_allowed: bool = False  # two attempts of a request may be out together
    list_on_request: bool = False  # list updates come only after Subscribe or FetchList
    max_poll_interval_us: int = 0  # without a subscription, the list must be asked for this often
    cold_share: float = 1.0  # an upstream starts at this share of its capacity or more
    warm_up_us: int = 0  # and has all of it after this time
    overload_factor: float = 1.0  # a cold upstream falls over at this multiple of its capacity
    fall_us: int = 0  # if that lasts for this long
    cross_zone_fee: float = 0.0
    probe_fee: float = 0.0  # points of the result for one probe a request
    key_affinity: bool = False  # an upstream serves a key that it served lately with less work
    report_names: list[str] = field(default_factory=list)
    weighted: bool = False  # the list's weights tell the upstreams' sizes
    zones: list[str] = field(default_factory=list)  # names, in the order of their numbers
    kinds: list[str] = field(default_factory=list)
    idle_us: int = 0  # an upstream closes connections idle for this long; 0 = never
    probe_timeout_us: int = 250_000
    is_successor: bool = False  # it takes over from another process of this sidecar, alone
    max_upstreams: int = 0  # upstreams that one sidecar may use together, of a larger fleet; 0 = any number

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
    """One entry of the upstream list."""

    id: int
    state: UpstreamState = UpstreamState.READY
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    started_us: int = 0  # its most recent start; 0 = long ago


# Events


@dataclass(slots=True)
class UpstreamsUpdated:
    """The endpoint list, or changes of it; or that a call for it failed."""

    kind: ListKind
    upstreams: list[Upstream] = field(default_factory=list)
    version: int = 0


@dataclass(slots=True)
class RequestArrived:
    """A client sends a request."""

    request: int
    due_us: int  # when the client stops waiting
    class_index: int = 0
    tenant: int = 0
    key: int = 0  # 0 = none
    cost_us: int = 0  # expected work on a standard core; 0 = not known
    retried: bool = False  # the client has sent it before
    write: bool = False
    retry_due_us: int = 0  # the time by Retry-After of an earlier rejection; 0 = none


@dataclass(slots=True)
class RequestGone:
    """The client has gone away; no answer is due any more."""

    request: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has an outcome."""

    request: int
    attempt: int
    upstream: int
    outcome: Outcome
    elapsed_us: int = 0
    final: bool = False  # the request is answered; otherwise an answer is still due
    report: list[float] = field(default_factory=list)  # values in the order of `report_names`


@dataclass(slots=True)
class StreamStarted:
    """The client has begun to receive a streamed answer."""

    request: int
    attempt: int
    upstream: int
    elapsed_us: int = 0


@dataclass(slots=True)
class ProbeEnded:
    """A load probe has an outcome, with a load report if one came."""

    upstream: int
    outcome: Outcome
    elapsed_us: int = 0
    report: list[float] = field(default_factory=list)


@dataclass(slots=True)
class WarmStartUpstream:
    """What another process of this sidecar has seen of one upstream since it started."""

    upstream: int
    concurrency_limit: float
    failure_rate: float  # share of its last attempts that failed, 0 to 1
    response_time_us: float  # smoothed; 0 = no answer was seen


@dataclass(slots=True)
class WarmStartState:
    """What the previous process of this sidecar has seen; comes before the first request."""

    response_times_us: list[float]  # by class; 0 = unknown
    total_limit_ratio: float  # the total limit over its initial value
    upstreams: list[WarmStartUpstream]


@dataclass(slots=True)
class OutlierReported:
    """What the other sidecars have seen of an upstream; replaces an earlier report on it."""

    upstream: int
    weight: float  # 0 to 1; 0 = healthy


@dataclass(slots=True)
class FleetResized:
    """The number of sidecars has changed; replaces the settings' `instances` and `self_index`."""

    instances: int
    self_index: int


@dataclass(slots=True)
class OverloadUpdated:
    """The limits that all sidecars have agreed on; replaces earlier ones."""

    budget_share: float  # of the fleet's budgets, for this sidecar: 0 to 1
    admitted_shares: list[float]  # by class, the share of requests to admit: 0 to 1
    returning_shares: list[float]  # the same of those that come back as Retry-After asked
    generation: int  # of the threshold: selects the keys that are admitted
    retry_after_us: int  # for rejections; 0 = the sidecar's own value
    valid_until_us: int  # the limits apply until then
    retries_per_s: float  # of this sidecar, as is probes_per_s
    probes_per_s: float
    attempts_per_s: float  # of this sidecar at each failing upstream


@dataclass(slots=True)
class TimerFired:
    """A timer that SetTimer set has fired."""

    token: int


@dataclass(slots=True)
class PeerMessage:
    """A message of another sidecar has arrived."""

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
    """Start an attempt; a request's attempts are numbered 0, 1, 2 ... in the order of their sends."""

    request: int
    upstream: int
    timeout_us: int = 0  # 0 = until the client quits
    until_us: int = 0  # rule 2: give up unless completely sent by then; 0 = no bound


@dataclass(slots=True)
class Refuse:
    """Final answer: not done, and trying again is harmless."""

    request: int
    retry_after_us: int = 0  # 0 = no advice
    shed: bool = False  # by the fleet's threshold, not for want of a slot


@dataclass(slots=True)
class Fail:
    """Final answer: failed, with no promise about what it did."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Abandon an attempt that is in flight."""

    request: int
    attempt: int


@dataclass(slots=True)
class Probe:
    """Ask an upstream for a load report."""

    upstream: int


@dataclass(slots=True)
class SetTimer:
    """Deliver TimerFired at this time."""

    at_us: int
    token: int = 0


@dataclass(slots=True)
class Subscribe:
    """Ask for the endpoint list and for its changes, or stop doing so."""

    active: bool = True


@dataclass(slots=True)
class FetchList:
    """Ask for the endpoint list once."""


@dataclass(slots=True)
class CloseIdle:
    """Close idle connections to an upstream that is not used any more."""

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
