"""Ordered collections for the index of the fleet: a sorted multiset in blocks, and a shelf of seats that
draws by weight. Pure data structures: no clock, no I/O; chance is a `random.Random` that is handed in.

Costs, n items: `Shelf.refresh`, `put`, `drop` and a draw O(log n) expected; `Sorted` one search and one
shift inside a block of at most `BLOCK` items, and a step for each block where a rank is asked for.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_left, insort
from collections.abc import Container, Iterator
from typing import Any, Generic, TypeVar

T = TypeVar("T")
V = TypeVar("V", bound=Any)

BLOCK = 512  # items: a shift inside one costs less than the search for it
TRIES = 16  # draws by rejection, and a root of n more, before the few that fit are listed
ANY = math.inf  # as `most`: however much it fails
MIXER = 0x9E3779B97F4A7C15  # odd and without pattern


class Sorted(Generic[V]):
    """A sorted multiset of comparable values."""

    def __init__(self) -> None:
        self.blocks: list[list[V]] = []
        self.tops: list[V] = []  # the last value of each block
        self.size = 0

    def __len__(self) -> int:
        return self.size

    def add(self, value: V) -> None:
        self.size += 1
        if not self.blocks:
            self.blocks, self.tops = [[value]], [value]
            return
        index = min(bisect_left(self.tops, value), len(self.blocks) - 1)
        block = self.blocks[index]
        insort(block, value)
        if len(block) > BLOCK:
            half = len(block) // 2
            self.blocks[index : index + 1] = [block[:half], block[half:]]
            self.tops[index : index + 1] = [block[half - 1], block[-1]]
        else:
            self.tops[index] = block[-1]

    def remove(self, value: V) -> None:
        """Take one out; ValueError if it is not there."""
        index = bisect_left(self.tops, value)
        block = self.blocks[index] if index < len(self.blocks) else []
        at = bisect_left(block, value)
        if at == len(block) or block[at] != value:
            raise ValueError(f"{value!r} is not in it")
        del block[at]
        self.size -= 1
        if block:
            self.tops[index] = block[-1]
        else:
            del self.blocks[index], self.tops[index]

    def at(self, rank: int) -> V:
        """The value with `rank` values before it, 0 <= rank < len."""
        for block in self.blocks:
            if rank < len(block):
                return block[rank]
            rank -= len(block)
        raise IndexError("beyond the last value")

    def round_from(self, rank: int) -> Iterator[V]:
        """All values once, beginning at a rank and going on from the first after the last."""
        if not self.blocks:
            return
        index, at = 0, rank
        while index < len(self.blocks) and at >= len(self.blocks[index]):
            at -= len(self.blocks[index])
            index += 1
        if index == len(self.blocks):
            index, at = 0, 0
        for number in range(len(self.blocks) + 1):
            block = self.blocks[(index + number) % len(self.blocks)]
            start = at if number == 0 else 0
            yield from block[start:at] if number == len(self.blocks) else block[start:]


class Seat(Generic[T]):
    """One item's place in the order of a shelf, and the sums of the subtree below it."""

    __slots__ = (
        "count",
        "failing",
        "item",
        "key",
        "least",
        "left",
        "mass",
        "near",
        "near_least",
        "nears",
        "open",
        "priority",
        "right",
        "total",
        "up",
    )

    def __init__(self, item: T, key: tuple[float, int], priority: int) -> None:
        self.item = item
        self.key = key
        self.priority = priority  # the treap's: a parent's is above its children's
        self.open = 0  # 1 = it can be drawn
        self.mass = self.near = 0.0  # its weight, and the same again where it is preferred, else 0
        self.failing = ANY
        self.left = self.right = self.up = NOBODY
        self.count = 0  # open seats
        self.total = self.nears = 0.0
        self.least = self.near_least = ANY  # the smallest failing share of those that are open (and near)

    def pull(self) -> None:
        """The sums anew from the children's: never by differences, so that no rounding piles up."""
        left, right = self.left, self.right
        self.count = left.count + self.open + right.count
        self.total = left.total + self.mass + right.total
        self.nears = left.nears + self.near + right.nears
        self.least = min(left.least, right.least, self.failing if self.open else ANY)
        self.near_least = min(left.near_least, right.near_least, self.failing if self.near else ANY)


