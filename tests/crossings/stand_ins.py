"""Upstreams that hold back: what they have been sent, or its answer."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Iterator

from tests.sockets import LONG_S, Message, Upstream, answer, read_message


class Gate:
    """An upstream that answers nobody until it is opened."""

    def __init__(self) -> None:
        self.opened = threading.Event()
        self.upstream = Upstream(script=self.script)

    def script(self, request: Message, client: object) -> bytes:
        self.opened.wait(3 * LONG_S)
        return answer(b"ok")


class Late(Upstream):
    """Takes connections up once it is told to: till then those that come hang."""

    def __init__(self, first: int = 0) -> None:
        self.first = first  # taken up at once; from the request that comes on the last of these on, no more
        self.opened = threading.Event()
        self.fillers = [socket.socket() for _ in range(3)]
        super().__init__()
        if not first:
            self.fill()

    def fill(self) -> None:
        """The backlog: the kernel passes over what comes beyond it, and it is sent again a second later."""
        self.socket.listen(0)
        for filler in self.fillers:
            filler.setblocking(False)
            filler.connect_ex(self.socket.getsockname())

    def accept(self) -> None:
        for _ in range(self.first):
            client, _ = self.socket.accept()
            self.accepted += 1
            with client.makefile("rb") as file:
                request = read_message(file)
                assert request is not None
                self.requests.append(request)
                if self.accepted == self.first:
                    self.fill()
            client.close()  # it may have run
        self.opened.wait(LONG_S)
        super().accept()

    def __exit__(self, *_: object) -> None:
        super().__exit__()
        for filler in self.fillers:
            filler.close()


@contextlib.contextmanager
def narrow() -> Iterator[socket.socket]:
    """A listener whose kernel takes little of what nobody reads."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen(8)
        yield listener
