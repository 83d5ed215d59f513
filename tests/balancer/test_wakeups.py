"""Scheduling of wake-ups on the single timer of the engine."""

from __future__ import annotations

from sidecar_proxy.balancer.context import DecisionContext
from sidecar_proxy.balancer.events import SetTimer
from sidecar_proxy.balancer.wakeups import WakeupKind, Wakeups
from tests.balancer.harness import settings


def new_wakeups() -> tuple[DecisionContext, Wakeups]:
    context = DecisionContext(settings(), 1, 1_000)
    return context, Wakeups(context)


def test_due_wakeups_are_popped_by_time_and_then_by_kind() -> None:
    context, wakeups = new_wakeups()
    wakeups.schedule(1_500, WakeupKind.ATTEMPT_OVERDUE, 1)
    wakeups.schedule(1_500, WakeupKind.PROBE_DEADLINE, 2)
    wakeups.schedule(1_400, WakeupKind.LIST_POLL, 0)
    assert wakeups.pop_due() is None
    context.now_us = 1_500
    popped = []
    while (wakeup := wakeups.pop_due()) is not None:
        popped.append((wakeup.kind, wakeup.request_id))
    assert popped == [
        (WakeupKind.LIST_POLL, 0),
        (WakeupKind.PROBE_DEADLINE, 2),
        (WakeupKind.ATTEMPT_OVERDUE, 1),
    ]


def test_wakeup_in_the_past_is_due_at_the_next_microsecond() -> None:
    context, wakeups = new_wakeups()
    wakeups.schedule(10, WakeupKind.LIST_POLL, 0)
    assert wakeups.pop_due() is None
    context.now_us += 1
    assert wakeups.pop_due() is not None


def test_timer_is_set_again_only_for_an_earlier_time() -> None:
    context, wakeups = new_wakeups()
    wakeups.schedule(2_000, WakeupKind.LIST_POLL, 0)
    wakeups.set_timer(0)
    wakeups.set_timer(3_000)
    wakeups.set_timer(1_700)
    assert context.take_actions() == [SetTimer(2_000, 0), SetTimer(1_700, 0)]


def test_stale_timer_does_not_clear_a_later_one() -> None:
    context, wakeups = new_wakeups()
    wakeups.schedule(2_000, WakeupKind.LIST_POLL, 0)
    wakeups.set_timer(0)
    wakeups.timer_fired()
    assert wakeups.timer_us == 2_000
    context.now_us = 2_000
    wakeups.timer_fired()
    assert wakeups.timer_us == 0
