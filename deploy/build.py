"""Brings .venv up to date with the `sidecar` pins of pyproject.toml, and compiles what `run` imports.

Byte code for all; libraries for the modules on the hot path (deploy/compiled.py), by a compiler in an
environment of its own, .venv-build. Quick when all is up to date.
"""

import subprocess
import sys
import tomllib
import venv
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
STAMP = "pins.txt"  # written last: a build that was cut off is done again


def environment(folder: Path, pins: list[str]) -> Path:
    """Its interpreter, with these packages installed."""
    stamp = "\n".join([sys.version, str(folder), *pins])  # a venv holds its interpreter's and its own path
    python, noted = folder / "bin" / "python", folder / STAMP
    if not (python.exists() and noted.exists() and noted.read_text() == stamp):
        venv.create(folder, clear=True, symlinks=True, with_pip=True)
        subprocess.run(
            [python, "-m", "pip", "install", "--quiet", "--disable-pip-version-check", *pins], check=True
        )
        noted.write_text(stamp)
    return python


def main() -> None:
    told = tomllib.loads((ROOT / "pyproject.toml").read_text())
    python = environment(ROOT / ".venv", told["project"]["optional-dependencies"]["sidecar"])
    # hazard: `run` writes no byte code; compiled anew at each start, it is away longer at a restart
    subprocess.run([python, "-m", "compileall", "-q", ROOT / "sidecar_proxy"], check=False)
    script = ROOT / "deploy" / "compiled.py"
    if subprocess.run([python, script, "--made"], stdout=subprocess.DEVNULL).returncode != 0:
        try:
            python = environment(ROOT / ".venv-build", told["tool"]["sidecar_proxy"]["compiled"]["build"])
        except (OSError, subprocess.SubprocessError) as error:
            print(f"not compiled, runs from its sources: no environment for the compiler: {error}")
            return
        subprocess.run([python, script], check=False)


if __name__ == "__main__":
    main()
