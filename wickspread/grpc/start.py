"""Turns gRPC on in a sidecar, as the operator file says."""

from __future__ import annotations

from functools import partial

from wickspread.engine.engine import Engine
from wickspread.grpc.front import Front
from wickspread.grpc.metadata import MethodError, Methods, Reader
from wickspread.grpc.nodes import Nodes
from wickspread.grpc.probe import probe
from wickspread.http1.listener import Listener
from wickspread.operator.error import OperatorError
from wickspread.operator.schema import Grpc


def start(told: Grpc, engine: Engine, server: Listener) -> Nodes:
    """Raises OperatorError where a method has a class that the settings don't have."""
    try:
        methods = Methods(told.methods, engine.settings.classes)
    except MethodError as error:
        raise OperatorError(str(error)) from error
    nodes = Nodes(engine, told.idle_s, told.ping_s, told.buffered_kib * 1024)
    server.front = Front(server, Reader(methods, engine.settings), nodes, told.streams, told.idle_s)
    if told.probe == "grpc":
        engine.probes = partial(probe, nodes)
    return nodes
