"""Loads the compiled form of this package's modules if it belongs to their sources (docs/design/compiled.md).

Every start imports this module before any other of the package, so it imports only the standard library, and
little of that.
"""

from __future__ import annotations

import json
import os
import sys
from _blake2 import blake2b  # `hashlib` would load OpenSSL, which takes megabytes
from collections.abc import Iterable, Sequence
from importlib.machinery import EXTENSION_SUFFIXES, ExtensionFileLoader, ModuleSpec
from importlib.util import spec_from_file_location
from pathlib import Path
from types import ModuleType

FORMAT_VERSION = "1"  # version of the format of a folder and its manifest
FOLDER = "_compiled"
MANIFEST = "manifest.json"
MAX_MANIFEST_BYTES = 64 * 1024
ABI = f"{sys.implementation.cache_tag} {EXTENSION_SUFFIXES[0]}"
PACKAGE = Path(__file__).parent

state = "from its sources"  # the form that runs, as the log and the commands print it


class UnusableFolderError(Exception):
    """A folder is damaged, or not for these sources or this interpreter; the message is one line."""


def compute_key(root: Path, modules: Iterable[str], compiler: str, abi: str = ABI) -> str:
    """Return the digest that names the compiled form of these sources (paths relative to `root`).

    Raises OSError.
    """
    digest = blake2b(f"{FORMAT_VERSION}\n{abi}\n{compiler}\n".encode(), digest_size=10)
    for path in modules:
        data = (root / path).read_bytes()
        digest.update(f"{path} {len(data)}\n".encode())
        digest.update(data)
    return digest.hexdigest()


def module_name(path: str) -> str:
    """Return the module name of a source: sidecar_proxy.http1.client for sidecar_proxy/http1/client.py."""
    return path.removesuffix(".py").replace("/", ".")


def library_paths(folder: Path, root: Path) -> dict[str, str]:
    """Return the paths of the libraries in a folder by module name. Raises UnusableFolderError."""
    try:
        with open(folder / MANIFEST, "rb") as file:
            manifest = json.loads(file.read(MAX_MANIFEST_BYTES))
        modules, compiler, files = manifest["modules"], manifest["compiler"], manifest["files"]
        if folder.name != compute_key(root, modules, compiler):
            raise UnusableFolderError("it was made of other sources, or for another Python")
        for name, (path, size) in files.items():
            if os.stat(folder / path).st_size != size:
                raise UnusableFolderError(f"{path} is incomplete")
            if "/" in path or not isinstance(name, str):
                raise UnusableFolderError("its manifest is malformed")
        return {name: str(folder / path) for name, (path, _) in files.items()}
    except OSError as error:
        raise UnusableFolderError(f"{error.strerror}: {os.path.basename(str(error.filename))}") from error
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise UnusableFolderError("its manifest is malformed") from error


class CompiledModuleFinder:
    """A meta path finder that imports the listed modules from their libraries, and finds no others."""

    def __init__(self, paths: dict[str, str]) -> None:
        self.paths = paths

    def find_spec(
        self, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Return the spec of a listed module, or None."""
        library = self.paths.get(name)
        return (
            None
            if library is None
            else spec_from_file_location(name, library, loader=ExtensionFileLoader(name, library))
        )


def install(package: Path = PACKAGE) -> str:
    """Load the compiled form if there is one for these sources; return a description of what runs."""
    # Imported here because the build loads this module by itself, outside of the package.
    from sidecar_proxy.environment import read_variable

    if read_variable("PURE") not in ("", "0"):
        return "from its sources, as SIDECAR_PROXY_PURE says"
    reason = ""
    try:
        folders = [entry.path for entry in os.scandir(package / FOLDER) if not entry.name.endswith(".part")]
    except OSError:
        folders = []
    for folder in sorted(folders):
        try:
            paths = library_paths(Path(folder), package.parent)
        except UnusableFolderError as error:
            reason = f"; {FOLDER}/{os.path.basename(folder)} is not used: {error}"
            continue
        sys.meta_path.insert(0, CompiledModuleFinder(paths))
        return f"compiled ({os.path.basename(folder)})"
    return "from its sources" + reason
