"""The operator file: TOML, named by SIDECAR_PROXY_OPERATOR. Its schema is imported where there is one."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from sidecar_proxy.config.errors import OperatorError
from sidecar_proxy.environment import PREFIX, read_variable

if TYPE_CHECKING:
    from sidecar_proxy.config.schema import Operator

VARIABLE = PREFIX + "OPERATOR"


def load(env: Mapping[str, str]) -> Operator | None:
    """The file that the environment names; None where it names none: all is off. Raises OperatorError."""
    path = read_variable("OPERATOR", env)
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
