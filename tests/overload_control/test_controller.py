"""The overload controller: its outputs, and groups of controllers that exchange messages."""

from __future__ import annotations

import pytest

from sidecar_proxy.balancer import events as api
from sidecar_proxy.overload_control.controller import (
    GENERATION_INTERVAL_US,
    TICK_INTERVAL_US,
    UPDATE_LIFETIME_US,
    OverloadController,
)
from sidecar_proxy.overload_control.messages import MAX_CLASSES, TOTAL_PARTS, LeaseGrant, LeaseRequest
from sidecar_proxy.overload_control.outputs import Broadcast, LogMessage, Output, SendMessage
from tests.overload_control.controllers import (
    STEP_US,
    STEPS_PER_S,
    ControllerFactory,
    ControllerGroup,
    GroupFactory,
)
from tests.overload_control.reports import make_report


def apply_load(group: ControllerGroup, busy_index: int) -> None:
    """Simulates ten seconds in which one controller receives eight times the requests of each other one."""
    for _ in range(200):
        group.run(0.05)
        for index, controller in enumerate(group.controllers):
            for _ in range(8 if index == busy_index else 1):
                controller.record_arrival(0, 0, False, group.now_us)
                controller.record_success(0, 50_000)


def test_quota_moves_to_the_sidecar_with_the_load_and_back(new_group: GroupFactory) -> None:
    group = new_group(4)
    apply_load(group, busy_index=0)
    quotas = group.quotas()
    assert quotas[0] > TOTAL_PARTS // 2
    assert sum(quotas) <= TOTAL_PARTS
    assert min(quotas) >= TOTAL_PARTS // 4 // 4
    apply_load(group, busy_index=2)
    quotas = group.quotas()
    assert quotas[2] > TOTAL_PARTS // 2
    assert quotas[0] < TOTAL_PARTS // 3
    assert sum(quotas) <= TOTAL_PARTS


def test_stopped_process_has_no_borrowed_quota_once_it_continues(new_group: GroupFactory) -> None:
    group = new_group(2)
    for _ in range(100):
        group.run(0.05)
        for _ in range(10):
            group.controllers[0].record_arrival(0, 0, False, group.now_us)
    assert group.quotas()[0] > TOTAL_PARTS // 2
    update = group.controllers[0].last_update
    assert update is not None
    assert update.valid_until_us <= group.now_us + 3_000_000
    group.now_us += 5_000_000  # all processes are stopped during this time
    assert group.quotas()[0] == TOTAL_PARTS // 2
    assert update.valid_until_us < group.now_us


def test_of_two_sidecars_with_one_index_the_later_name_has_no_quota_until_the_other_is_gone(
    new_group: GroupFactory, new_controller: ControllerFactory
) -> None:
    group = new_group(3)
    duplicate = new_controller("s9", 1, 3)
    group.controllers.append(duplicate)
    group.run(8.0)
    assert duplicate.escrow.is_suspended
    assert duplicate.escrow.usable_parts(group.now_us) == 0
    assert sum(group.quotas()) <= TOTAL_PARTS
    assert duplicate.last_update is not None
    assert duplicate.last_update.budget_share == 0.0
    group.controllers.remove(group.controllers[1])
    group.run(8.0)
    assert not duplicate.escrow.is_suspended
    assert isinstance(duplicate.last_update, api.OverloadUpdated)
    assert duplicate.last_update.budget_share > 0.0


def test_index_conflict_is_logged_and_takes_effect_at_once(new_controller: ControllerFactory) -> None:
    controller = new_controller("s9", 1, 3)
    update, line = controller.receive_report("s1", make_report(1), 0)
    assert isinstance(update, api.OverloadUpdated)
    assert update.budget_share == 0.0
    text = "s1 reports index 1 as well: this sidecar spends nothing of the fleet's budgets"
    assert line == LogMessage(text)
    assert controller.receive_report("s1", make_report(1), 1) == []


def test_quota_at_upstreams_in_slow_start_shrinks_while_their_responses_queue(
    new_controller: ControllerFactory,
) -> None:
    controller = new_controller("s0", 0, 1, slow_latency_us=200_000)
    now_us = 0

    def budget_share_after(elapsed_us: int, slow_start_weight: float, seconds: float) -> float:
        nonlocal now_us
        for _ in range(int(seconds * STEPS_PER_S)):
            now_us += STEP_US
            controller.record_arrival(0, 0, False, now_us)
            controller.record_success(0, elapsed_us)
            controller.tick(now_us, slow_start_weight)
        assert controller.last_update is not None
        return controller.last_update.budget_share

    assert budget_share_after(100_000, 1.0, 5.0) == 1.0
    assert budget_share_after(250_000, 0.4, 5.0) == 1.0  # the slow start alone explains this response time
    assert 0.5 < budget_share_after(400_000, 0.9, 10.0) < 0.6
    assert budget_share_after(60_000, 0.9, 10.0) == 1.0
    assert budget_share_after(400_000, 0.9, 10.0) < 0.6
    assert budget_share_after(400_000, 1.0, 1.0) == 1.0


def updates(outputs: list[Output]) -> list[api.OverloadUpdated]:
    """Returns the updates for the balancer among the outputs."""
    return [output for output in outputs if isinstance(output, api.OverloadUpdated)]


