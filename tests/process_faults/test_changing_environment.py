"""What surrounds the process changes while it runs: its folder disappears, its limits are lowered."""

from __future__ import annotations

import resource
import shutil
import tempfile
import threading
import time

from tests.admin.admin_sidecar import AdminSidecar
from tests.process_faults.crowd import LimitedSidecar
from tests.sockets import Message, Upstream

SEVERAL_POLLS_S = 0.5  # of what is stored in the folder


def test_drain_does_not_end_when_the_folder_of_the_sidecar_is_gone() -> None:
    folder = tempfile.mkdtemp()
    with Upstream() as upstream, AdminSidecar([upstream], folder) as sidecar:
        assert sidecar.call("PAUSE") == "done"
        shutil.rmtree(folder)
        time.sleep(SEVERAL_POLLS_S)
        assert sidecar.request("GET", "/ready").status == 503
        sidecar.call("RESUME")
        assert sidecar.request("GET", "/ready").status == 200
        time.sleep(SEVERAL_POLLS_S)
        assert sidecar.request("GET", "/ready").status == 200
        assert sidecar.stop() == 0


def test_client_waits_while_the_limit_of_descriptors_is_lowered_below_what_is_open() -> None:
    with Upstream() as upstream, LimitedSidecar([upstream]) as sidecar:
        kept = sidecar.client()
        assert kept.request("GET", "/read/1").status == 200
        pid = sidecar.process.pid
        limits = resource.prlimit(pid, resource.RLIMIT_NOFILE)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (3, limits[1]))
        assert kept.request("GET", "/ready").status == 200
        assert kept.request("GET", "/read/1").status in (200, 502, 503)
        responses: list[Message] = []
        waiting = threading.Thread(target=lambda: responses.append(sidecar.request("GET", "/read/1")))
        waiting.start()
        time.sleep(SEVERAL_POLLS_S)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)
        waiting.join()
        assert [response.status for response in responses] == [200]
        kept.close()
        assert sidecar.stop() == 0
