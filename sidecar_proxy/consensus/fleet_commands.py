"""The admin commands of consensus: `FLEET …`, and the permits that `PAUSE` and `RESUME` take and return."""

from __future__ import annotations

import asyncio
import json
import secrets
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, Protocol

from sidecar_proxy.admin.server import AdminCommand, AdminCommandError, AdminServer
from sidecar_proxy.consensus import disruption_budgets, replicated_commands
from sidecar_proxy.consensus.disruption_budgets import TargetKind, permit_key
from sidecar_proxy.consensus.errors import CommandError, ProposalRejectedError
from sidecar_proxy.consensus.fact_collector import DisruptionFactCollector
from sidecar_proxy.consensus.outputs import Output
from sidecar_proxy.consensus.proposals import ProposalResult, ProposalStatus
from sidecar_proxy.consensus.replica import Replica
from sidecar_proxy.consensus.replicated_commands import (
    FORCE,
    WAIT,
    CommandKind,
    ReplicatedCommand,
)
from sidecar_proxy.engine import wall_clock

COMMAND_KINDS: dict[str, str] = {kind.value.upper(): kind for kind in CommandKind}
UPSTREAM_PREFIX = permit_key(TargetKind.UPSTREAM, "")
DONE_ANSWER = "done"


class CommandHost(Protocol):
    """The part of the consensus subsystem that the admin commands use."""

    replica: Replica
    fact_collector: DisruptionFactCollector
    is_closed: bool

    def perform(self, outputs: list[Output]) -> None:
        """Performs the effects that the replica asks for."""

    def now_us(self) -> int:
        """Returns the engine's monotonic time in microseconds."""

    def transport_counts(self) -> dict[str, int]:
        """Returns the counts of bytes and lost frames of the transport."""


class FleetCommands:
    """Handles the admin commands, and passes the results of submitted requests on to them."""

    def __init__(self, host: CommandHost, loop: asyncio.AbstractEventLoop) -> None:
        self.host = host
        self.loop = loop
        self.futures: dict[int, asyncio.Future[ProposalResult]] = {}  # pending requests by context
        self.last_context = 0  # contexts begin at 1: 0 marks a request whose result nobody awaits

    def register(self, server: AdminServer) -> None:
        """Adds `FLEET` to the admin server, and wraps its `PAUSE` and `RESUME`."""
        server.commands["FLEET"] = self.handle_fleet
        for name, handler in (("PAUSE", self.handle_pause), ("RESUME", self.handle_resume)):
            if name in server.commands:
                server.commands[name] = partial(handler, server.commands[name])

    def on_result(self, result: ProposalResult) -> None:
        """Completes the request to which a result belongs; a result of any other request is dropped."""
        future = self.futures.pop(result.request_id, None)
        if future is not None and not future.done():
            future.set_result(result)

    async def handle_fleet(self, line: str) -> str:
        """Handles `FLEET …`. Raises AdminCommandError."""
        verb, _, arguments = line.partition(" ")
        verb = verb.upper()
        now_us = self.host.now_us()
        replica = self.host.replica
        if self.host.is_closed:
            raise AdminCommandError("this sidecar takes no part any more; its log has why")
        if verb in ("STATUS", "LOG", "WORDS"):
            return self._describe(verb, now_us)
        if verb == "BEGIN":
            return self._create_fleet(now_us)
        if verb == "READ" and arguments:
            name = arguments[: replicated_commands.MAX_NAME_CHARS]
            return await self._submit(lambda context: replica.submit_read(context, name, now_us))
        if verb not in COMMAND_KINDS:
            raise AdminCommandError(
                "expected FLEET and one of BEGIN, STATUS, LOG, WORDS, READ NAME, "
                f"{', '.join(COMMAND_KINDS)} ID NAME"
            )
        command = self._parse_command(verb, arguments)
        return await self._submit(lambda context: replica.submit_command(context, command, now_us))

    def _describe(self, verb: str, now_us: int) -> str:
        replica = self.host.replica
        reporter = replica.status_reporter
        if verb == "STATUS":
            is_writing = replica.ready_driver.unpersisted_ready is not None
            status = reporter.describe(now_us, is_writing)
            return encode_answer({**status, "counts": self.host.transport_counts()})
        age_s = reporter.age_s(now_us)
        if verb == "LOG":
            return encode_answer({"age_s": age_s, "words": reporter.describe_recent_commands()})
        return encode_answer({"age_s": age_s, **replicated_commands.describe_state(replica.state)})

    def _create_fleet(self, now_us: int) -> str:
        try:
            self.host.perform(self.host.replica.create_fleet(now_us))
        except ProposalRejectedError as error:
            raise AdminCommandError(str(error)) from error
        return DONE_ANSWER

    def _parse_command(self, verb: str, arguments: str) -> ReplicatedCommand:
        command_id, _, name = arguments.partition(" ")
        value = ""
        started_ms = 0
        if verb == "SET":
            name, _, value = name.partition(" ")
        elif name.rpartition(" ")[2] in (FORCE, WAIT):
            name, _, value = name.rpartition(" ")
        if verb in ("SUSPEND", "DRAIN"):
            started_ms = self._started_ms(name)
        elif verb == "PERMIT" and name.startswith(UPSTREAM_PREFIX):
            started_ms = self._started_ms(name.removeprefix(UPSTREAM_PREFIX))
        return ReplicatedCommand(
            COMMAND_KINDS[verb],
            command_id,
            self.host.replica.name,
            wall_ms(),
            name,
            started_ms,
            value,
        )

    def _started_ms(self, name: str) -> int:
        """Returns the start of an upstream in Unix milliseconds; 0 stands for a start long ago.

        Raises AdminCommandError if no upstream of this name is listed.
        """
        upstream = self.host.fact_collector.find_upstream(name)
        if upstream is None:
            raise AdminCommandError("no upstream of that name is listed")
        return upstream.entry.started_us // 1000

    # PAUSE and RESUME

    def handle_pause(self, pause: AdminCommand, argument: str) -> str | Awaitable[str]:
        """Pauses this sidecar; if sidecars have a disruption budget, this needs a permit.

        With the argument `force` it is paused even if no permit is granted.
        """
        if not self._needs_permit():
            return pause("")
        return self._pause_with_permit(pause, argument)

    def handle_resume(self, resume: AdminCommand, _argument: str) -> str | Awaitable[str]:
        """Resumes this sidecar; if sidecars have a disruption budget, its permit is then returned."""
        if not self._needs_permit():
            return resume("")
        return self._resume_with_permit(resume)

    def _needs_permit(self) -> bool:
        if self.host.is_closed:
            return False
        settings = replicated_commands.settings_of(self.host.replica.state)
        return bool(disruption_budgets.configured_budgets(settings, TargetKind.SIDECAR))

    async def _pause_with_permit(self, pause: AdminCommand, argument: str) -> str:
        value = FORCE if argument == FORCE else ""
        permit_answer = await self._submit_permit(CommandKind.PERMIT, value)
        has_permit = permit_answer.startswith(DONE_ANSWER)
        if not has_permit and argument != FORCE:
            raise AdminCommandError(f"not paused: {permit_answer}")
        answer = pause("")
        assert isinstance(answer, str)
        return answer if has_permit else f"{answer}, by force; {permit_answer}"

    async def _resume_with_permit(self, resume: AdminCommand) -> str:
        answer = resume("")
        assert isinstance(answer, str)
        permit_answer = await self._submit_permit(CommandKind.RETURN, "")
        if permit_answer.startswith(DONE_ANSWER):
            return answer
        return f"{answer}; its place: {permit_answer}"

    async def _submit_permit(self, kind: CommandKind, value: str) -> str:
        """Takes or returns the permit of this sidecar. Returns the answer, or the text of the error."""
        replica = self.host.replica
        command = ReplicatedCommand(
            kind,
            f"{kind}-{secrets.token_hex(6)}",
            replica.name,
            wall_ms(),
            permit_key(TargetKind.SIDECAR, replica.name),
            0,
            value,
        )
        try:
            return await self._submit(
                lambda context: replica.submit_command(context, command, self.host.now_us())
            )
        except AdminCommandError as error:
            return str(error)

    async def _submit(self, submit: Callable[[int], list[Output]]) -> str:
        """Submits a request, awaits its result and returns it as an answer. Raises AdminCommandError."""
        self.last_context += 1
        context = self.last_context
        future = self.loop.create_future()
        self.futures[context] = future
        try:
            self.host.perform(submit(context))
            result = await future
        except CommandError as error:
            raise AdminCommandError(str(error)) from error
        finally:
            self.futures.pop(context, None)
        if result.status is ProposalStatus.ERROR:
            raise AdminCommandError(result.text)
        index = f" {result.index}" if result.index else ""
        text = f": {result.text}" if result.text else ""
        return f"{result.status}{index}{text}"


def wall_ms() -> int:
    """Returns the wall clock in Unix milliseconds."""
    return wall_clock.now_ns() // 1_000_000


def encode_answer(answer: dict[str, Any]) -> str:
    """Returns an answer of several values: one line of JSON, and a line that marks the end."""
    return json.dumps(answer, ensure_ascii=False) + "\nend"
