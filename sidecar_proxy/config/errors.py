"""The errors of an operator file. They are apart from the schema, whose library takes memory."""

from __future__ import annotations


class OperatorError(Exception):
    """The operator file cannot be used; the message is one line and names the key or the file."""


class OperatorValueError(OperatorError):
    """A key of the operator file is unknown, or has a value that it may not have."""

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem
