"""The commands for the whole fleet, and the replicated state that they produce.

Every sidecar applies the same entries in the same order and arrives at the same state (the state machine of
Ongaro's thesis, 2.1). A command carries an id that the operator chose, so a repeated command is recognized.
A command whose kind this version does not know, or that can't be decoded at all, is stored unchanged for a
version that knows it: it was committed, and no sidecar may arrive at a different state because of it. For the
same reason the texts of results, which are stored in the state, must not change.
"""

from __future__ import annotations

import enum
import hashlib
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from sidecar_proxy.consensus import disruption_budgets
from sidecar_proxy.consensus.disruption_budgets import (
    DisruptionFacts,
    Permit,
    PermitState,
    Target,
    TargetKind,
)
from sidecar_proxy.consensus.errors import CommandError
from sidecar_proxy.consensus.messages import MAX_ENTRY_DATA_BYTES, MAX_SNAPSHOT_BYTES, Entry
from sidecar_proxy.gossip import codec


class CommandKind(enum.StrEnum):
    """The kinds of commands. The values are stored in the log."""

    SUSPEND = "suspend"  # excludes an upstream from new requests until it is resumed
    DRAIN = "drain"  # excludes an upstream from new requests until it is restarted
    RESUME = "resume"  # ends the suspension or drain of an upstream
    SET = "set"  # changes a setting
    UNSET = "unset"  # removes a setting
    PERMIT = "permit"  # requests a disruption permit for a target, named node:NAME or sidecar:NAME
    RETURN = "return"  # returns the disruption permit of a target


KNOWN_KINDS: tuple[str, ...] = tuple(CommandKind)
KINDS_WITH_FACTS = (
    CommandKind.SUSPEND,
    CommandKind.DRAIN,
    CommandKind.RESUME,
    CommandKind.PERMIT,
    CommandKind.RETURN,
)
FORCE, WAIT = "force", "wait"  # the values of a command that needs a permit: exceed the budget, or queue
MAX_ID_CHARS = 64
MAX_NAME_CHARS = 256
MAX_SETTING_NAME_CHARS = 64
MAX_VALUE_CHARS = 512
MAX_EXCLUDED = 2000
MAX_SETTINGS = 200
MAX_RESULTS = 2048  # stored results; a command whose result was dropped is executed again if it is repeated
MAX_UNKNOWN_COMMANDS = 256
MAX_RECENT_COMMANDS = 256  # commands that `fleet log` shows

CommandId = Annotated[str, Meta(min_length=1, max_length=MAX_ID_CHARS)]
UnsignedInt = Annotated[int, Meta(ge=0, le=1 << 53)]


class ReplicatedCommand(msgspec.Struct, array_like=True, frozen=True):
    """A command from an operator. Later versions may add fields at the end."""

    kind: Annotated[str, Meta(max_length=32)]
    id: CommandId
    submitted_by: Annotated[str, Meta(max_length=MAX_ID_CHARS)]  # the sidecar at which it was submitted
    # The submission time by the wall clock of that sidecar; it is shown to operators and decides nothing.
    submitted_at_ms: UnsignedInt
    # The name of an upstream or a setting, or the key of a permit's target: node:NAME or sidecar:NAME.
    name: Annotated[str, Meta(max_length=MAX_NAME_CHARS)] = ""
    # The upstream's latest start when the command was submitted: a drain or permit ends with a later start.
    # 0 stands for a start long ago.
    started_ms: UnsignedInt = 0
    value: Annotated[str, Meta(max_length=MAX_VALUE_CHARS)] = ""
    facts: DisruptionFacts | None = None  # added by the leader when it proposes the command


class ExcludedUpstream(msgspec.Struct, array_like=True, frozen=True):
    """An upstream that is excluded from new requests."""

    index: UnsignedInt  # the log index of the command that excluded it
    kind: str  # the kind of that command, "suspend" or "drain"
    started_ms: UnsignedInt  # a drain ends with a start of the upstream after this one; 0 for a suspension


class Setting(msgspec.Struct, array_like=True, frozen=True):
    """The value of a setting."""

    index: UnsignedInt  # the log index of the command that set it
    value: str


class CommandResult(msgspec.Struct, array_like=True, frozen=True):
    """The stored result of a command, which is returned again when the command is repeated."""

    index: UnsignedInt
    digest: bytes  # identifies the command's content: see `command_digest`
    error: str
    text: str = ""


