"""Ordered collections for the endpoint pool: a sorted multiset and a treap that samples by weight.

Pure data structures: no clock and no I/O; random numbers come from a `random.Random` that is passed in.

Costs with n items: `OrderedIndex.update`, `insert`, `remove` and a sample take O(log n) expected time;
`SortedMultiset` takes one search and one shift inside a block of at most `MAX_BLOCK_ITEMS` items, and one
step per block where a rank is asked for.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_left, insort
from collections.abc import Container, Iterator
from typing import Any, Final, Generic, TypeVar

from sidecar_proxy.balancer.hashing import HASH_MULTIPLIER

T = TypeVar("T")
V = TypeVar("V", bound=Any)

MAX_BLOCK_ITEMS: Final = 512  # a shift inside a block of this size costs less than the search for the block
MIN_REJECTION_TRIES: Final = 16  # samples by rejection, plus the root of n, before those that fit are listed
ANY_FAILURE_RATE: Final = math.inf


class SortedMultiset(Generic[V]):
    """A sorted multiset of comparable values, kept in blocks."""

    def __init__(self) -> None:
        self.blocks: list[list[V]] = []
        self.block_maxima: list[V] = []  # the last value of each block
        self.size = 0

    def __len__(self) -> int:
        return self.size

    def add(self, value: V) -> None:
        """Insert a value."""
        self.size += 1
        if not self.blocks:
            self.blocks = [[value]]
            self.block_maxima = [value]
            return
        index = min(bisect_left(self.block_maxima, value), len(self.blocks) - 1)
        block = self.blocks[index]
        insort(block, value)
        if len(block) > MAX_BLOCK_ITEMS:
            half = len(block) // 2
            self.blocks[index : index + 1] = [block[:half], block[half:]]
            self.block_maxima[index : index + 1] = [block[half - 1], block[-1]]
        else:
            self.block_maxima[index] = block[-1]

    def remove(self, value: V) -> None:
        """Remove one occurrence of a value; ValueError if there is none."""
        index = bisect_left(self.block_maxima, value)
        block: list[V] = self.blocks[index] if index < len(self.blocks) else []
        position = bisect_left(block, value)
        if position == len(block) or block[position] != value:
            raise ValueError(f"{value!r} is not in it")
        del block[position]
        self.size -= 1
        if block:
            self.block_maxima[index] = block[-1]
        else:
            del self.blocks[index]
            del self.block_maxima[index]

    def at(self, rank: int) -> V:
        """Return the value with `rank` values before it; IndexError beyond the last one."""
        for block in self.blocks:
            if rank < len(block):
                return block[rank]
            rank -= len(block)
        raise IndexError("beyond the last value")

    def cycle_from(self, rank: int) -> Iterator[V]:
        """Yield all values once, beginning at a rank and wrapping around after the last value."""
        if not self.blocks:
            return
        index = 0
        offset = rank
        while index < len(self.blocks) and offset >= len(self.blocks[index]):
            offset -= len(self.blocks[index])
            index += 1
        if index == len(self.blocks):
            index = 0
            offset = 0
        for number in range(len(self.blocks) + 1):
            block = self.blocks[(index + number) % len(self.blocks)]
            if number == 0:
                yield from block[offset:]
            elif number == len(self.blocks):
                yield from block[:offset]
            else:
                yield from block


class IndexEntry(Generic[T]):
    """One item's node in the treap, and the sums over the subtree below it."""

    __slots__ = (
        "failure_rate",
        "is_open",
        "item",
        "key",
        "left",
        "min_failure_rate",
        "min_preferred_failure_rate",
        "open_count",
        "parent",
        "preferred_total",
        "preferred_weight",
        "priority",
        "right",
        "total_weight",
        "weight",
    )

    def __init__(self, item: T, key: tuple[float, int], priority: int) -> None:
        self.item = item
        self.key = key
        self.priority = priority  # of the treap: a parent's is above its children's
        self.is_open = 0  # 1 = it can be sampled
        self.weight = 0.0
        self.preferred_weight = 0.0  # the weight again where the item is preferred, else 0
        self.failure_rate = ANY_FAILURE_RATE
        self.left = EMPTY
        self.right = EMPTY
        self.parent = EMPTY
        self.open_count = 0  # open entries in the subtree
        self.total_weight = 0.0
        self.preferred_total = 0.0
        self.min_failure_rate = ANY_FAILURE_RATE  # of the open entries of the subtree
        self.min_preferred_failure_rate = ANY_FAILURE_RATE  # of those that are preferred too

    def recompute(self) -> None:
        """Add the sums up from the children's, never by differences, so that no rounding accumulates."""
        left = self.left
        right = self.right
        own_rate = self.failure_rate if self.is_open else ANY_FAILURE_RATE
        own_preferred_rate = self.failure_rate if self.preferred_weight else ANY_FAILURE_RATE
        self.open_count = left.open_count + self.is_open + right.open_count
        self.total_weight = left.total_weight + self.weight + right.total_weight
        self.preferred_total = left.preferred_total + self.preferred_weight + right.preferred_total
        self.min_failure_rate = min(left.min_failure_rate, right.min_failure_rate, own_rate)
        self.min_preferred_failure_rate = min(
            left.min_preferred_failure_rate, right.min_preferred_failure_rate, own_preferred_rate
        )


