"""`python3 -m sidecar_proxy members SOCKET`: prints what each discovery source says of each upstream."""

from __future__ import annotations

import json
import socket
import sys
from collections.abc import Iterator
from datetime import UTC, datetime
from typing import Any, TextIO

from sidecar_proxy.discovery.status_socket import STATUS_TIMEOUT_S


def read_status(path: str) -> Iterator[dict[str, Any]]:
    """What a sidecar tells. Raises OSError, and ValueError where it stops short."""
    with socket.socket(socket.AF_UNIX) as one:
        one.settimeout(STATUS_TIMEOUT_S)
        one.connect(path)
        with one.makefile("rb") as file:
            for text in file:
                told = json.loads(text)
                if "end" in told:
                    return
                yield told
    raise ValueError("the sidecar stopped in the middle")


def show(lines: Iterator[dict[str, Any]], out: TextIO) -> None:
    """A table: a line a node, then what each source says of it."""
    for told in lines:
        if "sources" in told:
            for name, source in told["sources"].items():
                print(
                    f"source {name}: revision {source['revision']}"
                    + (f" of {source['epoch']}" if source["epoch"] else ""),
                    file=out,
                )
            continue
        held = "" if told["decisions"] == told["state"] else f", {told['decisions']} to the decisions"
        because = f" ({told['because']})" if told["because"] else ""
        print(f"{told['name']}  {told['state']}{because}{held}  {told['dial']}", file=out)
        for name, word in told["words"].items():
            since = datetime.fromtimestamp(word["since"], UTC).isoformat("T", "milliseconds")
            print(
                f"    {name}: {word['state']}{' (held)' if word['held'] else ''} at revision "
                f"{word['revision']}, since {since}",
                file=out,
            )


def main(arguments: list[str]) -> int:
    """members SOCKET [--json]"""
    as_json = "--json" in arguments
    paths = [one for one in arguments if one != "--json"]
    if len(paths) != 1:
        print("usage: python3 -m sidecar_proxy members SOCKET [--json]", file=sys.stderr)
        return 2
    try:
        if as_json:
            for told in read_status(paths[0]):
                print(json.dumps(told))
        else:
            show(read_status(paths[0]), sys.stdout)
    except (OSError, ValueError) as error:
        print(f"sidecar_proxy: {paths[0]}: {error}", file=sys.stderr)
        return 1
    return 0
