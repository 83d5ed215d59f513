"""The operator file: TOML, named by WICKSPREAD_OPERATOR. Its schema is imported where there is one."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from wickspread.operator.error import OperatorError

if TYPE_CHECKING:
    from wickspread.operator.schema import Operator

VARIABLE = "WICKSPREAD_OPERATOR"


def load(env: Mapping[str, str]) -> Operator | None:
    """The file that the environment names; None where it names none: all is off. Raises OperatorError."""
    path = env.get(VARIABLE, "")
    if not path:
        return None
    try:
        from wickspread.operator.reading import load_file
    except ModuleNotFoundError as error:
        raise OperatorError(f"{VARIABLE}: needs the `sidecar` extra; no {error.name}") from error
    try:
        return load_file(path)
    except OSError as error:
        raise OperatorError(f"{VARIABLE}: {path}: {error.strerror or error}") from error
