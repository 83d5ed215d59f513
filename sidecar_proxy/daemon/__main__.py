"""Starts the sidecar process; without an operator file nothing needs TLS, and its libraries are left out."""

from __future__ import annotations

import signal
import sys

from sidecar_proxy.daemon.lean_imports import import_event_loop
from sidecar_proxy.daemon.standard_streams import open_missing_streams
from sidecar_proxy.engine.signal_inbox import SignalInbox
from sidecar_proxy.environment import read_variable

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR2)


def main() -> int:
    """Run the sidecar that the environment configures; return the exit status."""
    signals = SignalInbox(HANDLED_SIGNALS)
    signals.open()
    open_missing_streams()
    try:
        if not read_variable("OPERATOR"):
            import_event_loop()
        # Imported only now, as it imports asyncio.
        from sidecar_proxy.daemon.process import run

        return run(signals)
    finally:
        signals.close()


if __name__ == "__main__":
    sys.exit(main())
