"""The words that are one for the fleet, and the state that they come to. Pure: each sidecar applies the same
entries in the same order and comes to the same state (state machine, thesis 2.1).

A word carries an id of the operator's, so that a repeat is one word. A kind of word that this version does
not know is kept as it came, in its place, for a version that does; so is one that can't be read at all: it
was committed, and no sidecar may come to another state for it.
"""

from __future__ import annotations

import hashlib
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from sidecar_proxy.consensus import disruption_budgets as permits
from sidecar_proxy.consensus.messages import MOST_DATA, MOST_SNAPSHOT, Entry
from sidecar_proxy.gossip import codec

SUSPEND, DRAIN, RESUME, SET, UNSET = "suspend", "drain", "resume", "set", "unset"
PERMIT, RETURN = "permit", "return"  # of a node or sidecar, as node:NAME
KINDS = (SUSPEND, DRAIN, RESUME, SET, UNSET, PERMIT, RETURN)
NEEDS_FACTS = (SUSPEND, DRAIN, RESUME, PERMIT, RETURN)  # what the leader adds to
FORCE, WAIT = "force", "wait"  # a word's value
MOST_ID, MOST_NAME, MOST_KEY, MOST_VALUE = 64, 256, 64, 512  # characters
MOST_HELD = 2000  # upstreams held at a time
MOST_SETTINGS = 200
MOST_SAID = 2048  # ids that are remembered; an older one said again is a new word
MOST_UNREAD = 256
LATEST = 256  # words shown by `fleet log`

Id = Annotated[str, Meta(min_length=1, max_length=MOST_ID)]
Whole = Annotated[int, Meta(ge=0, le=1 << 53)]


class ReplicatedCommand(msgspec.Struct, array_like=True, frozen=True):
    """What an operator says. Later versions may have more fields."""

    kind: Annotated[str, Meta(max_length=32)]
    id: Id
    by: Annotated[str, Meta(max_length=MOST_ID)]  # the sidecar at whose door it was said
    at_ms: Whole  # by that one's wall clock; for people alone
    name: Annotated[str, Meta(max_length=MOST_NAME)] = ""  # an upstream, or a setting
    born_ms: Whole = 0  # drain: of that start of it and no later one; 0 = long ago
    value: Annotated[str, Meta(max_length=MOST_VALUE)] = ""
    facts: permits.Facts | None = None  # the leader's


class Held(msgspec.Struct, array_like=True, frozen=True):
    """An upstream to which nothing new is sent."""

    index: Whole  # since that entry
    kind: str
    born_ms: Whole


class Setting(msgspec.Struct, array_like=True, frozen=True):
    index: Whole
    value: str


class Once(msgspec.Struct, array_like=True, frozen=True):
    """A word that was said, for who says it again."""

    index: Whole
    content: bytes  # a digest of its kind, name and value
    error: str
    text: str = ""


class ReplicatedState(msgspec.Struct, array_like=True):
    """All that the words up to `index` come to; the snapshot's form."""

    fleet: str = ""  # drawn when it was begun
    index: int = 0
    held: dict[str, Held] = {}
    settings: dict[str, Setting] = {}
    said: dict[str, Once] = {}  # by id, the oldest first
    latest: list[tuple[int, ReplicatedCommand]] = []
    unread: list[tuple[int, bytes]] = []
    places: permits.Places = msgspec.field(default_factory=permits.Places)


class CommandError(ValueError):
    """It can't be said; one line."""


class Outcome(msgspec.Struct, frozen=True):
    """What a word came to. `text`: of one that was taken, what else is to be said."""

    index: int
    error: str = ""
    text: str = ""


word_decoder = msgspec.msgpack.Decoder(ReplicatedCommand)
state_decoder = msgspec.msgpack.Decoder(ReplicatedState)
encode = msgspec.msgpack.Encoder(order=None).encode


def encoded(word: ReplicatedCommand) -> bytes:
    """As an entry's data. Raises WordError."""
    check(word)
    data = encode(word)
    if len(data) > MOST_DATA:
        raise CommandError("too long")
    return data


