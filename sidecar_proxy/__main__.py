"""The command line: `python3 -m sidecar_proxy COMMAND`. Builds its libraries if they are missing."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
USAGE = """usage: python3 -m sidecar_proxy COMMAND

  lab [--help]     play traffic and faults against a stand-in fleet and a real sidecar; half a minute
  check FILE       read a ledger that `lab --ledger` wrote, for the four rules
  campaign [--help] failures drawn by seed, played to the fleet until one breaks something; made smaller
  members SOCKET   what each source says of each node, from a running sidecar (membership.socket)
  gossip COMMAND   keys and certificates of gossip, and what a running sidecar knows of the others
  fleet COMMAND    words that hold for the whole fleet: begin, status, log, words, members, suspend, ...
  config COMMAND   check or show an operator file, or print the page of all its keys
  replay FILE      play a recording (recorder.enabled) to the decisions again, and say where they differ
  why FILE REQUEST one request's story, from a recording
  run              one real sidecar, told by PROXY_*; as deploy/balancer.toml starts it
"""


def enter_built() -> None:
    """Go on in the built environment where this one lacks the libraries. Hazard: once only, or a build that
    did not help would go round for ever."""
    try:
        import httptools  # noqa: F401
        import uvloop  # noqa: F401

        return
    except ImportError:
        pass
    build = ROOT / "deploy" / "build.py"
    if os.environ.get("SIDECAR_PROXY_BUILT") or not build.exists():
        sys.exit("sidecar_proxy: libraries of the sidecar are missing: pip install 'rosetrestle[sidecar]'")
    print("building .venv with the two pinned libraries ...", flush=True)
    if subprocess.run([sys.executable, str(build)], check=False).returncode != 0:
        sys.exit("sidecar_proxy: deploy/build.py failed; it wants a package index within reach")
    python = ROOT / ".venv" / "bin" / "python"
    os.environ["SIDECAR_PROXY_BUILT"] = "1"
    os.execv(python, [str(python), "-m", "sidecar_proxy", *sys.argv[1:]])


def check_file(arguments: list[str]) -> int:
    from sidecar_proxy.testbed import demo as show
    from sidecar_proxy.testbed import history as ledger
    from sidecar_proxy.testbed.checker import check, table
    from sidecar_proxy.testbed.scenario import Plan, bounds

    if len(arguments) != 1:
        print(USAGE, file=sys.stderr, end="")
        return 2
    try:
        with open(arguments[0]) as file:
            records = ledger.read(file)
    except (OSError, UnicodeDecodeError, ledger.LedgerError) as error:
        print(f"sidecar_proxy: {error}", file=sys.stderr)
        return 2
    show.print_table(table(records), sys.stdout)
    breaches = check(records, bounds(Plan()))
    show.print_verdict(breaches, sys.stdout)
    return 1 if breaches else 0


def main() -> int:
    command, *arguments = sys.argv[1:] or [""]
    if command == "lab":
        enter_built()
        from sidecar_proxy.testbed import demo as show

        return show.main(arguments)
    if command == "campaign":
        enter_built()
        from sidecar_proxy.testbed import campaign

        return campaign.main(arguments)
    if command == "check":
        return check_file(arguments)
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
        enter_built()
        from sidecar_proxy.cli import config

        return config.main(arguments)
    if command in ("replay", "why"):
        enter_built()
        from sidecar_proxy.cli import recorder

        return recorder.main(command, arguments)
    if command == "run":
        enter_built()
        from sidecar_proxy.daemon.__main__ import main as run

        return run()
    print(USAGE, file=sys.stderr if command not in ("-h", "--help") else sys.stdout, end="")
    return 0 if command in ("-h", "--help") else 2


if __name__ == "__main__":
    sys.exit(main())
