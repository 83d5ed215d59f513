"""`python3 -m sidecar_proxy members SOCKET`: prints the state of each upstream by discovery source."""

from __future__ import annotations

import json
import socket
import sys
from collections.abc import Iterator
from datetime import UTC, datetime
from typing import Any, TextIO

from sidecar_proxy.discovery.status_socket import STATUS_TIMEOUT_S


def read_status(path: str) -> Iterator[dict[str, Any]]:
    """Yields the JSON objects of a sidecar's status socket: its sources, then its upstreams.

    Raises OSError, and ValueError if the connection ends before the status is complete.
    """
    with socket.socket(socket.AF_UNIX) as connection:
        connection.settimeout(STATUS_TIMEOUT_S)
        connection.connect(path)
        with connection.makefile("rb") as file:
            for line in file:
                document = json.loads(line)
                if "end" in document:
                    return
                yield document
    raise ValueError("the sidecar closed the connection before the end of its status")


def print_status(documents: Iterator[dict[str, Any]], output: TextIO) -> None:
    """Prints a line for each upstream, each followed by the state that every source reports for it."""
    for document in documents:
        if "sources" in document:
            for name, source in document["sources"].items():
                print(
                    f"source {name}: revision {source['revision']}"
                    + (f" of {source['epoch']}" if source["epoch"] else ""),
                    file=output,
                )
            continue
        balancer_state = (
            ""
            if document["decisions"] == document["state"]
            else f", {document['decisions']} to the decisions"
        )
        reason = f" ({document['because']})" if document["because"] else ""
        print(
            f"{document['name']}  {document['state']}{reason}{balancer_state}  {document['dial']}",
            file=output,
        )
        for name, record in document["words"].items():
            since = datetime.fromtimestamp(record["since"], UTC).isoformat("T", "milliseconds")
            print(
                f"    {name}: {record['state']}{' (held)' if record['held'] else ''} at revision "
                f"{record['revision']}, since {since}",
                file=output,
            )


def main(arguments: list[str]) -> int:
    """Runs the `members` command with the arguments SOCKET [--json], and returns its exit status."""
    as_json = "--json" in arguments
    paths = [argument for argument in arguments if argument != "--json"]
    if len(paths) != 1:
        print("usage: python3 -m sidecar_proxy members SOCKET [--json]", file=sys.stderr)
        return 2
    try:
        if as_json:
            for document in read_status(paths[0]):
                print(json.dumps(document))
        else:
            print_status(read_status(paths[0]), sys.stdout)
    except (OSError, ValueError) as error:
        print(f"sidecar_proxy: {paths[0]}: {error}", file=sys.stderr)
        return 1
    return 0
