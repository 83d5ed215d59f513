"""The overload controller of one sidecar, which connects the components of overload control.

The controller receives the arrivals and outcomes of requests from the engine, and messages from the other
sidecars. Four times a second it updates its measurements, the retry storm detector, its quota leases and the
shedding threshold, and returns updates for the balancer and messages for the other sidecars. It is pure: it
does no I/O, reads no clock, and draws random numbers only from the generator that is passed to it. Times are
microseconds of a monotonic clock.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import StrEnum

from sidecar_proxy.balancer import events as api
from sidecar_proxy.overload_control.load_measurement import LoadMeasurement
from sidecar_proxy.overload_control.messages import (
    MAX_CLASSES,
    TOTAL_PARTS,
    LeaseGrant,
    LeaseMessage,
    LeaseRecord,
    LeaseRequest,
    LeaseReturn,
    Report,
)
from sidecar_proxy.overload_control.outputs import Broadcast, LogMessage, Output, SendMessage
from sidecar_proxy.overload_control.peer_reports import (
    REPORT_LIFETIME_INTERVALS,
    PeerReports,
    report_interval_us,
)
from sidecar_proxy.overload_control.quota_borrowing import adjust_leases, compute_needed_parts, reserved_parts
from sidecar_proxy.overload_control.quota_leases import QuotaEscrow
from sidecar_proxy.overload_control.retry_after import RetrySchedule, advised_retry_after_us
from sidecar_proxy.overload_control.retry_storm import RetryStormDetector
from sidecar_proxy.overload_control.shedding_threshold import SheddingThreshold, compute_threshold
from sidecar_proxy.overload_control.slow_start import SlowStartPacing

TICK_INTERVAL_US = 250_000
# The report interval is multiplied by a random factor from MIN_REPORT_JITTER_FACTOR to
# MIN_REPORT_JITTER_FACTOR + REPORT_JITTER_FACTOR_RANGE, so that the sidecars do not report all at once.
MIN_REPORT_JITTER_FACTOR = 0.8
REPORT_JITTER_FACTOR_RANGE = 0.4
UPDATE_LIFETIME_US = 3_000_000  # the balancer ignores an update that is older
# In each generation the shedding threshold admits different keys of a class, so that the same clients are not
# shed all the time.
GENERATION_INTERVAL_US = 30_000_000
# Computing a threshold takes some 10 us of CPU time per peer, so a large fleet computes it less often.
THRESHOLD_INTERVAL_US_PER_PEER = 3000


@dataclass(slots=True, frozen=True)
class FleetBudgets:
    """The rates that all sidecars together may not exceed."""

    retries_per_s: float = 50.0
    probes_per_s: float = 50.0
    attempts_per_s: float = 4.0  # rate of attempts at each failing upstream


class LeaseEvent(StrEnum):
    """Events that the controller counts. The values are keys of the OVERLOAD command's answer."""

    REQUEST_RECEIVED = "asked"
    LEASE_BORROWED = "borrowed"


