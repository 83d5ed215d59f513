"""What is wrong with an operator file. Apart from the schema, whose library takes memory."""

from __future__ import annotations


class OperatorError(Exception):
    """The operator file can't be used; the text is one line and names the key."""