class ReplicatedState(msgspec.Struct, array_like=True):
    """The state after all commands up to `index` were applied; it is the content of a snapshot."""

    fleet_id: str = ""  # a random id that is chosen when the fleet is created
    index: int = 0
    excluded: dict[str, ExcludedUpstream] = {}
    settings: dict[str, Setting] = {}
    results: dict[str, CommandResult] = {}  # results by command id, oldest first
    recent_commands: list[tuple[int, ReplicatedCommand]] = []
    unknown_commands: list[tuple[int, bytes]] = []
    permits: PermitState = msgspec.field(default_factory=PermitState)


class ApplyResult(msgspec.Struct, frozen=True):
    """The result of applying an entry: an error, or a success with optional information in `text`.

    For a repeated command, `index` and the texts are those of its first execution.
    """

    index: int
    error: str = ""
    text: str = ""


class CommandOutcome(msgspec.Struct, frozen=True):
    """The outcome of executing a command: an error, or a success with optional information in `text`."""

    error: str = ""
    text: str = ""


command_decoder = msgspec.msgpack.Decoder(ReplicatedCommand)
state_decoder = msgspec.msgpack.Decoder(ReplicatedState)
encode = msgspec.msgpack.Encoder(order=None).encode


def encode_command(command: ReplicatedCommand) -> bytes:
    """Validates a command and returns it encoded as the data of an entry. Raises CommandError."""
    check_command(command)
    data = encode(command)
    if len(data) > MAX_ENTRY_DATA_BYTES:
        raise CommandError("too long")
    return data


def encode_command_with_facts(command: ReplicatedCommand) -> bytes:
    """Returns a command with its facts encoded as the data of an entry.

    If the data would be too long for an entry, the last unavailable targets are counted instead of named; if
    that is not enough, the facts are left out.
    """
    data = encode(command)
    while len(data) > MAX_ENTRY_DATA_BYTES and command.facts is not None and command.facts.unavailable:
        facts = msgspec.structs.replace(
            command.facts,
            unavailable=command.facts.unavailable[:-1],
            unnamed_unavailable_count=command.facts.unnamed_unavailable_count + 1,
        )
        command = msgspec.structs.replace(command, facts=facts)
        data = encode(command)
    if len(data) > MAX_ENTRY_DATA_BYTES:
        return encode(msgspec.structs.replace(command, facts=None))
    return data


def check_command(command: ReplicatedCommand) -> None:
    """Validates a command before it is submitted. Raises CommandError."""
    _check_texts(command)
    if command.kind not in KNOWN_KINDS:
        raise CommandError(f"expected one of {', '.join(KNOWN_KINDS)}")
    if not command.id or " " in command.id:
        raise CommandError("expected an id without spaces")
    has_target_key = command.kind in (CommandKind.PERMIT, CommandKind.RETURN)
    if has_target_key and command.name.partition(":")[0] not in list(TargetKind):
        raise CommandError("expected node:NAME or sidecar:NAME")
    may_take_permit = command.kind in (CommandKind.SUSPEND, CommandKind.DRAIN, CommandKind.PERMIT)
    if may_take_permit and command.value not in ("", FORCE, WAIT):
        raise CommandError(f"expected {FORCE}, {WAIT} or nothing")
    if command.kind == CommandKind.SET:
        problem = disruption_budgets.check_budget_setting(command.name, command.value)
        if problem:
            raise CommandError(problem)
    is_setting = command.kind in (CommandKind.SET, CommandKind.UNSET)
    if not command.name or (is_setting and len(command.name) > MAX_SETTING_NAME_CHARS):
        raise CommandError("expected a name")


def _check_texts(command: ReplicatedCommand) -> None:
    for field, text, max_chars in (
        ("id", command.id, MAX_ID_CHARS),
        ("name", command.name, MAX_NAME_CHARS),
        ("value", command.value, MAX_VALUE_CHARS),
        ("sidecar", command.submitted_by, MAX_ID_CHARS),
    ):
        if len(text) > max_chars or not text.isprintable():
            raise CommandError(f"{field}: expected at most {max_chars} printable characters")


def decode_command(data: bytes) -> ReplicatedCommand | None:
    """Returns the command in an entry's data, or None if this version does not know it."""
    try:
        command = codec.decode(command_decoder, data)
    except codec.CodecError:
        return None
    return command if command.kind in KNOWN_KINDS else None


