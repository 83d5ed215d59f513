"""The house's rooms: what each may import, and no circle among modules, whether imported at once, later or
for types alone."""

from __future__ import annotations

import ast
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

from tests.sockets import ROOT

# A room and those below it that it may use; docs/design.md says what each is for.
ROOMS: dict[str, set[str]] = {
    "balancer": set(),
    "engine": {"balancer", "environment"},
    "http2": set(),
    "simulator_adapter": {"balancer"},
    "config": {"balancer", "engine", "environment"},
    "http1": {"balancer", "engine"},
    "grpc": {"balancer", "config", "engine", "http1", "http2"},
    "discovery": {"balancer", "config", "engine", "grpc", "http1", "http2"},
    "admin": {"balancer", "discovery", "engine"},
    "gossip": {"balancer", "config", "discovery", "engine"},
    "consensus": {"admin", "balancer", "config", "discovery", "engine", "environment", "gossip"},
    "model_checking": {"consensus"},
    "overload_control": {"admin", "balancer", "config", "engine", "gossip"},
    "recorder": {"balancer", "config", "engine"},
    "daemon": {
        "admin",
        "balancer",
        "compiled",
        "config",
        "consensus",
        "discovery",
        "engine",
        "gossip",
        "grpc",
        "http1",
        "overload_control",
        "recorder",
    },
    "testbed": {"balancer", "compiled", "discovery", "gossip", "grpc", "http2", "overload_control"},
    "emulator": {"balancer", "overload_control", "testbed"},
    "cli": {"config", "discovery", "gossip", "recorder"},
    "compiled": {"environment"},
    "environment": set(),
    "__main__": {"cli", "daemon", "testbed"},
    "": {"compiled"},
}


def modules() -> dict[str, Path]:
    found = {}
    for path in sorted((ROOT / "sidecar_proxy").rglob("*.py")):
        name = ".".join(path.relative_to(ROOT).with_suffix("").parts)
        found[name.removesuffix(".__init__")] = path
    return found


def imports(path: Path, known: dict[str, Path]) -> set[str]:
    """The modules of the house that one names anywhere in it."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and (node.module or "").partition(".")[0] == "sidecar_proxy":
            module = node.module or ""
            named = (f"{module}.{alias.name}" for alias in node.names)
            found |= {one if one in known else module for one in named}
        elif isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names if alias.name in known}
    return found


KNOWN = modules()
GRAPH = {name: imports(path, KNOWN) for name, path in KNOWN.items()}


def room(module: str) -> str:
    return (module.split(".") + [""])[1]


@pytest.mark.parametrize("name", sorted({room(one) for one in KNOWN}))
def test_a_room_imports_those_below_it_alone(name: str) -> None:
    used = {
        f"{one} imports {other}"
        for one, others in GRAPH.items()
        for other in others
        if room(one) == name and room(other) not in {name, *ROOMS[name]}
    }
    assert not used
    named = {room(other) for one, others in GRAPH.items() if room(one) == name for other in others} - {name}
    assert named == ROOMS[name], "the table allows what nobody uses"


def test_neither_rooms_nor_modules_go_round_in_circles() -> None:
    assert list(TopologicalSorter(ROOMS).static_order())
    assert len(GRAPH) > 80 and GRAPH["sidecar_proxy.daemon.__main__"]  # it is the house that was read
    try:
        TopologicalSorter(GRAPH).prepare()
    except CycleError as error:
        pytest.fail(" -> ".join(error.args[1]))


def test_the_decisions_have_no_input_output_clock_or_threads() -> None:
    barred = {"asyncio", "socket", "time", "threading", "os", "select", "subprocess", "uvloop", "datetime"}
    for name, path in KNOWN.items():
        if room(name) == "decisions":
            used = {
                alias.name
                for node in ast.walk(ast.parse(path.read_text()))
                if isinstance(node, ast.Import)
                for alias in node.names
            }
            assert not used & barred, name