def fitting(word: ReplicatedCommand) -> bytes:
    """As an entry's data; what does not fit of the facts becomes a number."""
    data = encode(word)
    while len(data) > MOST_DATA and word.facts is not None and word.facts.down:
        facts = msgspec.structs.replace(word.facts, down=word.facts.down[:-1], more=word.facts.more + 1)
        word = msgspec.structs.replace(word, facts=facts)
        data = encode(word)
    return data if len(data) <= MOST_DATA else encode(msgspec.structs.replace(word, facts=None))


def check(word: ReplicatedCommand) -> None:
    """Raises WordError."""
    for what, text, most in (
        ("id", word.id, MOST_ID),
        ("name", word.name, MOST_NAME),
        ("value", word.value, MOST_VALUE),
        ("sidecar", word.by, MOST_ID),
    ):
        if len(text) > most or not text.isprintable():
            raise CommandError(f"{what}: expected at most {most} printable characters")
    if word.kind not in KINDS:
        raise CommandError(f"expected one of {', '.join(KINDS)}")
    if not word.id or " " in word.id:
        raise CommandError("expected an id without spaces")
    if word.kind in (PERMIT, RETURN) and word.name.partition(":")[0] not in permits.WHAT:
        raise CommandError("expected node:NAME or sidecar:NAME")
    if word.kind in (SUSPEND, DRAIN, PERMIT) and word.value not in ("", FORCE, WAIT):
        raise CommandError(f"expected {FORCE}, {WAIT} or nothing")
    if word.kind == SET and (wrong := permits.check_budget(word.name, word.value)):
        raise CommandError(wrong)
    if not word.name or (word.kind in (SET, UNSET) and len(word.name) > MOST_KEY):
        raise CommandError("expected a name")


def decode(data: bytes) -> ReplicatedCommand | None:
    """None: of another version."""
    try:
        word = codec.read(word_decoder, data)
    except codec.CodecError:
        return None
    return word if word.kind in KINDS else None


def content(word: ReplicatedCommand) -> bytes:
    """What makes two words the same; a repeat may come by another door, later, after a restart there."""
    return hashlib.blake2b(encode([word.kind, word.name, word.value]), digest_size=16).digest()


def restored(data: bytes) -> ReplicatedState:
    """From a snapshot's data; empty: nothing was ever said. Raises WordError."""
    if not data:
        return ReplicatedState()
    try:
        return codec.read(state_decoder, data)
    except codec.CodecError as error:
        raise CommandError(f"a snapshot that can't be read: {error}") from error


def kept(state: ReplicatedState) -> bytes:
    """The snapshot's data. It is bounded: all in it is."""
    data = encode(state)
    assert len(data) <= MOST_SNAPSHOT
    return data


def begun(fleet: str) -> bytes:
    """The first snapshot of a fleet."""
    return kept(ReplicatedState(fleet=fleet, index=1))


def apply(state: ReplicatedState, entry: Entry) -> Outcome:
    """The next committed entry."""
    assert entry.index == state.index + 1
    state.index = entry.index
    if entry.voters is not None or not entry.data:
        return Outcome(entry.index)
    word = decode(entry.data)
    if word is None:
        state.unread.append((entry.index, entry.data))
        del state.unread[:-MOST_UNREAD]
        return Outcome(entry.index, "of a kind that this version does not know")
    before = state.said.get(word.id)
    if before is not None:
        if before.content != content(word):
            return Outcome(before.index, "that id was used for another word")
        return Outcome(before.index, before.error, before.text)
    error, text = say(state, word, entry.index)
    state.said[word.id] = Once(entry.index, content(word), error, text)
    if len(state.said) > MOST_SAID:
        del state.said[next(iter(state.said))]
    if not error:
        state.latest.append((entry.index, word))
        del state.latest[:-LATEST]
    return Outcome(entry.index, error, text)


