"""Counts what makes the code hard to read, by package: `python -m benchmarks.code_metrics [FOLDER]`.

For each package of FOLDER (the program's package by default): lines, public classes and functions without a
docstring, functions of more than 50 lines, comments that begin with "hazard:". Below the table: class names
that are defined in more than one module.
"""

from __future__ import annotations

import ast
import sys
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MAX_FUNCTION_LINES = 50

Function = ast.FunctionDef | ast.AsyncFunctionDef


@dataclass
class PackageMetrics:
    """The counts of one package."""

    lines: int = 0
    public_items: int = 0
    undocumented: int = 0
    long_functions: int = 0
    hazard_comments: int = 0

    def add(self, other: PackageMetrics) -> None:
        """Add the counts of another package."""
        self.lines += other.lines
        self.public_items += other.public_items
        self.undocumented += other.undocumented
        self.long_functions += other.long_functions
        self.hazard_comments += other.hazard_comments


def python_files(folder: Path) -> Iterator[Path]:
    """Yield the sources below a folder, without generated and compiled ones."""
    for path in sorted(folder.rglob("*.py")):
        if "_compiled" not in path.parts and not path.stem.endswith("_pb2"):
            yield path


def public_items(tree: ast.Module) -> Iterator[Function | ast.ClassDef]:
    """Yield the public classes, functions and methods of a module."""
    for node in tree.body:
        if not isinstance(node, Function | ast.ClassDef) or node.name.startswith("_"):
            continue
        yield node
        if isinstance(node, ast.ClassDef):
            for member in node.body:
                if isinstance(member, Function) and not member.name.startswith("_"):
                    yield member


def measure(text: str) -> PackageMetrics:
    """Return the counts of one module."""
    tree = ast.parse(text)
    items = list(public_items(tree))
    functions = [node for node in ast.walk(tree) if isinstance(node, Function)]
    return PackageMetrics(
        lines=len(text.splitlines()),
        public_items=len(items),
        undocumented=sum(ast.get_docstring(item) is None for item in items),
        long_functions=sum(
            (function.end_lineno or 0) - function.lineno + 1 > MAX_FUNCTION_LINES for function in functions
        ),
        hazard_comments=text.lower().count("hazard:"),
    )


def class_modules(folder: Path) -> dict[str, list[str]]:
    """Return, for each class name, the modules that define one of that name."""
    modules: dict[str, list[str]] = defaultdict(list)
    for path in python_files(folder):
        for node in ast.parse(path.read_text()).body:
            if isinstance(node, ast.ClassDef):
                modules[node.name].append(str(path.relative_to(folder)))
    return modules


def main(arguments: list[str]) -> int:
    """Print the table of one folder."""
    folder = Path(arguments[0]) if arguments else ROOT / "sidecar_proxy"
    packages: dict[str, PackageMetrics] = defaultdict(PackageMetrics)
    for path in python_files(folder):
        parts = path.relative_to(folder).parts
        metrics = measure(path.read_text())
        packages[parts[0] if len(parts) > 1 else "(top level)"].add(metrics)
        packages["all"].add(metrics)
    print(f"{'package':<20}{'lines':>8}{'public':>8}{'no docstring':>14}{'over 50 lines':>15}{'hazard':>8}")
    for name, metrics in sorted(packages.items(), key=lambda item: (item[0] == "all", item[0])):
        print(
            f"{name:<20}{metrics.lines:>8}{metrics.public_items:>8}{metrics.undocumented:>14}"
            f"{metrics.long_functions:>15}{metrics.hazard_comments:>8}"
        )
    shared = {name: modules for name, modules in class_modules(folder).items() if len(modules) > 1}
    print(f"class names defined in more than one module: {len(shared)}: {', '.join(sorted(shared))}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
