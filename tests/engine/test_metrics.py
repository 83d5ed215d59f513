"""The counters of a sidecar and their text form."""

from __future__ import annotations

import pytest

from sidecar_proxy.engine.metrics import Metrics


def test_each_metric_is_a_line_under_its_exported_name() -> None:
    metrics = Metrics(["read", "pay"])
    metrics.config_reloads = 2
    metrics.upstream_requests = 5
    assert list(metrics.lines(members=7, unavailable_members=1)) == [
        "app.completed.read:0|c",
        "app.rejected.read:0|c",
        "app.failed.read:0|c",
        "app.completed.pay:0|c",
        "app.rejected.pay:0|c",
        "app.failed.pay:0|c",
        "app.upstream_requests:5|c",
        "app.pending:0|g",
        "app.members:7|g",
        "app.members_unavailable:1|g",
        "app.config_reloads:2|c",
        "app.config_reload_errors:0|c",
    ]


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (200, "completed"),
        (429, "rejected"),
        (503, "rejected"),
        (502, "failed"),
        (504, "failed"),
        (400, "failed"),
    ],
)
def test_request_is_counted_once_under_the_outcome_of_its_status(status: int, outcome: str) -> None:
    metrics = Metrics(["read"])
    metrics.request_accepted()
    metrics.request_ended(0, status)
    counted = [line for line in metrics.lines(0, 0) if line.startswith("app.") and ".read:1|c" in line]
    assert counted == [f"app.{outcome}.read:1|c"]
    assert metrics.pending_requests == 0


def test_request_whose_client_left_is_counted_under_no_outcome() -> None:
    metrics = Metrics(["read"])
    metrics.request_accepted()
    metrics.request_ended(0, 0)
    assert sum(metrics.outcome_counts[0]) == 0
    assert metrics.pending_requests == 0
