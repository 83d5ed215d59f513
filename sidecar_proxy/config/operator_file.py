"""Loads the operator file: TOML, named by SIDECAR_PROXY_OPERATOR.

The schema is imported only if there is a file, because its library takes memory.
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
    """Return the content of the file that the environment names, or None if it names none.

    Raises OperatorError.
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
