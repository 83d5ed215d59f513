"""The command line: `python3 -m wickspread COMMAND`. Needs nothing but Python: it builds what is missing."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
USAGE = """usage: python3 -m wickspread COMMAND

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
    if os.environ.get("WICKSPREAD_BUILT") or not build.exists():
        sys.exit("wickspread: the libraries of the sidecar are missing: pip install 'wickspread[sidecar]'")
    print("building .venv with the two pinned libraries ...", flush=True)
    if subprocess.run([sys.executable, str(build)], check=False).returncode != 0:
        sys.exit("wickspread: deploy/build.py failed; it wants a package index within reach")
    python = ROOT / ".venv" / "bin" / "python"
    os.environ["WICKSPREAD_BUILT"] = "1"
    os.execv(python, [str(python), "-m", "wickspread", *sys.argv[1:]])


def check_file(arguments: list[str]) -> int:
    from wickspread.lab import ledger, show
    from wickspread.lab.checker import check, table
    from wickspread.lab.scene import Plan, bounds

    if len(arguments) != 1:
        print(USAGE, file=sys.stderr, end="")
        return 2
    try:
        with open(arguments[0]) as file:
            records = ledger.read(file)
    except (OSError, UnicodeDecodeError, ledger.LedgerError) as error:
        print(f"wickspread: {error}", file=sys.stderr)
        return 2
    show.print_table(table(records), sys.stdout)
    breaches = check(records, bounds(Plan()))
    show.print_verdict(breaches, sys.stdout)
    return 1 if breaches else 0


def main() -> int:
    command, *arguments = sys.argv[1:] or [""]
    if command == "lab":
        enter_built()
        from wickspread.lab import show

        return show.main(arguments)
    if command == "campaign":
        enter_built()
        from wickspread.lab import campaign

        return campaign.main(arguments)
    if command == "check":
        return check_file(arguments)
    if command == "members":
        from wickspread.membership import show as members

        return members.main(arguments)
    if command == "gossip":
        from wickspread.gossip import command as gossip

        return gossip.main(arguments)
    if command == "fleet":
        from wickspread.agreement import command as fleet

        return fleet.main(arguments)
    if command == "config":
        enter_built()
        from wickspread.operator import command as config

        return config.main(arguments)
    if command in ("replay", "why"):
        enter_built()
        from wickspread.recorder import command as recorder

        return recorder.main(command, arguments)
    if command == "run":
        enter_built()
        from wickspread.daemon.__main__ import main as run

        return run()
    print(USAGE, file=sys.stderr if command not in ("-h", "--help") else sys.stdout, end="")
    return 0 if command in ("-h", "--help") else 2


if __name__ == "__main__":
    sys.exit(main())
