"""The operator file (TOML, named by WICKSPREAD_OPERATOR): typed values, or one line that names the key.

A table is a frozen dataclass; a field's metadata holds its limits, so that a table is described once. Unknown
keys, wrong types and impossible values are errors: a misspelt key that is passed over turns nothing on, and
nobody learns of it.
"""

from __future__ import annotations

import math
import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from typing import Any, TypeVar

from wickspread.engine.address import AddressError, parse_address

VARIABLE = "WICKSPREAD_OPERATOR"
MOST_BYTES = 1024 * 1024
MOST_METHODS = 10_000
MOST_TEXTS = 100
Table = TypeVar("Table")


class OperatorError(Exception):
    """The operator file can't be used; the text is one line and names the key."""


def within(default: float, least: float, most: float) -> Any:
    """A number's field, with its limits."""
    kind = int if isinstance(default, int) else float
    return field(default=kind(default), metadata={"limits": (least, most)})


@dataclass(slots=True, frozen=True)
class Grpc:
    """[grpc]: calls by HTTP/2 with prior knowledge, on the listener of HTTP/1.1."""

    enabled: bool = False
    methods: Mapping[str, str] = field(default_factory=dict)  # "/package.Service/Method" or ".../*": class
    streams: int = within(100, 1, 10_000)  # calls that one client's connection may have open together
    buffered_kib: int = within(16 * 1024, 256, 4 * 1024 * 1024)  # held for all peers that do not read
    idle_s: float = within(60.0, 0.1, 86_400.0)  # connections without a call are ended after this
    ping_s: float = within(2.0, 0.1, 3600.0)  # a node's connection that is silent under calls is asked
    probe: str = field(default="http", metadata={"choices": ("http", "grpc")})  # how nodes' health is asked


@dataclass(slots=True, frozen=True)
class Etcd:
    """[membership.etcd]: nodes under a prefix, followed beside the roster. Off where no endpoint is named."""

    endpoints: tuple[str, ...] = ()  # HOST:PORT of the members
    prefix: str = "/komiks/nodes/"  # a key is this and a node's name, its value an entry of discovery's
    username: str = ""
    password_file: str = ""
    tls_ca: str = ""  # any of these turns TLS on
    tls_cert: str = ""
    tls_key: str = ""


@dataclass(slots=True, frozen=True)
class Membership:
    """[membership]: sources beside the roster."""

    etcd: Etcd = field(default_factory=Etcd, metadata={"table": Etcd})
    socket: str = ""  # where `members` asks, a path on this machine; "" = nowhere


@dataclass(slots=True, frozen=True)
class Gossip:
    """[gossip]: what other sidecars have seen of nodes. Off where no address is named."""

    bind: str = ""  # HOST:PORT, by UDP and TCP; port 0 = the system's choice
    advertise: str = ""  # where the others reach it, if not there
    seeds: tuple[str, ...] = ()  # HOST:PORT of some others
    key_file: str = ""  # its private key
    certificate_file: str = ""  # the fleet's word for it
    fleet_keys: tuple[str, ...] = ()  # files of the fleet's public keys, one a line
    revoked_file: str = ""  # serials that are not listened to; read again when it changes
    socket: str = ""  # where `gossip members` asks, a path on this machine; "" = nowhere
    least_instances: int = within(0, 0, 100_000)  # never fewer to the decisions; 0 = the settings' number


@dataclass(slots=True, frozen=True)
class Operator:
    """The whole file."""

    grpc: Grpc = field(default_factory=Grpc)
    membership: Membership = field(default_factory=Membership)
    gossip: Gossip = field(default_factory=Gossip)


def load(env: Mapping[str, str]) -> Operator:
    """The file that the environment names; everything off where it names none. Raises OperatorError."""
    path = env.get(VARIABLE, "")
    if not path:
        return Operator()
    try:
        with open(path, "rb") as file:
            data = file.read(MOST_BYTES + 1)
    except OSError as error:
        raise OperatorError(f"{VARIABLE}: {path}: {error.strerror or error}") from error
    if len(data) > MOST_BYTES:
        raise OperatorError(f"{path}: over {MOST_BYTES} bytes")
    try:
        return read(data.decode("utf-8"))
    except (UnicodeDecodeError, OperatorError) as error:
        raise OperatorError(f"{path}: {error}") from error


def read(text: str) -> Operator:
    """The file's text. Raises OperatorError."""
    try:
        told = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise OperatorError(f"not TOML: {' '.join(str(error).split())}") from error
    tables: dict[str, Any] = {"grpc": Grpc, "membership": Membership, "gossip": Gossip}
    for key in told:
        if key not in tables:
            raise OperatorError(f"{plain(key)}: unknown; expected one of {', '.join(tables)}")
    operator = Operator(**{key: table(key, told[key], kind) for key, kind in tables.items() if key in told})
    check_methods(operator.grpc)
    check_etcd(operator.membership.etcd)
    check_gossip(operator.gossip)
    return operator