class OverloadController:
    """Passes events and messages to the components of overload control, and returns their outputs."""

    def __init__(
        self,
        name: str,
        index: int,
        instances: int,
        priority_weights: Sequence[float],
        max_retry_after_us: int,
        budgets: FleetBudgets,
        rng: random.Random,
        now_us: int,
        slow_latency_us: int = 0,
    ) -> None:
        """Creates the controller of the sidecar with number `index` in a fleet of `instances` sidecars.

        `priority_weights` are by request class, for at most `MAX_CLASSES` classes. `slow_latency_us`
        is the response time of a warm upstream that has a queue; 0 if it is not known.
        """
        self.name = name
        self.index = index
        self.instances = max(1, instances)
        if len(priority_weights) > MAX_CLASSES:
            raise ValueError(f"{len(priority_weights)} request classes, the maximum is {MAX_CLASSES}")
        self.priority_weights = tuple(priority_weights)
        self.max_retry_after_us = max_retry_after_us
        self.budgets = budgets
        self.rng = rng
        self.load = LoadMeasurement(len(self.priority_weights), now_us)
        self.peers = PeerReports(name, index)
        self.escrow = QuotaEscrow(index, self.instances, rng, now_us)
        self.needed_parts = reserved_parts(self.escrow.owned_parts)
        self.lease_events: Counter[LeaseEvent] = Counter()
        self.storm_detector = RetryStormDetector()
        self.retry_schedule = RetrySchedule()
        self.pacing = SlowStartPacing(slow_latency_us)
        self.has_slow_start = False  # whether any upstream in use is in slow start
        self.generation = 0
        self.generation_since_us = now_us
        self.threshold: SheddingThreshold | None = None
        self.next_threshold_us = now_us
        self.next_tick_us = now_us + int(TICK_INTERVAL_US * rng.random())
        self.next_report_us = self.next_tick_us
        self.last_update: api.OverloadUpdated | None = None

    # Events of the engine

    def record_arrival(self, class_index: int, key: int, is_retry: bool, now_us: int) -> int:
        """Counts a request; `key` identifies it and its retries, 0 if it has none.

        Returns when the client's Retry-After expires; 0 if the client has none, or outside of a retry storm.
        """
        schedule = self.retry_schedule
        retry_due_us = schedule.take_due_us(key, now_us) if key and schedule.due_us_by_key else 0
        self.load.record_arrival(class_index, is_retry, retry_due_us, now_us)
        return retry_due_us if self.storm_detector.is_active else 0

    def record_rejection(self, key: int, retry_after_us: int, is_shed: bool, now_us: int) -> None:
        """Counts a rejected request, and records the Retry-After that was sent to its client (0: none).

        `is_shed` is true for a rejection by the shedding threshold, false for one because no slot was free.
        """
        self.load.record_rejection(is_shed)
        if key and retry_after_us > 0:
            self.retry_schedule.add(key, now_us + retry_after_us)

    def record_success(self, class_index: int, elapsed_us: int) -> None:
        """Counts an attempt that an upstream has served, and adds up its response time."""
        self.load.record_success(class_index, elapsed_us)

    # Messages of the other sidecars

    def receive_report(self, author: str, report: Report, now_us: int) -> list[Output]:
        """Records a report that a peer has broadcast."""
        if not self.peers.add(author, report, now_us):
            return []
        if self.escrow.is_suspended or not self.peers.claims_own_index(author):
            return []
        self.escrow.is_suspended = True
        text = (
            f"{author} reports index {self.index} as well: this sidecar spends nothing of the fleet's budgets"
        )
        return [self._update_balancer(now_us), LogMessage(text)]

    def remove_peer(self, author: str) -> None:
        """Removes the report of a peer that is considered dead.

        Quota that was lent to the peer stays lent until its leases expire, because the peer may be alive and
        spending it.
        """
        self.peers.remove(author)

    def receive_message(self, author: str, message: LeaseMessage, now_us: int) -> list[Output]:
        """Handles a lease message that a peer has sent to this sidecar alone."""
        if isinstance(message, LeaseRequest):
            return self._receive_lease_request(author, message, now_us)
        if isinstance(message, LeaseGrant):
            if not self.escrow.receive_grant(author, message, now_us):
                return []
            self.lease_events[LeaseEvent.LEASE_BORROWED] += 1
            return [self._update_balancer(now_us)]
        if isinstance(message, LeaseReturn):
            self.escrow.receive_return(author, message)
        return []

    def _receive_lease_request(self, author: str, request: LeaseRequest, now_us: int) -> list[Output]:
        self.lease_events[LeaseEvent.REQUEST_RECEIVED] += 1
        grant = self.escrow.handle_request(author, request, self.needed_parts, now_us)
        response = SendMessage(author, grant)
        if not grant.parts:
            return [response]
        # The update comes first: the balancer of this sidecar has to spend less before the borrower may spend
        # more.
        return [self._update_balancer(now_us), response]

    # Time

    def tick(self, now_us: int, slow_start_weight: float = 1.0) -> list[Output]:
        """Updates all components; does nothing before `next_tick_us`.

        `slow_start_weight` is the mean weight of the upstreams in slow start; 1.0 if there is none.
        """
        if now_us < self.next_tick_us:
            return []
        self.next_tick_us = now_us + TICK_INTERVAL_US
        self.has_slow_start = slow_start_weight < 1.0
        self.pacing.update(slow_start_weight, self.load.mean_service_time_us())
        self.load.update(now_us)
        self._expire_reports(now_us)
        self._update_threshold(now_us)
        outputs = self._update_storm(now_us)
        self._update_generation(now_us)
        outputs += adjust_leases(self.escrow, self.needed_parts, self.peers.by_name, now_us)
        outputs += self._report_if_due(now_us)
        return self._update_balancer_if_changed(now_us) + outputs

    def _expire_reports(self, now_us: int) -> None:
        self.peers.remove_older(REPORT_LIFETIME_INTERVALS * report_interval_us(self.instances), now_us)
        if self.escrow.is_suspended:
            self.escrow.is_suspended = self.peers.has_index_conflict()

    def _update_threshold(self, now_us: int) -> None:
        if now_us < self.next_threshold_us:
            return
        self.next_threshold_us = now_us + len(self.peers) * THRESHOLD_INTERVAL_US_PER_PEER
        peer_reports = self.peers.by_name
        self.needed_parts = compute_needed_parts(
            self.load.demand_per_s, list(peer_reports.values()), self.instances, self.escrow.owned_parts
        )
        own_report = self._build_report(now_us)
        self.threshold = None
        # Computing the threshold takes CPU time, and without rejections there is nothing to shed.
        if own_report.rejected_per_1000_s > 0 or self.peers.has_rejections():
            reports = {**peer_reports, self.name: own_report}
            self.threshold = compute_threshold(reports, self.priority_weights, self.instances)

    def _update_storm(self, now_us: int) -> list[Output]:
        has_changed = self.storm_detector.update(
            self.load.attempts.per_s,
            self.load.early_retries.per_s,
            self.load.rejections.per_s,
            self.threshold is not None and self.threshold.has_retry_storm,
            now_us,
        )
        if not has_changed:
            return []
        self.next_report_us = now_us
        change = "begins" if self.storm_detector.is_active else "ends"
        return [LogMessage(f"a retry storm {change}: {self.storm_detector.reason}")]

    def _update_generation(self, now_us: int) -> None:
        """Adopts the generation of the fleet, or starts a new one once the current one is old enough."""
        fleet_generation = self.threshold.generation if self.threshold is not None else self.generation
        if fleet_generation != self.generation:
            self.generation = fleet_generation
            self.generation_since_us = now_us
        elif now_us - self.generation_since_us >= GENERATION_INTERVAL_US:
            self.generation += 1
            self.generation_since_us = now_us

    def _report_if_due(self, now_us: int) -> list[Output]:
        if now_us < self.next_report_us:
            return []
        jitter = MIN_REPORT_JITTER_FACTOR + REPORT_JITTER_FACTOR_RANGE * self.rng.random()
        self.next_report_us = now_us + int(report_interval_us(self.instances) * jitter)
        return [Broadcast(self._build_report(now_us))]

    def _build_report(self, now_us: int) -> Report:
        lent = self.escrow.lent_by_borrower(now_us)
        capacity = self.load.capacity_estimate(self.has_slow_start)
        return Report(
            index=self.index,
            generation=self.generation,
            has_retry_storm=self.storm_detector.is_active,
            usable_parts=min(TOTAL_PARTS, self.escrow.usable_parts(now_us)),
            lendable_parts=self.escrow.lendable_parts(self.needed_parts, now_us),
            rejected_per_1000_s=int(self.load.rejections.per_s * 1000),
            capacity_permille=capacity.permille,
            is_unconstrained=capacity.is_unconstrained,
            backlog=self.retry_schedule.backlog(now_us),
            classes=self.load.class_loads(),
            leases=[LeaseRecord(borrower, parts) for borrower, parts in lent.items()],
        )

    # Updates for the balancer

    def _update_balancer(self, now_us: int) -> api.OverloadUpdated:
        self.last_update = self._compute_update(now_us)
        return self.last_update

    def _update_balancer_if_changed(self, now_us: int) -> list[Output]:
        previous = self.last_update
        update = self._compute_update(now_us)
        if previous is not None and _is_repetition(update, previous, now_us):
            return []
        self.last_update = update
        return [update]

    def _compute_update(self, now_us: int) -> api.OverloadUpdated:
        budget_share = self.escrow.usable_parts(now_us) / TOTAL_PARTS * self.pacing.factor
        threshold = self.threshold
        advised_us = 0
        if self.storm_detector.is_active:
            advised_us = advised_retry_after_us(
                threshold, self.load.mean_service_time_us(), self.max_retry_after_us
            )
        if threshold is not None:
            admitted_shares = list(threshold.admitted_shares)
            returning_shares = list(threshold.returning_shares)
        else:
            admitted_shares = [1.0] * len(self.priority_weights)
            returning_shares = [1.0] * len(self.priority_weights)
        return api.OverloadUpdated(
            budget_share=budget_share,
            admitted_shares=admitted_shares,
            returning_shares=returning_shares,
            generation=self.generation,
            retry_after_us=advised_us,
            # A borrowed lease may expire before the next update, and its quota may not be spent after that.
            valid_until_us=min([now_us + UPDATE_LIFETIME_US, *self.escrow.expirations_us(now_us)]),
            retries_per_s=self.budgets.retries_per_s * budget_share,
            probes_per_s=self.budgets.probes_per_s * budget_share,
            attempts_per_s=self.budgets.attempts_per_s * budget_share,
        )


def _is_repetition(update: api.OverloadUpdated, previous: api.OverloadUpdated, now_us: int) -> bool:
    """Returns whether the previous update has the same content and stays valid for long enough."""
    if previous.valid_until_us - now_us <= UPDATE_LIFETIME_US // 2:
        return False
    return replace(update, valid_until_us=previous.valid_until_us) == previous
