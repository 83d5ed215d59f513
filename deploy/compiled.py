"""Compiles the modules that pyproject.toml lists, for sidecar_proxy/compiled.py. docs/design/compiled.md.

    python deploy/compiled.py             # in an environment with the pinned compiler
    python deploy/compiled.py --made      # only says whether it is there

Prints one line. Exit code 0 if the compiled form is there, 1 if not: the program then runs from its sources.
"""

from __future__ import annotations

import contextlib
import io
import json
import os
import shlex
import shutil
import subprocess
import sys
import sysconfig
import tempfile
import tomllib
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from types import ModuleType
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
GROUP = "sidecar_proxy"  # the library that holds the code of all is called GROUP__mypyc
OPTIMIZE = "-O2"  # -O3 takes half as long again to compile, and gains nothing that was measured
MOST_S = 900.0  # for one C file


class Failed(Exception):
    """It could not be compiled; one line."""


def listed(root: Path) -> tuple[list[str], str]:
    """The sources, from `root`, and the compiler's pin."""
    found = tomllib.loads((root / "pyproject.toml").read_text())["tool"]["sidecar_proxy"]["compiled"]
    return list(found["modules"]), str(found["compiler"])


def loader(root: Path) -> ModuleType:
    """sidecar_proxy/compiled.py by itself: the package would look for what is to be made here."""
    from importlib.util import module_from_spec, spec_from_file_location

    spec = spec_from_file_location("sidecar_proxy_compiled", root / "sidecar_proxy" / "compiled.py")
    assert spec is not None and spec.loader is not None
    module = module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def compiler_command() -> list[str]:
    """The interpreter's own compiler. Raises Failed."""
    command = shlex.split(os.environ.get("CC") or sysconfig.get_config_var("CC") or "cc")
    if shutil.which(command[0]) is None:
        raise Failed(f"no C compiler ({command[0]})")
    header = Path(sysconfig.get_paths()["include"]) / "Python.h"
    if not header.exists():
        raise Failed("Python's headers are not installed")
    return command


@contextlib.contextmanager
def quiet() -> Iterator[io.StringIO]:
    """mypyc prints what it finds, and ends the process on an error."""
    said = io.StringIO()
    with contextlib.redirect_stdout(said), contextlib.redirect_stderr(said):
        yield said


def translate(root: Path, modules: list[str], into: str) -> list[Any]:
    """C files of all modules, as setuptools' extensions. Raises Failed."""
    try:
        from mypyc.build import mypycify
    except ImportError as error:
        raise Failed(f"the compiler is not installed ({error.name})") from error
    before = os.getcwd()
    os.chdir(root)
    try:
        with quiet() as said:
            return list(
                mypycify(
                    [
                        "--config-file=",
                        "--no-incremental",
                        f"--cache-dir={into}/mypy_cache",  # two builds at once would lock each other out
                        "--ignore-missing-imports",
                        "--follow-imports=silent",
                        *modules,
                    ],
                    group_name=GROUP,
                    multi_file=True,
                    target_dir=into,
                    opt_level="2",
                )
            )
    except (SystemExit, Exception) as error:
        errors = [line for line in said.getvalue().splitlines() if "error:" in line]
        raise Failed(errors[0] if errors else f"mypyc: {str(error) or type(error).__name__}") from error
    finally:
        os.chdir(before)


def run(command: list[str], what: str) -> None:
    done = subprocess.run(command, capture_output=True, text=True, errors="replace", timeout=MOST_S)
    if done.returncode != 0:
        lines = [line for line in done.stderr.splitlines() if "error" in line] or done.stderr.splitlines()
        raise Failed(f"{what}: {lines[0] if lines else f'exit code {done.returncode}'}")


def build(root: Path, part: Path, modules: list[str], compiler: str) -> None:
    """Fill the folder `part`. Raises Failed."""
    cc, suffix = compiler_command(), sysconfig.get_config_var("EXT_SUFFIX")
    flags = [
        *shlex.split(sysconfig.get_config_var("CFLAGS") or ""),
        "-g0",
        "-fPIC",
        "-w",
        f"-I{sysconfig.get_paths()['include']}",
    ]
    link = shlex.split(sysconfig.get_config_var("LDSHARED") or "cc -shared")[1:]
    with tempfile.TemporaryDirectory() as work, ThreadPoolExecutor(os.cpu_count() or 1) as workers:
        extensions = translate(root, modules, work)
        jobs = []
        for number, one in enumerate(extensions):
            include = [f"-I{path}" for path in one.include_dirs]
            objects: list[str] = []
            for source in one.sources:
                objects.append(f"{work}/{number}-{len(objects)}.o")
                path = source if os.path.isabs(source) else str(root / source)
                jobs.append(
                    (
                        [
                            *cc,
                            *flags,
                            *one.extra_compile_args,
                            OPTIMIZE,
                            *include,
                            "-c",
                            path,
                            "-o",
                            objects[-1],
                        ],
                        one.name,
                    )
                )
            one.objects = objects
        for done in [workers.submit(run, *job) for job in jobs]:
            done.result()
        files = {}
        for one in extensions:
            name = f"{one.name}{suffix}"
            run([*cc, *link, *one.objects, "-o", str(part / name)], one.name)
            files[one.name] = name, (part / name).stat().st_size
    manifest = {"modules": modules, "compiler": compiler, "files": files}
    (part / loader(root).MANIFEST).write_text(json.dumps(manifest))


def make(root: Path, out: Path | None = None, only_look: bool = False) -> str:
    """The compiled form of the sources under `root`, in `out` (the package's own folder), made if it is not
    there. Returns its key. Raises Failed."""
    known = loader(root)
    try:
        modules, compiler = listed(root)
        key = str(known.compute_key(root, modules, compiler))
    except OSError as error:
        raise Failed(f"{error.strerror}: {error.filename}") from error
    folder = (out or root / "sidecar_proxy") / known.FOLDER
    target = folder / key
    with contextlib.suppress(known.UnusableFolderError):
        known.library_paths(target, root)
        return key
    if only_look:
        raise Failed("not made yet")
    try:
        folder.mkdir(parents=True, exist_ok=True)
        part = Path(tempfile.mkdtemp(prefix=f"{key}-", suffix=".part", dir=folder))
    except OSError as error:
        raise Failed(f"can't be written: {error.strerror}") from error
    try:
        build(root, part, modules, compiler)
        os.chmod(part, 0o755)
        if str(known.compute_key(root, modules, compiler)) != key:
            raise Failed("the sources were changed meanwhile")
        if target.exists():  # of another build that was quicker, or a bad one
            with contextlib.suppress(known.UnusableFolderError):
                known.library_paths(target, root)
                return key
            shutil.rmtree(target, ignore_errors=True)
        with contextlib.suppress(OSError):  # another build was quicker just now
            part.rename(target)
    except (OSError, subprocess.TimeoutExpired) as error:
        raise Failed(str(error)) from error
    finally:
        shutil.rmtree(part, ignore_errors=True)
    for old in folder.iterdir():
        if old.name != key and not old.name.endswith(".part"):
            shutil.rmtree(old, ignore_errors=True)
    return key


def main() -> int:
    try:
        print(f"compiled: {make(ROOT, only_look='--made' in sys.argv[1:])}")
    except Failed as error:
        print(f"not compiled, runs from its sources: {error}")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
