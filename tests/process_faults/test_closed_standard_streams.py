"""A parent that has closed the standard streams, so that their numbers are free for other descriptors."""

from __future__ import annotations

import os
import signal

import pytest

from tests.admin.admin_sidecar import free_address
from tests.sockets import Client, Sidecar, Upstream


class SilentSidecar(Sidecar):
    """A sidecar whose log can't be read, at an address that is known before its start."""

    def __init__(self, upstreams: list[Upstream], closed: str) -> None:
        self.address = free_address()
        env = {"PROXY_LISTEN": f"{self.address[0]}:{self.address[1]}"}
        super().__init__(upstreams, before=f"exec {closed}; ", env=env)

    def startup_lines(self) -> list[str]:
        """Return the line that names its address, once it can be reached there."""
        try:
            Client(self.address).close()
        except OSError:
            return []
        return [f"n0 listens on {self.address[0]}:{self.address[1]}"]

    def descriptor_targets(self) -> list[str]:
        """Return what the descriptors of the three standard streams refer to."""
        return [os.readlink(f"/proc/{self.process.pid}/fd/{number}") for number in range(3)]


@pytest.mark.parametrize("closed", ["2>&-", "0<&- 1>&- 2>&-"])
def test_standard_streams_that_the_parent_has_closed_do_not_abort_the_process(closed: str) -> None:
    with Upstream() as upstream, SilentSidecar([upstream], closed) as sidecar:
        sidecar.process.send_signal(signal.SIGHUP)  # logs a line
        assert sidecar.request("GET", "/read/1").status == 200
        assert "socket" not in "".join(sidecar.descriptor_targets())
        assert sidecar.stop() == 0
