"""A request whose answer its upstream holds back until the test releases it."""

from __future__ import annotations

import threading

from tests.sockets import LONG_S, Message, Sidecar, Upstream, answer, eventually

HELD_BODY = b"held"


class HoldingUpstream(Upstream):
    """Answers requests that are not idempotent once it is released, and all others at once."""

    def __init__(self) -> None:
        self.released = threading.Event()
        super().__init__(script=self.respond)

    def respond(self, request: Message, client: object) -> bytes:
        """Answer, if need be after the release."""
        if request.start.startswith("POST"):
            self.released.wait(LONG_S)
        return answer(HELD_BODY)

    def holds_request(self) -> bool:
        """Return whether a request has come that is held back."""
        return any(request.start.startswith("POST") for request in self.requests)


class HeldRequest:
    """An unsafe request that is in flight: the upstream has received it."""

    def __init__(self, sidecar: Sidecar, upstream: HoldingUpstream) -> None:
        self.upstream = upstream
        self.client = sidecar.client()
        self.client.send("POST", "/pay/1", b"x", Req_Deadline="15.0")
        eventually(upstream.holds_request)

    def assert_answered_after_release(self) -> None:
        """Release the answer, and check that the client gets it."""
        self.upstream.released.set()
        response = self.client.read()
        self.client.close()
        assert response is not None, "the connection ended with no answer"
        assert response.status == 200
        assert response.body == HELD_BODY
