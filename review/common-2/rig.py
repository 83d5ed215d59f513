"""Stand-ins and helpers of the second review: upstreams, the platform, a client, and sidecar processes.

A case sets up a `Rig`, uses it as a context manager, and ends with `finish`. All addresses are loopback ones,
and all waits are bounded. Python's standard library alone is used.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
RUN = str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])
PYTHON = str(ROOT / ".venv" / "bin" / "python")
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a case
START_S = 20.0
MAX_S = 110  # a case takes no longer
HEARTBEAT_S = 2.0


class NotRunError(Exception):
    """The case could not run; the message is one line."""


class Record:
    """What was sent, answered and run, in record.txt, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.began_s = time.monotonic()
        self.lock = threading.Lock()

    def add(self, text: str) -> None:
        """Add one line."""
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began_s:8.3f}  {text}\n")
            self.file.flush()


def read_head(file: Any) -> tuple[str, dict[str, str]] | None:
    """Read a start line and headers; None at the end of input."""
    start = file.readline()
    if not start.endswith(b"\r\n"):
        return None
    headers: dict[str, str] = {}
    while (line := file.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return start.decode("latin-1").strip(), headers


class Server:
    """A TCP server on a free loopback port, with a thread for each connection."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.clients: list[socket.socket] = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Accept connections until the listener is closed."""
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.clients.append(client)
            threading.Thread(target=self.guard, args=(client,), daemon=True).start()

    def guard(self, client: socket.socket) -> None:
        """Serve one connection, and close it in the end."""
        try:
            self.serve(client)
        except (OSError, ValueError):
            pass
        finally:
            client.close()

    def serve(self, client: socket.socket) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def close(self) -> None:
        """Stop listening, and end all connections."""
        for one in [self.listener, *self.clients]:
            with contextlib.suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)
            one.close()


class Upstream(Server):
    """An upstream that serves each request after a short time."""

    def __init__(self, name: str, record: Record, block: int = 0, work_s: float = 0.01) -> None:
        self.name = name
        self.record = record
        self.block = block
        self.work_s = work_s
        self.born_ms = 0
        self.began: list[tuple[float, str]] = []  # monotonic time and Req-Id of each request
        super().__init__()

    def serve(self, client: socket.socket) -> None:
        """Answer 200 to each request, and note it."""
        with client.makefile("rb") as file:
            while (head := read_head(file)) is not None:
                start, headers = head
                file.read(int(headers.get("content-length", "0")))
                path = start.split(" ")[1]
                if path in ("/health", "/status/load"):
                    client.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                    continue
                ident = headers.get("req-id", "")
                self.began.append((time.monotonic(), ident))
                self.record.add(f"{self.name} runs {ident} {start}")
                time.sleep(self.work_s)
                body = f"{ident} by {self.name}".encode()
                client.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def restart(self) -> None:
        """Its process is replaced by a new one: connections are reset, and the platform tells a new start."""
        self.born_ms = time.time_ns() // 1_000_000
        self.record.add(f"{self.name} restarts, born_ms {self.born_ms}")
        for client in self.clients:
            with contextlib.suppress(OSError):
                client.shutdown(socket.SHUT_RDWR)

    def entry(self, health: str = "in_service") -> dict[str, Any]:
        """Its entry in discovery's list."""
        return {
            "host": self.name,
            "dial": self.address,
            "site": "makati",
            "class": "fast-2",
            "block": self.block,
            "health": health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }

    def count_between(self, first_s: float, last_s: float) -> int:
        """Return how many requests began between two times."""
        return sum(first_s <= at_s < last_s for at_s, _ in list(self.began))


