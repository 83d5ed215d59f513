"""`python3 -m sidecar_proxy fleet …`: commands for the whole fleet, sent to the admin server of any sidecar.

Exit status: 0 success; 1 an error; 2 invalid usage; 3 unknown outcome (repeat the command with the same
--id); 4 no quorum, nothing was changed.
"""

from __future__ import annotations

import argparse
import json
import secrets
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

TIMEOUT_S = 10.0
MAX_ANSWER_BYTES = 16 << 20
RECEIVE_BYTES = 65536
ID_BYTES = 4
MAX_SHOWN_SIDECARS = 5
END_LINE = "end"  # the last line of an answer that is a JSON object
EXIT_ERROR = 1
EXIT_STATUS_BY_ANSWER = {"done": 0, "error": EXIT_ERROR, "unknown": 3, "no quorum": 4}


def send_command(address: str, line: str) -> str:
    """Sends one FLEET command to an admin server and returns the answer. Raises OSError and ValueError."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"{address}: expected HOST:PORT")
    parts = []
    size = 0
    with socket.create_connection((host.strip("[]"), int(port)), timeout=TIMEOUT_S) as connection:
        connection.sendall(f"FLEET {line}\n".encode())
        while data := connection.recv(RECEIVE_BYTES):
            parts.append(data)
            size += len(data)
            if size > MAX_ANSWER_BYTES:
                raise ValueError(f"{address}: the answer is larger than {MAX_ANSWER_BYTES} bytes")
    return b"".join(parts).decode("utf-8", "replace").rstrip("\n")


def query_object(address: str, line: str) -> dict[str, Any]:
    """Sends one FLEET command whose answer is a JSON object. Raises OSError and ValueError."""
    answer = send_command(address, line)
    text, _, last_line = answer.rpartition("\n")
    if last_line != END_LINE:
        raise ValueError(answer or "no answer")
    json_object: dict[str, Any] = json.loads(text)
    return json_object


def format_age(seconds: float | None) -> str:
    """Returns the age of a sidecar's information as text."""
    return "never" if seconds is None else f"{seconds:.1f} s ago"


def format_time(unix_ms: int | None) -> str:
    """Returns a Unix time in UTC as text."""
    return "?" if unix_ms is None else time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(unix_ms / 1000))


def format_status(status: dict[str, Any]) -> list[str]:
    """Returns the lines of `fleet status`."""
    if not status["fleet"]:
        return [f"{status['name']}: no fleet was begun, as far as it knows"]
    if status["leader"]:
        leader = f"{status['leader']} leads since {status['leader_since_s']:.1f} s"
    else:
        leader = f"nobody leads, as far as it knows, since {status['leaderless_s']:.1f} s"
    slow_disk = ", its disk is slow" if status["writing"] else ""
    lines = [
        f"fleet {status['fleet']}, term {status['term']}: {leader}",
        f"told by {status['name']}, {status['role']}; up to date {format_age(status['age_s'])}; committed "
        f"{status['commit']}, in effect {status['applied']}{slow_disk}",
    ]
    for sidecar in status["sidecars"]:
        votes = " votes," if sidecar["votes"] else ""
        behind = f", {sidecar['behind']} behind" if sidecar["behind"] else ""
        lines.append(f"  {sidecar['name']}{votes} word {sidecar['applied']}{behind}")
    return lines + [f"  {node}: votes, and is not there" for node in status["lost"]]


def format_voters(status: dict[str, Any]) -> list[str]:
    """Returns the lines of `fleet members`."""
    present = {sidecar["node"] for sidecar in status["sidecars"]}
    lines = []
    for node in status["voters"]:
        presence = "there" if node in present else "not there"
        leads = "  leads" if node == status["leader"] else ""
        lines.append(f"{node}  {presence}{leads}")
    return lines


def format_log(answer: dict[str, Any]) -> list[str]:
    """Returns the lines of `fleet log`."""
    lines = [f"up to date {format_age(answer['age_s'])}"]
    for command in answer["words"]:
        value = f" = {command['value']}" if command["value"] else ""
        lines.append(
            f"{command['index']}  {format_time(command['at_ms'])}  {command['kind']} {command['name']}"
            f"{value}  id {command['id']}, by {command['by']}; {format_effect(command['in_effect_ms'])}"
        )
    return lines


def format_effect(effect_ms_by_sidecar: dict[str, int | None]) -> str:
    """Returns the sidecars at which a command is not in effect yet, or since when it is in effect at all."""
    missing = [name for name, effect_ms in effect_ms_by_sidecar.items() if effect_ms is None]
    if missing:
        return f"not yet at {', '.join(missing[:MAX_SHOWN_SIDECARS])}"
    effect_times_ms = [effect_ms for effect_ms in effect_ms_by_sidecar.values() if effect_ms is not None]
    return f"in effect at all by {format_time(max(effect_times_ms, default=None))}"


def format_state(state: dict[str, Any]) -> list[str]:
    """Returns the lines of `fleet words`."""
    fleet = state["fleet"] or "(none)"
    lines = [f"fleet {fleet}, up to word {state['index']}; up to date {format_age(state['age_s'])}"]
    for name, upstream in state["held"].items():
        lines.append(f"{upstream['kind']} {name}  since word {upstream['index']}")
    for name, setting in state["settings"].items():
        lines.append(f"{name} = {setting['value']}  since word {setting['index']}")
    for permit in state["places"]:
        forced = f", forced: {permit['forced']}" if permit["forced"] else ""
        lines.append(
            f"{permit['what']} {permit['name']} holds a place since word {permit['index']}, "
            f"by {permit['by']}{forced}"
        )
    lines += [f"{name} waits for a place" for name in state["line"]]
    lines += [f"word {index} is of a kind that this version does not know" for index in state["unread"]]
    return lines


@dataclass(slots=True, frozen=True)
class Query:
    """A subcommand that shows state without changing it."""

    line: str  # the FLEET command to send to the admin server
    format: Callable[[dict[str, Any]], list[str]]
    help: str


QUERIES = {
    "status": Query("STATUS", format_status, "the leader, and how far each sidecar is behind"),
    "members": Query("STATUS", format_voters, "the voters, and whether they are present"),
    "log": Query(
        "LOG", format_log, "the latest commands: their origin and time, and where they are in effect"
    ),
    "words": Query("WORDS", format_state, "the replicated state, as this sidecar knows it"),
}
COMMAND_HELP = {
    "suspend": "send no new requests to an upstream until it is resumed",
    "drain": "send no new requests to an upstream until its next start",
    "resume": "send requests to an upstream again",
    "permit": "take a permit for node:NAME or sidecar:NAME to be out of service",
    "return": "return a permit",
    "set": "set a setting of the fleet",
    "unset": "remove a setting of the fleet",
}
COMMANDS_WITH_PERMIT = ("suspend", "drain", "permit")


def run_query(options: argparse.Namespace) -> int:
    """Runs a subcommand of QUERIES and returns the exit status. Raises OSError and ValueError."""
    query = QUERIES[options.command]
    answer = query_object(options.address, query.line)
    print(json.dumps(answer) if options.json else "\n".join(query.format(answer)))
    return 0


def run_command(options: argparse.Namespace) -> int:
    """Runs a subcommand for the leader and returns the exit status. Raises OSError and ValueError."""
    command_id = options.id or secrets.token_hex(ID_BYTES)
    words = command_words(options, command_id)
    if any(not word.isprintable() for word in words):
        raise ValueError("expected printable characters in the name, the value and the id")
    answer = send_command(options.address, " ".join(words))
    status = next((prefix for prefix in EXIT_STATUS_BY_ANSWER if answer.startswith(prefix)), "error")
    if options.json:
        print(json.dumps({"answer": status, "text": answer, "id": command_id}))
    else:
        hint = f" (--id {command_id})" if status == "unknown" else ""
        print(f"{answer}{hint}")
    return EXIT_STATUS_BY_ANSWER[status]


def command_words(options: argparse.Namespace, command_id: str) -> list[str]:
    """Returns the words of the FLEET command that carries out a subcommand."""
    if options.command == "begin":
        words = ["BEGIN"]
    elif options.command == "read":
        words = ["READ", options.name]
    else:
        words = [options.command.upper(), command_id, options.name]
    if options.value:
        words.append(options.value)
    return words


def create_parser() -> argparse.ArgumentParser:
    """Returns the parser of the `fleet` command."""
    parser = argparse.ArgumentParser(
        prog="python3 -m sidecar_proxy fleet",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    subparsers = parser.add_subparsers(dest="command", required=True)

    def add_subcommand(
        name: str, help_text: str, run: Callable[[argparse.Namespace], int]
    ) -> argparse.ArgumentParser:
        subparser = subparsers.add_parser(name, help=help_text)
        subparser.add_argument("address", metavar="HOST:PORT", help="a sidecar's admin server")
        subparser.add_argument("--json", action="store_true")
        subparser.set_defaults(run=run, id="", name="", value="")
        return subparser

    add_subcommand(
        "begin", "create a fleet of the sidecars that know each other; run once, at any of them", run_command
    )
    for name, query in QUERIES.items():
        add_subcommand(name, query.help, run_query)
    read = add_subcommand(
        "read", "the replicated state of an upstream or setting, as the leader knows it", run_command
    )
    read.add_argument("name")
    for name, help_text in COMMAND_HELP.items():
        subparser = add_subcommand(name, help_text, run_command)
        subparser.add_argument("name")
        if name == "set":
            subparser.add_argument("value")
        elif name in COMMANDS_WITH_PERMIT:
            subparser.add_argument("value", nargs="?", choices=["force", "wait"], default="")
        subparser.add_argument(
            "--id", default="", help="id of the command; use the same id to repeat a command"
        )
    return parser


def main(arguments: list[str]) -> int:
    """Runs the `fleet` command and returns its exit status."""
    options = create_parser().parse_args(arguments)
    try:
        return int(options.run(options))
    except (OSError, ValueError) as error:
        print(f"sidecar_proxy: {error}", file=sys.stderr)
        return EXIT_ERROR
