"""Outcomes of this instance's attempts by upstream, and the outlier report that is made from them.

Times are passed in; the module does no I/O.
"""

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

WINDOW_US = 10_000_000  # age after which observations and reports are ignored
FULL_VOTE_FAILURES = 2  # number of consecutive failures from which a vote is 1, i.e. failing
MAX_UPSTREAMS = 4096  # maximum number of upstreams with observations; the oldest are evicted
MAX_UPSTREAM_REPORT_BYTES = 50  # maximum encoded size of an UpstreamReport beside its name
MAX_REPORT_BYTES = 740  # maximum encoded size of an outlier report, so that it fits on any packet
RESERVED_FOR_CONTRADICTIONS = 2  # entries of a report that are reserved for healthy upstreams
FAILURES = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.ERROR})


@dataclass(slots=True)
class UpstreamObservation:
    """Counts of the attempts to one upstream in the current window."""

    started_ms: int  # start of the upstream, Unix time; a restart begins a new window
    window_started_us: int
    timeouts: int = 0
    resets: int = 0  # including connections that could not be opened
    errors: int = 0
    successes: int = 0
    consecutive_failures: int = 0
    last_attempt_us: int = 0  # end of the last attempt

    @property
    def attempts(self) -> int:
        """The number of attempts that reached the upstream or failed on the way to it."""
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
    """This instance's observations of all upstreams."""

    def __init__(self) -> None:
        self.upstreams: dict[str, UpstreamObservation] = {}  # upstreams by name, the oldest window first
        self.contradicted: dict[str, None] = {}  # upstreams that fail for others but not here, oldest first

    def record(self, upstream: str, started_ms: int, outcome: Outcome, now_us: int) -> bool:
        """Record the outcome of an attempt.

        Returns True if it should be reported at once: the upstream has begun to fail or has recovered.
        Attempts that were cancelled or never sent, and upstreams whose name is too long for a report, are
        ignored.
        """
        is_failure = outcome is not Outcome.OK
        if (is_failure and outcome not in FAILURES) or len(upstream) > MAX_NAME_LENGTH:
            return False
        observation = self.upstreams.get(upstream)
        if (
            observation is None
            or observation.started_ms != started_ms
            or now_us - observation.window_started_us > WINDOW_US
        ):
            observation = self._start_window(upstream, started_ms, now_us)
        observation.last_attempt_us = now_us
        if is_failure:
            observation.record_failure(outcome)
            return observation.consecutive_failures <= FULL_VOTE_FAILURES
        is_recovery = observation.consecutive_failures > 0
        observation.consecutive_failures = 0
        observation.successes += 1
        return is_recovery

    def contradict(self, upstream: str, now_us: int) -> bool:
        """Handle a peer's report that an upstream fails.

        Returns True if this instance should now report the upstream as healthy: its last attempt was a recent
        success, and no earlier call has returned True for it.
        """
        observation = self.upstreams.get(upstream)
        if (
            observation is None
            or observation.consecutive_failures > 0
            or not observation.successes
            or now_us - observation.last_attempt_us >= WINDOW_US
            or upstream in self.contradicted
        ):
            return False
        self.contradicted[upstream] = None
        return True

    def retain_contradicted(self, reported: Container[str]) -> None:
        """Remove the contradicted upstreams that no peer reports any more."""
        self.contradicted = {name: None for name in self.contradicted if name in reported}

    def report(self, now_us: int) -> OutlierReport:
        """Make a report: failing upstreams, then contradicted ones, each with the latest attempt first."""
        recent = [
            (name, observation)
            for name, observation in self.upstreams.items()
            if now_us - observation.last_attempt_us <= WINDOW_US
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
        """Start a new window; consecutive failures are carried over unless the upstream has restarted."""
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
    return pair[1].last_attempt_us


def _report_bytes(names: list[str]) -> int:
    return sum(len(name.encode()) + MAX_UPSTREAM_REPORT_BYTES for name in names)


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
        (now_us - observation.last_attempt_us) // 1000,
    )
