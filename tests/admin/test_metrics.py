"""The exported metrics of requests."""

from __future__ import annotations

from sidecar_proxy.engine.metrics import Metrics


def test_each_request_is_counted_once_by_the_status_that_its_client_received() -> None:
    metrics = Metrics(["read", "pay"])
    for status in (200, 200, 429, 503, 502, 504, 400, 0):
        metrics.request_accepted()
        metrics.request_ended(1, status)
    metrics.request_accepted()
    lines = list(metrics.lines(5, 2))
    assert lines[:6] == [
        "app.completed.read:0|c",
        "app.rejected.read:0|c",
        "app.failed.read:0|c",
        "app.completed.pay:2|c",
        "app.rejected.pay:2|c",
        "app.failed.pay:3|c",
    ]
    assert lines[6:] == [
        "app.upstream_requests:0|c",
        "app.pending:1|g",
        "app.members:5|g",
        "app.members_unavailable:2|g",
        "app.config_reloads:0|c",
        "app.config_reload_errors:0|c",
    ]
