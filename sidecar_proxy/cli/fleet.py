"""`python3 -m sidecar_proxy fleet …`: the fleet is begun, told words that hold for all, and looked at, by the
door of any of its sidecars.

Exit: 0 done; 1 an error; 2 a wrong call; 3 unknown (say it again with the same --id); 4 no quorum, nothing
was changed.
"""

from __future__ import annotations

import argparse
import json
import secrets
import socket
import sys
import time
from typing import Any

TIMEOUT_S = 10.0
MOST_ANSWER = 16 << 20
EXITS = {"done": 0, "error": 1, "unknown": 3, "no quorum": 4}


def call(door: str, line: str) -> str:
    """One line at a door, and its answer. Raises OSError, ValueError."""
    host, _, port = door.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"{door}: expected HOST:PORT")
    with socket.create_connection((host.strip("[]"), int(port)), timeout=TIMEOUT_S) as one:
        one.sendall(f"FLEET {line}\n".encode())
        parts, size = [], 0
        while data := one.recv(65536):
            parts.append(data)
            size += len(data)
            if size > MOST_ANSWER:
                raise ValueError("an answer without end")
    return b"".join(parts).decode("utf-8", "replace").rstrip("\n")


def record(door: str, line: str) -> dict[str, Any]:
    """Raises OSError, ValueError."""
    answer = call(door, line)
    text, _, end = answer.rpartition("\n")
    if end != "end":
        raise ValueError(answer or "no answer")
    found: dict[str, Any] = json.loads(text)
    return found


def ago(seconds: float | None) -> str:
    return "never" if seconds is None else f"{seconds:.1f} s ago"


def at(ms: int | None) -> str:
    return "?" if ms is None else time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(ms / 1000))


def status(found: dict[str, Any]) -> list[str]:
    if not found["fleet"]:
        return [f"{found['name']}: no fleet was begun, as far as it knows"]
    leads = (
        f"{found['leader']} leads since {found['leader_since_s']:.1f} s"
        if found["leader"]
        else f"nobody leads, as far as it knows, since {found['leaderless_s']:.1f} s"
    )
    lines = [
        f"fleet {found['fleet']}, term {found['term']}: {leads}",
        f"told by {found['name']}, {found['role']}; up to date {ago(found['age_s'])}; committed "
        f"{found['commit']}, in effect {found['applied']}{', its disk is slow' * found['writing']}",
    ]
    for one in found["sidecars"]:
        lines.append(
            f"  {one['name']}{' votes,' if one['votes'] else ''} word {one['applied']}"
            f"{', ' + str(one['behind']) + ' behind' if one['behind'] else ''}"
        )
    return lines + [f"  {node}: votes, and is not there" for node in found["lost"]]


def members(found: dict[str, Any]) -> list[str]:
    there = {one["node"]: one for one in found["sidecars"]}
    return [
        f"{node}  {'there' if node in there else 'not there'}{'  leads' if node == found['leader'] else ''}"
        for node in found["voters"]
    ]


def log(found: dict[str, Any]) -> list[str]:
    lines = [f"up to date {ago(found['age_s'])}"]
    for one in found["words"]:
        missing = [name for name, ms in one["in_effect_ms"].items() if ms is None]
        last = max((ms for ms in one["in_effect_ms"].values() if ms is not None), default=None)
        value = f" = {one['value']}" if one["value"] else ""
        state = f"not yet at {', '.join(missing[:5])}" if missing else f"in effect at all by {at(last)}"
        lines.append(
            f"{one['index']}  {at(one['at_ms'])}  {one['kind']} {one['name']}{value}  "
            f"id {one['id']}, by {one['by']}; {state}"
        )
    return lines


def words(found: dict[str, Any]) -> list[str]:
    lines = [
        f"fleet {found['fleet'] or '(none)'}, up to word {found['index']}; up to date {ago(found['age_s'])}"
    ]
    lines += [f"{one['kind']} {name}  since word {one['index']}" for name, one in found["held"].items()]
    lines += [
        f"{name} = {one['value']}  since word {one['index']}" for name, one in found["settings"].items()
    ]
    lines += [
        f"{one['what']} {one['name']} holds a place since word {one['index']}, by {one['by']}"
        f"{', forced: ' + one['forced'] if one['forced'] else ''}"
        for one in found["places"]
    ]
    lines += [f"{name} waits for a place" for name in found["line"]]
    return lines + [f"word {index} is of a kind that this version does not know" for index in found["unread"]]


SHOWS = {
    "status": ("STATUS", status, "who leads since when, who is behind and by how much"),
    "members": ("STATUS", members, "who votes"),
    "log": ("LOG", log, "the latest words: by whom, when, and where they are in effect"),
    "words": ("WORDS", words, "what holds, as this sidecar knows it"),
}
SAYS = {
    "suspend": "nothing new is sent to an upstream until it is resumed",
    "drain": "nothing new is sent to an upstream until its next start",
    "resume": "an upstream may be sent to again",
    "permit": "take a place to be out, of node:NAME or sidecar:NAME",
    "return": "it is free again",
    "set": "a setting for all",
    "unset": "none any more",
}


def show(told: argparse.Namespace) -> int:
    line, shown, _ = SHOWS[told.command]
    found = record(told.door, line)
    print(json.dumps(found) if told.json else "\n".join(shown(found)))
    return 0


def say(told: argparse.Namespace) -> int:
    ident = told.id or secrets.token_hex(4)
    parts = {"begin": ["BEGIN"], "read": ["READ", told.name]}.get(
        told.command, [told.command.upper(), ident, told.name]
    )
    if told.value:
        parts.append(told.value)
    if any(not part.isprintable() for part in parts):
        raise ValueError("expected printable characters")
    answer = call(told.door, " ".join(parts))
    what = next((one for one in EXITS if answer.startswith(one)), "error")
    if told.json:
        print(json.dumps({"answer": what, "text": answer, "id": ident}))
    else:
        print(f"{answer}{f' (--id {ident})' if what == 'unknown' else ''}")
    return EXITS[what]


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(
        prog="python3 -m sidecar_proxy fleet",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True)

    def command(name: str, text: str, run: Any) -> argparse.ArgumentParser:
        one = commands.add_parser(name, help=text)
        one.add_argument("door", metavar="HOST:PORT", help="a sidecar's door")
        one.add_argument("--json", action="store_true")
        one.set_defaults(run=run, id="", name="", value="")
        return one

    command("begin", "make a fleet of the sidecars that know one another; once, by one of them", say)
    for name, (_, _, text) in SHOWS.items():
        command(name, text, show)
    command("read", "what holds of an upstream or setting, by the leader's word", say).add_argument("name")
    for name, text in SAYS.items():
        one = command(name, text, say)
        one.add_argument("name")
        if name == "set":
            one.add_argument("value")
        elif name in ("suspend", "drain", "permit"):
            one.add_argument("value", nargs="?", choices=["force", "wait"], default="")
        one.add_argument("--id", default="", help="of this word; the same one says it again")
    told = parser.parse_args(arguments)
    try:
        return int(told.run(told))
    except (OSError, ValueError) as error:
        print(f"sidecar_proxy: {error}", file=sys.stderr)
        return 1
