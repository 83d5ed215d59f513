"""The command line: `python3 -m sidecar_proxy COMMAND`. Builds an environment if libraries are missing."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
USAGE = """usage: python3 -m sidecar_proxy COMMAND

  lab [--help]      run traffic and faults against test upstreams and a sidecar process; half a minute
  check FILE        check a history that `lab --ledger` wrote against the four service rules
  campaign [--help] inject random faults by seed until a rule is violated, and reduce that case
  members SOCKET    show the state of each upstream by discovery source, from a running sidecar
                    (membership.socket)
  gossip COMMAND    manage the keys and certificates of gossip, or show the gossip state of a running sidecar
  fleet COMMAND     manage the replicated state of the fleet: begin, status, log, words, members, suspend, ...
  config COMMAND    check or show an operator file, or print the reference of all its keys
  replay FILE       replay a recording (recorder.enabled) to the balancer, and show different actions
  why FILE REQUEST  explain the processing of one request, from a recording
  run               run a sidecar that the PROXY_* variables configure, as deploy/balancer.toml starts it
"""


def ensure_libraries() -> None:
    """Build an environment and restart the command in it if the libraries of the sidecar are missing.

    Exits if they are still missing after that: with a build that has not installed them, the command would
    otherwise restart forever.
    """
    try:
        import httptools  # noqa: F401
        import uvloop  # noqa: F401

        return
    except ImportError:
        pass
    build = ROOT / "deploy" / "build.py"
    if os.environ.get("SIDECAR_PROXY_BUILT") or not build.exists():
        sys.exit("sidecar_proxy: libraries of the sidecar are missing: pip install 'rosetrestle[sidecar]'")
    print("building .venv with the pinned libraries of the sidecar ...", flush=True)
    if subprocess.run([sys.executable, str(build)], check=False).returncode != 0:
        sys.exit("sidecar_proxy: deploy/build.py failed; it needs access to a package index")
    python = ROOT / ".venv" / "bin" / "python"
    os.environ["SIDECAR_PROXY_BUILT"] = "1"
    os.execv(python, [str(python), "-m", "sidecar_proxy", *sys.argv[1:]])


def check_history(arguments: list[str]) -> int:
    """Check a stored history against the service rules; return the exit status."""
    from sidecar_proxy.testbed import demo, history
    from sidecar_proxy.testbed.checker import check, table
    from sidecar_proxy.testbed.scenario import Plan, bounds

    if len(arguments) != 1:
        print(USAGE, file=sys.stderr, end="")
        return 2
    try:
        with open(arguments[0]) as file:
            records = history.read(file)
    except (OSError, UnicodeDecodeError, history.LedgerError) as error:
        print(f"sidecar_proxy: {error}", file=sys.stderr)
        return 2
    demo.print_table(table(records), sys.stdout)
    breaches = check(records, bounds(Plan()))
    demo.print_verdict(breaches, sys.stdout)
    return 1 if breaches else 0


def main() -> int:
    """Run the command in the arguments of the process; return the exit status."""
    command, *arguments = sys.argv[1:] or [""]
    if command == "lab":
        ensure_libraries()
        from sidecar_proxy.testbed import demo

        return demo.main(arguments)
    if command == "campaign":
        ensure_libraries()
        from sidecar_proxy.testbed import campaign

        return campaign.main(arguments)
    if command == "check":
        return check_history(arguments)
    if command == "members":
        from sidecar_proxy.cli import members

        return members.main(arguments)
    if command == "gossip":
        from sidecar_proxy.cli import gossip

        return gossip.main(arguments)
    if command == "fleet":
        from sidecar_proxy.cli import fleet

        return fleet.main(arguments)
    if command == "config":
        ensure_libraries()
        from sidecar_proxy.cli import config

        return config.main(arguments)
    if command in ("replay", "why"):
        ensure_libraries()
        from sidecar_proxy.cli import recorder

        return recorder.main(command, arguments)
    if command == "run":
        ensure_libraries()
        from sidecar_proxy.daemon.__main__ import main as run_sidecar

        return run_sidecar()
    print(USAGE, file=sys.stderr if command not in ("-h", "--help") else sys.stdout, end="")
    return 0 if command in ("-h", "--help") else 2


if __name__ == "__main__":
    sys.exit(main())
