"""Disruption budgets: how many upstreams and sidecars may be out of service at the same time.

A permit is needed to drain, suspend or restart an upstream, or to pause a sidecar. It is granted if no budget
would be exceeded, and is otherwise rejected or queued. The budgets are settings of the replicated state, and
the permits are part of that state: they depend on the committed commands alone, and the texts that are stored
with them must not change.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping
from typing import Annotated

import msgspec
from msgspec import Meta

MAX_PERMITS = 500
MAX_QUEUED_PERMITS = 100
MAX_NAMED_UNAVAILABLE = 8  # unavailable targets that the facts name; the others are counted
MAX_REASON_CHARS = 200
MAX_REASON_NAMES = 5
MAX_SETTING_DIGITS = 9
SETTING_PREFIX = "out."  # the prefix of the budget settings out.node, out.node.site, out.sidecar, ...

Text = Annotated[str, Meta(max_length=128)]
UnsignedInt = Annotated[int, Meta(ge=0, le=1 << 53)]


class TargetKind(enum.StrEnum):
    """What a permit is for. The values are part of commands and of the names of settings."""

    UPSTREAM = "node"
    SIDECAR = "sidecar"


class Scope(enum.StrEnum):
    """The targets that a budget covers together. The values are the last part of a setting's name."""

    ALL = ""
    SITE = "site"
    CLASS = "class"
    CELL = "cell"


class Target(msgspec.Struct, array_like=True, frozen=True):
    """An upstream or a sidecar, with the groups whose budgets cover it."""

    name: Annotated[str, Meta(max_length=256)]
    site: Text = ""
    upstream_class: Text = ""
    cell: Text = ""  # the cell of an upstream, or the process id of a sidecar

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
    """What the leader knows about unavailable targets when it proposes a command about a permit."""

    target_kind: Annotated[str, Meta(max_length=8)]
    target: Target
    # The size of the target's group for each Scope, in the order of Scope.
    totals: tuple[UnsignedInt, UnsignedInt, UnsignedInt, UnsignedInt]
    # Other targets that are out of service for another reason than a permit.
    unavailable: Annotated[tuple[Target, ...], Meta(max_length=MAX_NAMED_UNAVAILABLE)] = ()
    unnamed_unavailable_count: UnsignedInt = 0  # further such targets that `unavailable` has no room for


class Permit(msgspec.Struct, array_like=True, frozen=True):
    """The permission for one target to be out of service."""

    index: UnsignedInt  # the log index of the command that granted it
    target_kind: str
    target: Target
    requested_by: str  # the sidecar at which the command was submitted
    id: str  # the id of the command that requested it
    started_ms: UnsignedInt  # the target's latest start at the time of the request; 0 = long ago
    requested_at_ms: UnsignedInt  # shown to operators; it decides nothing
    exceeded_budget: str = ""  # the reason for a rejection that `force` has overridden; "" = none


class QueuedPermit(msgspec.Struct, array_like=True, frozen=True):
    """A requested permit that is granted as soon as the budgets allow it."""

    permit: Permit
    facts: DisruptionFacts


class PermitState(msgspec.Struct, array_like=True):
    """All permits; a part of the replicated state."""

    granted: dict[str, Permit] = {}  # permits by `permit_key`
    queue: list[QueuedPermit] = []  # oldest first
    forced_count: int = 0  # permits that were granted beyond a budget since the fleet was created


def permit_key(target_kind: str, name: str) -> str:
    """Returns the key of a target's permit, as node:NAME or sidecar:NAME."""
    return f"{target_kind}:{name}"


def parse_limit(setting: str, total: int) -> int | None:
    """Returns how many of `total` targets a budget allows to be unavailable, or None if it is not valid.

    The setting is a count, or a percentage, which is rounded down but allows at least one target unless it
    is 0%.
    """
    stripped = setting.strip()
    number = stripped.removesuffix("%")
    if not number.isascii() or not number.isdigit() or len(number) > MAX_SETTING_DIGITS:
        return None
    if stripped.endswith("%") and int(number):
        return max(1, total * int(number) // 100)
    return int(number)


def check_budget_setting(name: str, value: str) -> str:
    """Returns what is wrong with a setting that is a budget, or "" if it is valid or no budget."""
    if not name.startswith(SETTING_PREFIX):
        return ""
    target_kind, _, scope = name.removeprefix(SETTING_PREFIX).partition(".")
    if target_kind not in list(TargetKind) or scope not in list(Scope) or name.endswith("."):
        return "expected out.node or out.sidecar, and .site, .class or .cell or nothing"
    if parse_limit(value, 100) is None:
        return "expected a count or a share, as 2 or 10%"
    return ""


def configured_budgets(settings: Mapping[str, str], target_kind: str) -> dict[Scope, str]:
    """Returns the settings of the budgets that are configured for a kind of target, by scope."""
    base = SETTING_PREFIX + target_kind
    by_scope = {scope: settings.get(f"{base}.{scope}" if scope else base, "") for scope in Scope}
    return {scope: setting for scope, setting in by_scope.items() if setting}


def find_exceeded_budget(
    state: PermitState, settings: Mapping[str, str], facts: DisruptionFacts, excluded: Iterable[str] = ()
) -> str:
    """Returns a message about the budget that one more target would exceed, or "" if there is none.

    `excluded` names the excluded upstreams. Those that are neither permitted nor in the facts have an unknown
    group, so they count in every group.
    """
    target = facts.target
    unavailable = {
        permit.target.name: permit.target
        for permit in state.granted.values()
        if permit.target_kind == facts.target_kind
    }
    unavailable |= {other.name: other for other in facts.unavailable if other.name not in unavailable}
    ungrouped: set[str] = set()
    if facts.target_kind == TargetKind.UPSTREAM:
        ungrouped = {name for name in excluded if name not in unavailable}
    unavailable.pop(target.name, None)
    ungrouped.discard(target.name)
    configured = configured_budgets(settings, facts.target_kind)
    for scope, total in zip(Scope, facts.totals, strict=True):
        if scope not in configured:
            continue
        limit = parse_limit(configured[scope], total) or 0
        names = [name for name, other in unavailable.items() if other.shares_group(target, scope)]
        names += ungrouped
        unavailable_count = len(names) + facts.unnamed_unavailable_count
        if unavailable_count + 1 > limit:
            group = f" of {scope} {target.group(scope)}" if scope else ""
            listed = ", ".join(sorted(names)[:MAX_REASON_NAMES])
            reason = f"{unavailable_count} {facts.target_kind}s{group} are out ({listed}), {limit} may be"
            return reason[:MAX_REASON_CHARS]
    return ""


class PermitOutcome(msgspec.Struct, frozen=True):
    """The answer to a request for a permit, which is granted if both fields are empty."""

    rejection: str = ""  # the reason why it was rejected
    queued: str = ""  # a message with the place in the queue and the reason for queueing


def request_permit(
    state: PermitState,
    settings: Mapping[str, str],
    permit: Permit,
    facts: DisruptionFacts | None,
    excluded: Iterable[str],
    force: bool = False,
    wait: bool = False,
) -> PermitOutcome:
    """Grants a permit, or rejects it; a permit that a budget or the queue delays is queued if `wait` is set.

    `force` grants it even if it exceeds a budget or others are queued.
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
    """Removes a target's permit or queued request, and returns the permits that this allows to grant.

    The queue of each kind of target is served in order: a request that would exceed a budget delays those
    after it, so that no request is starved.
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
        # The unavailable targets are those of this command, as they are the newer ones. The sizes of the
        # target's groups are known from the queued command alone.
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
