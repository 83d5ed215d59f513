"""Finds the compiled form of this package's modules, if it is theirs. docs/design/compiled.md.

Imported before any other module of the package, at each start: standard library only, and little of it.
"""

from __future__ import annotations

import hashlib
import json
import os
import sys
from collections.abc import Iterable, Sequence
from importlib.machinery import EXTENSION_SUFFIXES, ExtensionFileLoader, ModuleSpec
from importlib.util import spec_from_file_location
from pathlib import Path
from types import ModuleType

FORM = "1"  # of the folder and its manifest
FOLDER = "_compiled"
MANIFEST = "manifest.json"
MOST_MANIFEST = 64 * 1024  # bytes
ABI = f"{sys.implementation.cache_tag} {EXTENSION_SUFFIXES[0]}"
PACKAGE = Path(__file__).parent

state = "from its sources"  # which of the two runs, for people


class UnusableFolderError(Exception):
    """A folder is not for these sources or this interpreter; one line."""


def compute_key(root: Path, modules: Iterable[str], compiler: str, abi: str = ABI) -> str:
    """The digest that names the compiled form of these sources (paths from `root`). Raises OSError."""
    digest = hashlib.blake2b(f"{FORM}\n{abi}\n{compiler}\n".encode(), digest_size=10)
    for name in modules:
        data = (root / name).read_bytes()
        digest.update(f"{name} {len(data)}\n".encode())
        digest.update(data)
    return digest.hexdigest()


def name_of(path: str) -> str:
    """The module of a source: sidecar_proxy/engine/engine.py is sidecar_proxy.engine.engine."""
    return path.removesuffix(".py").replace("/", ".")


def library_paths(folder: Path, root: Path) -> dict[str, str]:
    """Module names and library paths of one folder. Raises UnusableFolderError."""
    try:
        with open(folder / MANIFEST, "rb") as file:
            found = json.loads(file.read(MOST_MANIFEST))
        modules, compiler, files = found["modules"], found["compiler"], found["files"]
        if folder.name != compute_key(root, modules, compiler):
            raise UnusableFolderError("it was made of other sources, or for another Python")
        for name, (path, size) in files.items():
            if os.stat(folder / path).st_size != size:
                raise UnusableFolderError(f"{path} is not whole")
            if "/" in path or not isinstance(name, str):
                raise UnusableFolderError("its manifest is malformed")
        return {name: str(folder / path) for name, (path, _) in files.items()}
    except OSError as error:
        raise UnusableFolderError(f"{error.strerror}: {os.path.basename(str(error.filename))}") from error
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise UnusableFolderError("its manifest is malformed") from error


class Finder:
    """Imports the listed modules from their libraries; of all others it says nothing."""

    def __init__(self, paths: dict[str, str]) -> None:
        self.paths = paths

    def find_spec(
        self, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        found = self.paths.get(name)
        return (
            None
            if found is None
            else spec_from_file_location(name, found, loader=ExtensionFileLoader(name, found))
        )


def install(package: Path = PACKAGE) -> str:
    """Take the compiled form if there is one for these sources; returns which of the two runs."""
    # imported here: the build loads this module by itself, outside of the package
    from sidecar_proxy.environment import read_variable

    if read_variable("PURE") not in ("", "0"):
        return "from its sources, as SIDECAR_PROXY_PURE says"
    why = ""
    try:
        folders = [one.path for one in os.scandir(package / FOLDER) if not one.name.endswith(".part")]
    except OSError:
        folders = []
    for folder in sorted(folders):
        try:
            paths = library_paths(Path(folder), package.parent)
        except UnusableFolderError as error:
            why = f"; {FOLDER}/{os.path.basename(folder)} is not used: {error}"
            continue
        sys.meta_path.insert(0, Finder(paths))
        return f"compiled ({os.path.basename(folder)})"
    return "from its sources" + why