def say(state: ReplicatedState, word: ReplicatedCommand, index: int) -> tuple[str, str]:
    """What is wrong with it, "" = it holds; and what else is to be said."""
    if word.kind in (SUSPEND, DRAIN):
        return hold(state, word, index), ""
    if word.kind == PERMIT:
        return permit(state, word, index)
    if word.kind in (RESUME, RETURN):
        what, name = ("node", word.name) if word.kind == RESUME else word.name.split(":", 1)
        if word.kind == RESUME:
            state.held.pop(name, None)
        elif permits.key_of(what, name) not in state.places.held and not any(
            one.place.member.name == name for one in state.places.line
        ):
            return "it holds no place and waits for none", ""
        elif what == "node" and name in state.held:
            return "it is held out: resume it", ""
        given = permits.give_back(state.places, limits(state), what, name, word.facts, state.held, index)
        return "", f"places given to {', '.join(one.member.name for one in given)}" if given else ""
    if word.kind == SET:
        if word.name not in state.settings and len(state.settings) >= MOST_SETTINGS:
            return "too many settings", ""
        state.settings[word.name] = Setting(index, word.value)
    else:
        state.settings.pop(word.name, None)
    return "", ""


def limits(state: ReplicatedState) -> dict[str, str]:
    """The budgets, and all other settings."""
    return {name: one.value for name, one in state.settings.items()}


def place(word: ReplicatedCommand, what: str, name: str, index: int) -> permits.Place:
    return permits.Place(index, what, permits.Member(name), word.by, word.id, word.born_ms, word.at_ms)


def hold(state: ReplicatedState, word: ReplicatedCommand, index: int) -> str:
    """Nothing new is sent to an upstream: it takes a place, where there are budgets, unless it has one."""
    held = state.held.get(word.name)
    if held is None and len(state.held) >= MOST_HELD:
        return "too many are held"
    if (
        permits.budgets(limits(state), "node")
        and held is None
        and (permits.key_of("node", word.name) not in state.places.held)
    ):
        why = permits.ask(
            state.places,
            limits(state),
            place(word, "node", word.name, index),
            word.facts,
            state.held,
            word.value == FORCE,
        )
        if why:
            return why
    if held is None or held.kind != SUSPEND:  # hazard: a drain ends by itself, a suspension must not
        state.held[word.name] = Held(index, word.kind, word.born_ms if word.kind == DRAIN else 0)
    return ""


def permit(state: ReplicatedState, word: ReplicatedCommand, index: int) -> tuple[str, str]:
    what, _, name = word.name.partition(":")
    if not permits.budgets(limits(state), what):
        return f"there is no budget of {what}s (set out.{what})", ""
    why = permits.ask(
        state.places,
        limits(state),
        place(word, what, name, index),
        word.facts,
        state.held,
        word.value == FORCE,
        word.value == WAIT,
    )
    return ("", why) if why.startswith("queued") else (why, "")


def shown(state: ReplicatedState) -> dict[str, Any]:
    """For people."""
    return {
        "fleet": state.fleet,
        "index": state.index,
        "held": {
            name: {"kind": one.kind, "index": one.index, "born_ms": one.born_ms}
            for name, one in sorted(state.held.items())
        },
        "settings": {
            name: {"value": one.value, "index": one.index} for name, one in sorted(state.settings.items())
        },
        "unread": [index for index, _ in state.unread],
        "places": [
            {
                "what": one.what,
                "name": one.member.name,
                "index": one.index,
                "by": one.by,
                "id": one.id,
                "at_ms": one.at_ms,
                "forced": one.forced,
            }
            for one in state.places.held.values()
        ],
        "line": [one.place.member.name for one in state.places.line],
        "forced": state.places.forced,
    }


def log(state: ReplicatedState) -> list[dict[str, Any]]:
    """The latest words, oldest first."""
    return [
        {
            "index": index,
            "kind": word.kind,
            "id": word.id,
            "by": word.by,
            "at_ms": word.at_ms,
            "name": word.name,
            "value": word.value,
        }
        for index, word in state.latest
    ]
