"""Brings .venv up to date with the `sidecar` pins of pyproject.toml, and compiles what `run` imports."""

import subprocess
import sys
import tomllib
import venv
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
VENV = ROOT / ".venv"
STAMP = VENV / "pins.txt"  # written last: a build that was cut off is done again


def main() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    pins = project["optional-dependencies"]["sidecar"]
    stamp = "\n".join([sys.version, str(VENV), *pins])  # a venv holds its interpreter's and its own path
    python = VENV / "bin" / "python"
    if not (python.exists() and STAMP.exists() and STAMP.read_text() == stamp):
        venv.create(VENV, clear=True, symlinks=True, with_pip=True)
        subprocess.run([python, "-m", "pip", "install", "--quiet", "--disable-pip-version-check", *pins],
                       check=True)
        STAMP.write_text(stamp)
    # hazard: `run` writes no byte code; compiled anew at each start, it is away longer at a restart
    subprocess.run([python, "-m", "compileall", "-q", ROOT / "wickspread"], check=False)


if __name__ == "__main__":
    main()
