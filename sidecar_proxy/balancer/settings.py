"""Parses the settings of one sidecar: lines of `path=value`, under the platform's names, to typed values.

It also checks actions against the settings, and parses load reports. Settings that can't be read raise
`SettingsError`. No I/O.
"""

from __future__ import annotations

import json
import math

from sidecar_proxy.balancer import events as api

# Maps the platform's names of load report values to those used here. Other names are not changed.
REPORT_NAMES = {
    "rif": "in_flight",
    "q": "queued",
    "busy": "utilization",
    "lat_ms": "latency_ms",
    "rate": "served_per_s",
    "fail_rate": "errors_per_s",
}
# Maps the names of values in the JSON reports of upstreams, which may use either set of names.
REPORT_FIELDS = {
    "inflight": "in_flight",
    "queue": "queued",
    "util": "utilization",
    "qps": "served_per_s",
    "eps": "errors_per_s",
} | REPORT_NAMES


class SettingsError(Exception):
    """A setting is missing or invalid; the message is one line that names it."""


# The setting that must be true for each of these actions to be permitted.
REQUIRED_SETTINGS = {api.Probe: "probes", api.Cancel: "cancel", api.SendPeerMessage: "peers"}


def check_allowed(settings: api.Settings, action: api.Action) -> None:
    """Raise ValueError if the settings forbid an action."""
    setting = REQUIRED_SETTINGS.get(type(action))
    if setting is not None and not getattr(settings, setting):
        raise ValueError(f"{type(action).__name__} where the settings forbid it")


def parse_report(text: bytes, names: list[str]) -> list[float]:
    """Return the values of a JSON load report in the order of `names`; empty unless all are finite."""
    try:
        report = json.loads(text) if text else {}
        values = {REPORT_FIELDS.get(name, name): float(value) for name, value in report.items()}
    except (ValueError, TypeError, AttributeError, OverflowError, RecursionError):
        return []
    ordered = [values.get(name, math.nan) for name in names]
    return ordered if all(map(math.isfinite, ordered)) else []


class SettingsReader:
    """Reads typed values from `path=value` lines; each method raises SettingsError."""

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
        """Return a value as text; it must be set if there is no default."""
        value = self.pairs.get(path, default)
        if value is None:
            raise SettingsError(f"setting {path} is missing")
        return value

    def names(self, path: str) -> list[str]:
        """Return the items of a comma-separated list, which is empty if not set."""
        return [name for name in self.text(path, "").split(",") if name]

    def number(self, path: str, default: str | None = None) -> float:
        """Return a value as a finite number."""
        value = self.text(path, default)
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if not math.isfinite(number):
            raise SettingsError(f"setting {path}: expected a number, got {value!r}")
        return number

    def integer(self, path: str, default: str | None = None) -> int:
        """Return a value as a whole number."""
        number = self.number(path, default)
        if number != int(number):
            raise SettingsError(f"setting {path}: expected a whole number, got {self.text(path, default)!r}")
        return int(number)

    def choice(self, path: str, choices: tuple[str, ...], default: str | None = None) -> str:
        """Return a value that must be one of `choices`."""
        value = self.text(path, default)
        if value not in choices:
            raise SettingsError(f"setting {path}: expected one of {', '.join(choices)}, got {value!r}")
        return value

    def flag(self, path: str, default: str | None = None) -> bool:
        """Return a value, written as true or false, as a bool."""
        return self.choice(path, ("true", "false"), default) == "true"


def read_request_class(reader: SettingsReader, prefix: str) -> api.RequestClass:
    """Return the request class whose setting paths begin with `prefix`."""
    return api.RequestClass(
        name=reader.text(prefix + "name"),
        latency_objective_us=reader.integer(prefix + "aim"),
        deadline_us=reader.integer(prefix + "deadline"),
        priority_weight=reader.number(prefix + "worth"),
        late_weight=reader.number(prefix + "late-worth", "0"),
        objective_stretch=reader.number(prefix + "aim-stretch", "0"),
        effect=reader.choice(prefix + "effect", api.EFFECTS),
        group=reader.choice(prefix + "group", api.GROUPS, "all"),
        deduplication_window_us=reader.integer(prefix + "memory-span", "0"),
        stream=reader.flag(prefix + "stream", "false"),
    )


def read_tenant(reader: SettingsReader, prefix: str) -> api.Tenant:
    """Return the tenant whose setting paths begin with `prefix`."""
    return api.Tenant(
        reader.text(prefix + "name"),
        reader.number(prefix + "allowance-per-s"),
        reader.number(prefix + "share", "0"),
    )


def parse_settings(text: str) -> api.Settings:
    """Return the settings of one sidecar; unknown paths are ignored. Raises SettingsError."""
    reader = SettingsReader(text)
    try:
        return api.Settings(
            classes=[
                read_request_class(reader, f"request-classes.{index}.")
                for index in range(reader.integer("request-classes.count"))
            ],
            tenants=[
                read_tenant(reader, f"accounts.{index}.")
                for index in range(reader.integer("accounts.count", "0"))
            ],
            over_quota_weight=reader.number("over-share-worth", "1"),
            weight_by_work=reader.choice("value-by", ("request", "work"), "request") == "work",
            instances=reader.integer("instances"),
            self_index=reader.integer("self-index", "0"),
            zone=reader.integer("locality", "0"),
            tick_us=reader.integer("granularity"),
            max_attempts=reader.integer("bounds.most-tries"),
            max_retry_after_us=reader.integer("bounds.max-retry-after", "0"),
            connect_timeout_us=reader.integer("bounds.dial-timeout", "0"),
            retry_after=reader.flag("bounds.retry-after"),
            cancel=reader.flag("bounds.cancel"),
            probes=reader.flag("bounds.probes"),
            peers=reader.flag("bounds.peers", "false"),
            hedging_allowed=reader.flag("bounds.second-copies"),
            list_on_request=reader.choice("registry-mode", ("pushed", "on_request")) == "on_request",
            max_poll_interval_us=reader.integer("invariants.ask-within", "0"),
            cold_share=reader.number("invariants.cold-share"),
            warm_up_us=reader.integer("invariants.warm-up"),
            overload_factor=reader.number("invariants.overload-factor"),
            fall_us=reader.integer("invariants.fall"),
            cross_zone_fee=reader.number("fees.cross-zone", "0"),
            probe_fee=reader.number("fees.probe", "0"),
            key_affinity=reader.flag("specifics.warm-keys", "false"),
            report_names=[REPORT_NAMES.get(name, name) for name in reader.names("report.names")],
            weighted=reader.text("weights", "none") in ("nominal", "rough"),
            zones=reader.names("areas"),
            kinds=reader.names("kinds"),
            idle_us=reader.integer("bounds.conn-idle", "0"),
            probe_timeout_us=reader.integer("bounds.probe-timeout", "250000"),
        )
    except ValueError as error:
        raise SettingsError(f"settings: {error}") from error
