"""A budget of the fleet in escrow: each sidecar owns a part for good and lends of it for a term. Pure.

The sum of what all may spend is at most the whole at any moment, whatever networks, restarts and pauses do:
- a borrower's term counts from when it asked, the lender's from when it granted, and longer than clocks may
  differ in rate (Gray and Cheriton, "Leases", SOSP 1989);
- what was borrowed is not lent on;
- who starts owns nothing until whatever a process before it may have lent or held has ended.
Times are microseconds of a monotonic clock; parts are of `WHOLE`. Escrow: O'Neil, TODS 1986.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from sidecar_proxy.overload_control.messages import TOTAL_PARTS, LeaseGrant, LeaseRequest, LeaseReturn

TERM_US = 3_000_000  # of a loan
MAX_CLOCK_DRIFT = 0.02  # clocks of two machines differ in rate by less
MARGIN_US = 100_000  # and a process reads its clock so long before it acts on it, at most
ANSWER_US = 1_000_000  # who does not answer within this is asked no more for now
LEAST = 1000  # parts: less is not worth a word
MOST_LOANS = 8  # that one lends, and that one borrows
KEPT = 0.25  # of what is owned, that is never lent: a burst begins with it


def lent_us() -> int:
    """How long a lender counts a loan as out."""
    return int(TERM_US * (1 + MAX_CLOCK_DRIFT)) + MARGIN_US


@dataclass(slots=True)
class Given:
    """A loan as its lender counts it: of each grant till when, as an older and larger one may hold yet."""

    to: str
    grants: list[tuple[int, int]] = field(default_factory=list)  # parts, until

    def out(self, now_us: int) -> int:
        self.grants = [one for one in self.grants if one[1] > now_us]
        return max((parts for parts, _ in self.grants), default=0)


@dataclass(slots=True)
class Held:
    """A loan as its borrower counts it."""

    lender: str
    parts: int
    until_us: int


class Escrow:
    """What one sidecar owns, has lent and has borrowed."""

    def __init__(self, index: int, instances: int, dice: random.Random, now_us: int) -> None:
        self.owned = TOTAL_PARTS // instances if 0 <= index < instances else 0
        self.free_us = now_us + lent_us()  # what is owned may be spent from then on
        self.dice = dice
        self.given: dict[int, Given] = {}  # by number
        self.held: dict[int, Held] = {}
        self.asked: dict[int, tuple[str, int, int]] = {}  # by number: whom, when, the loan it renews
        self.returned: dict[int, None] = {}  # numbers that can't be lent again; the last of them
        self.barred = False  # another process says that it is the same sidecar

    # What may be spent

    def own(self, now_us: int) -> int:
        """Of what is owned, what is here."""
        if self.barred or now_us < self.free_us:
            return 0
        return max(0, self.owned - self.out(now_us))

    def out(self, now_us: int) -> int:
        for number in [number for number, one in self.given.items() if not one.out(now_us)]:
            del self.given[number]
        return sum(one.out(now_us) for one in self.given.values())

    def borrowed(self, now_us: int) -> int:
        if self.barred:
            return 0
        return sum(one.parts for one in self.held.values() if now_us < one.until_us)

    def weight(self, now_us: int) -> int:
        """Parts that may be spent now. Hazard: asked for at each use; a process may have been stopped."""
        return self.own(now_us) + self.borrowed(now_us)

    def spare(self, needed: int, now_us: int) -> int:
        """What would be lent, where so much is needed here."""
        kept = max(int(self.owned * KEPT), needed)
        return max(0, self.own(now_us) - kept) if len(self.given) < MOST_LOANS else 0

    # Borrowing

    def ask(self, lender: str, parts: int, now_us: int, renews: int = 0) -> LeaseRequest | None:
        """One is asked at a time; None: it waits for an answer, or there are enough loans."""
        self.asked = {number: one for number, one in self.asked.items() if now_us - one[1] < ANSWER_US}
        self.held = {number: one for number, one in self.held.items() if now_us < one.until_us}
        if any(one[0] == lender for one in self.asked.values()) or parts < LEAST or self.barred:
            return None
        if renews not in self.held and len(self.held) + len(self.asked) >= MOST_LOANS:
            return None
        number = self.dice.getrandbits(52) + 1
        self.asked[number] = lender, now_us, renews
        return LeaseRequest(number, now_us, min(parts, TOTAL_PARTS), renews)

    def lent(self, lender: str, told: LeaseGrant, now_us: int) -> bool:
        """An answer. False: not to what was asked, or it has ended on its way."""
        whom, asked_us, renews = self.asked.get(told.number, ("", -1, 0))
        if whom != lender or asked_us != told.asked_us:
            return False
        del self.asked[told.number]
        if told.parts == 0 or now_us >= asked_us + TERM_US:
            return False
        self.held.pop(renews, None)
        self.held[told.number] = Held(lender, told.parts, asked_us + TERM_US)
        return True

    def give_back(self, number: int) -> tuple[str, LeaseReturn]:
        """It is not spent from now on."""
        return self.held.pop(number).lender, LeaseReturn(number)

    # Lending

    def need(self, borrower: str, told: LeaseRequest, needed: int, now_us: int) -> LeaseGrant:
        """Someone asks: nothing is lent that is needed here, or has been given back under that number."""
        if told.number in self.given or told.number in self.returned:
            return LeaseGrant(told.number, told.asked_us, 0)  # it came twice
        old = self.given.get(told.renews)
        if old is not None and (old.to != borrower or not old.out(now_us)):
            old = None  # it has run out: a new one
        free = self.spare(needed, now_us)
        if old is not None:
            # hazard: the older grant counts until its end, as the answer to this one may be lost
            free = max(0, self.own(now_us) + old.out(now_us) - max(int(self.owned * KEPT), needed))
        parts = min(told.parts, free)
        if parts < LEAST:
            return LeaseGrant(told.number, told.asked_us, 0)
        grants = [*(old.grants if old is not None else ()), (parts, now_us + lent_us())]
        if old is not None:
            del self.given[told.renews]
            self.note_returned(told.renews)
        self.given[told.number] = Given(borrower, grants)
        return LeaseGrant(told.number, told.asked_us, parts)

    def back(self, borrower: str, told: LeaseReturn) -> None:
        one = self.given.get(told.number)
        if one is not None and one.to == borrower:
            del self.given[told.number]
            self.note_returned(told.number)

    def note_returned(self, number: int) -> None:
        self.returned[number] = None
        while len(self.returned) > 64 * MOST_LOANS:
            del self.returned[next(iter(self.returned))]

    def loans(self, now_us: int) -> dict[str, int]:
        """By borrower, what is out."""
        found: dict[str, int] = {}
        for one in self.given.values():
            if one.out(now_us):
                found[one.to] = found.get(one.to, 0) + one.out(now_us)
        return found