NOBODY: Any = None
NOBODY = Seat[Any](None, (0.0, 0), -1)


class OrderedIndex(Generic[T]):
    """Items in the order of their keys, some of them open. A treap: its shape hangs on the items' numbers
    alone, so the same items give the same draws.
    """

    def __init__(self) -> None:
        self.root: Seat[T] = NOBODY
        self.size = 0

    def __len__(self) -> int:
        return self.size

    def put(self, item: T, key: float, number: int) -> Seat[T]:
        """A new seat. Of equal keys the smaller number comes first; numbers are different."""
        self.size += 1
        seat = Seat(item, (key, number), (number * MIXER ^ number >> 7) * MIXER >> 8 & 0xFFFFFFFFFFFF)
        if self.root is NOBODY:
            self.root = seat
            return seat
        at = self.root
        while True:
            below = at.left if seat.key < at.key else at.right
            if below is NOBODY:
                break
            at = below
        if seat.key < at.key:
            at.left = seat
        else:
            at.right = seat
        seat.up = at
        while seat.up is not NOBODY and seat.up.priority < seat.priority:
            self.lift(seat)
        return seat

    def drop(self, seat: Seat[T]) -> None:
        self.size -= 1
        while seat.left is not NOBODY or seat.right is not NOBODY:
            left, right = seat.left, seat.right
            self.lift(left if left.priority > right.priority else right)
        above = seat.up
        self.hang(above, seat, NOBODY)
        seat.up = NOBODY
        while above is not NOBODY:
            above.pull()
            above = above.up

    def hang(self, above: Seat[T], old: Seat[T], new: Seat[T]) -> None:
        """Put `new` where `old` hangs."""
        if above is NOBODY:
            self.root = new
        elif above.left is old:
            above.left = new
        else:
            above.right = new
        if new is not NOBODY:
            new.up = above

    def lift(self, seat: Seat[T]) -> None:
        """Rotate a seat above its parent."""
        parent = seat.up
        self.hang(parent.up, parent, seat)
        if parent.left is seat:
            parent.left, seat.right = seat.right, parent
            inner = parent.left
        else:
            parent.right, seat.left = seat.left, parent
            inner = parent.right
        if inner is not NOBODY:
            inner.up = parent
        parent.up = seat
        parent.pull()
        seat.pull()

    def refresh(self, seat: Seat[T], is_open: int, mass: float, near: float, failing: float) -> None:
        """What is known of an item has changed. `near` is `mass` where the item is preferred, else 0."""
        if seat.open == is_open and seat.mass == mass and seat.near == near and seat.failing == failing:
            return
        preferred = near > 0.0 or seat.near > 0.0  # else the sums of the near stay as they are
        seat.open, seat.mass, seat.near, seat.failing = is_open, mass, near, failing
        nobody = NOBODY
        # `pull` written out: these loops are most of what an event costs in a large fleet
        while not preferred and seat is not nobody:
            left, right = seat.left, seat.right
            seat.count = left.count + seat.open + right.count
            seat.total = left.total + seat.mass + right.total
            least = seat.failing if seat.open else ANY
            if left.least < least:
                least = left.least
            seat.least = right.least if right.least < least else least
            seat = seat.up
        while seat is not nobody:
            left, right = seat.left, seat.right
            seat.count = left.count + seat.open + right.count
            seat.total = left.total + seat.mass + right.total
            seat.nears = left.nears + seat.near + right.nears
            least = seat.failing if seat.open else ANY
            if left.least < least:
                least = left.least
            seat.least = right.least if right.least < least else least
            least = seat.failing if seat.near else ANY
            if left.near_least < least:
                least = left.near_least
            seat.near_least = right.near_least if right.near_least < least else least
            seat = seat.up

    def items(self) -> Iterator[T]:
        """All, in order."""
        path: list[Seat[T]] = []
        at = self.root
        while path or at is not NOBODY:
            while at is not NOBODY:
                path.append(at)
                at = at.left
            at = path.pop()
            yield at.item
            at = at.right

    def sums(self, first: int) -> tuple[float, float, float, float]:
        """Mass, near mass, least failing and least failing of the near among the first open seats, of which
        there must be so many.
        """
        at = self.root
        total = nears = 0.0
        least = near_least = ANY
        while first > 0:
            left = at.left
            if first <= left.count:
                at = left
                continue
            first -= left.count + at.open
            total += left.total + at.mass
            nears += left.nears + at.near
            least = min(least, left.least, at.failing if at.open else ANY)
            near_least = min(near_least, left.near_least, at.failing if at.near else ANY)
            at = at.right
        return total, nears, least, near_least

    def weighted(self, x: float, near: bool) -> Seat[T] | None:
        """The seat where the mass of those before it passes `x`; None only by rounding at the very end."""
        at = self.root
        while at is not NOBODY:
            left, mass = at.left, at.near if near else at.mass
            before = left.nears if near else left.total
            if x < before:
                at = left
                continue
            x -= before
            if x < mass:
                return at
            x -= mass
            at = at.right
        return None

    def nth_open(self, rank: int) -> Seat[T]:
        """The open seat with `rank` open ones before it, 0 <= rank < root.count."""
        at = self.root
        while True:
            if rank < at.left.count:
                at = at.left
                continue
            rank -= at.left.count
            if rank < at.open:
                return at
            rank -= at.open
            at = at.right

    def walk(self, first: int, most: float = ANY, near: bool = False) -> Iterator[Seat[T]]:
        """Of the first open seats those that fail at most so much (and are near), in order. Subtrees with
        none are passed over, so each found costs O(log n).
        """
        rest: list[tuple[Seat[T], int, bool]] = [(self.root, 0, False)]
        while rest:
            at, before, whole = rest.pop()
            if whole:
                yield at
                continue
            least = at.near_least if near else at.least
            if at is NOBODY or before >= first or least > most or least == ANY:
                continue
            here = before + at.left.count
            rest.append((at.right, here + at.open, False))
            if at.open and here < first and at.failing <= most and (at.near or not near):
                rest.append((at, here, True))
            rest.append((at.left, before, False))

    def pick(
        self, dice: random.Random, first: int, barred: Container[T], most: float = ANY, near: bool = False
    ) -> T | None:
        """One of the first open seats by its weight, of those that fail at most so much, are not barred (and
        are near). By rejection, which has the very distribution of a list of them all; where next to none
        fit, these are listed instead.
        """
        root = self.root
        if first >= root.count:
            first, total, nears = root.count, root.total, root.nears
            least, near_least = root.least, root.near_least
        else:
            total, nears, least, near_least = self.sums(first)
        mass = nears if near else total
        if mass <= 0.0 or (near_least if near else least) > most:
            return None
        for _ in range(min(2 * first, TRIES + math.isqrt(first))):
            seat = self.weighted(dice.random() * mass, near)
            if seat is not None and seat.open and seat.failing <= most and seat.item not in barred:
                return seat.item
        fit = [seat for seat in self.walk(first, most, near) if seat.item not in barred and seat.mass > 0.0]
        return dice.choices(fit, [seat.mass for seat in fit])[0].item if fit else None

    def any_open(self, dice: random.Random, most: float) -> T | None:
        """One of the open seats that fail at most so much, each alike."""
        count = self.root.count
        if count == 0 or self.root.least > most:
            return None
        for _ in range(min(2 * count, TRIES + math.isqrt(count))):
            seat = self.nth_open(dice.randrange(count))
            if seat.failing <= most:
                return seat.item
        return dice.choice([seat.item for seat in self.walk(count, most)])
