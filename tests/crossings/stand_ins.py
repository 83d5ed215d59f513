"""Upstreams that hold back: what they have been sent, or its answer."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Iterator

from tests.sockets import LONG_S, Message, Upstream, answer


class Gate:
    """An upstream that answers nobody until it is opened."""

    def __init__(self) -> None:
        self.opened = threading.Event()
        self.upstream = Upstream(script=self.script)

    def script(self, request: Message, client: object) -> bytes:
        self.opened.wait(3 * LONG_S)
        return answer(b"ok")


@contextlib.contextmanager
def narrow() -> Iterator[socket.socket]:
    """A listener whose kernel takes little of what nobody reads."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen(8)
        yield listener
