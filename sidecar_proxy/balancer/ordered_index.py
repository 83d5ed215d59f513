"""Ordered collections for the endpoint pool: a sorted multiset and a treap that samples by weight.

These are pure data structures without I/O; random numbers come from a `random.Random` that is passed in.

Costs with n items: `OrderedIndex.update`, `insert`, `remove` and a sample take O(log n) expected time.
`SortedMultiset` takes one search and one shift inside a block of at most `MAX_BLOCK_ITEMS` items; access by
rank takes one step per block.
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
# rejection draws, in addition to the square root of n, before the matches are scanned
MIN_REJECTION_DRAWS: Final = 16
ANY_FAILURE_RATE: Final = math.inf  # as a maximum: no limit; as a computed minimum: there is no open entry


class SortedMultiset(Generic[V]):
    """A sorted multiset of comparable values, stored in sorted blocks."""

    def __init__(self) -> None:
        self.blocks: list[list[V]] = []
        self.block_maxima: list[V] = []  # last value of each block
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
        """Remove one occurrence of a value; raise ValueError if there is none."""
        index = bisect_left(self.block_maxima, value)
        block: list[V] = self.blocks[index] if index < len(self.blocks) else []
        position = bisect_left(block, value)
        if position == len(block) or block[position] != value:
            raise ValueError(f"{value!r} is not in the multiset")
        del block[position]
        self.size -= 1
        if block:
            self.block_maxima[index] = block[-1]
        else:
            del self.blocks[index]
            del self.block_maxima[index]

    def at(self, rank: int) -> V:
        """Return the value with `rank` values before it; raise IndexError if there is none."""
        for block in self.blocks:
            if rank < len(block):
                return block[rank]
            rank -= len(block)
        raise IndexError(f"rank {rank + self.size} is not below the size, {self.size}")

    def cycle_from(self, rank: int) -> Iterator[V]:
        """Yield all values once, starting at a rank and wrapping around after the last value."""
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
        for step in range(len(self.blocks) + 1):
            block = self.blocks[(index + step) % len(self.blocks)]
            if step == 0:
                yield from block[offset:]
            elif step == len(self.blocks):
                yield from block[:offset]
            else:
                yield from block


class IndexEntry(Generic[T]):
    """The node of one item in the treap, with sums over the subtree that it is the root of."""

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
        self.priority = priority  # heap order of the treap: not below the children's priorities
        self.is_open = 0  # 1 if the item can be sampled, else 0
        self.weight = 0.0
        self.preferred_weight = 0.0  # the weight if the item is preferred, else 0
        self.failure_rate = ANY_FAILURE_RATE
        self.left = EMPTY
        self.right = EMPTY
        self.parent = EMPTY
        self.open_count = 0  # number of open entries in the subtree
        self.total_weight = 0.0
        self.preferred_total = 0.0
        self.min_failure_rate = ANY_FAILURE_RATE  # minimum over open entries of the subtree
        self.min_preferred_failure_rate = ANY_FAILURE_RATE  # minimum over preferred entries

    def recompute(self) -> None:
        """Compute the sums from the children's, not by differences, so that no rounding error accumulates."""
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


# The sentinel in place of a missing child or parent; declared first, as its own constructor refers to it.
EMPTY: Any = None
EMPTY = IndexEntry[Any](None, (0.0, 0), -1)


class PrefixSums:
    """Sums over the first open entries of an index."""

    def __init__(self) -> None:
        self.total_weight = 0.0
        self.preferred_total = 0.0
        self.min_failure_rate = ANY_FAILURE_RATE
        self.min_preferred_failure_rate = ANY_FAILURE_RATE


