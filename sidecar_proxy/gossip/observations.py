"""What this instance has observed of upstreams, and the outlier report that it makes of it. Pure."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass

from sidecar_proxy.balancer.events import Outcome
from sidecar_proxy.gossip.codec import (
    MAX_INTEGER,
    MAX_NAME_LENGTH,
    MAX_REPORTED_UPSTREAMS,
    OutlierReport,
    UpstreamReport,
)

WINDOW_US = 10_000_000  # observations and reports count so long
FULL_VOTE_FAILURES = 2  # consecutive failures that make a full vote
MAX_UPSTREAMS = 4096  # remembered; the oldest are dropped
UPSTREAM_REPORT_BYTES = 50  # on the wire, at most, beside the upstream's name
MAX_REPORT_BYTES = 740  # so that the report fits on any packet
RESERVED_FOR_CONTRADICTIONS = 2  # places of a report that healthy upstreams may take
FAILURES = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.ERROR})


@dataclass(slots=True)
class UpstreamObservation:
    """The attempts to one upstream since it started or since the window began."""

    started_ms: int
    since_us: int
    timeouts: int = 0
    resets: int = 0  # failed connections included
    errors: int = 0
    successes: int = 0
    consecutive_failures: int = 0
    last_us: int = 0  # end of the last attempt

    @property
    def attempts(self) -> int:
        """Attempts that count: those that have reached the upstream or failed on the way."""
        return self.timeouts + self.resets + self.errors + self.successes

    def record_failure(self, outcome: Outcome) -> None:
        """Count a failure by its kind."""
        if outcome is Outcome.TIMEOUT:
            self.timeouts += 1
        elif outcome is Outcome.ERROR:
            self.errors += 1
        else:
            self.resets += 1
        self.consecutive_failures += 1


class LocalObservations:
    """This instance's observations by upstream name."""

    def __init__(self) -> None:
        self.upstreams: dict[str, UpstreamObservation] = {}
        self.contradicted: dict[str, None] = {}  # reported by others, but healthy here; in order of arrival

    def record(self, upstream: str, started_ms: int, outcome: Outcome, now_us: int) -> bool:
        """Record the outcome of an attempt.

        Returns True if the others should learn of it at once: the upstream begins to fail, or has recovered.
        Attempts that never ran or were cancelled, and upstreams whose name is too long to report, do not
        count.
        """
        is_failure = outcome is not Outcome.OK
        if (is_failure and outcome not in FAILURES) or len(upstream) > MAX_NAME_LENGTH:
            return False
        observation = self.upstreams.get(upstream)
        if (
            observation is None
            or observation.started_ms != started_ms
            or now_us - observation.since_us > WINDOW_US
        ):
            observation = self._start_window(upstream, started_ms, now_us)
        observation.last_us = now_us
        if is_failure:
            observation.record_failure(outcome)
            return observation.consecutive_failures <= FULL_VOTE_FAILURES
        is_recovery = observation.consecutive_failures > 0
        observation.consecutive_failures = 0
        observation.successes += 1
        return is_recovery

    def contradict(self, upstream: str, now_us: int) -> bool:
        """Note that others report an upstream as failing.

        Returns True if this instance has a recent success that it should report, and has not yet noted it.
        """
        observation = self.upstreams.get(upstream)
        if (
            observation is None
            or observation.consecutive_failures > 0
            or not observation.successes
            or now_us - observation.last_us >= WINDOW_US
            or upstream in self.contradicted
        ):
            return False
        self.contradicted[upstream] = None
        return True

    def retain_contradicted(self, reported: Container[str]) -> None:
        """Drop the contradictions of upstreams that nobody reports any more."""
        self.contradicted = {name: None for name in self.contradicted if name in reported}

    def report(self, now_us: int) -> OutlierReport:
        """Make a report: failing upstreams first, then those that others are wrong about, latest first."""
        recent = [
            (name, observation)
            for name, observation in self.upstreams.items()
            if now_us - observation.last_us <= WINDOW_US
        ]
        failing = [pair for pair in recent if pair[1].consecutive_failures > 0]
        healthy = [
            pair for pair in recent if pair[1].consecutive_failures == 0 and pair[0] in self.contradicted
        ]
        failing.sort(key=_last_attempt_us, reverse=True)
        healthy.sort(key=_last_attempt_us, reverse=True)
        max_failing = MAX_REPORTED_UPSTREAMS - min(RESERVED_FOR_CONTRADICTIONS, len(healthy))
        chosen = [*failing[:max_failing], *healthy][:MAX_REPORTED_UPSTREAMS]
        while _report_bytes([name for name, _ in chosen]) > MAX_REPORT_BYTES:
            chosen.pop()
        return OutlierReport([_upstream_report(name, observation, now_us) for name, observation in chosen])

    def _start_window(self, upstream: str, started_ms: int, now_us: int) -> UpstreamObservation:
        """Start counting anew; a run of failures goes on unless the upstream has restarted."""
        previous = self.upstreams.pop(upstream, None)
        consecutive_failures = 0
        if previous is not None and previous.started_ms == started_ms:
            consecutive_failures = previous.consecutive_failures
        observation = UpstreamObservation(started_ms, now_us, consecutive_failures=consecutive_failures)
        self.upstreams[upstream] = observation
        while len(self.upstreams) > MAX_UPSTREAMS:
            del self.upstreams[next(iter(self.upstreams))]
        return observation


def _last_attempt_us(pair: tuple[str, UpstreamObservation]) -> int:
    return pair[1].last_us


def _report_bytes(names: list[str]) -> int:
    return sum(len(name.encode()) + UPSTREAM_REPORT_BYTES for name in names)


def _upstream_report(name: str, observation: UpstreamObservation, now_us: int) -> UpstreamReport:
    return UpstreamReport(
        name,
        min(observation.started_ms, MAX_INTEGER),
        observation.attempts,
        observation.timeouts,
        observation.resets,
        observation.errors,
        observation.successes,
        observation.consecutive_failures,
        (now_us - observation.last_us) // 1000,
    )
