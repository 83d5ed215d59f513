"""Keeps the numbers of the standard streams from other descriptors."""

from __future__ import annotations

import os
from contextlib import suppress

STANDARD_DESCRIPTORS = (0, 1, 2)


def is_open(descriptor: int) -> bool:
    """Return whether a descriptor refers to anything."""
    try:
        os.fstat(descriptor)
    except OSError:
        return False
    return True


def open_missing_streams() -> None:
    """Open the null device in place of each standard stream that the parent has closed.

    Log lines would else be written to whatever gets the number next, and libuv ends the process when it is to
    close a handle with such a number.
    """
    for descriptor in STANDARD_DESCRIPTORS:
        if not is_open(descriptor):
            with suppress(OSError):
                os.open(os.devnull, os.O_RDWR)  # it gets the lowest free number, which is this one
