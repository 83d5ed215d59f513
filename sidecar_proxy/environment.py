"""Reads the environment variables of this package.

Imports only the standard library, as it is imported at each start.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Mapping

PREFIX = "SIDECAR_PROXY_"
DEPRECATED_PREFIX = "WICKSPREAD_"  # prefix before the package was renamed


def read_variable(name: str, environ: Mapping[str, str] = os.environ) -> str:
    """Return the value of `SIDECAR_PROXY_<name>`, or an empty string if it is not set.

    If that is not set, the deprecated `WICKSPREAD_<name>` is read, with a one-line warning on standard error.
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
