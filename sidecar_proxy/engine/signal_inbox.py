"""Takes the signals of the process, whichever of its threads the kernel gives them to.

A disposition holds for all threads, a mask for one. The process may have threads that are not its own and
block nothing, so each signal has a handler. Where only own threads run, signals are blocked and stay pending:
the kernel merges those of one number, so that a series of them costs no more than one.
"""

from __future__ import annotations

import logging
import signal
import sys
from collections.abc import Iterable
from contextlib import suppress
from types import FrameType

log = logging.getLogger("sidecar_proxy")


class SignalInbox:
    """The signals that have come and are not taken yet, each number once.

    A call that the kernel refuses leaves the signal to the other way. The methods are called in the main
    thread only.
    """

    def __init__(self, numbers: Iterable[signal.Signals]) -> None:
        self.numbers = frozenset(numbers)
        self.received: set[int] = set()
        self.can_poll = True  # whether pending signals can be taken without a handler

    def open(self) -> None:
        """Handle the signals from now on, whatever was inherited."""
        for number in self.numbers:
            with suppress(OSError):
                signal.signal(number, self._on_signal)
                signal.siginterrupt(number, False)  # system calls of threads that are not ours go on
        with suppress(OSError):
            signal.pthread_sigmask(signal.SIG_BLOCK, self.numbers)

    def take(self) -> set[int]:
        """Return the numbers of the signals that have come since the last call."""
        if self.can_poll:
            self._take_pending()
        taken, self.received = self.received, set()
        return taken

    def close(self) -> None:
        """Ignore the signals from now on: the interpreter would restore the default at its end."""
        # A signal of this moment may find no handler to call, which the interpreter would report.
        sys.unraisablehook = lambda _: None
        for number in self.numbers:
            with suppress(OSError):
                signal.signal(number, signal.SIG_IGN)

    def _on_signal(self, number: int, _frame: FrameType | None) -> None:
        self.received.add(number)

    def _take_pending(self) -> None:
        """Take the signals that are pending, each number once: a series of one must not hide the others."""
        waiting = set(self.numbers)
        try:
            while waiting and (information := signal.sigtimedwait(waiting, 0)) is not None:
                self.received.add(information.si_signo)
                waiting.discard(signal.Signals(information.si_signo))
        except OSError as error:
            log.warning("signals are left to their handlers: %s", error)
            self.can_poll = False
            with suppress(OSError):
                signal.pthread_sigmask(signal.SIG_UNBLOCK, self.numbers)
