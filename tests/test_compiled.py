"""The compiled form is loaded if it belongs to the sources, and only then; both forms do the same."""

from __future__ import annotations

import ast
import json
import os
import shutil
import subprocess
import sys
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from tests.admin.admin_sidecar import AdminSidecar, shared_by_processes
from tests.sockets import Sidecar, Upstream, eventually

ROOT = Path(__file__).resolve().parent.parent
ASK = "import sidecar_proxy, tiny.work; print(sidecar_proxy.compiled.state); print(tiny.work.__file__)"
TINY = """def double(one: int) -> int:
    if one < 0:
        raise ValueError("below 0")
    return one * 2
"""


def env(pure: str = "", **more: str) -> dict[str, str]:
    kept = {name: value for name, value in os.environ.items() if name != "SIDECAR_PROXY_PURE"}
    return kept | {"PYTHONDONTWRITEBYTECODE": "1"} | ({"SIDECAR_PROXY_PURE": pure} if pure else {}) | more


@pytest.fixture(scope="module")
def made(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """A project of one small module, compiled by two builds at once."""
    root = tmp_path_factory.mktemp("tiny")
    for name in (
        "deploy/compiled.py",
        "sidecar_proxy/compiled.py",
        "sidecar_proxy/__init__.py",
        "sidecar_proxy/environment.py",
    ):
        (root / name).parent.mkdir(exist_ok=True)
        shutil.copy(ROOT / name, root / name)
    (root / "tiny").mkdir()
    (root / "tiny/__init__.py").touch()
    (root / "tiny/work.py").write_text(TINY)
    pin = '[tool.sidecar_proxy.compiled]\ncompiler = "mypy"\nmodules = ["tiny/work.py"]\n'
    (root / "pyproject.toml").write_text(pin)
    with ThreadPoolExecutor() as workers:
        done = list(workers.map(lambda _: build(root), range(2)))
    assert [one.returncode for one in done] == [0, 0], [one.stdout + one.stderr for one in done]
    assert len(list((root / "sidecar_proxy/_compiled").iterdir())) == 1
    return root


@pytest.fixture
def tree(made: Path, tmp_path: Path) -> Path:
    """A copy to spoil."""
    return Path(shutil.copytree(made, tmp_path / "copy"))


def build(root: Path, **more: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "deploy/compiled.py"],
        cwd=root,
        env=env(**more),
        text=True,
        capture_output=True,
        timeout=300,
    )


def ask(root: Path, code: str = ASK, pure: str = "") -> list[str]:
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=root, env=env(pure), text=True, capture_output=True, timeout=60
    )
    return (done.stdout + done.stderr).splitlines()


def folder(root: Path) -> Path:
    return next((root / "sidecar_proxy/_compiled").iterdir())


def test_it_is_loaded_and_the_sources_are_on_request(tree: Path) -> None:
    state, path = ask(tree)
    assert state == f"compiled ({folder(tree).name})" and path.endswith(".so")
    state, path = ask(tree, pure="1")
    assert state.startswith("from its sources") and path.endswith("work.py")


def test_errors_keep_file_and_line_and_integers_may_be_of_any_size(tree: Path) -> None:
    code = "import sidecar_proxy, tiny.work as t; print(t.double(2**80) == 2**81); t.double(-1)"
    lines = ask(tree, code)
    assert lines[0] == "True" and lines[-1] == "ValueError: below 0"
    assert 'File "tiny/work.py", line 3, in double' in "\n".join(lines)


def test_nothing_that_is_compiled_calls_itself() -> None:
    """Compiled, it would have no limit but the stack: what goes too deep ends the process."""
    told = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]
    modules = told["sidecar_proxy"]["compiled"]["modules"]
    found = []
    for name in modules:
        for one in ast.walk(ast.parse((ROOT / name).read_text())):
            if isinstance(one, ast.FunctionDef):
                calls = [call.func for call in ast.walk(one) if isinstance(call, ast.Call)]
                found += [
                    f"{name}: {one.name}"
                    for call in calls
                    if one.name
                    == (
                        call.id
                        if isinstance(call, ast.Name)
                        else call.attr
                        if isinstance(call, ast.Attribute)
                        and isinstance(call.value, ast.Name)
                        and call.value.id == "self"
                        else ""
                    )
                ]
    assert len(modules) >= 10 and not found


