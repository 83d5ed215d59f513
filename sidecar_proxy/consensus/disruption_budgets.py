"""Disruption budgets: who holds a permit to be out, whether one more may be granted, and who is next.

A permit is held for an upstream that is drained, suspended or restarted, or for a sidecar that is paused.
The budgets are settings of the replicated state. Everything here is part of that state, so it depends on
the committed commands alone, and texts that are stored in it must not change.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping
from typing import Annotated

import msgspec
from msgspec import Meta

MAX_PERMITS = 500
MAX_QUEUED_PERMITS = 100
MAX_NAMED_UNAVAILABLE = 8  # the others are only counted
MAX_REASON_CHARS = 200
MAX_REASON_NAMES = 5
MAX_SETTING_DIGITS = 9
SETTING_PREFIX = "out."  # the settings are out.node, out.node.site, out.sidecar, ...

Text = Annotated[str, Meta(max_length=128)]
UnsignedInt = Annotated[int, Meta(ge=0, le=1 << 53)]


class TargetKind(enum.StrEnum):
    """What a permit is for. The values are those of the commands and settings."""

    UPSTREAM = "node"
    SIDECAR = "sidecar"


class Scope(enum.StrEnum):
    """What a budget counts. The values are the last part of a setting's name."""

    ALL = ""
    SITE = "site"
    CLASS = "class"
    CELL = "cell"


class Target(msgspec.Struct, array_like=True, frozen=True):
    """An upstream or a sidecar, with the groups in which it counts."""

    name: Annotated[str, Meta(max_length=256)]
    site: Text = ""
    upstream_class: Text = ""
    cell: Text = ""  # of a sidecar: its process id

    def group(self, scope: str) -> str:
        """Returns the group in which the target counts for budgets of a scope."""
        groups = {
            Scope.ALL: "",
            Scope.SITE: self.site,
            Scope.CLASS: self.upstream_class,
            Scope.CELL: self.cell,
        }
        return groups[Scope(scope)]

    def shares_group(self, other: Target, scope: str) -> bool:
        """Tells whether both count for the same budget of a scope."""
        return self.group(scope) == other.group(scope)


class DisruptionFacts(msgspec.Struct, array_like=True, frozen=True):
    """What the leader knows when it proposes a command that needs or returns a permit."""

    target_kind: Annotated[str, Meta(max_length=8)]
    target: Target
    totals: tuple[UnsignedInt, UnsignedInt, UnsignedInt, UnsignedInt]  # in the target's groups, by Scope
    unavailable: Annotated[tuple[Target, ...], Meta(max_length=MAX_NAMED_UNAVAILABLE)] = ()  # without permit
    unnamed_unavailable_count: UnsignedInt = 0


class Permit(msgspec.Struct, array_like=True, frozen=True):
    """The permission to be out."""

    index: UnsignedInt  # of the command that granted it
    target_kind: str
    target: Target
    requested_by: str  # the sidecar whose admin server was asked
    id: str  # of the command that asked for it
    started_ms: UnsignedInt  # the start of the target's process; 0 = long ago
    requested_at_ms: UnsignedInt  # only shown
    exceeded_budget: str = ""  # the reason that was overridden by force


class QueuedPermit(msgspec.Struct, array_like=True, frozen=True):
    """A permit that waits until the budgets allow it."""

    permit: Permit
    facts: DisruptionFacts


class PermitState(msgspec.Struct, array_like=True):
    """All permits; a part of the replicated state."""

    granted: dict[str, Permit] = {}  # by `permit_key`
    queue: list[QueuedPermit] = []
    forced_count: int = 0  # ever


def permit_key(target_kind: str, name: str) -> str:
    """Returns the key of a target's permit."""
    return f"{target_kind}:{name}"


