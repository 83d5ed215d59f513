"""The time that a request waits in the kernel is part of its deadline."""

from __future__ import annotations

import signal
import time

import pytest

from tests.process_faults.environment_faults import NO_FAULTS, EnvironmentFaults
from tests.process_faults.soak import DEADLINE_SLACK_S
from tests.sockets import Sidecar, Upstream

HELD_UP_S = 0.4
IDLE_S = 1.0  # longer than the deadline of a request that follows
SHORT_DEADLINE = "0.500"
HOUR_OLD_INPUT = EnvironmentFaults(tcp_info_age_ms=3_600_000)
SLOW_CLOCK = EnvironmentFaults(clock_rate=0.25)


@pytest.mark.parametrize("faults", [NO_FAULTS, HOUR_OLD_INPUT], ids=["", "hour_old_input"])
def test_deadline_that_is_passed_on_counts_the_time_before_the_request_was_read(
    faults: EnvironmentFaults,
) -> None:
    with Upstream() as upstream, Sidecar([upstream], env=faults.variables()) as sidecar:
        client = sidecar.client()
        assert client.request("GET", "/ready").status == 200
        sidecar.process.send_signal(signal.SIGSTOP)
        client.send("POST", "/pay/1", b"x", Req_Deadline="1.000")
        time.sleep(HELD_UP_S)
        sidecar.process.send_signal(signal.SIGCONT)
        response = client.read()
        client.close()
        assert response is not None
        assert response.status == 200
        assert float(upstream.requests[0].headers["req-deadline"]) <= 1.0 - HELD_UP_S + DEADLINE_SLACK_S


@pytest.mark.parametrize("faults", [HOUR_OLD_INPUT, SLOW_CLOCK], ids=["hour_old_input", "slow_clock"])
def test_input_that_is_older_by_the_clock_of_the_kernel_is_not_rejected(faults: EnvironmentFaults) -> None:
    with Upstream() as upstream, Sidecar([upstream], env=faults.variables()) as sidecar:
        kept = sidecar.client()
        for _ in range(2):
            assert kept.request("POST", "/pay/1", b"x", Req_Deadline=SHORT_DEADLINE).status == 200
            assert sidecar.request("POST", "/pay/1", b"x", Req_Deadline=SHORT_DEADLINE).status == 200
            time.sleep(IDLE_S)
        kept.close()