@pytest.mark.parametrize(
    "spoil, why",
    [
        ("source", "made of other sources"),
        ("cut", "is not whole"),
        ("gone", "No such file"),
        ("abi", "made of other sources, or for another Python"),
        ("manifest", "malformed"),
        ("away", "malformed"),
        ("part", ""),
    ],
)
def test_what_is_not_of_these_sources_or_not_whole_is_never_loaded(tree: Path, spoil: str, why: str) -> None:
    one = folder(tree)
    library = next(one.glob("sidecar_proxy__mypyc*.so"))
    manifest = json.loads((one / "manifest.json").read_text())
    if spoil == "source":
        (tree / "tiny/work.py").write_text(TINY.replace("* 2", "* 3"))
    elif spoil == "cut":
        library.write_bytes(library.read_bytes()[:-1])
    elif spoil == "gone":
        library.unlink()
    elif spoil == "abi":  # as another Python would have named it
        one.rename(one.with_name("0123456789abcdef0123"))
    elif spoil == "manifest":
        (one / "manifest.json").write_text('{"modules": 3, "compiler": [], "files": {}}')
    elif spoil == "away":
        name, size = manifest["files"]["tiny.work"]
        shutil.copy(one / name, one.parent.parent / name)
        manifest["files"]["tiny.work"] = [f"../../{name}", size]
        (one / "manifest.json").write_text(json.dumps(manifest))
    else:  # a build under way, or one that was cut off
        one.rename(one.with_name(one.name + "-x.part"))
    state, path, *more = ask(tree)
    assert state.startswith("from its sources") and why in state and path.endswith("work.py") and not more


@pytest.mark.parametrize(
    "trouble, why", [("compiler", "no C compiler"), ("types", "error:"), ("folder", "can't be written")]
)
def test_what_can_not_be_compiled_costs_one_line_and_runs_from_its_sources(
    tree: Path, trouble: str, why: str
) -> None:
    shutil.rmtree(tree / "sidecar_proxy/_compiled")
    if trouble == "types":
        (tree / "tiny/work.py").write_text(TINY.replace("one * 2", "'two'"))
    elif trouble == "folder":
        (tree / "sidecar_proxy/_compiled").write_text("in the way")
    done = build(tree, **({"CC": "/nowhere/cc"} if trouble == "compiler" else {}))
    assert done.returncode == 1 and not done.stderr
    (line,) = done.stdout.splitlines()
    assert line.startswith("not compiled, runs from its sources: ") and why in line
    state, path = ask(tree)
    assert state.startswith("from its sources") and path.endswith("work.py")


def test_a_changed_source_is_compiled_anew_and_the_older_form_goes(tree: Path) -> None:
    before = folder(tree).name
    (tree / "tiny/work.py").write_text(TINY + "\n\nMORE = 1\n")
    assert build(tree).returncode == 0
    assert folder(tree).name != before and len(list((tree / "sidecar_proxy/_compiled").iterdir())) == 1
    assert ask(tree)[0] == f"compiled ({folder(tree).name})"


def test_compiled_and_sources_take_the_same_actions_on_the_same_events() -> None:
    """A million events: `python -m benchmarks.same`."""
    done = subprocess.run(
        [sys.executable, "-m", "benchmarks.same", "--events", "60000", "--seed", "7"],
        cwd=ROOT,
        env=env(),
        text=True,
        capture_output=True,
        timeout=120,
    )
    assert done.returncode == 0, done.stdout + done.stderr


def test_a_compiled_process_follows_one_from_sources_and_the_other_way_round() -> None:
    with Upstream() as one, Upstream() as two, shared_by_processes() as (listener, shared):
        for first, second in (("1", "0"), ("0", "1")):
            with AdminSidecar(
                [one, two], shared, listener=listener, env={"SIDECAR_PROXY_PURE": first}
            ) as old:
                for _ in range(20):
                    assert old.request("GET", "/read/7").status == 200
                assert old.call(f"SUSPEND {one.name}") == "done"
                with AdminSidecar(
                    [one, two], shared, listener=listener, env={"SIDECAR_PROXY_PURE": second}
                ) as new:
                    states = [
                        next(line for line in each.log_lines if " runs " in line) for each in (old, new)
                    ]
                    assert sorted("compiled" in line for line in states) == [False, True]
                    eventually(
                        lambda new=new: [  # type: ignore[misc]
                            line for line in new.log_lines if "took over the warm-start state" in line
                        ]
                    )
                    assert old.stop() == 0
                    before = len(one.requests)
                    assert {new.request("GET", "/read/7").status for _ in range(20)} == {200}
                    assert len(one.requests) == before  # the suspension holds in the other form too
                    assert new.call(f"RESTORE {one.name}") == "done"


def test_a_fault_in_compiled_decisions_costs_one_request_and_says_where() -> None:
    code = (
        "from sidecar_proxy.balancer import events as api\n"
        "from sidecar_proxy.balancer.balancer import Balancer\n"
        "b = Balancer(api.Settings([api.RequestClass('read', 1000, 5000)]), 1, 0)\n"
        "try:\n    b.handle(0, api.RequestArrived(1, 5000, 9))\nexcept IndexError:\n"
        "    import traceback; traceback.print_exc()\n"
        "b.handle(5, api.RequestArrived(2, 5005)); print(len(b.requests) <= 1)"
    )
    lines = ask(ROOT, code)
    place = 'File "sidecar_proxy/balancer/balancer.py", line '
    assert any(place in line for line in lines) and "True" in lines


def test_the_sidecar_says_first_which_of_the_two_it_runs() -> None:
    with Upstream() as upstream, Sidecar([upstream], env={"SIDECAR_PROXY_PURE": "1"}) as sidecar:
        assert sidecar.log_lines[0] == "sidecar_proxy: runs from its sources, as SIDECAR_PROXY_PURE says"
