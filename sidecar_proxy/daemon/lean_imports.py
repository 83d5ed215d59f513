"""Keeps OpenSSL out of a process that uses no TLS: its libraries take a sixth of the smallest memory limit.

`asyncio` and `hashlib` work without it. `uvloop` only takes names from `ssl` when it is imported, and uses
them for TLS connections alone.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from types import ModuleType

OPENSSL_MODULES = ("ssl", "_ssl", "_hashlib")


class UnavailableType(Exception):  # noqa: N818 - stands for any class of the module
    """Stands for a class of the `ssl` module that nothing is an instance of."""


class TlsNames(ModuleType):
    """Stands for the `ssl` module while `uvloop` is imported."""

    def __getattr__(self, name: str) -> object:
        """Return a placeholder: an integer for a constant, a type for anything else."""
        if name.startswith("__"):
            raise AttributeError(name)
        return -1 if name.isupper() else UnavailableType


@contextmanager
def without_openssl() -> Iterator[None]:
    """Have modules that are imported meanwhile do without OpenSSL; it can be imported again afterwards."""
    hidden = [name for name in OPENSSL_MODULES if name not in sys.modules]
    for name in hidden:
        sys.modules[name] = None  # type: ignore[assignment]  # the import system's way to hide a module
    try:
        yield
    finally:
        for name in hidden:
            sys.modules.pop(name, None)


def import_event_loop() -> None:
    """Import `asyncio` and `uvloop`, without OpenSSL unless it is in use already."""
    if "ssl" in sys.modules:
        return
    with without_openssl():
        import asyncio  # noqa: F401
        import hashlib  # noqa: F401

        sys.modules["ssl"] = TlsNames("ssl")
        import uvloop  # noqa: F401
