"""The names under which recordings keep the balancer's records. Pure.

A recording names classes and fields as text, so it stays readable only as long as the stored names
stay. Where the names in the code have changed since, the stored ones are pinned here, and nowhere else.
"""

from __future__ import annotations

from dataclasses import fields
from typing import Any

from sidecar_proxy.balancer import events as api

_STORED_CLASS_NAMES: dict[type, str] = {
    api.WarmStartState: "Learnt",
    api.WarmStartUpstream: "LearntUpstream",
    api.OutlierReported: "Suspected",
    api.FleetResized: "FleetSized",
    api.OverloadUpdated: "Overload",
    api.SendPeerMessage: "TellPeer",
}

# For each class, the fields whose stored name differs from the name in the code.
_RENAMED_FIELDS: dict[type, dict[str, str]] = {
    api.RequestClass: {
        "latency_objective_us": "aim_us",
        "priority_weight": "worth",
        "late_weight": "late_worth",
        "objective_stretch": "aim_stretch",
        "deduplication_window_us": "memory_us",
    },
    api.Settings: {
        "over_quota_weight": "over_share_worth",
        "weight_by_work": "worth_by_work",
        "hedging_allowed": "second_copies",
        "max_poll_interval_us": "ask_within_us",
        "key_affinity": "warm_keys",
        "is_successor": "succeeds",
        "max_upstreams": "most_upstreams",
    },
    api.RequestArrived: {"retry_due_us": "back_us"},
    api.WarmStartState: {"response_times_us": "answers_us", "total_limit_ratio": "total"},
    api.WarmStartUpstream: {
        "concurrency_limit": "window",
        "failure_rate": "failing",
        "response_time_us": "answer_us",
    },
    api.OverloadUpdated: {
        "budget_share": "share",
        "admitted_shares": "kept",
        "returning_shares": "returning",
        "generation": "number",
        "retry_after_us": "return_us",
        "valid_until_us": "until_us",
        "retries_per_s": "reissues_per_s",
        "attempts_per_s": "tries_per_s",
    },
}


def stored_class_name(record_class: type) -> str:
    """Return the name under which recordings keep records of this class."""
    return _STORED_CLASS_NAMES.get(record_class, record_class.__name__)


def stored_field_names(record_class: Any) -> dict[str, str]:
    """Return the stored name of each field of a dataclass, by its name in the code and in its order."""
    renamed = _RENAMED_FIELDS.get(record_class, {})
    return {field.name: renamed.get(field.name, field.name) for field in fields(record_class)}


_FIELD_NAMES = {record_class: stored_field_names(record_class) for record_class in _RENAMED_FIELDS}


def to_stored(value: Any) -> Any:
    """Return a form of a record, or of a list of records, that the encoder writes under the stored names."""
    if isinstance(value, list):
        return [to_stored(item) for item in value]
    names = _FIELD_NAMES.get(type(value))
    if names is None:
        return value
    return {stored: to_stored(getattr(value, name)) for name, stored in names.items()}