def reject_all(controller: OverloadController, from_us: int, seconds: float) -> list[Output]:
    """Simulates a period in which every request is rejected; returns the outputs of all ticks."""
    outputs: list[Output] = []
    for step in range(1, int(seconds * STEPS_PER_S) + 1):
        now_us = from_us + step * STEP_US
        controller.record_arrival(0, 0, False, now_us)
        controller.record_rejection(0, 0, is_shed=False, now_us=now_us)
        outputs += controller.tick(now_us)
    return outputs


def test_retry_storm_is_logged_and_reported_at_once(new_controller: ControllerFactory) -> None:
    controller = new_controller("s0", 0, 1)
    outputs = reject_all(controller, 0, 3.0)
    lines = [output for output in outputs if isinstance(output, LogMessage)]
    assert len(lines) == 1
    assert lines[0].text.startswith("a retry storm begins: 100% of ")
    following = outputs[outputs.index(lines[0]) + 1]
    assert isinstance(following, Broadcast)
    assert following.report.has_retry_storm


def test_due_time_of_a_retry_is_returned_only_in_a_retry_storm(new_controller: ControllerFactory) -> None:
    controller = new_controller("s0", 0, 1)
    controller.record_rejection(7, 9_000_000, is_shed=True, now_us=0)
    assert controller.record_arrival(0, 7, True, 1_000_000) == 0
    controller.storm_detector.is_active = True
    assert controller.record_arrival(0, 7, True, 1_000_000) == 9_000_000


def test_update_limits_the_balancer_to_the_share_of_the_sidecar(new_controller: ControllerFactory) -> None:
    controller = new_controller("s0", 0, 2)
    (update,) = updates(controller.tick(10_000_000))
    assert update.budget_share == 0.5
    assert update.retries_per_s == 25.0
    assert update.probes_per_s == 25.0
    assert update.attempts_per_s == 2.0
    assert update.admitted_shares == [1.0, 1.0, 1.0]
    assert update.returning_shares == [1.0, 1.0, 1.0]
    assert update.valid_until_us == 10_000_000 + UPDATE_LIFETIME_US


def test_unchanged_update_is_repeated_only_before_it_expires(new_controller: ControllerFactory) -> None:
    controller = new_controller("s0", 0, 2)
    assert len(updates(controller.tick(10_000_000))) == 1
    assert updates(controller.tick(11_000_000)) == []
    assert len(updates(controller.tick(10_000_000 + UPDATE_LIFETIME_US // 2))) == 1


def test_tick_before_it_is_due_does_nothing(new_controller: ControllerFactory) -> None:
    controller = new_controller("s0", 0, 2)
    assert controller.tick(controller.next_tick_us - 1) == []


def test_own_balancer_spends_less_before_a_lease_is_granted(new_controller: ControllerFactory) -> None:
    controller = new_controller("s0", 0, 2)
    update, response = controller.receive_message("s1", LeaseRequest(7, 1, 100_000, 0), 10_000_000)
    assert isinstance(update, api.OverloadUpdated)
    assert update.budget_share == 0.4
    assert response == SendMessage("s1", LeaseGrant(7, 1, 100_000))


def test_grant_without_a_request_has_no_effect(new_controller: ControllerFactory) -> None:
    controller = new_controller("s0", 0, 2)
    assert controller.receive_message("s1", LeaseGrant(7, 1, 100_000), 10_000_000) == []


def test_leases_of_a_dead_peer_stay_until_they_expire(new_controller: ControllerFactory) -> None:
    controller = new_controller("s0", 0, 2)
    controller.receive_report("s1", make_report(1), 10_000_000)
    controller.receive_message("s1", LeaseRequest(7, 1, 100_000, 0), 10_000_000)
    controller.remove_peer("s1")
    assert len(controller.peers) == 0
    assert controller.escrow.usable_parts(10_000_000) == 400_000


def test_generation_advances_after_its_interval(new_controller: ControllerFactory) -> None:
    controller = new_controller("s0", 0, 1)
    controller.tick(GENERATION_INTERVAL_US - 1)
    assert controller.generation == 0
    controller.tick(GENERATION_INTERVAL_US - 1 + 250_000)
    assert controller.generation == 1


@pytest.mark.parametrize("class_count", [1, MAX_CLASSES])
def test_arrivals_of_all_classes_are_counted_and_the_update_has_their_shares(
    class_count: int, new_controller: ControllerFactory
) -> None:
    controller = new_controller("s0", 0, 1, priority_weights=[1.0] * class_count)
    for class_index in range(class_count):
        controller.record_arrival(class_index, 0, False, 0)
    updates = [
        output for output in controller.tick(TICK_INTERVAL_US) if isinstance(output, api.OverloadUpdated)
    ]
    assert [len(update.admitted_shares) for update in updates] == [class_count]


def test_more_classes_than_a_report_holds_are_refused(new_controller: ControllerFactory) -> None:
    with pytest.raises(ValueError, match="17 request classes, the maximum is 16"):
        new_controller("s0", 0, 1, priority_weights=[1.0] * (MAX_CLASSES + 1))
