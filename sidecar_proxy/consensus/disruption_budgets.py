"""Places to be out: who holds one, whether one more may be given, and who is next. Pure: part of the state
that the agreed words come to, so it goes by the words alone.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Annotated

import msgspec
from msgspec import Meta

MOST_PLACES = 500
MOST_LINE = 100  # who waits
MOST_TOLD = 8  # of what is out by itself, by name; the rest is a number
WHAT = ("node", "sidecar")
SCOPES = ("", "site", "class", "cell")
BUDGET = "out."  # settings: out.node, out.node.site, out.sidecar, ...

Text = Annotated[str, Meta(max_length=128)]
Whole = Annotated[int, Meta(ge=0, le=1 << 53)]


class Member(msgspec.Struct, array_like=True, frozen=True):
    """A node or sidecar, with what it counts under."""

    name: Annotated[str, Meta(max_length=256)]
    site: Text = ""
    kind: Text = ""
    cell: Text = ""

    def under(self, scope: str) -> str:
        return {"": "", "site": self.site, "class": self.kind, "cell": self.cell}[scope]


class Facts(msgspec.Struct, array_like=True, frozen=True):
    """What the leader knows as it proposes: of whom it is about, of how many there are under each scope, and
    of those that are out without a place.
    """

    what: Annotated[str, Meta(max_length=8)]
    about: Member
    total: tuple[Whole, Whole, Whole, Whole]  # by SCOPES, where `about` is
    down: Annotated[tuple[Member, ...], Meta(max_length=MOST_TOLD)] = ()
    more: Whole = 0  # that are down too


class Place(msgspec.Struct, array_like=True, frozen=True):
    index: Whole  # since that word
    what: str
    member: Member
    by: str  # the sidecar at whose door it was asked for
    id: str
    born_ms: Whole  # of the start that goes out; 0 = long ago
    at_ms: Whole  # for people
    forced: str = ""  # what it broke


class Waiting(msgspec.Struct, array_like=True, frozen=True):
    place: Place
    facts: Facts


class Places(msgspec.Struct, array_like=True):
    """By kind and name."""

    held: dict[str, Place] = {}
    line: list[Waiting] = []
    forced: int = 0  # ever


def key_of(what: str, name: str) -> str:
    return f"{what}:{name}"


def limit(setting: str, total: int) -> int | None:
    """Of a budget's setting, where there are so many; None: it can't be read."""
    text, percent = setting.strip().removesuffix("%"), setting.strip().endswith("%")
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        return None
    return max(1, total * int(text) // 100) if percent and int(text) else int(text)


def check_budget(key: str, value: str) -> str:
    """What is wrong with a setting that is a budget; "" = nothing, or it is none."""
    if not key.startswith(BUDGET):
        return ""
    what, _, scope = key.removeprefix(BUDGET).partition(".")
    if what not in WHAT or scope not in SCOPES or key.endswith("."):
        return "expected out.node or out.sidecar, and .site, .class or .cell or nothing"
    return "" if limit(value, 100) is not None else "expected a count or a share, as 2 or 10%"


def budgets(settings: Mapping[str, str], what: str) -> dict[str, str]:
    """By scope."""
    base = BUDGET + what
    found = {scope: settings.get(f"{base}.{scope}" if scope else base, "") for scope in SCOPES}
    return {scope: value for scope, value in found.items() if value}


def over(places: Places, settings: Mapping[str, str], facts: Facts, out: Iterable[str] = ()) -> str:
    """Which budget one more would break, and who is out; "" = none. `out`: names held out without a place, of
    whom nothing more is known: they count everywhere.
    """
    about, what = facts.about, facts.what
    others = {one.member.name: one.member for one in places.held.values() if one.what == what}
    others |= {one.name: one for one in facts.down if one.name not in others}
    unknown = {name for name in out if name not in others} if what == "node" else set()
    others.pop(about.name, None)
    unknown.discard(about.name)
    for number, (scope, setting) in enumerate(
        (scope, budgets(settings, what).get(scope, "")) for scope in SCOPES
    ):
        if not setting:
            continue
        most = limit(setting, facts.total[number]) or 0
        there = [name for name, one in others.items() if one.under(scope) == about.under(scope)]
        count = len(there) + len(unknown) + facts.more
        if count + 1 > most:
            place = f" of {scope} {about.under(scope)}" if scope else ""
            names = ", ".join(sorted([*there, *unknown])[:5])
            return f"{count} {what}s{place} are out ({names}), {most} may be"[:200]
    return ""


def ask(
    places: Places,
    settings: Mapping[str, str],
    place: Place,
    facts: Facts | None,
    out: Iterable[str],
    force: bool = False,
    wait: bool = False,
) -> str:
    """One more is to be out. "" = it has its place; "queued…" = it waits for one; else why not."""
    key = key_of(place.what, place.member.name)
    held = places.held.get(key)
    if held is not None:
        return f"{held.member.name} is out already: {held.id} by {held.by}"
    if len(places.held) >= MOST_PLACES:
        return "too many places are held"
    if facts is None or facts.about.name != place.member.name or facts.what != place.what:
        return "nobody has said what is out now"
    why = over(places, settings, facts, out)
    ahead = [one for one in places.line if one.place.what == place.what]
    if force or not (why or ahead):
        places.forced += bool(why)
        places.held[key] = msgspec.structs.replace(place, member=facts.about, forced=why)
        return ""
    if not wait:
        return why or f"{len(ahead)} wait for a place before it"
    if len(places.line) >= MOST_LINE:
        return "too many are waiting"
    places.line.append(Waiting(msgspec.structs.replace(place, member=facts.about), facts))
    return f"queued, {len(ahead)} before it: {why or 'others wait'}"


def give_back(
    places: Places,
    settings: Mapping[str, str],
    what: str,
    name: str,
    facts: Facts | None,
    out: Iterable[str],
    index: int,
) -> list[Place]:
    """A place is free, or one no longer waits; returns those who get theirs now, in the line's order: who
    does not fit holds up those behind it, so that nobody waits for ever.
    """
    places.held.pop(key_of(what, name), None)
    places.line = [one for one in places.line if (one.place.what, one.place.member.name) != (what, name)]
    given = []
    while facts is not None and facts.what == what:
        first = next((one for one in places.line if one.place.what == what), None)
        if first is None:
            break
        # what is out now, as told with this word; of how many there are, as told with the first one's own
        now = Facts(what, first.place.member, first.facts.total, facts.down, facts.more)
        if over(places, settings, now, out):
            break
        places.line.remove(first)
        place = msgspec.structs.replace(first.place, index=index)
        places.held[key_of(what, place.member.name)] = place
        given.append(place)
    return given
