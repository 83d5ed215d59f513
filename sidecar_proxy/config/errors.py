"""The errors of an operator file.

They are defined apart from the schema, because importing the schema's library, msgspec, takes memory.
"""

from __future__ import annotations


class OperatorError(Exception):
    """The operator file can't be used; the message is one line and names the key or the file."""


class OperatorValueError(OperatorError):
    """A key of the operator file is unknown or has an invalid value."""

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem
