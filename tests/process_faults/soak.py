"""Random days of one sidecar process: faults, misuse and signals, and clients that stay until the kill.

Most days have an environment of their own (environment_faults.py). With clocks of another pace, times are
those of the process; where its clocks also stand now and then they are not checked.

    python -m tests.process_faults.soak 0 50    # seeds 0 to 49; prints each seed and what broke

The seed decides what upstreams and clients do, not the order in which the machine runs them.
"""

from __future__ import annotations

import contextlib
import random
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from tests.process_faults.crowd import ANSWER_SLACK_S, Crowd, LimitedSidecar
from tests.process_faults.environment_faults import (
    FOREIGN_CLOCK,
    NO_FAULTS,
    WAITING_THREAD,
    EnvironmentFaults,
)
from tests.process_faults.test_memory_limit import KINDS
from tests.sockets import LONG_S, Client, Message, Upstream, answer

CLIENT_COUNT = 8
UPSTREAM_COUNT = 4
RUN_S = 1.5  # before SIGTERM
KILL_MARGIN_S = 0.7  # SIGKILL comes no sooner after SIGTERM than the longest deadline and this
MAX_DEADLINE_S = 3.0
DEADLINE_SLACK_S = 0.15
LEAVING_SHARE = 0.05  # of requests whose client closes before the answer
GONE_S = 0.1  # an attempt may begin this long after the close of its client
RIG_SLACK_S = 0.05  # between the close and the note of it, and for the thread of an upstream
CROSSING_S = 0.25  # a request that is written as its connection ends may not have been read
CROWD_SIZE = 120
MAX_STOP_S = 0.05  # for which the sidecar is stopped; it counts as the sidecar's own
UNTIMED_KILL_FACTOR = 3.0  # of the time to the kill, where the clocks of the process stand now and then
SERIES_INTERVAL_S = 0.002  # of signals during a stop
ENVIRONMENTS = {
    "usual": NO_FAULTS,
    "thread": WAITING_THREAD,
    "thread, queries refused": EnvironmentFaults(
        thread_count=1,
        refused_calls=("sigtimedwait", "tcp_info", "tiocoutq", "fionread", "socket_buffers", "io_uring"),
    ),
    "thread, input is told to be old": EnvironmentFaults(thread_count=1, tcp_info_age_ms=3_600_000),
    "thread, accept fails": EnvironmentFaults(thread_count=1, accept_period=5),
    "thread, clocks at half the pace": EnvironmentFaults(thread_count=1, clock_rate=0.5),
    "thread, clocks of a bench": FOREIGN_CLOCK,
}
# Classes of tests/options.py: name, method, deadline in seconds
CLASSES = (("read", "GET", 1.5), ("pay", "POST", 0.6), ("mark", "POST", 2.0))


@dataclass
class Attempt:
    """A request as an upstream received it."""

    request_id: str
    at_s: float
    deadline_s: float
    has_run: bool


@dataclass
class Sent:
    """A request as a client sent it, and what became of it."""

    request_id: str
    class_name: str
    deadline_s: float
    written_s: float
    status: int = 0  # 0 = the connection ended without an answer
    body: bytes = b""
    took_s: float = 0.0
    closed_s: float = 0.0  # when its client closed without waiting for the answer; 0 = it waited


class RigMonitor(threading.Thread):
    """Measures for how long the threads of this process were held up: that is not the sidecar's time."""

    INTERVAL_S = 0.005

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.longest_s = 0.0
        self.is_over = threading.Event()

    def run(self) -> None:
        """Measure until the end of the day."""
        before_s = time.monotonic()
        while not self.is_over.wait(self.INTERVAL_S):
            now_s = time.monotonic()
            self.longest_s = max(self.longest_s, now_s - before_s - self.INTERVAL_S)
            before_s = now_s


@dataclass
class Day:
    """What happened, for the checks at the end."""

    seed: int
    environment: str = "usual"
    rig_delay_s: float = 0.0
    attempts: list[Attempt] = field(default_factory=list)
    sent: list[Sent] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)

    @property
    def faults_of_environment(self) -> EnvironmentFaults:
        """The faults of the environment."""
        return ENVIRONMENTS[self.environment]

    @property
    def is_timed(self) -> bool:
        """Whether the clocks of the process can be told from those of the clients."""
        return self.faults_of_environment.hold_ms == 0

    def in_process_time(self, seconds: float) -> float:
        """Return a time by the clocks of the process."""
        return seconds * self.faults_of_environment.clock_rate

    def stop_s(self) -> float:
        """Return the time from SIGTERM to SIGKILL."""
        longest_s = max(deadline_s for _, _, deadline_s in CLASSES)
        stop_s = (min(longest_s, MAX_DEADLINE_S) + KILL_MARGIN_S) / self.faults_of_environment.clock_rate
        return stop_s if self.is_timed else stop_s * UNTIMED_KILL_FACTOR

    def check(self, killed_s: float) -> None:
        """Add a line for each rule that was broken."""
        runs = Counter(attempt.request_id for attempt in self.attempts if attempt.has_run)
        requests = {sent.request_id: sent for sent in self.sent}
        for sent in self.sent:
            self.check_answer(sent, runs[sent.request_id], killed_s)
        for attempt in self.attempts:
            request = requests.get(attempt.request_id)
            if request is None:
                continue
            late_s = self.in_process_time(attempt.at_s - request.closed_s)
            if self.is_timed and request.closed_s and late_s > GONE_S + RIG_SLACK_S + self.rig_delay_s:
                self.faults.append(f"began {late_s:.3f} s after its client had closed: {request}")
            left_s = request.deadline_s - self.in_process_time(attempt.at_s - request.written_s)
            if self.is_timed and attempt.deadline_s > max(0.0, left_s) + DEADLINE_SLACK_S + self.rig_delay_s:
                self.faults.append(f"deadline {attempt.deadline_s:.3f} of {left_s:.3f} s left: {request}")

    def check_answer(self, sent: Sent, run_count: int, killed_s: float) -> None:
        """Check one request: answered, in time, run at most once, with its own answer."""
        if sent.class_name == "pay" and run_count > 1:
            self.faults.append(f"ran {run_count} times: {sent}")
        if sent.class_name == "pay" and sent.status in (429, 503) and run_count:
            self.faults.append(f"rejected although it may have run: {sent}")
        if sent.status == 200 and sent.body != sent.request_id.encode():
            self.faults.append(f"answer of another request: {sent}")
        if sent.status == 0:
            if not sent.closed_s and (
                run_count or sent.took_s > CROSSING_S / self.faults_of_environment.clock_rate
            ):
                self.faults.append(
                    f"lost: {sent}, runs {run_count}, {killed_s - sent.written_s:.2f} s before the kill"
                )
        elif self.is_timed:
            late_s = self.in_process_time(sent.took_s) - sent.deadline_s
            if late_s > ANSWER_SLACK_S + self.rig_delay_s:
                self.faults.append(f"late: {sent}")


class RandomUpstream(Upstream):
    """Serves, fails, declines, delays or resets, as its random numbers say."""

    def __init__(self, day: Day, rng: random.Random) -> None:
        self.day = day
        self.rng = rng
        self.manner = rng.choice(["well", "well", "slow", "bad", "resets", "hangs"])
        super().__init__(script=self.respond)

    def respond(self, request: Message, client: socket.socket) -> bytes | None:
        """Return the answer to a request, and note it."""
        request_id = request.headers.get("req-id", "")
        outcome = self.rng.random()
        is_declined = self.manner == "bad" and outcome < 0.3
        deadline_s = float(request.headers.get("req-deadline", "0"))
        self.day.attempts.append(Attempt(request_id, time.monotonic(), deadline_s, not is_declined))
        if is_declined:
            return answer(b"", "503 Service Unavailable", "Srv-Declined: 1\r\n")
        if self.manner == "bad" and outcome < 0.4:
            return answer(b"", "500 Internal Server Error")
        if self.manner == "slow":
            time.sleep(0.3 * outcome)
        elif self.manner == "hangs" and outcome < 0.3:
            time.sleep(MAX_DEADLINE_S)
        elif self.manner == "resets" and outcome < 0.2:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            return None
        if outcome > 0.8:  # in pieces, without a length
            body = request_id.encode()
            client.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            client.sendall(b"%x\r\n%s\r\n" % (len(body), body))
            return b"0\r\n\r\n"
        return answer(request_id.encode())


class RandomClient(threading.Thread):
    """Sends one request after another on a connection that it keeps until the sidecar ends it."""

    def __init__(self, day: Day, address: tuple[str, int], number: int, rng: random.Random) -> None:
        super().__init__(daemon=True)
        self.day = day
        self.address = address
        self.number = number
        self.rng = rng
        self.client: Client | None = None
        self.is_over = threading.Event()

    def run(self) -> None:
        """Send requests until the sidecar takes no connection any more."""
        sequence = 0
        while not self.is_over.is_set():
            if self.client is None:
                try:
                    self.client = Client(self.address)
                except OSError:
                    time.sleep(0.02)
                    continue
            sequence += 1
            self.request(self.client, f"{self.day.seed}-{self.number}-{sequence}")
            time.sleep(self.rng.choice([0.0, 0.0, 0.005, 0.05]))

    def request(self, client: Client, request_id: str) -> None:
        """Send one request and note what comes back."""
        name, method, class_deadline_s = self.rng.choice(CLASSES)
        deadline_s = class_deadline_s * self.rng.choice([1.0, 1.0, 0.3])
        headers = {"Idempotency_Key": request_id} if name == "mark" else {}
        sent = Sent(request_id, name, deadline_s, time.monotonic())
        body = b"x" * self.rng.choice([0, 10, 3000]) if method == "POST" else b""
        try:
            client.send(
                method, f"/{name}/1", body, Req_Id=request_id, Req_Deadline=f"{deadline_s:.3f}", **headers
            )
        except OSError:
            self.close()
            return  # not written, so not taken
        sent.written_s = time.monotonic()
        if self.rng.random() < LEAVING_SHARE:
            self.leave(sent, client)
            return
        response = None
        with contextlib.suppress(OSError, ValueError, IndexError):
            response = read_any(client)
        sent.took_s = time.monotonic() - sent.written_s
        if response is not None:
            sent.status, sent.body = response.status, response.body
        self.day.sent.append(sent)
        if response is None or response.headers.get("connection") == "close":
            self.close()

    def leave(self, sent: Sent, client: Client) -> None:
        """Close the connection before the answer; send some unsafe ids again on another one."""
        time.sleep(self.rng.choice([0.0, 0.01, 0.1]))
        is_sent_again = sent.class_name == "pay" and self.rng.random() < 0.5
        self.close()
        if is_sent_again:
            with contextlib.suppress(OSError):
                again = Client(self.address)
                again.send("POST", "/pay/1", b"x", Req_Id=sent.request_id, Req_Deadline="0.3")
                again.socket.settimeout(0.5)
                with contextlib.suppress(OSError, ValueError, IndexError):
                    read_any(again)
                again.close()
            sent.deadline_s += time.monotonic() - sent.written_s  # the second time counts from its own start
        sent.closed_s = time.monotonic()
        self.day.sent.append(sent)

    def close(self) -> None:
        """Close the connection."""
        if self.client is not None:
            self.client.close()
        self.client = None


