"""Reads this program's own environment variables. Imported at every start: standard library only."""

from __future__ import annotations

import os
import sys
from collections.abc import Mapping

PREFIX = "SIDECAR_PROXY_"
DEPRECATED_PREFIX = "WICKSPREAD_"  # of versions before the package was renamed


def read_variable(name: str, environ: Mapping[str, str] = os.environ) -> str:
    """Return the value of `SIDECAR_PROXY_<name>`, or an empty string if it is not set.

    The deprecated `WICKSPREAD_<name>` is read where the new name is not set, and one line on standard error
    says so.
    """
    value = environ.get(PREFIX + name)
    if value is not None:
        return value
    deprecated_value = environ.get(DEPRECATED_PREFIX + name)
    if deprecated_value is None:
        return ""
    message = f"sidecar_proxy: {DEPRECATED_PREFIX}{name} is deprecated: use {PREFIX}{name}"
    print(message, file=sys.stderr)
    return deprecated_value
