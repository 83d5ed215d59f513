"""Which HTTP/2 library: CPU time of one unary call, client and server side together, and memory at import.

    pip install h2 jh2 ngh2 && python -m benchmarks.http2_libraries [--calls 3000]

Each library in a process of its own; headers as gRPC sends them, 100 bytes each way, trailers. No sockets.
"""

from __future__ import annotations

import argparse
import importlib
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

REQUEST = [
    (b":method", b"POST"),
    (b":scheme", b"http"),
    (b":path", b"/komiks.Purchase/BuyChapter"),
    (b":authority", b"backend.local"),
    (b"te", b"trailers"),
    (b"content-type", b"application/grpc"),
    (b"grpc-timeout", b"1S"),
    (b"user-agent", b"grpc-python/1.85.1"),
]
ANSWER = [(b":status", b"200"), (b"content-type", b"application/grpc")]
TRAILERS = [(b"grpc-status", b"0"), (b"grpc-message", b"")]
LIBRARIES = ("h2", "jh2", "ngh2")


def resident() -> float:
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096 / 1e6


def play(name: str, calls: int, checked: bool) -> None:
    before = resident()
    connection = importlib.import_module(f"{name}.connection")
    config = importlib.import_module(f"{name}.config")
    events = importlib.import_module(f"{name}.events")
    grown = resident() - before

    def make(client: bool) -> Any:
        made = connection.H2Connection(
            config.H2Configuration(
                client_side=client,
                header_encoding=None,
                validate_inbound_headers=checked,
                validate_outbound_headers=checked,
                normalize_inbound_headers=checked,
                normalize_outbound_headers=checked,
            )
        )
        made.initiate_connection()
        return made

    client, server = make(True), make(False)

    def move(source: Any, target: Any) -> list[Any]:
        found: list[Any] = target.receive_data(source.data_to_send())
        return found

    move(client, server)
    move(server, client)
    body = b"\0\0\0\0\x64" + b"x" * 100
    begin = 0.0
    for number in range(calls + 200):
        if number == 200:
            begin = time.process_time()
        stream = client.get_next_available_stream_id()
        client.send_headers(stream, REQUEST)
        client.send_data(stream, body, end_stream=True)
        for event in move(client, server):
            if isinstance(event, events.DataReceived):
                server.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
        server.send_headers(stream, ANSWER)
        server.send_data(stream, body)
        server.send_headers(stream, TRAILERS, end_stream=True)
        ended = False
        for event in move(server, client):
            if isinstance(event, events.DataReceived):
                client.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            ended = ended or isinstance(event, events.StreamEnded)
        assert ended
        move(client, server)
    cost = (time.process_time() - begin) / calls * 1e6
    print(
        f"{name:<6} {'validated' if checked else 'not validated':<14} {cost:6.0f} us a call, both sides; "
        f"import {grown:.1f} MB"
    )


def play_ngh2(calls: int) -> None:
    """Its names are its own; it always validates."""
    before = resident()
    ngh2 = importlib.import_module("ngh2")
    grown = resident() - before
    config = ngh2.Configuration(auto_window_update=False)
    client, server = (ngh2.Connection(role, config) for role in (ngh2.Role.CLIENT, ngh2.Role.SERVER))

    def move(source: Any, target: Any) -> list[Any]:
        target.receive_data(source.data_to_send())
        found: list[Any] = target.events()
        return found

    for one in (client, server):
        one.initiate_connection()
    move(client, server)
    move(server, client)
    body = b"\0\0\0\0\x64" + b"x" * 100
    begin = 0.0
    for number in range(calls + 200):
        if number == 200:
            begin = time.process_time()
        stream = client.send_request(REQUEST)
        client.send_data(stream, body, end_stream=True)
        for event in move(client, server):
            if isinstance(event, ngh2.DataReceived):
                server.acknowledge_received_data(len(event.data), event.stream_id)
        server.send_response(stream, ANSWER)
        server.send_data(stream, body)
        server.send_trailers(stream, TRAILERS)
        ended = False
        for event in move(server, client):
            if isinstance(event, ngh2.DataReceived):
                client.acknowledge_received_data(len(event.data), event.stream_id)
            ended = ended or isinstance(event, ngh2.TrailersReceived)
        assert ended
        move(client, server)
    cost = (time.process_time() - begin) / calls * 1e6
    print(f"{'ngh2':<6} {'validated':<14} {cost:6.0f} us a call, both sides; import {grown:.1f} MB")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--calls", type=int, default=3000)
    parser.add_argument("--only")
    parser.add_argument("--checked", action="store_true")
    found = parser.parse_args()
    if found.only == "ngh2":
        play_ngh2(found.calls)
    elif found.only:
        play(found.only, found.calls, found.checked)
    else:
        for library in LIBRARIES:
            for extra in ([], ["--checked"]) if library != "ngh2" else ([],):
                subprocess.run(
                    [
                        sys.executable,
                        "-m",
                        "benchmarks.http2_libraries",
                        "--only",
                        library,
                        "--calls",
                        str(found.calls),
                        *extra,
                    ],
                    check=False,
                )