class OrderedIndex(Generic[T]):
    """A treap of items in the order of their keys, from which open items are sampled by weight.

    Its shape depends only on the items' keys and numbers, so with the same items and random numbers the
    samples are the same, whatever the order of insertion.
    """

    def __init__(self) -> None:
        self.root: IndexEntry[T] = EMPTY
        self.size = 0

    def __len__(self) -> int:
        return self.size

    def insert(self, item: T, key: float, number: int) -> IndexEntry[T]:
        """Insert an item; items with equal keys are ordered by number, and numbers are distinct."""
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
        """Remove an entry from the index."""
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
        """Replace the child `old` of `parent` by `new`; an empty `parent` stands for the root."""
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
        """Change an item's sampling data; `preferred_weight` is its weight if it is preferred, else 0."""
        if (
            entry.is_open == is_open
            and entry.weight == weight
            and entry.preferred_weight == preferred_weight
            and entry.failure_rate == failure_rate
        ):
            return
        has_preferred_weight = preferred_weight > 0.0 or entry.preferred_weight > 0.0
        entry.is_open = is_open
        entry.weight = weight
        entry.preferred_weight = preferred_weight
        entry.failure_rate = failure_rate
        if has_preferred_weight:
            self.recompute_path(entry)
        else:
            self.recompute_plain_path(entry)

    # The next two functions inline `recompute`: they are most of the cost of an event in a large fleet.

    def recompute_plain_path(self, entry: IndexEntry[T]) -> None:
        """Recompute the sums from an entry up to the root, except for the sums over preferred entries."""
        empty = EMPTY
        while entry is not empty:
            left = entry.left
            right = entry.right
            entry.open_count = left.open_count + entry.is_open + right.open_count
            entry.total_weight = left.total_weight + entry.weight + right.total_weight
            min_rate = entry.failure_rate if entry.is_open else ANY_FAILURE_RATE
            if left.min_failure_rate < min_rate:
                min_rate = left.min_failure_rate
            entry.min_failure_rate = right.min_failure_rate if right.min_failure_rate < min_rate else min_rate
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
            min_rate = entry.failure_rate if entry.is_open else ANY_FAILURE_RATE
            if left.min_failure_rate < min_rate:
                min_rate = left.min_failure_rate
            entry.min_failure_rate = right.min_failure_rate if right.min_failure_rate < min_rate else min_rate
            min_rate = entry.failure_rate if entry.preferred_weight else ANY_FAILURE_RATE
            if left.min_preferred_failure_rate < min_rate:
                min_rate = left.min_preferred_failure_rate
            if right.min_preferred_failure_rate < min_rate:
                min_rate = right.min_preferred_failure_rate
            entry.min_preferred_failure_rate = min_rate
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

    def prefix_sums(self, prefix_length: int) -> PrefixSums:
        """Return the sums over the first open entries, of which there must be at least `prefix_length`."""
        sums = PrefixSums()
        entry = self.root
        while prefix_length > 0:
            left = entry.left
            if prefix_length <= left.open_count:
                entry = left
                continue
            prefix_length -= left.open_count + entry.is_open
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

    def find_at_weight(self, offset: float, is_preferred: bool) -> IndexEntry[T] | None:
        """Return the entry at which the cumulative weight exceeds `offset`.

        Return None only if `offset` is not below the total, which rounding can cause.
        """
        entry = self.root
        while entry is not EMPTY:
            left = entry.left
            weight = entry.preferred_weight if is_preferred else entry.weight
            preceding_weight = left.preferred_total if is_preferred else left.total_weight
            if offset < preceding_weight:
                entry = left
                continue
            offset -= preceding_weight
            if offset < weight:
                return entry
            offset -= weight
            entry = entry.right
        return None

    def nth_open(self, rank: int) -> IndexEntry[T]:
        """Return the open entry with `rank` open entries before it; 0 <= `rank` < `root.open_count`."""
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
        self, prefix_length: int, max_failure_rate: float = ANY_FAILURE_RATE, is_preferred: bool = False
    ) -> Iterator[IndexEntry[T]]:
        """Yield, of the first `prefix_length` open entries, those within a failure rate, in order.

        With `is_preferred`, yield only preferred entries. Subtrees without a match are skipped, so each
        entry that is yielded costs O(log n).
        """
        stack: list[tuple[IndexEntry[T], int, bool]] = [(self.root, 0, False)]
        while stack:
            entry, preceding_open_count, is_result = stack.pop()
            if is_result:
                yield entry
                continue
            min_rate = entry.min_preferred_failure_rate if is_preferred else entry.min_failure_rate
            if (
                entry is EMPTY
                or preceding_open_count >= prefix_length
                or min_rate > max_failure_rate
                or min_rate == ANY_FAILURE_RATE
            ):
                continue
            rank = preceding_open_count + entry.left.open_count
            stack.append((entry.right, rank + entry.is_open, False))
            is_match = entry.is_open and rank < prefix_length and entry.failure_rate <= max_failure_rate
            if is_match and (entry.preferred_weight or not is_preferred):
                stack.append((entry, rank, True))
            stack.append((entry.left, preceding_open_count, False))

    def sample(
        self,
        rng: random.Random,
        prefix_length: int,
        excluded: Container[T],
        max_failure_rate: float = ANY_FAILURE_RATE,
        is_preferred: bool = False,
    ) -> T | None:
        """Return a random one of the first `prefix_length` open items, or None if none matches.

        An item matches if it is not excluded, is within the failure rate, and with `is_preferred` is
        preferred; its chance is proportional to its weight. Rejection sampling has exactly the distribution
        of a draw from a list of all matches. If rejection finds no match, the matches are listed instead.
        """
        root = self.root
        if prefix_length >= root.open_count:
            prefix_length = root.open_count
            total = root.preferred_total if is_preferred else root.total_weight
            min_rate = root.min_preferred_failure_rate if is_preferred else root.min_failure_rate
        else:
            sums = self.prefix_sums(prefix_length)
            total = sums.preferred_total if is_preferred else sums.total_weight
            min_rate = sums.min_preferred_failure_rate if is_preferred else sums.min_failure_rate
        if total <= 0.0 or min_rate > max_failure_rate:
            return None
        for _ in range(min(2 * prefix_length, MIN_REJECTION_DRAWS + math.isqrt(prefix_length))):
            entry = self.find_at_weight(rng.random() * total, is_preferred)
            if entry is None or not entry.is_open:
                continue
            if entry.failure_rate <= max_failure_rate and entry.item not in excluded:
                return entry.item
        matching_entries = [
            entry
            for entry in self.iterate_open(prefix_length, max_failure_rate, is_preferred)
            if entry.item not in excluded and entry.weight > 0.0
        ]
        if not matching_entries:
            return None
        return rng.choices(matching_entries, [entry.weight for entry in matching_entries])[0].item

    def sample_uniform(self, rng: random.Random, max_failure_rate: float) -> T | None:
        """Return a random open item within a failure rate, each with the same chance, or None."""
        count = self.root.open_count
        if count == 0 or self.root.min_failure_rate > max_failure_rate:
            return None
        for _ in range(min(2 * count, MIN_REJECTION_DRAWS + math.isqrt(count))):
            entry = self.nth_open(rng.randrange(count))
            if entry.failure_rate <= max_failure_rate:
                return entry.item
        return rng.choice([entry.item for entry in self.iterate_open(count, max_failure_rate)])
