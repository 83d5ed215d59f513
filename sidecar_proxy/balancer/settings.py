"""An instance's settings as text, `path=value` a line in the simulator's names, to typed values; and what
those permit. Pure.
"""

from __future__ import annotations

import json
import math

from sidecar_proxy.balancer import events as api

# Load report values: the wire's names and ours; a name not known here is kept as it is.
REPORT_NAMES = {
    "rif": "in_flight",
    "q": "queued",
    "busy": "utilization",
    "lat_ms": "latency_ms",
    "rate": "served_per_s",
    "fail_rate": "errors_per_s",
}
# The same values as an upstream's JSON names them.
REPORT_FIELDS = {
    "inflight": "in_flight",
    "queue": "queued",
    "util": "utilization",
    "qps": "served_per_s",
    "eps": "errors_per_s",
} | REPORT_NAMES


class SettingsError(Exception):
    """A setting that cannot be read; one line."""


# Actions that need a permission, and the setting that gives it.
PERMITS = {api.Probe: "probes", api.Cancel: "cancel", api.SendPeerMessage: "peers"}


def check_allowed(settings: api.Settings, action: api.Action) -> None:
    """Raise for an action that the settings forbid, so that it is never sent."""
    permit = PERMITS.get(type(action))
    if permit is not None and not getattr(settings, permit):
        raise ValueError(f"{type(action).__name__} where the settings forbid it")


def parse_report(text: bytes, names: list[str]) -> list[float]:
    """A load report's values in the order of `names`; none if it is not whole and finite."""
    try:
        told = json.loads(text) if text else {}
        values = {REPORT_FIELDS.get(name, name): float(value) for name, value in told.items()}
    except (ValueError, TypeError, AttributeError, OverflowError, RecursionError):
        return []
    report = [values.get(name, math.nan) for name in names]
    return report if all(map(math.isfinite, report)) else []


class Options:
    """The start-up settings' path=value pairs, read with checks."""

    def __init__(self, text: str) -> None:
        self.pairs: dict[str, str] = {}
        for number, line in enumerate(text.splitlines(), 1):
            if not line.strip():
                continue
            path, equals, value = line.partition("=")
            if not equals or not path:
                raise SettingsError(f"settings line {number}: expected path=value, got {line!r}")
            self.pairs[path] = value

    def text(self, path: str, default: str | None = None) -> str:
        value = self.pairs.get(path, default)
        if value is None:
            raise SettingsError(f"setting {path} is missing")
        return value

    def names(self, path: str) -> list[str]:
        return [name for name in self.text(path, "").split(",") if name]

    def number(self, path: str, default: str | None = None) -> float:
        value = self.text(path, default)
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if not math.isfinite(number):
            raise SettingsError(f"setting {path}: expected a number, got {value!r}")
        return number

    def whole(self, path: str, default: str | None = None) -> int:
        number = self.number(path, default)
        if number != int(number):
            raise SettingsError(f"setting {path}: expected a whole number, got {self.text(path, default)!r}")
        return int(number)

    def choice(self, path: str, choices: tuple[str, ...], default: str | None = None) -> str:
        value = self.text(path, default)
        if value not in choices:
            raise SettingsError(f"setting {path}: expected one of {', '.join(choices)}, got {value!r}")
        return value

    def flag(self, path: str, default: str | None = None) -> bool:
        return self.choice(path, ("true", "false"), default) == "true"


def class_of(options: Options, at: str) -> api.RequestClass:
    return api.RequestClass(
        name=options.text(at + "name"),
        latency_objective_us=options.whole(at + "aim"),
        deadline_us=options.whole(at + "deadline"),
        priority_weight=options.number(at + "worth"),
        late_weight=options.number(at + "late-worth", "0"),
        objective_stretch=options.number(at + "aim-stretch", "0"),
        effect=options.choice(at + "effect", api.EFFECTS),
        group=options.choice(at + "group", api.GROUPS, "all"),
        deduplication_window_us=options.whole(at + "memory-span", "0"),
        stream=options.flag(at + "stream", "false"),
    )


def tenant_of(options: Options, at: str) -> api.Tenant:
    return api.Tenant(
        options.text(at + "name"), options.number(at + "allowance-per-s"), options.number(at + "share", "0")
    )


def parse_settings(text: str) -> api.Settings:
    """The settings of one instance; keys that are not known are skipped."""
    o = Options(text)
    try:
        return api.Settings(
            classes=[class_of(o, f"request-classes.{i}.") for i in range(o.whole("request-classes.count"))],
            tenants=[tenant_of(o, f"accounts.{i}.") for i in range(o.whole("accounts.count", "0"))],
            over_quota_weight=o.number("over-share-worth", "1"),
            weight_by_work=o.choice("value-by", ("request", "work"), "request") == "work",
            instances=o.whole("instances"),
            self_index=o.whole("self-index", "0"),
            zone=o.whole("locality", "0"),
            tick_us=o.whole("granularity"),
            max_attempts=o.whole("bounds.most-tries"),
            max_retry_after_us=o.whole("bounds.max-retry-after", "0"),
            connect_timeout_us=o.whole("bounds.dial-timeout", "0"),
            retry_after=o.flag("bounds.retry-after"),
            cancel=o.flag("bounds.cancel"),
            probes=o.flag("bounds.probes"),
            peers=o.flag("bounds.peers", "false"),
            hedging_allowed=o.flag("bounds.second-copies"),
            list_on_request=o.choice("registry-mode", ("pushed", "on_request")) == "on_request",
            max_poll_interval_us=o.whole("invariants.ask-within", "0"),
            cold_share=o.number("invariants.cold-share"),
            warm_up_us=o.whole("invariants.warm-up"),
            overload_factor=o.number("invariants.overload-factor"),
            fall_us=o.whole("invariants.fall"),
            cross_zone_fee=o.number("fees.cross-zone", "0"),
            probe_fee=o.number("fees.probe", "0"),
            key_affinity=o.flag("specifics.warm-keys", "false"),
            report_names=[REPORT_NAMES.get(name, name) for name in o.names("report.names")],
            weighted=o.text("weights", "none") in ("nominal", "rough"),
            zones=o.names("areas"),
            kinds=o.names("kinds"),
            idle_us=o.whole("bounds.conn-idle", "0"),
            probe_timeout_us=o.whole("bounds.probe-timeout", "250000"),
        )
    except ValueError as error:
        raise SettingsError(f"settings: {error}") from error