def command_digest(command: ReplicatedCommand) -> bytes:
    """Returns the digest of a command's kind, name and value, by which a repeated command is recognized.

    The other fields may differ: the command may be repeated at another sidecar, later, or after a restart.
    """
    return hashlib.blake2b(encode([command.kind, command.name, command.value]), digest_size=16).digest()


def decode_state(data: bytes) -> ReplicatedState:
    """Returns the state encoded in a snapshot's data, or an empty state for no data. Raises CommandError."""
    if not data:
        return ReplicatedState()
    try:
        return codec.decode(state_decoder, data)
    except codec.CodecError as error:
        raise CommandError(f"the state in a snapshot can't be decoded: {error}") from error


def encode_state(state: ReplicatedState) -> bytes:
    """Returns the state encoded as the data of a snapshot. Its size is bounded, as each part of it is."""
    data = encode(state)
    assert len(data) <= MAX_SNAPSHOT_BYTES
    return data


def initial_snapshot_data(fleet_id: str) -> bytes:
    """Returns the data of the first snapshot of a fleet."""
    return encode_state(ReplicatedState(fleet_id=fleet_id, index=1))


def apply(state: ReplicatedState, entry: Entry) -> ApplyResult:
    """Applies the next committed entry to the state and returns the result."""
    assert entry.index == state.index + 1
    state.index = entry.index
    if entry.voters is not None or not entry.data:
        return ApplyResult(entry.index)
    command = decode_command(entry.data)
    if command is None:
        state.unknown_commands.append((entry.index, entry.data))
        del state.unknown_commands[:-MAX_UNKNOWN_COMMANDS]
        return ApplyResult(entry.index, "of a kind that this version does not know")
    earlier_result = state.results.get(command.id)
    if earlier_result is not None:
        if earlier_result.digest != command_digest(command):
            return ApplyResult(earlier_result.index, "that id was used for another word")
        return ApplyResult(earlier_result.index, earlier_result.error, earlier_result.text)
    outcome = _execute(state, command, entry.index)
    state.results[command.id] = CommandResult(
        entry.index, command_digest(command), outcome.error, outcome.text
    )
    if len(state.results) > MAX_RESULTS:
        del state.results[next(iter(state.results))]
    if not outcome.error:
        state.recent_commands.append((entry.index, command))
        del state.recent_commands[:-MAX_RECENT_COMMANDS]
    return ApplyResult(entry.index, outcome.error, outcome.text)


def _execute(state: ReplicatedState, command: ReplicatedCommand, index: int) -> CommandOutcome:
    if command.kind in (CommandKind.SUSPEND, CommandKind.DRAIN):
        return _exclude(state, command, index)
    if command.kind == CommandKind.PERMIT:
        return _request_permit(state, command, index)
    if command.kind == CommandKind.RESUME:
        state.excluded.pop(command.name, None)
        return _return_permit(state, command, TargetKind.UPSTREAM, command.name, index)
    if command.kind == CommandKind.RETURN:
        return _return_named_permit(state, command, index)
    return _change_setting(state, command, index)


def _change_setting(state: ReplicatedState, command: ReplicatedCommand, index: int) -> CommandOutcome:
    if command.kind != CommandKind.SET:
        state.settings.pop(command.name, None)
        return CommandOutcome()
    if command.name not in state.settings and len(state.settings) >= MAX_SETTINGS:
        return CommandOutcome("too many settings")
    state.settings[command.name] = Setting(index, command.value)
    return CommandOutcome()


def settings_of(state: ReplicatedState) -> dict[str, str]:
    """Returns the values of all settings by name, including the disruption budgets."""
    return {name: setting.value for name, setting in state.settings.items()}


def _create_permit(command: ReplicatedCommand, target_kind: str, name: str, index: int) -> Permit:
    return Permit(
        index,
        target_kind,
        Target(name),
        command.submitted_by,
        command.id,
        command.started_ms,
        command.submitted_at_ms,
    )


