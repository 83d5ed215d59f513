"""The compiled form is loaded only if it belongs to the sources, and behaves as the sources do."""

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
PRINT_FORM = "import sidecar_proxy, tiny.work; print(sidecar_proxy.compiled.state); print(tiny.work.__file__)"
SOURCE = """def double(value: int) -> int:
    if value < 0:
        raise ValueError("below 0")
    return value * 2
"""


def environment(pure: str = "", **extra: str) -> dict[str, str]:
    """Return the environment of a process, with SIDECAR_PROXY_PURE only if it is given."""
    inherited = {name: value for name, value in os.environ.items() if name != "SIDECAR_PROXY_PURE"}
    return (
        inherited | {"PYTHONDONTWRITEBYTECODE": "1"} | ({"SIDECAR_PROXY_PURE": pure} if pure else {}) | extra
    )


@pytest.fixture(scope="module")
def built_project(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """A project of one small module, compiled by two concurrent builds."""
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
    (root / "tiny/work.py").write_text(SOURCE)
    config = '[tool.sidecar_proxy.compiled]\ncompiler = "mypy"\nmodules = ["tiny/work.py"]\n'
    (root / "pyproject.toml").write_text(config)
    with ThreadPoolExecutor() as workers:
        builds = list(workers.map(lambda _: build(root), range(2)))
    assert [done.returncode for done in builds] == [0, 0], [done.stdout + done.stderr for done in builds]
    assert len(list((root / "sidecar_proxy/_compiled").iterdir())) == 1
    return root


@pytest.fixture
def project(built_project: Path, tmp_path: Path) -> Path:
    """A copy of the compiled project, which a test may change."""
    return Path(shutil.copytree(built_project, tmp_path / "copy"))


def build(root: Path, **extra: str) -> subprocess.CompletedProcess[str]:
    """Compile the project, with these additional environment variables."""
    return subprocess.run(
        [sys.executable, "deploy/compiled.py"],
        cwd=root,
        env=environment(**extra),
        text=True,
        capture_output=True,
        timeout=300,
    )


def run_python(root: Path, code: str = PRINT_FORM, pure: str = "") -> list[str]:
    """Run code in the project, and return the lines that it prints."""
    done = subprocess.run(
        [sys.executable, "-c", code],
        cwd=root,
        env=environment(pure),
        text=True,
        capture_output=True,
        timeout=60,
    )
    return (done.stdout + done.stderr).splitlines()


def compiled_folder(root: Path) -> Path:
    """Return the folder of the project's compiled form."""
    return next((root / "sidecar_proxy/_compiled").iterdir())


def test_the_compiled_form_is_loaded_and_the_sources_on_request(project: Path) -> None:
    state, path = run_python(project)
    assert state == f"compiled ({compiled_folder(project).name})" and path.endswith(".so")
    state, path = run_python(project, pure="1")
    assert state.startswith("from its sources") and path.endswith("work.py")


def test_compiled_errors_name_file_and_line_and_integers_may_be_of_any_size(project: Path) -> None:
    code = "import sidecar_proxy, tiny.work as t; print(t.double(2**80) == 2**81); t.double(-1)"
    lines = run_python(project, code)
    assert lines[0] == "True" and lines[-1] == "ValueError: below 0"
    assert 'File "tiny/work.py", line 3, in double' in "\n".join(lines)


def test_no_compiled_function_calls_itself() -> None:
    """Compiled recursion has no limit but the stack: recursion that is too deep ends the process."""
    tools = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]
    modules = tools["sidecar_proxy"]["compiled"]["modules"]
    recursive = []
    for name in modules:
        for node in ast.walk(ast.parse((ROOT / name).read_text())):
            if isinstance(node, ast.FunctionDef):
                calls = [call.func for call in ast.walk(node) if isinstance(call, ast.Call)]
                recursive += [
                    f"{name}: {node.name}"
                    for call in calls
                    if node.name
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
    assert len(modules) >= 10 and not recursive


@pytest.mark.parametrize(
    "damage, reason",
    [
        ("source", "made of other sources"),
        ("cut", "is incomplete"),
        ("gone", "No such file"),
        ("abi", "made of other sources, or for another Python"),
        ("manifest", "malformed"),
        ("outside", "malformed"),
        ("part", ""),
    ],
)
def test_a_compiled_form_of_other_sources_or_a_damaged_one_is_never_loaded(
    project: Path, damage: str, reason: str
) -> None:
    folder = compiled_folder(project)
    library = next(folder.glob("sidecar_proxy__mypyc*.so"))
    manifest = json.loads((folder / "manifest.json").read_text())
    if damage == "source":
        (project / "tiny/work.py").write_text(SOURCE.replace("* 2", "* 3"))
    elif damage == "cut":
        library.write_bytes(library.read_bytes()[:-1])
    elif damage == "gone":
        library.unlink()
    elif damage == "abi":  # a folder name as another Python version would compute it
        folder.rename(folder.with_name("0123456789abcdef0123"))
    elif damage == "manifest":
        (folder / "manifest.json").write_text('{"modules": 3, "compiler": [], "files": {}}')
    elif damage == "outside":
        name, size = manifest["files"]["tiny.work"]
        shutil.copy(folder / name, folder.parent.parent / name)
        manifest["files"]["tiny.work"] = [f"../../{name}", size]
        (folder / "manifest.json").write_text(json.dumps(manifest))
    else:  # a build that is in progress, or was interrupted
        folder.rename(folder.with_name(folder.name + "-x.part"))
    state, path, *other_lines = run_python(project)
    assert (
        state.startswith("from its sources")
        and reason in state
        and path.endswith("work.py")
        and not other_lines
    )


@pytest.mark.parametrize(
    "fault, reason", [("compiler", "no C compiler"), ("types", "error:"), ("folder", "can't be written")]
)
def test_a_failed_build_prints_one_line_and_the_sources_run(project: Path, fault: str, reason: str) -> None:
    shutil.rmtree(project / "sidecar_proxy/_compiled")
    if fault == "types":
        (project / "tiny/work.py").write_text(SOURCE.replace("value * 2", "'two'"))
    elif fault == "folder":
        (project / "sidecar_proxy/_compiled").write_text("a file in place of the folder")
    done = build(project, **({"CC": "/nowhere/cc"} if fault == "compiler" else {}))
    assert done.returncode == 1 and not done.stderr
    (line,) = done.stdout.splitlines()
    assert line.startswith("not compiled, runs from its sources: ") and reason in line
    state, path = run_python(project)
    assert state.startswith("from its sources") and path.endswith("work.py")


def test_a_changed_source_is_compiled_again_and_the_older_form_is_deleted(project: Path) -> None:
    old_name = compiled_folder(project).name
    (project / "tiny/work.py").write_text(SOURCE + "\n\nMORE = 1\n")
    assert build(project).returncode == 0
    assert (
        compiled_folder(project).name != old_name
        and len(list((project / "sidecar_proxy/_compiled").iterdir())) == 1
    )
    assert run_python(project)[0] == f"compiled ({compiled_folder(project).name})"


def test_compiled_and_sources_take_the_same_actions_on_the_same_events() -> None:
    """`python -m benchmarks.same` does the same with a million events."""
    done = subprocess.run(
        [sys.executable, "-m", "benchmarks.same", "--events", "60000", "--seed", "7"],
        cwd=ROOT,
        env=environment(),
        text=True,
        capture_output=True,
        timeout=120,
    )
    assert done.returncode == 0, done.stdout + done.stderr


def test_a_compiled_process_succeeds_one_from_sources_and_the_other_way_round() -> None:
    with Upstream() as upstream, Upstream() as other_upstream, shared_by_processes() as (listener, shared):
        for first, second in (("1", "0"), ("0", "1")):
            with AdminSidecar(
                [upstream, other_upstream], shared, listener=listener, env={"SIDECAR_PROXY_PURE": first}
            ) as old:
                for _ in range(20):
                    assert old.request("GET", "/read/7").status == 200
                assert old.call(f"SUSPEND {upstream.name}") == "done"
                with AdminSidecar(
                    [upstream, other_upstream], shared, listener=listener, env={"SIDECAR_PROXY_PURE": second}
                ) as new:
                    states = [
                        next(line for line in process.log_lines if " runs " in line) for process in (old, new)
                    ]
                    assert sorted("compiled" in line for line in states) == [False, True]
                    eventually(
                        lambda new=new: [  # type: ignore[misc]
                            line for line in new.log_lines if "took over the warm-start state" in line
                        ]
                    )
                    assert old.stop() == 0
                    request_count = len(upstream.requests)
                    assert {new.request("GET", "/read/7").status for _ in range(20)} == {200}
                    # The suspension applies in the other form too.
                    assert len(upstream.requests) == request_count
                    assert new.call(f"RESTORE {upstream.name}") == "done"


def test_an_exception_in_the_compiled_balancer_names_the_line_and_ends_only_one_request() -> None:
    code = (
        "from sidecar_proxy.balancer import events as api\n"
        "from sidecar_proxy.balancer.balancer import Balancer\n"
        "b = Balancer(api.Settings([api.RequestClass('read', 1000, 5000)]), 1, 0)\n"
        "try:\n    b.handle(0, api.RequestArrived(1, 5000, 9))\nexcept IndexError:\n"
        "    import traceback; traceback.print_exc()\n"
        "b.handle(5, api.RequestArrived(2, 5005)); print(len(b.requests) <= 1)"
    )
    lines = run_python(ROOT, code)
    location = 'File "sidecar_proxy/balancer/balancer.py", line '
    assert any(location in line for line in lines) and "True" in lines


def test_the_first_log_line_of_the_sidecar_names_the_form_that_runs() -> None:
    with Upstream() as upstream, Sidecar([upstream], env={"SIDECAR_PROXY_PURE": "1"}) as sidecar:
        assert sidecar.log_lines[0] == "sidecar_proxy: runs from its sources, as SIDECAR_PROXY_PURE says"
