"""Functions that are called on signals, without real signals."""

from __future__ import annotations

import asyncio
import signal

from sidecar_proxy.engine.signal_inbox import SignalInbox
from sidecar_proxy.engine.signal_polling import SignalPoller


def fail() -> None:
    raise RuntimeError("a fault in the function of a signal")


def test_stop_signal_is_not_lost_behind_a_fault_in_the_function_of_another_signal() -> None:
    async def play() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: None)
        inbox = SignalInbox([signal.SIGHUP, signal.SIGTERM])
        inbox.received = {signal.SIGHUP, signal.SIGTERM}
        is_stopped = asyncio.Event()
        poller = SignalPoller(loop, inbox)
        poller.handle(signal.SIGHUP, fail)
        poller.handle(signal.SIGTERM, is_stopped.set)
        await asyncio.wait_for(is_stopped.wait(), 5.0)
        poller.close()

    asyncio.run(play())