def table(name: str, told: object, kind: type[Table]) -> Table:
    """One table, as its dataclass says."""
    if not isinstance(told, dict):
        raise OperatorError(f"{name}: expected a table, got {shown(told)}")
    known = {one.name: one for one in fields(kind)}  # type: ignore[arg-type]
    values = {}
    for key, value in told.items():
        path = f"{name}.{plain(key)}"
        if key not in known:
            raise OperatorError(f"{path}: unknown; expected one of {', '.join(known)}")
        if "table" in known[key].metadata:
            values[key] = table(path, value, known[key].metadata["table"])
            continue
        values[key] = checked(path, value, str(known[key].type), known[key].metadata)
    return kind(**values)


def checked(path: str, value: object, wanted: str, limits: Mapping[str, Any]) -> object:
    """One value in its type and limits."""
    if wanted == "bool":
        if not isinstance(value, bool):
            raise OperatorError(f"{path}: expected true or false, got {shown(value)}")
        return value
    if wanted in ("int", "float"):
        if isinstance(value, bool) or not isinstance(value, int | float if wanted == "float" else int):
            what = "a number" if wanted == "float" else "a whole number"
            raise OperatorError(f"{path}: expected {what}, got {shown(value)}")
        least, most = limits["limits"]
        if not math.isfinite(value) or not least <= value <= most:
            raise OperatorError(f"{path}: expected {least:g} to {most:g}, got {shown(value)}")
        return float(value) if wanted == "float" else value
    if wanted == "str":
        if not isinstance(value, str) or value not in limits.get("choices", (value,)):
            expected = " or ".join(repr(one) for one in limits.get("choices", ())) or "a text"
            raise OperatorError(f"{path}: expected {expected}, got {shown(value)}")
        return value
    if wanted.startswith("tuple"):
        if (not isinstance(value, list) or len(value) > MOST_TEXTS
                or not all(isinstance(one, str) for one in value)):
            raise OperatorError(f"{path}: expected a list of at most {MOST_TEXTS} texts, got {shown(value)}")
        return tuple(value)
    if not isinstance(value, dict):
        raise OperatorError(f"{path}: expected a table, got {shown(value)}")
    for key, inner in value.items():
        if not isinstance(inner, str):
            raise OperatorError(f"{path}.{shown(key)}: expected a text, got {shown(inner)}")
    return dict(value)


def check_methods(grpc: Grpc) -> None:
    """Full names of methods. That the classes exist is checked where the settings are known."""
    if len(grpc.methods) > MOST_METHODS:
        raise OperatorError(f"grpc.methods: over {MOST_METHODS} methods")
    for name in grpc.methods:
        parts = name.split("/")
        if len(parts) != 3 or parts[0] or not parts[1] or not parts[2] or not name.isascii():
            raise OperatorError(f"grpc.methods.{shown(name)}: expected /package.Service/Method or "
                                "/package.Service/*")


def check_etcd(etcd: Etcd) -> None:
    """What belongs together, and the form of addresses."""
    for number, one in enumerate(etcd.endpoints):
        try:
            parse_address(one)
        except AddressError as error:
            raise OperatorError(f"membership.etcd.endpoints: the entry {number + 1}: {error}") from error
    if not etcd.prefix:
        raise OperatorError("membership.etcd.prefix: expected a prefix, got ''")
    for key, needed in (("username", "password_file"), ("password_file", "username"),
                        ("tls_key", "tls_cert")):
        if getattr(etcd, key) and not getattr(etcd, needed):
            raise OperatorError(f"membership.etcd.{key}: needs {needed} as well")


def check_gossip(gossip: Gossip) -> None:
    """What belongs together, and the form of addresses."""
    for key, one in (("bind", gossip.bind), ("advertise", gossip.advertise), *(
            ("seeds", one) for one in gossip.seeds)):
        if one or key == "seeds":
            try:
                parse_address(one)
            except AddressError as error:
                raise OperatorError(f"gossip.{key}: {error}") from error
    reached = gossip.advertise or gossip.bind
    literal = reached[:1].isdigit() or reached.startswith("[")
    if reached and (not literal or reached.startswith(("0.0.0.0:", "[::]:"))):
        key = "advertise" if gossip.advertise else "bind"
        raise OperatorError(f"gossip.{key}: expected an address that the others reach, as digits; got "
                            f"{shown(reached)}")
    for key in ("key_file", "certificate_file", "fleet_keys"):
        if gossip.bind and not getattr(gossip, key):
            raise OperatorError(f"gossip.{key}: missing; gossip.bind needs it")


def plain(key: str) -> str:
    """A key as it stands, or quoted where it would not be one word."""
    return key if re.fullmatch(r"[A-Za-z0-9_-]{1,60}", key) else shown(key)


def shown(value: object) -> str:
    """A value on one line, cut short."""
    text = " ".join(repr(value).split())
    return text if len(text) <= 60 else text[:57] + "..."