class Platform(Server):
    """Discovery for one sidecar: the list by call and by watch."""

    def __init__(self, name: str, record: Record, hosts: list[dict[str, Any]]) -> None:
        self.name = name
        self.record = record
        self.hosts = {host["host"]: host for host in hosts}
        self.seq = 1
        self.watches: list[socket.socket] = []
        self.is_down = False
        self.lock = threading.Lock()
        self.closed = threading.Event()
        super().__init__()
        threading.Thread(target=self.beat, daemon=True).start()

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    def serve(self, client: socket.socket) -> None:
        """Answer calls; a watch stays open."""
        with client.makefile("rb") as file:
            while (head := read_head(file)) is not None:
                data = json.dumps(self.whole()).encode() + b"\n"
                if self.is_down:
                    client.sendall(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                    continue
                if "stream=1" not in head[0]:
                    client.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(data), data))
                    continue
                with self.lock:
                    client.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    client.sendall(b"%x\r\n%s\r\n" % (len(data), data))
                    self.watches.append(client)

    def tell(self, *entries: dict[str, Any]) -> None:
        """Tell changes on the watch."""
        with self.lock:
            self.seq += 1
            for entry in entries:
                self.hosts[entry["host"]] = entry
                self.record.add(
                    f"discovery tells {self.name}: {entry['host']} {entry['health']} born {entry['born_ms']}"
                )
            self.send(json.dumps({"seq": self.seq, "whole": False, "hosts": entries}).encode() + b"\n")

    def send(self, data: bytes) -> None:
        """Send one chunk on each watch."""
        for watch in list(self.watches):
            try:
                watch.sendall(b"%x\r\n%s\r\n" % (len(data), data))
            except OSError:
                self.watches.remove(watch)

    def go_down(self) -> None:
        """Discovery goes down: watches end, and calls end with 503."""
        with self.lock:
            self.is_down = True
            self.record.add(f"discovery of {self.name} goes down")
            for watch in self.watches:
                with contextlib.suppress(OSError):
                    watch.shutdown(socket.SHUT_RDWR)
            self.watches.clear()

    def come_back(self) -> None:
        """Discovery answers again."""
        self.is_down = False
        self.record.add(f"discovery of {self.name} is back")

    def fall_silent(self) -> None:
        """After one more empty line nothing comes on the open watches any more; a new call is answered."""
        with self.lock:
            self.send(b"\n")
            self.watches.clear()
            self.record.add(f"the open watch of {self.name} falls silent")

    def beat(self) -> None:
        """Send an empty line every 2 s."""
        while not self.closed.wait(HEARTBEAT_S):
            with self.lock:
                self.send(b"\n")

    def close(self) -> None:
        """Stop serving."""
        self.closed.set()
        super().close()


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return int(one.getsockname()[1])


def settings(instances: int, index: int) -> dict[str, Any]:
    """The settings of a small deployment, as the first message of the simulator gives them."""
    classes = [
        ("chapter-buy", 400_000, 1_200_000, "at_most_once", "all", 5_000_000, 10.0),
        ("coin-topup", 750_000, 4_000_000, "deduplicated", "cell", 8_000_000, 8.0),
    ]
    return {
        "areas": ["makati"],
        "kinds": ["fast-2"],
        "instances": instances,
        "self-index": index,
        "locality": 0,
        "granularity": 5000,
        "registry-mode": "on_request",
        "weights": "nominal",
        "value-by": "request",
        "report": {"how": "none", "names": ""},
        "fees": {"cross-zone": 0.02, "probe": 0.004},
        "request-classes": [
            {
                "name": name,
                "aim": aim,
                "deadline": deadline,
                "effect": effect,
                "group": group,
                "memory-span": span,
                "late-worth": 0.3,
                "worth": worth,
                "stream": False,
            }
            for name, aim, deadline, effect, group, span, worth in classes
        ],
        "bounds": {
            "cancel": True,
            "probes": False,
            "retry-after": True,
            "second-copies": True,
            "peers": False,
            "most-tries": 4,
            "dial-timeout": 200_000,
            "conn-idle": 5_000_000,
            "max-retry-after": 2_000_000,
        },
        "invariants": {
            "answer-slack": 20_000,
            "ask-within": 10_000_000,
            "cold-share": 0.32,
            "drain-grace": 2_000_000,
            "fall": 2_000_000,
            "overload-factor": 2.5,
            "warm-up": 8_900_000,
        },
    }


