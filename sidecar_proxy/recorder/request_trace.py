"""One request's story in words, from a recording. Pure."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from sidecar_proxy.balancer import events as api
from sidecar_proxy.recorder.record_framing import Frame, Named

ENDS = {
    api.Outcome.OK: "answered well",
    api.Outcome.ERROR: "answered with an error",
    api.Outcome.FULL: "declined it: it never ran",
    api.Outcome.TIMEOUT: "had not answered in time; it may have run",
    api.Outcome.CONNECT_FAILED: "could not be reached: it never ran",
    api.Outcome.RESET: "broke off; it may have run",
    api.Outcome.CANCELLED: "was told to stop",
    api.Outcome.NOT_SENT: "was sent nothing, or only said that the request is bad",
}
RECENT = 400  # attempts' ends that are kept, for what an upstream had been like


@dataclass(slots=True)
class Teller:
    """Takes all frames; says what there is to say of one request as it comes."""

    settings: api.Settings
    wanted: str  # its Req-Id, or its number
    number: int = 0  # 0 = not met yet
    began_us: int = 0
    last: dict[str, int] = field(default_factory=dict)  # Req-Id: number, of the last so named
    out: int = 0  # requests that are not answered
    recent: deque[tuple[int, bool]] = field(default_factory=lambda: deque(maxlen=RECENT))
    sent: dict[int, int] = field(default_factory=dict)  # attempt: upstream
    over: bool = False

    def take(self, frame: Frame) -> Iterator[str]:
        event = frame.event
        if isinstance(event, Named):
            if event.ident == self.wanted and not self.number:
                self.number = event.request
            return
        if isinstance(event, api.AttemptEnded):
            self.recent.append((event.upstream, event.outcome is api.Outcome.OK))
        if isinstance(event, api.RequestArrived):
            self.out += 1
            if not self.number and self.wanted == str(event.request):
                self.number = event.request
        if self.number and not self.over:
            yield from self.of_event(frame.now_us, event)
            for action in frame.actions:
                yield from self.of_action(frame.now_us, action)
            if frame.fault and getattr(event, "request", 0) == self.number:
                yield self.at(frame.now_us, f"the decisions failed: {frame.fault}; the sidecar gave it up")
        self.out -= sum(isinstance(one, api.Refuse | api.Fail) for one in frame.actions)
        if isinstance(event, api.RequestGone) or (isinstance(event, api.AttemptEnded) and event.final):
            self.out -= 1

    def at(self, now_us: int, text: str) -> str:
        return f"{(now_us - self.began_us) / 1000:9.1f} ms  {text}"

    def of_event(self, now_us: int, event: object) -> Iterator[str]:
        if isinstance(event, api.RequestArrived) and event.request == self.number:
            self.began_us = now_us
            kind = self.settings.classes[event.class_index]
            again = ", tried before by its client" if event.retried else ""
            left_ms = (event.due_us - now_us) / 1000
            yield self.at(
                now_us,
                f"request {self.number} arrived: {kind.name} ({kind.effect}{again}), "
                f"{left_ms:.0f} ms to be answered in; {self.out - 1} others were under way",
            )
        elif isinstance(event, api.AttemptEnded) and event.request == self.number:
            final = "; that was its answer" if event.final else ""
            what = f"upstream {event.upstream} {ENDS[event.outcome]}"
            took_ms = event.elapsed_us / 1000
            yield self.at(now_us, f"attempt {event.attempt}: {what}, after {took_ms:.1f} ms{final}")
            self.over = event.final
        elif isinstance(event, api.StreamStarted) and event.request == self.number:
            yield self.at(now_us, f"attempt {event.attempt}: a part of the answer has gone to the client")
        elif isinstance(event, api.RequestGone) and event.request == self.number:
            yield self.at(now_us, "its client left, its time was over, or the sidecar answered it")
            self.over = True

    def of_action(self, now_us: int, action: object) -> Iterator[str]:
        if isinstance(action, api.Send) and action.request == self.number:
            attempt = len(self.sent)
            self.sent[attempt] = action.upstream
            ends = Counter(well for upstream, well in self.recent if upstream == action.upstream)
            before = f"{ends[True]} of its last {ends.total()} attempts were good" if ends else "not used yet"
            yield self.at(now_us, f"attempt {attempt}: sent to upstream {action.upstream} ({before})")
        elif isinstance(action, api.Refuse) and action.request == self.number:
            after_ms = action.retry_after_us / 1000
            after = f", to come back after {after_ms:.0f} ms" if after_ms else ""
            yield self.at(now_us, f"refused{after}: nothing of it has run")
            self.over = True
        elif isinstance(action, api.Fail) and action.request == self.number:
            yield self.at(now_us, "failed: no attempt may follow, and it may have run")
            self.over = True
        elif isinstance(action, api.Cancel) and action.request == self.number:
            yield self.at(now_us, f"attempt {action.attempt} is given up")


def trace_lines(settings: api.Settings, frames: Iterable[Frame], wanted: str) -> Iterator[str]:
    """Nothing if the request is not in it."""
    teller = Teller(settings, wanted)
    for frame in frames:
        yield from teller.take(frame)
