"""Breadth-first search over the states of a model: each is visited once, the shortest story to a breach told.

Explicit-state model checking as in Murphi or TLC; a model says what its states are, what may happen, and what
has to hold. Pure.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

State = TypeVar("State")


class Model(Protocol[State]):
    def first(self) -> State: ...

    def steps(self, state: State) -> Iterable[tuple[str, State]]:
        """What may happen next: its name, and what comes of it. The state itself stays as it is."""

    def key(self, state: State) -> Hashable:
        """The same for states that need not both be looked at."""

    def breach(self, state: State) -> str:
        """What does not hold there; "" if all does."""


@dataclass(slots=True)
class Found:
    """What a search has seen."""

    states: int = 0
    steps: int = 0
    depth: int = 0
    whole: bool = False  # every state within the model's bounds was visited
    breach: str = ""
    story: list[str] = field(default_factory=list)  # the steps that lead there

    def __str__(self) -> str:
        text = f"{self.states} states, {self.steps} steps, {self.depth} deep, " + (
            "all of them" if self.whole else "not all"
        )
        if self.breach:
            story = [f"  {number}. {step}" for number, step in enumerate(self.story, 1)]
            text += "\n".join(["", f"  {self.breach}", *story])
        return text


@dataclass(slots=True)
class Node(Generic[State]):
    state: State
    before: Node[State] | None
    step: str
    depth: int


def search(model: Model[State], most: int = 1_000_000) -> Found:
    """At most so many states."""
    first = Node(model.first(), None, "", 0)
    found, seen = Found(states=1), {model.key(first.state)}
    queue = deque([first])
    while queue:
        node = queue.popleft()
        found.depth = node.depth
        for step, state in model.steps(node.state):
            found.steps += 1
            key = model.key(state)
            if key in seen:
                continue
            seen.add(key)
            found.states += 1
            after = Node(state, node, step, node.depth + 1)
            found.breach = model.breach(state)
            if found.breach:
                found.story = told(after)
                return found
            if found.states >= most:
                return found
            queue.append(after)
    found.whole = True
    return found


def told(node: Node[State]) -> list[str]:
    steps: list[str] = []
    at: Node[State] | None = node
    while at is not None and at.before is not None:
        steps.append(at.step)
        at = at.before
    return steps[::-1]