class Sidecar:
    """One process of a sidecar, started by the deploy file's `run`."""

    def __init__(
        self,
        rig: Rig,
        name: str,
        platform: Platform,
        instances: int = 1,
        index: int = 0,
        operator: str = "",
        folder: Path | None = None,
        listener: socket.socket | None = None,
        limits: dict[str, Any] | None = None,
    ) -> None:
        self.rig = rig
        self.name = name
        self.folder = folder or rig.folder / f"{name}.d"  # its $TMPDIR
        self.folder.mkdir(exist_ok=True)
        self.admin = ("127.0.0.1", free_port())
        self.listener = listener
        self.path = rig.folder / f"{name}-{self.admin[1]}.json"
        self.path.write_text(
            json.dumps(
                {
                    "name": name,
                    "discovery": platform.address,
                    "seed": os.urandom(8).hex(),
                    "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "known": platform.whole(),
                    "settings": settings(instances, index),
                }
            )
        )
        self.discovery = platform.address
        self.operator = operator
        self.lines: list[str] = []
        self.address = ("", 0)
        self.process: subprocess.Popen[str] | None = None

    def start(self, wait: bool = True) -> Sidecar:
        """Start the process; with `wait`, return once it listens for clients."""
        env = {
            name: value
            for name, value in os.environ.items()
            if not name.startswith(("PYTHON", "VIRTUAL_ENV", "PROXY_", "SIDECAR_PROXY_"))
        }
        env |= {
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": "127.0.0.1:0",
            "PROXY_DISCOVERY": self.discovery,
            "PROXY_CONFIG": str(self.path),
            "PROXY_MGMT": f"{self.admin[0]}:{self.admin[1]}",
            "TMPDIR": str(self.folder),
        }
        if self.operator:
            operator_path = self.path.with_suffix(".toml")
            operator_path.write_text(self.operator)
            env["SIDECAR_PROXY_OPERATOR"] = str(operator_path)
        inherited: tuple[int, ...] = ()
        if self.listener is not None:
            env["PROXY_ACCEPT_FD"] = str(self.listener.fileno())
            inherited = (self.listener.fileno(),)
        self.lines = []
        self.rig.record.add(f"{self.name} is started (admin port {self.admin[1]})")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", RUN], cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True, pass_fds=inherited
        )
        self.rig.processes.append(self.process)
        threading.Thread(target=self.read, args=(self.process,), daemon=True).start()
        if wait:
            self.wait_until_listening()
        return self

    def read(self, process: subprocess.Popen[str]) -> None:
        """Collect the lines of its log."""
        assert process.stderr is not None
        for line in process.stderr:
            self.lines.append(line.rstrip())
            self.rig.record.add(f"{self.name} ({process.pid}) logs: {line.rstrip()}")

    def wait_until_listening(self) -> None:
        """Wait until it takes clients. Raises NotRunError if it ends before."""
        process = self.process
        assert process is not None
        wait_until(
            lambda: any(" listens on " in line for line in self.lines) or process.poll() is not None,
            f"{self.name} did not start",
        )
        told = [line for line in self.lines if " listens on " in line]
        if not told:
            raise NotRunError(f"{self.name} ended at its start with {process.returncode}")
        host, _, port = told[0].split()[-1].partition(":")
        self.address = host, int(port)

    def call(self, line: str, timeout_s: float = 6.0) -> str:
        """Send one line to its admin server, and return the answer."""
        with socket.create_connection(self.admin, timeout=timeout_s) as one:
            one.sendall(line.encode() + b"\n")
            answer = b""
            while data := one.recv(65536):
                answer += data
        text = answer.decode().rstrip("\n")
        if not line.startswith(("FLEET STATUS", "FLEET WORDS", "METRICS", "STATUS")):
            self.rig.record.add(f"operator to {self.name}: {line!r} -> {text!r}")
        return text

    def ask(self, line: str) -> dict[str, Any]:
        """Send an admin command whose answer is a line of JSON and `end`."""
        answer = self.call(line)
        if not answer.endswith("\nend"):
            raise NotRunError(f"{self.name}: {line}: {answer}")
        found: dict[str, Any] = json.loads(answer[: -len("\nend")])
        return found

    def signal(self, number: int) -> None:
        """Send a signal to its process."""
        assert self.process is not None
        self.rig.record.add(f"{self.name} ({self.process.pid}) gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def wait(self, timeout_s: float = 10.0) -> int:
        """Wait for the end of its process, and return the exit status."""
        assert self.process is not None
        status = self.process.wait(timeout_s)
        self.rig.record.add(f"{self.name} ({self.process.pid}) has ended with {status}")
        return status


class Load(threading.Thread):
    """A client: one request at a time, each on a new connection, at a steady rate."""

    def __init__(
        self, record: Record, address: tuple[str, int], rate: float, kind: str = "chapter-buy"
    ) -> None:
        super().__init__(daemon=True)
        self.record = record
        self.address = address
        self.rate = rate
        self.kind = kind
        self.ended = threading.Event()
        self.statuses: list[int] = []
        self.sent = 0
        self.start()

    def run(self) -> None:
        """Send requests until `stop`."""
        while not self.ended.wait(1 / self.rate):
            self.statuses.append(self.request())

    def request(self) -> int:
        """Send one request, and return the status; 0 if there is no answer."""
        self.sent += 1
        ident = os.urandom(8).hex()
        body = b"x" * 20
        keyed = f"Idempotency-Key: {ident}{ident}\r\n" if self.kind == "coin-topup" else ""
        head = (
            f"POST /{self.kind}/{self.sent} HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {ident}\r\n{keyed}"
            f"Req-Deadline: 1.200\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        status = 0
        try:
            with socket.create_connection(self.address, timeout=5.0) as one, one.makefile("rb") as file:
                one.sendall(head.encode() + body)
                answer = read_head(file)
                if answer is not None:
                    status = int(answer[0].split(" ")[1])
        except OSError:
            pass
        self.record.add(f"client: {ident} -> {status or 'no answer'}")
        return status

    def stop(self) -> None:
        """Send no more."""
        self.ended.set()
        self.join(10.0)


def wait_until(condition: Callable[[], Any], problem: str, timeout_s: float = START_S) -> Any:
    """Wait until a condition holds, and return its value. Raises NotRunError."""
    deadline_s = time.monotonic() + timeout_s
    while not (value := condition()):
        if time.monotonic() > deadline_s:
            raise NotRunError(problem)
        time.sleep(0.02)
    return value


class Fleet:
    """Sidecars with gossip and agreement, each with discovery of its own, at the same upstreams."""

    def __init__(
        self,
        rig: Rig,
        count: int,
        upstreams: list[Upstream],
        voters: int = 3,
        listener: socket.socket | None = None,
    ) -> None:
        """Start so many sidecars.

        With `listener`, the first one takes its clients there, as an upgrade in place needs it. Its gossip
        port is then chosen by the system, so that a second process of it can start beside the first.
        """
        self.voters = min(voters, count)
        names = [f"s{number}" for number in range(1, count + 1)]
        ports = [0 if listener is not None and name == "s1" else free_port() for name in names]
        tables = rig.gossip_tables(names, ports)
        self.platforms = [rig.platform(name, upstreams) for name in names]
        self.sidecars = []
        for index, (name, table, platform) in enumerate(zip(names, tables, self.platforms, strict=True)):
            operator = table + f'[agreement]\nfolder = "{rig.folder / name}.log"\nvoters = {voters}\n'
            held = listener if index == 0 else None
            self.sidecars.append(Sidecar(rig, name, platform, count, index, operator, listener=held).start())

    def begin(self) -> int:
        """Create the fleet, and return the number of the leader once there are all voters and all know it."""
        first, count = self.sidecars[0], len(self.sidecars)
        wait_until(lambda: len(first.ask("FLEET STATUS")["sidecars"]) == count, "they do not see each other")
        if first.call("FLEET BEGIN") != "done":
            raise NotRunError("no fleet was begun")
        wait_until(lambda: self.leader() is not None, "no fleet with all voters", 30.0)
        leader = self.leader()
        if leader is None:
            raise NotRunError("the leader has changed at the start")
        return leader

    def leader(self) -> int | None:
        """Return the number of the leader that all report with all voters, or None."""
        found = [one.ask("FLEET STATUS") for one in self.sidecars]
        leaders = {one["leader"] for one in found}
        if len(leaders) != 1 or {len(one["voters"]) for one in found} != {self.voters}:
            return None
        nodes = [one["node"] for one in found]
        leader = leaders.pop()
        return nodes.index(leader) if leader in nodes else None


class Rig:
    """A temporary folder, the record, and all processes of a case; its exit ends them."""

    def __init__(self, case: Path) -> None:
        self.record = Record(case / "record.txt")
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self.temporary.name)
        self.processes: list[subprocess.Popen[str]] = []
        self.servers: list[Server] = []
        self.loads: list[Load] = []
        # With TROUBLE=0 the case does the same without the disruption.
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"

    def __enter__(self) -> Rig:
        return self

    def __exit__(self, *_: object) -> None:
        for load in self.loads:
            load.ended.set()
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for server in self.servers:
            server.close()
        self.temporary.cleanup()

    def upstream(self, name: str, **options: Any) -> Upstream:
        """Start an upstream."""
        one = Upstream(name, self.record, **options)
        self.servers.append(one)
        return one

    def platform(self, name: str, upstreams: list[Upstream]) -> Platform:
        """Start discovery for one sidecar."""
        one = Platform(name, self.record, [upstream.entry() for upstream in upstreams])
        self.servers.append(one)
        return one

    def load(self, sidecar: Sidecar, rate: float, kind: str = "chapter-buy") -> Load:
        """Start a client of a sidecar."""
        one = Load(self.record, sidecar.address, rate, kind)
        self.loads.append(one)
        return one

    def command(self, *arguments: str) -> str:
        """Run one of the project's commands, and return what it prints."""
        done = subprocess.run(
            [PYTHON, "-m", "sidecar_proxy", *arguments], cwd=ROOT, capture_output=True, text=True, timeout=30
        )
        if done.returncode != 0:
            raise NotRunError(f"{' '.join(arguments[:2])}: {done.stderr.strip()}")
        return done.stdout

    def gossip_tables(self, names: list[str], ports: list[int]) -> list[str]:
        """Make keys by the project's commands, and return each sidecar's [gossip] table."""
        folder = self.folder
        self.command("gossip", "keygen", str(folder / "fleet"))
        seeds = [f"127.0.0.1:{port}" for port in ports if port]
        tables = []
        for name, port in zip(names, ports, strict=True):
            key = folder / name
            self.command("gossip", "keygen", str(key))
            self.command(
                "gossip", "certify", str(folder / "fleet"), f"{key}.pub", name, "makati", f"{key}.cert"
            )
            tables.append(
                f'[gossip]\nbind = "127.0.0.1:{port}"\nseeds = {json.dumps(seeds)}\nkey_file = "{key}"\n'
                f'certificate_file = "{key}.cert"\nfleet_keys = ["{folder / "fleet.pub"}"]\n'
            )
        return tables


def interrupted(number: int, _: object) -> None:
    """End a case that takes too long or is told to end; its processes are ended on the way out."""
    raise NotRunError(f"ended by {signal.Signals(number).name}")


def finish(case: str, play: Callable[[Rig], str]) -> None:
    """Play a case, print and record the verdict, and exit with its status.

    `play` returns what broke the rule, or "" if it held, and raises NotRunError if the case could not run.
    """
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, interrupted)
    signal.alarm(MAX_S)
    with Rig(Path(case).resolve().parent) as rig:
        try:
            broken = play(rig)
            status = BROKEN if broken else HELD
            verdict = f"rule broken: {broken}" if broken else "rule held"
        except NotRunError as error:
            status, verdict = NOT_RUN, f"could not run: {error}"
        except Exception as error:  # a fault of the case itself is no verdict
            traceback.print_exc()
            status, verdict = NOT_RUN, f"could not run: {type(error).__name__}: {error}"
        rig.record.add(verdict)
    print(verdict, flush=True)
    os._exit(status)  # threads of the stand-ins may still wait