EMPTY: Any = None
EMPTY = IndexEntry[Any](None, (0.0, 0), -1)


class PrefixSums:
    """The sums over the first open entries of an index."""

    def __init__(self) -> None:
        self.total_weight = 0.0
        self.preferred_total = 0.0
        self.min_failure_rate = ANY_FAILURE_RATE
        self.min_preferred_failure_rate = ANY_FAILURE_RATE


class OrderedIndex(Generic[T]):
    """Items in the order of their keys, some of them open.

    It is a treap whose shape depends on the items' numbers alone, so the same items give the same samples.
    """

    def __init__(self) -> None:
        self.root: IndexEntry[T] = EMPTY
        self.size = 0

    def __len__(self) -> int:
        return self.size

    def insert(self, item: T, key: float, number: int) -> IndexEntry[T]:
        """Insert an item; of equal keys the smaller number comes first, and numbers are distinct."""
        self.size += 1
        priority = (number * HASH_MULTIPLIER ^ number >> 7) * HASH_MULTIPLIER >> 8 & 0xFFFFFFFFFFFF
        entry = IndexEntry(item, (key, number), priority)
        if self.root is EMPTY:
            self.root = entry
            return entry
        parent = self.root
        while True:
            child = parent.left if entry.key < parent.key else parent.right
            if child is EMPTY:
                break
            parent = child
        if entry.key < parent.key:
            parent.left = entry
        else:
            parent.right = entry
        entry.parent = parent
        while entry.parent is not EMPTY and entry.parent.priority < entry.priority:
            self.rotate_up(entry)
        return entry

    def remove(self, entry: IndexEntry[T]) -> None:
        """Take an entry out of the index."""
        self.size -= 1
        while entry.left is not EMPTY or entry.right is not EMPTY:
            left = entry.left
            right = entry.right
            self.rotate_up(left if left.priority > right.priority else right)
        ancestor = entry.parent
        self.replace_child(ancestor, entry, EMPTY)
        entry.parent = EMPTY
        while ancestor is not EMPTY:
            ancestor.recompute()
            ancestor = ancestor.parent

    def replace_child(self, parent: IndexEntry[T], old: IndexEntry[T], new: IndexEntry[T]) -> None:
        """Put `new` where `old` hangs below `parent`."""
        if parent is EMPTY:
            self.root = new
        elif parent.left is old:
            parent.left = new
        else:
            parent.right = new
        if new is not EMPTY:
            new.parent = parent

    def rotate_up(self, entry: IndexEntry[T]) -> None:
        """Rotate an entry above its parent."""
        parent = entry.parent
        self.replace_child(parent.parent, parent, entry)
        if parent.left is entry:
            parent.left = entry.right
            entry.right = parent
            inner = parent.left
        else:
            parent.right = entry.left
            entry.left = parent
            inner = parent.right
        if inner is not EMPTY:
            inner.parent = parent
        parent.parent = entry
        parent.recompute()
        entry.recompute()

    def update(
        self,
        entry: IndexEntry[T],
        is_open: int,
        weight: float,
        preferred_weight: float,
        failure_rate: float,
    ) -> None:
        """Renew what is known of an item; `preferred_weight` is the weight where it is preferred, else 0."""
        if (
            entry.is_open == is_open
            and entry.weight == weight
            and entry.preferred_weight == preferred_weight
            and entry.failure_rate == failure_rate
        ):
            return
        touches_preferred = preferred_weight > 0.0 or entry.preferred_weight > 0.0
        entry.is_open = is_open
        entry.weight = weight
        entry.preferred_weight = preferred_weight
        entry.failure_rate = failure_rate
        if touches_preferred:
            self.recompute_path(entry)
        else:
            self.recompute_plain_path(entry)

    # Both loops have `recompute` written out: they are most of what an event costs in a large fleet.

    def recompute_plain_path(self, entry: IndexEntry[T]) -> None:
        """Recompute the sums from an entry up to the root, but for those of preferred entries."""
        empty = EMPTY
        while entry is not empty:
            left = entry.left
            right = entry.right
            entry.open_count = left.open_count + entry.is_open + right.open_count
            entry.total_weight = left.total_weight + entry.weight + right.total_weight
            lowest = entry.failure_rate if entry.is_open else ANY_FAILURE_RATE
            if left.min_failure_rate < lowest:
                lowest = left.min_failure_rate
            entry.min_failure_rate = right.min_failure_rate if right.min_failure_rate < lowest else lowest
            entry = entry.parent

    def recompute_path(self, entry: IndexEntry[T]) -> None:
        """Recompute all sums from an entry up to the root."""
        empty = EMPTY
        while entry is not empty:
            left = entry.left
            right = entry.right
            entry.open_count = left.open_count + entry.is_open + right.open_count
            entry.total_weight = left.total_weight + entry.weight + right.total_weight
            entry.preferred_total = left.preferred_total + entry.preferred_weight + right.preferred_total
            lowest = entry.failure_rate if entry.is_open else ANY_FAILURE_RATE
            if left.min_failure_rate < lowest:
                lowest = left.min_failure_rate
            entry.min_failure_rate = right.min_failure_rate if right.min_failure_rate < lowest else lowest
            lowest = entry.failure_rate if entry.preferred_weight else ANY_FAILURE_RATE
            if left.min_preferred_failure_rate < lowest:
                lowest = left.min_preferred_failure_rate
            if right.min_preferred_failure_rate < lowest:
                lowest = right.min_preferred_failure_rate
            entry.min_preferred_failure_rate = lowest
            entry = entry.parent

    def items(self) -> Iterator[T]:
        """Yield all items in order."""
        path: list[IndexEntry[T]] = []
        entry = self.root
        while path or entry is not EMPTY:
            while entry is not EMPTY:
                path.append(entry)
                entry = entry.left
            entry = path.pop()
            yield entry.item
            entry = entry.right

    def prefix_sums(self, first: int) -> PrefixSums:
        """Return the sums over the first open entries, of which there must be at least `first`."""
        sums = PrefixSums()
        entry = self.root
        while first > 0:
            left = entry.left
            if first <= left.open_count:
                entry = left
                continue
            first -= left.open_count + entry.is_open
            own_rate = entry.failure_rate if entry.is_open else ANY_FAILURE_RATE
            own_preferred_rate = entry.failure_rate if entry.preferred_weight else ANY_FAILURE_RATE
            sums.total_weight += left.total_weight + entry.weight
            sums.preferred_total += left.preferred_total + entry.preferred_weight
            sums.min_failure_rate = min(sums.min_failure_rate, left.min_failure_rate, own_rate)
            sums.min_preferred_failure_rate = min(
                sums.min_preferred_failure_rate, left.min_preferred_failure_rate, own_preferred_rate
            )
            entry = entry.right
        return sums

    def at_weight(self, offset: float, is_preferred: bool) -> IndexEntry[T] | None:
        """Return the entry where the cumulative weight passes `offset`; None only by rounding at the end."""
        entry = self.root
        while entry is not EMPTY:
            left = entry.left
            weight = entry.preferred_weight if is_preferred else entry.weight
            before = left.preferred_total if is_preferred else left.total_weight
            if offset < before:
                entry = left
                continue
            offset -= before
            if offset < weight:
                return entry
            offset -= weight
            entry = entry.right
        return None

    def nth_open(self, rank: int) -> IndexEntry[T]:
        """Return the open entry with `rank` open ones before it, 0 <= rank < root.open_count."""
        entry = self.root
        while True:
            if rank < entry.left.open_count:
                entry = entry.left
                continue
            rank -= entry.left.open_count
            if rank < entry.is_open:
                return entry
            rank -= entry.is_open
            entry = entry.right

    def iterate_open(
        self, first: int, max_failure_rate: float = ANY_FAILURE_RATE, is_preferred: bool = False
    ) -> Iterator[IndexEntry[T]]:
        """Yield, of the first open entries, those within a failure rate (and preferred), in order.

        Subtrees that hold none are skipped, so each entry found costs O(log n).
        """
        stack: list[tuple[IndexEntry[T], int, bool]] = [(self.root, 0, False)]
        while stack:
            entry, before, is_result = stack.pop()
            if is_result:
                yield entry
                continue
            lowest = entry.min_preferred_failure_rate if is_preferred else entry.min_failure_rate
            if entry is EMPTY or before >= first or lowest > max_failure_rate or lowest == ANY_FAILURE_RATE:
                continue
            rank = before + entry.left.open_count
            stack.append((entry.right, rank + entry.is_open, False))
            fits = entry.is_open and rank < first and entry.failure_rate <= max_failure_rate
            if fits and (entry.preferred_weight or not is_preferred):
                stack.append((entry, rank, True))
            stack.append((entry.left, before, False))

    def sample(
        self,
        rng: random.Random,
        first: int,
        excluded: Container[T],
        max_failure_rate: float = ANY_FAILURE_RATE,
        is_preferred: bool = False,
    ) -> T | None:
        """Return one of the first open items by its weight, not excluded and within a failure rate.

        Sampling by rejection has exactly the distribution of a list of all that fit. Where next to none fit,
        these are listed instead.
        """
        root = self.root
        if first >= root.open_count:
            first = root.open_count
            total = root.preferred_total if is_preferred else root.total_weight
            lowest = root.min_preferred_failure_rate if is_preferred else root.min_failure_rate
        else:
            sums = self.prefix_sums(first)
            total = sums.preferred_total if is_preferred else sums.total_weight
            lowest = sums.min_preferred_failure_rate if is_preferred else sums.min_failure_rate
        if total <= 0.0 or lowest > max_failure_rate:
            return None
        for _ in range(min(2 * first, MIN_REJECTION_TRIES + math.isqrt(first))):
            entry = self.at_weight(rng.random() * total, is_preferred)
            if entry is None or not entry.is_open:
                continue
            if entry.failure_rate <= max_failure_rate and entry.item not in excluded:
                return entry.item
        fitting = [
            entry
            for entry in self.iterate_open(first, max_failure_rate, is_preferred)
            if entry.item not in excluded and entry.weight > 0.0
        ]
        if not fitting:
            return None
        return rng.choices(fitting, [entry.weight for entry in fitting])[0].item

    def sample_uniform(self, rng: random.Random, max_failure_rate: float) -> T | None:
        """Return one of the open items within a failure rate, each with the same chance."""
        count = self.root.open_count
        if count == 0 or self.root.min_failure_rate > max_failure_rate:
            return None
        for _ in range(min(2 * count, MIN_REJECTION_TRIES + math.isqrt(count))):
            entry = self.nth_open(rng.randrange(count))
            if entry.failure_rate <= max_failure_rate:
                return entry.item
        return rng.choice([entry.item for entry in self.iterate_open(count, max_failure_rate)])
