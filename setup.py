"""A wheel carries the compiled form of the hot path, where it can be made here; else the sources alone."""

import sys
from pathlib import Path

from setuptools import Distribution, setup
from setuptools.command.build_py import build_py

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE / "deploy"))

import compiled  # noqa: E402


class BuildPy(build_py):
    def run(self) -> None:
        super().run()
        if self.editable_mode:  # its sources are edited: deploy/build.py compiles them
            return
        try:
            print("compiled:", compiled.make(HERE, Path(self.build_lib) / "sidecar_proxy"))
        except compiled.Failed as error:
            print("not compiled, the wheel runs from its sources:", error)


class OneOfTwo(Distribution):
    def has_ext_modules(self) -> bool:
        """The wheel is this platform's where there is a C compiler."""
        try:
            compiled.compiler_command()
        except compiled.Failed:
            return False
        return True


setup(cmdclass={"build_py": BuildPy}, distclass=OneOfTwo)
