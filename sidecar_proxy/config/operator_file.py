"""Loads the operator file, a TOML file whose path is in SIDECAR_PROXY_OPERATOR.

The schema is imported only if there is a file, because importing its library, msgspec, takes memory.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from sidecar_proxy.config.errors import OperatorError
from sidecar_proxy.environment import PREFIX, read_variable

if TYPE_CHECKING:
    from sidecar_proxy.config.schema import Operator

VARIABLE = PREFIX + "OPERATOR"


def load(environment: Mapping[str, str]) -> Operator | None:
    """Return the content of the operator file, or None if the environment names none.

    Raises OperatorError if the file can't be read or used.
    """
    path = read_variable("OPERATOR", environment)
    if not path:
        return None
    try:
        from sidecar_proxy.config.reader import load_file
    except ModuleNotFoundError as error:
        raise OperatorError(f"{VARIABLE}: needs the `sidecar` extra; no {error.name}") from error
    try:
        return load_file(path)
    except OSError as error:
        raise OperatorError(f"{VARIABLE}: {path}: {error.strerror or error}") from error