def parse_limit(setting: str, total: int) -> int | None:
    """Returns how many of `total` may be out by a budget's setting, or None if it is not valid."""
    stripped = setting.strip()
    number = stripped.removesuffix("%")
    if not number.isascii() or not number.isdigit() or len(number) > MAX_SETTING_DIGITS:
        return None
    if stripped.endswith("%") and int(number):
        return max(1, total * int(number) // 100)
    return int(number)


def check_budget_setting(name: str, value: str) -> str:
    """Returns what is wrong with a setting if it is a budget; "" = nothing."""
    if not name.startswith(SETTING_PREFIX):
        return ""
    target_kind, _, scope = name.removeprefix(SETTING_PREFIX).partition(".")
    if target_kind not in list(TargetKind) or scope not in list(Scope) or name.endswith("."):
        return "expected out.node or out.sidecar, and .site, .class or .cell or nothing"
    if parse_limit(value, 100) is None:
        return "expected a count or a share, as 2 or 10%"
    return ""


def configured_budgets(settings: Mapping[str, str], target_kind: str) -> dict[Scope, str]:
    """Returns the settings of the budgets for a kind of target."""
    base = SETTING_PREFIX + target_kind
    by_scope = {scope: settings.get(f"{base}.{scope}" if scope else base, "") for scope in Scope}
    return {scope: setting for scope, setting in by_scope.items() if setting}


def find_exceeded_budget(
    state: PermitState, settings: Mapping[str, str], facts: DisruptionFacts, excluded: Iterable[str] = ()
) -> str:
    """Returns which budget one more target would exceed, and who is out; "" = none.

    `excluded` names the upstreams that are excluded without a permit. Nothing else is known of them, so they
    count in every group.
    """
    target = facts.target
    others = {
        permit.target.name: permit.target
        for permit in state.granted.values()
        if permit.target_kind == facts.target_kind
    }
    others |= {other.name: other for other in facts.unavailable if other.name not in others}
    ungrouped: set[str] = set()
    if facts.target_kind == TargetKind.UPSTREAM:
        ungrouped = {name for name in excluded if name not in others}
    others.pop(target.name, None)
    ungrouped.discard(target.name)
    configured = configured_budgets(settings, facts.target_kind)
    for scope, total in zip(Scope, facts.totals, strict=True):
        if scope not in configured:
            continue
        max_out = parse_limit(configured[scope], total) or 0
        names = [name for name, other in others.items() if other.shares_group(target, scope)]
        names += ungrouped
        out_count = len(names) + facts.unnamed_unavailable_count
        if out_count + 1 > max_out:
            group = f" of {scope} {target.group(scope)}" if scope else ""
            listed = ", ".join(sorted(names)[:MAX_REASON_NAMES])
            reason = f"{out_count} {facts.target_kind}s{group} are out ({listed}), {max_out} may be"
            return reason[:MAX_REASON_CHARS]
    return ""


class PermitOutcome(msgspec.Struct, frozen=True):
    """The answer to a request for a permit: granted, queued or rejected."""

    rejection: str = ""
    queued: str = ""  # what it waits for


def request_permit(
    state: PermitState,
    settings: Mapping[str, str],
    permit: Permit,
    facts: DisruptionFacts | None,
    excluded: Iterable[str],
    force: bool = False,
    wait: bool = False,
) -> PermitOutcome:
    """Grants a permit, queues it if `wait` is set, or rejects it.

    `force` grants it beyond the budgets and before those that wait.
    """
    rejection = _check_permit_request(state, permit, facts)
    if rejection or facts is None:
        return PermitOutcome(rejection)
    reason = find_exceeded_budget(state, settings, facts, excluded)
    ahead_count = sum(queued.permit.target_kind == permit.target_kind for queued in state.queue)
    if force or not (reason or ahead_count):
        state.forced_count += bool(reason)
        key = permit_key(permit.target_kind, permit.target.name)
        state.granted[key] = msgspec.structs.replace(permit, target=facts.target, exceeded_budget=reason)
        return PermitOutcome()
    if not wait:
        return PermitOutcome(rejection=reason or f"{ahead_count} wait for a place before it")
    if len(state.queue) >= MAX_QUEUED_PERMITS:
        return PermitOutcome(rejection="too many are waiting")
    state.queue.append(QueuedPermit(msgspec.structs.replace(permit, target=facts.target), facts))
    return PermitOutcome(queued=f"queued, {ahead_count} before it: {reason or 'others wait'}")


def _check_permit_request(state: PermitState, permit: Permit, facts: DisruptionFacts | None) -> str:
    granted = state.granted.get(permit_key(permit.target_kind, permit.target.name))
    if granted is not None:
        return f"{granted.target.name} is out already: {granted.id} by {granted.requested_by}"
    if len(state.granted) >= MAX_PERMITS:
        return "too many places are held"
    if facts is None or facts.target.name != permit.target.name or facts.target_kind != permit.target_kind:
        return "nobody has said what is out now"
    return ""


def return_permit(
    state: PermitState,
    settings: Mapping[str, str],
    target_kind: str,
    name: str,
    facts: DisruptionFacts | None,
    excluded: Iterable[str],
    index: int,
) -> list[Permit]:
    """Removes a target's permit or its place in the queue, and returns the permits that are granted now.

    The queue is served in order: a request that does not fit holds up those behind it, so that none waits
    for ever.
    """
    state.granted.pop(permit_key(target_kind, name), None)
    state.queue = [
        queued
        for queued in state.queue
        if queued.permit.target_kind != target_kind or queued.permit.target.name != name
    ]
    newly_granted: list[Permit] = []
    if facts is None or facts.target_kind != target_kind:
        return newly_granted
    while True:
        first = next((queued for queued in state.queue if queued.permit.target_kind == target_kind), None)
        if first is None:
            return newly_granted
        # What is out now comes with this command, the size of the groups with the queued one.
        current_facts = DisruptionFacts(
            target_kind,
            first.permit.target,
            first.facts.totals,
            facts.unavailable,
            facts.unnamed_unavailable_count,
        )
        if find_exceeded_budget(state, settings, current_facts, excluded):
            return newly_granted
        state.queue.remove(first)
        permit = msgspec.structs.replace(first.permit, index=index)
        state.granted[permit_key(target_kind, permit.target.name)] = permit
        newly_granted.append(permit)