def _exclude(state: ReplicatedState, command: ReplicatedCommand, index: int) -> CommandOutcome:
    """Excludes an upstream, which needs a permit if there are budgets and it is not excluded already."""
    excluded = state.excluded.get(command.name)
    if excluded is None and len(state.excluded) >= MAX_EXCLUDED:
        return CommandOutcome("too many are held")
    settings = settings_of(state)
    key = disruption_budgets.permit_key(TargetKind.UPSTREAM, command.name)
    has_budgets = bool(disruption_budgets.configured_budgets(settings, TargetKind.UPSTREAM))
    if has_budgets and excluded is None and key not in state.permits.granted:
        outcome = disruption_budgets.request_permit(
            state.permits,
            settings,
            _create_permit(command, TargetKind.UPSTREAM, command.name, index),
            command.facts,
            state.excluded,
            force=command.value == FORCE,
        )
        if outcome.rejection:
            return CommandOutcome(outcome.rejection)
    # A drain does not replace a suspension: it would end at the upstream's next start, but a suspension must
    # last until the upstream is resumed.
    if excluded is None or excluded.kind != CommandKind.SUSPEND:
        started_ms = command.started_ms if command.kind == CommandKind.DRAIN else 0
        state.excluded[command.name] = ExcludedUpstream(index, command.kind, started_ms)
    return CommandOutcome()


def _request_permit(state: ReplicatedState, command: ReplicatedCommand, index: int) -> CommandOutcome:
    target_kind, _, name = command.name.partition(":")
    settings = settings_of(state)
    if not disruption_budgets.configured_budgets(settings, target_kind):
        return CommandOutcome(f"there is no budget of {target_kind}s (set out.{target_kind})")
    outcome = disruption_budgets.request_permit(
        state.permits,
        settings,
        _create_permit(command, target_kind, name, index),
        command.facts,
        state.excluded,
        force=command.value == FORCE,
        wait=command.value == WAIT,
    )
    text = outcome.rejection or outcome.queued
    # Earlier versions recognize a queued request by its text. The text of a rejection may begin with the name
    # of the target, so a rejected target whose name begins with "queued" counts as queued. This version does
    # the same, as all versions must arrive at the same state.
    return CommandOutcome(text=text) if text.startswith("queued") else CommandOutcome(error=text)


def _return_named_permit(state: ReplicatedState, command: ReplicatedCommand, index: int) -> CommandOutcome:
    target_kind, name = command.name.split(":", 1)
    is_granted = disruption_budgets.permit_key(target_kind, name) in state.permits.granted
    if not is_granted and not any(queued.permit.target.name == name for queued in state.permits.queue):
        return CommandOutcome("it holds no place and waits for none")
    if target_kind == TargetKind.UPSTREAM and name in state.excluded:
        return CommandOutcome("it is held out: resume it")
    return _return_permit(state, command, target_kind, name, index)


def _return_permit(
    state: ReplicatedState, command: ReplicatedCommand, target_kind: str, name: str, index: int
) -> CommandOutcome:
    granted = disruption_budgets.return_permit(
        state.permits, settings_of(state), target_kind, name, command.facts, state.excluded, index
    )
    if not granted:
        return CommandOutcome()
    return CommandOutcome(text=f"places given to {', '.join(permit.target.name for permit in granted)}")


def describe_state(state: ReplicatedState) -> dict[str, Any]:
    """Returns the state in the form of the answer to `FLEET WORDS`, which `fleet words` shows."""
    return {
        "fleet": state.fleet_id,
        "index": state.index,
        "held": {
            name: {"kind": excluded.kind, "index": excluded.index, "born_ms": excluded.started_ms}
            for name, excluded in sorted(state.excluded.items())
        },
        "settings": {
            name: {"value": setting.value, "index": setting.index}
            for name, setting in sorted(state.settings.items())
        },
        "unread": [index for index, _ in state.unknown_commands],
        "places": [_describe_permit(permit) for permit in state.permits.granted.values()],
        "line": [queued.permit.target.name for queued in state.permits.queue],
        "forced": state.permits.forced_count,
    }


def _describe_permit(permit: Permit) -> dict[str, Any]:
    return {
        "what": permit.target_kind,
        "name": permit.target.name,
        "index": permit.index,
        "by": permit.requested_by,
        "id": permit.id,
        "at_ms": permit.requested_at_ms,
        "forced": permit.exceeded_budget,
    }


def describe_recent_commands(state: ReplicatedState) -> list[dict[str, Any]]:
    """Returns the latest commands in the form of the answer to `FLEET LOG`, oldest first."""
    return [
        {
            "index": index,
            "kind": command.kind,
            "id": command.id,
            "by": command.submitted_by,
            "at_ms": command.submitted_at_ms,
            "name": command.name,
            "value": command.value,
        }
        for index, command in state.recent_commands
    ]