def read_any(client: Client) -> Message | None:
    """Read a response with a length, in chunks, or up to the end of its connection."""
    start = client.file.readline()
    if not start.endswith(b"\r\n"):
        return None
    headers: dict[str, str] = {}
    while (line := client.file.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if "transfer-encoding" not in headers:
        size = int(headers.get("content-length", "0"))
        body = client.file.read(size)
        return Message(start.decode().strip(), headers, body) if len(body) == size else None
    body = b""
    while size := int(client.file.readline(), 16):
        body += client.file.read(size)
        client.file.readline()
    client.file.readline()
    return Message(start.decode().strip(), headers, body)


def send_signals(sidecar: LimitedSidecar, rng: random.Random) -> None:
    """Send a series of signals while the sidecar serves."""
    end_s = time.monotonic() + RUN_S
    while time.monotonic() < end_s:
        for _ in range(rng.choice([0, 1, 20, 5000])):
            sidecar.process.send_signal(signal.SIGHUP)
        if rng.random() < 0.2:
            sidecar.process.send_signal(signal.SIGSTOP)
            time.sleep(MAX_STOP_S * rng.random())
            sidecar.process.send_signal(signal.SIGCONT)
        time.sleep(0.2 * rng.random())


def send_series(sidecar: LimitedSidecar, end_s: float) -> None:
    """Send signals during a stop until the process has ended, or until a time."""
    while time.monotonic() < end_s and sidecar.process.poll() is None:
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT, signal.SIGUSR2):
            sidecar.process.send_signal(number)
        time.sleep(SERIES_INTERVAL_S)


def play(seed: int) -> Day:
    """Play one day."""
    rng = random.Random(seed)
    environment_rng = random.Random(f"{seed} environment")  # the days of earlier seeds stay what they were
    day = Day(seed, environment_rng.choice(list(ENVIRONMENTS)))
    with contextlib.ExitStack() as stack:
        upstreams = [
            stack.enter_context(RandomUpstream(day, random.Random(rng.random())))
            for _ in range(UPSTREAM_COUNT)
        ]
        options: dict[str, Any] = {"request-classes.1.deadline": "600000", "instances": "1"}
        env = day.faults_of_environment.variables()
        sidecar = stack.enter_context(LimitedSidecar(list(upstreams), env=env, **options))
        clients = [
            RandomClient(day, sidecar.address, number, random.Random(rng.random()))
            for number in range(CLIENT_COUNT)
        ]
        monitor = RigMonitor()
        monitor.start()
        crowd = Crowd(sidecar.address)
        stack.callback(crowd.close)
        for client in clients:
            client.start()
        if rng.random() < 0.4:
            kinds = rng.sample(KINDS, 3)
            for number in range(CROWD_SIZE):
                crowd.add(kinds[number % 3]())
            crowd.write()
        send_signals(sidecar, rng)
        with contextlib.suppress(AssertionError):
            crowd.write()
        try:
            sidecar.assert_within_limits()
        except AssertionError as error:
            day.faults.append(str(error))
        terminated_s = time.monotonic()
        sidecar.process.terminate()
        for _ in range(rng.choice([0, 0, 3])):
            sidecar.process.send_signal(rng.choice([signal.SIGTERM, signal.SIGHUP, signal.SIGINT]))
        killed_s = terminated_s + day.stop_s()
        if environment_rng.random() < 0.4:
            send_series(sidecar, killed_s)
        with contextlib.suppress(subprocess.TimeoutExpired):
            sidecar.process.wait(max(0.0, killed_s - time.monotonic()))
        if sidecar.process.poll() not in (None, 0):
            day.faults.append(
                f"the process ended with {sidecar.process.returncode}: {sidecar.log_lines[-3:]}"
            )
        sidecar.process.kill()
        for client in clients:
            client.is_over.set()
        for client in clients:
            client.join(LONG_S)
        monitor.is_over.set()
        day.rig_delay_s = monitor.longest_s
        day.check(killed_s)
    return day


def main() -> int:
    """Play the seeds of the command line; return the number of those in which a rule broke."""
    first, count = map(int, sys.argv[1:3])
    broken = 0
    for seed in range(first, first + count):
        day = play(seed)
        statuses = dict(Counter(sent.status for sent in day.sent))
        left_count = sum(sent.closed_s > 0 for sent in day.sent)
        print(
            f"seed {seed} ({day.environment}): {len(day.sent)} requests {statuses}, "
            f"{left_count} clients left, {len(day.faults)} faults, threads held up {day.rig_delay_s:.3f} s",
            flush=True,
        )
        for fault in day.faults[:5]:
            print(f"  {fault}", flush=True)
        broken += bool(day.faults)
    return broken


if __name__ == "__main__":
    sys.exit(main())
