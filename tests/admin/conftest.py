"""Fixtures: upstreams, a sidecar with an admin server, and what two processes of one sidecar share."""

from __future__ import annotations

import socket
import tempfile
import threading
from collections.abc import Iterator

import pytest

from tests.admin.admin_sidecar import AdminSidecar
from tests.sockets import Upstream


@pytest.fixture
def upstream() -> Iterator[Upstream]:
    with Upstream() as server:
        yield server


@pytest.fixture
def first_upstream() -> Iterator[Upstream]:
    """An upstream that answers `one`."""
    with Upstream(b"one") as server:
        yield server


@pytest.fixture
def second_upstream() -> Iterator[Upstream]:
    """An upstream that answers `two`."""
    with Upstream(b"two") as server:
        yield server


@pytest.fixture
def shared_folder() -> Iterator[str]:
    """The $TMPDIR that all processes of a sidecar share."""
    with tempfile.TemporaryDirectory() as folder:
        yield folder


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    """The clients' listening socket, which all processes of a sidecar inherit."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield server


@pytest.fixture
def sidecar(upstream: Upstream, shared_folder: str) -> Iterator[AdminSidecar]:
    """A sidecar with an admin server and one upstream."""
    with AdminSidecar([upstream], shared_folder) as process:
        yield process


@pytest.fixture
def release() -> Iterator[threading.Event]:
    """An event that scripted upstreams wait for; set at the end of the test at the latest."""
    event = threading.Event()
    yield event
    event.set()
