"""What happened, as plain records in one order: for the checker, tests, benchmarks and the demo alike.

Times are microseconds of one monotonic clock. Every record can be written as a line of JSON and read back.
"""

from __future__ import annotations

import dataclasses
import json
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, TextIO


def now_us() -> int:
    return time.monotonic_ns() // 1000


@dataclass(slots=True, frozen=True)
class Asked:
    """A client has written the last byte of a request to its sidecar."""

    at_us: int
    request: str  # its Req-Id
    operation: str  # what is to happen once; a client's retry has the same one
    kind: str  # the class
    sidecar: str
    due_us: int  # when the client stops waiting
    tries: int = 1  # 2 and more: the client's retries


@dataclass(slots=True, frozen=True)
class Answered:
    """The client has read a whole answer; status 0: the connection ended without one."""

    at_us: int
    request: str
    status: int
    retry_after_us: int = 0


@dataclass(slots=True, frozen=True)
class Quit:
    """The client has closed its connection before an answer."""

    at_us: int
    request: str


@dataclass(slots=True, frozen=True)
class Received:
    """A node has read the last byte of a request."""

    at_us: int
    first_us: int  # its first byte
    request: str
    node: str
    cell: int
    taken: bool  # False: turned away unseen, and the node says so
    work_us: int  # on one of the node's cores when warm
    site: str = ""


@dataclass(slots=True, frozen=True)
class Ran:
    """A node has begun to work on a request: its effect counts as done."""

    at_us: int
    request: str
    node: str


@dataclass(slots=True, frozen=True)
class Told:
    """The roster has written to a sidecar how a node is."""

    at_us: int
    sidecar: str
    node: str
    health: str


@dataclass(slots=True, frozen=True)
class Started:
    """A node's process has begun, with this share of its capacity."""

    at_us: int
    node: str
    cores: int
    cold_share: float
    warm_up_us: int


@dataclass(slots=True, frozen=True)
class Fell:
    """A node was given more than it stands and is down."""

    at_us: int
    node: str


@dataclass(slots=True, frozen=True)
class Faulted:
    """The script of faults has done something."""

    at_us: int
    text: str


@dataclass(slots=True, frozen=True)
class Process:
    """Something was done to a sidecar's process: started, killed, stopped, woken, ending, ended, wiped ..."""

    at_us: int
    sidecar: str
    what: str


@dataclass(slots=True, frozen=True)
class Said:
    """A sidecar has written something about itself; its time is its own, of the machine's monotonic clock."""

    at_us: int
    sidecar: str
    topic: str
    data: str  # JSON


@dataclass(slots=True, frozen=True)
class Held:
    """The testbed's event loop has run nothing since `from_us`."""

    at_us: int
    from_us: int


Record = Asked | Answered | Quit | Received | Ran | Told | Started | Fell | Faulted | Process | Said | Held
KINDS: dict[str, type[Any]] = {
    one.__name__: one
    for one in (Asked, Answered, Quit, Received, Ran, Told, Started, Fell, Faulted, Process, Said, Held)
}


FITTING: dict[str, tuple[type, ...]] = {"int": (int,), "str": (str,), "bool": (bool,), "float": (int, float)}


class LedgerError(Exception):
    """A line that is no record; one line, with its number."""


class Ledger:
    """Records in the order in which they were made."""

    def __init__(self) -> None:
        self.records: list[Record] = []

    def add(self, record: Record) -> None:
        self.records.append(record)

    def __iter__(self) -> Iterator[Record]:
        return iter(self.records)

    def __len__(self) -> int:
        return len(self.records)

    def write(self, file: TextIO) -> None:
        for record in self.records:
            file.write(json.dumps([type(record).__name__, *dataclasses.astuple(record)]) + "\n")


def read(lines: Iterable[str]) -> Ledger:
    """The ledger that `write` wrote. Raises LedgerError."""
    ledger = Ledger()
    for number, line in enumerate(lines, 1):
        try:
            name, *values = json.loads(line)
            record = KINDS[name](*values)
            for field, value in zip(dataclasses.fields(record), values, strict=False):
                if type(value) not in FITTING[str(field.type)]:
                    raise TypeError(f"{name}.{field.name} is {value!r}")
            ledger.add(record)
        except (ValueError, TypeError, KeyError, RecursionError) as error:
            raise LedgerError(f"line {number} is no record: {' '.join(str(error).split())[:100]}") from error
    return ledger
