"""Turns further sources of membership on, as the operator file says."""

from __future__ import annotations

import random

from wickspread.membership.etcd.follower import Follower
from wickspread.membership.etcd.source import Source
from wickspread.membership.feed import Feed
from wickspread.operator.file import Membership, OperatorError
from wickspread.sidecar.engine import Engine
from wickspread.sidecar.listing import Directory


def start(told: Membership, engine: Engine, directory: Directory, seed: int) -> tuple[Feed, Source]:
    """Raises OperatorError where a file that is named can't be used."""
    feed = Feed(engine, directory, ["etcd"])
    etcd = told.etcd
    follower = Follower(etcd.prefix, len(etcd.endpoints), bool(etcd.username), random.Random(seed))
    try:
        source = Source(etcd, follower, feed, engine.clock.now_us)
    except OSError as error:  # among them ssl.SSLError
        raise OperatorError(f"membership.etcd.tls_ca, tls_cert, tls_key: {error}") from error
    engine.loop.call_soon(source.start)
    return feed, source
