"""Whether what operators were told of words for the fleet can be true. It knows the contract alone, not how
it is kept: what was asked when, what was answered when, and the log that the fleet shows in the end.

A history is linearizable (Herlihy and Wing, 1990) if some order of all operations has each take effect
between its call and its answer and gives the answers that were given. `done INDEX` tells that order: it is
looked at whether it is one, which is enough and needs no search.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Said:
    """A word, or a look at what holds of a name."""

    called_us: int
    answered_us: int  # 0: never
    what: str  # done, error, unknown, no quorum, or "" for no answer
    index: int
    id: str  # "" = a look
    kind: str
    name: str
    value: str = ""  # of a look: what it was told to be held by; "" = free


@dataclass(slots=True, frozen=True)
class Logged:
    """A word of the final log."""

    id: str
    kind: str
    name: str


def judge(history: Iterable[Said], log: Mapping[int, Logged]) -> list[str]:
    """What can't be, a line each."""
    history = list(history)
    found = [*once(log), *promised(history, log), *in_order(history), *looks(history, log)]
    return found


def once(log: Mapping[int, Logged]) -> list[str]:
    seen: dict[str, int] = {}
    found = []
    for index, word in sorted(log.items()):
        if word.id in seen:
            found.append(f"{word.id} took effect twice, at {seen[word.id]} and {index}")
        seen.setdefault(word.id, index)
    return found


def promised(history: Sequence[Said], log: Mapping[int, Logged]) -> list[str]:
    """What is done is there, as it was said; what surely was not done is not."""
    found = []
    there = {word.id for word in log.values()}
    perhaps = {one.id for one in history if one.what in ("done", "unknown", "")}
    for one in history:
        if one.what == "done" and one.id and log.get(one.index) != Logged(one.id, one.kind, one.name):
            found.append(f"{one.id} was done at {one.index}, where there is {log.get(one.index)}")
        if one.what in ("no quorum", "error") and one.id in there and one.id not in perhaps:
            found.append(f"{one.id} was answered {one.what} each time, and is in the log")
    return found


def in_order(history: Sequence[Said]) -> list[str]:
    """Whatever was answered before another was first called comes before it."""
    found = []
    first: dict[str, int] = {}
    for one in history:
        if one.id:
            first[one.id] = min(one.called_us, first.get(one.id, one.called_us))
    done = [one for one in history if one.what == "done"]
    ends = sorted((one.answered_us, one.index, one.id) for one in done)
    highest, at = (0, ""), 0
    # a repeat takes effect when the word first did: it counts from its first call
    for one in sorted(done, key=lambda one: first.get(one.id, one.called_us)):
        called = first.get(one.id, one.called_us)
        while at < len(ends) and ends[at][0] < called:
            highest = max(highest, (ends[at][1], ends[at][2]))
            at += 1
        if one.index < highest[0] or (
            one.id and one.index == highest[0] and one.id != highest[1] and highest[1]
        ):
            found.append(
                f"{one.id or 'a look'} at {one.index} was called after {highest[1] or 'a look'} at "
                f"{highest[0]} had been answered"
            )
    return found


def looks(history: Sequence[Said], log: Mapping[int, Logged]) -> list[str]:
    """Each look tells what the words up to its index come to."""
    found = []
    for one in history:
        if one.id or one.what != "done":
            continue
        value = ""
        for index, word in sorted(log.items()):
            if index <= one.index and word.name == one.name:
                if word.kind == "resume":
                    value = ""
                elif word.kind == "suspend" or value != "suspend":
                    value = word.kind
        if value != one.value:
            found.append(f"a look at {one.name} up to {one.index} told {one.value!r}; it was {value!r}")
    return found
