"""The end of keyed work's window crosses what its repeat waits for. docs/design/crossings.md."""

from __future__ import annotations

import select
from typing import Any

from tests.crossings.stand_ins import Late
from tests.sockets import LONG_S, Sidecar

KEYED: dict[str, Any] = {
    "instances": "1",
    "dial_timeout": "15000000",
    "request-classes.2.aim": "16000000",
    "request-classes.2.deadline": "90000000",
    "request-classes.2.memory-span": "600000",
}


def test_a_repeat_whose_connection_comes_up_after_the_window_is_not_sent() -> None:
    """The first attempt may have run. The second begins inside the window, and its connection comes up after
    it: who remembers the key no more would run it again."""
    with Late(first=1) as upstream, Sidecar([upstream], **KEYED) as sidecar:
        client = sidecar.client()
        client.send("POST", "/mark/7", b"keyed", Idempotency_Key="k1", Req_Deadline="15.0")
        # it is answered at the end of its window, and not when the connection is up or its time is over
        given_up = select.select([client.socket], [], [], LONG_S / 2)[0]
        upstream.opened.set()
        found = client.read()
        assert found is not None and found.status == 502 and given_up
        assert (
            sidecar.request("POST", "/mark/8", b"last", Idempotency_Key="k2", Req_Deadline="15.0").status
            == 200
        )
        assert upstream.bodies() == [b"keyed", b"last"]
