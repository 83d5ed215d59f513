"""Describes in words what a recording has about one request. Pure."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from sidecar_proxy.balancer import events as api
from sidecar_proxy.recorder.record_framing import Frame, Named

OUTCOME_TEXTS = {
    api.Outcome.OK: "answered well",
    api.Outcome.ERROR: "answered with an error",
    api.Outcome.FULL: "declined it: it never ran",
    api.Outcome.TIMEOUT: "had not answered in time; it may have run",
    api.Outcome.CONNECT_FAILED: "could not be reached: it never ran",
    api.Outcome.RESET: "broke off; it may have run",
    api.Outcome.CANCELLED: "was told to stop",
    api.Outcome.NOT_SENT: "was sent nothing, or only said that the request is bad",
}
RECENT_ATTEMPTS = 400  # outcomes that are kept, to describe the recent success rate of an upstream


@dataclass(slots=True)
class RequestTracer:
    """Processes all frames in order, and yields a line for each event and action of one request."""

    settings: api.Settings
    wanted: str  # Req-Id of the request, or its number in the sidecar
    number: int = 0  # number of the request; 0 = not found yet
    arrived_us: int = 0
    last: dict[str, int] = field(default_factory=dict)  # number of the last request with each Req-Id
    open_requests: int = 0  # requests that have no final result yet
    # (upstream, whether the attempt succeeded) of the last attempts
    recent_attempts: deque[tuple[int, bool]] = field(default_factory=lambda: deque(maxlen=RECENT_ATTEMPTS))
    attempt_upstreams: dict[int, int] = field(default_factory=dict)  # upstream of each attempt number
    is_finished: bool = False

    def process(self, frame: Frame) -> Iterator[str]:
        """Yield the lines about the request from one frame."""
        event = frame.event
        if isinstance(event, Named):
            if event.ident == self.wanted and not self.number:
                self.number = event.request
            return
        if isinstance(event, api.AttemptEnded):
            self.recent_attempts.append((event.upstream, event.outcome is api.Outcome.OK))
        if isinstance(event, api.RequestArrived):
            self.open_requests += 1
            if not self.number and self.wanted == str(event.request):
                self.number = event.request
        if self.number and not self.is_finished:
            yield from self.event_lines(frame.now_us, event)
            for action in frame.actions:
                yield from self.action_lines(frame.now_us, action)
            if frame.fault and getattr(event, "request", 0) == self.number:
                yield self.line(frame.now_us, f"the decisions failed: {frame.fault}; the sidecar gave it up")
        self.open_requests -= sum(isinstance(action, api.Refuse | api.Fail) for action in frame.actions)
        if isinstance(event, api.RequestGone) or (isinstance(event, api.AttemptEnded) and event.final):
            self.open_requests -= 1

    def line(self, now_us: int, text: str) -> str:
        """Format a line with the time since the request arrived."""
        return f"{(now_us - self.arrived_us) / 1000:9.1f} ms  {text}"

    def event_lines(self, now_us: int, event: object) -> Iterator[str]:
        """Yield a line if the event concerns the request."""
        if isinstance(event, api.RequestArrived) and event.request == self.number:
            self.arrived_us = now_us
            request_class = self.settings.classes[event.class_index]
            retried = ", tried before by its client" if event.retried else ""
            left_ms = (event.due_us - now_us) / 1000
            yield self.line(
                now_us,
                f"request {self.number} arrived: {request_class.name} ({request_class.effect}{retried}), "
                f"{left_ms:.0f} ms to be answered in; {self.open_requests - 1} others were under way",
            )
        elif isinstance(event, api.AttemptEnded) and event.request == self.number:
            final = "; that was its answer" if event.final else ""
            result = f"upstream {event.upstream} {OUTCOME_TEXTS[event.outcome]}"
            took_ms = event.elapsed_us / 1000
            yield self.line(now_us, f"attempt {event.attempt}: {result}, after {took_ms:.1f} ms{final}")
            self.is_finished = event.final
        elif isinstance(event, api.StreamStarted) and event.request == self.number:
            yield self.line(now_us, f"attempt {event.attempt}: a part of the answer has gone to the client")
        elif isinstance(event, api.RequestGone) and event.request == self.number:
            yield self.line(now_us, "its client left, its time was over, or the sidecar answered it")
            self.is_finished = True

    def action_lines(self, now_us: int, action: object) -> Iterator[str]:
        """Yield a line if the action concerns the request."""
        if isinstance(action, api.Send) and action.request == self.number:
            attempt = len(self.attempt_upstreams)
            self.attempt_upstreams[attempt] = action.upstream
            outcomes = Counter(
                is_success for upstream, is_success in self.recent_attempts if upstream == action.upstream
            )
            recent = (
                f"{outcomes[True]} of its last {outcomes.total()} attempts were good"
                if outcomes
                else "not used yet"
            )
            yield self.line(now_us, f"attempt {attempt}: sent to upstream {action.upstream} ({recent})")
        elif isinstance(action, api.Refuse) and action.request == self.number:
            after_ms = action.retry_after_us / 1000
            retry_after = f", to come back after {after_ms:.0f} ms" if after_ms else ""
            yield self.line(now_us, f"refused{retry_after}: nothing of it has run")
            self.is_finished = True
        elif isinstance(action, api.Fail) and action.request == self.number:
            yield self.line(now_us, "failed: no attempt may follow, and it may have run")
            self.is_finished = True
        elif isinstance(action, api.Cancel) and action.request == self.number:
            yield self.line(now_us, f"attempt {action.attempt} is given up")


def trace_lines(settings: api.Settings, frames: Iterable[Frame], wanted: str) -> Iterator[str]:
    """Yield the lines about a request, named by its Req-Id or number; none if it is not in the recording."""
    tracer = RequestTracer(settings, wanted)
    for frame in frames:
        yield from tracer.process(frame)
