"""The operator file's text to typed values: one line that names the key for whatever is wrong with it.

The types and limits are the schema's; here are the line that says what is wrong, and what belongs together.
"""

from __future__ import annotations

import re
import tomllib

import msgspec

from sidecar_proxy.config.errors import OperatorError
from sidecar_proxy.config.field_types import Kind, whole
from sidecar_proxy.config.schema import Etcd, Gossip, Grpc, Operator
from sidecar_proxy.engine.address import AddressError, parse_address

MOST_BYTES = 1024 * 1024


def load_file(path: str) -> Operator:
    """Raises OperatorError, and OSError where it can't be read."""
    with open(path, "rb") as file:
        data = file.read(MOST_BYTES + 1)
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
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise OperatorError(f"not TOML: {' '.join(str(error).split())[:200]}") from error
    wrong = first_wrong(told, whole())
    if wrong:
        raise OperatorError(wrong)
    operator = msgspec.convert(told, Operator)
    check_methods(operator.grpc)
    check_etcd(operator.membership.etcd)
    check_gossip(operator.gossip)
    return operator


def first_wrong(told: object, kind: Kind, path: tuple[str, ...] = ()) -> str:
    """The line for the first key that is not as its kind says; "" if all are. Hazard: msgspec's own message
    holds keys of the file as they stand, so that nothing can be read off it."""
    if not kind.keys:
        return "" if kind.takes(told) else line(told, kind, path)
    if not isinstance(told, dict):
        return line(told, kind, path)
    for key, inner in told.items():
        if key not in kind.keys:
            return f"{name_of((*path, key))}: unknown; expected one of {', '.join(kind.keys)}"
        wrong = first_wrong(inner, kind.keys[key], (*path, key))
        if wrong:
            return wrong
    return ""


def line(told: object, kind: Kind, path: tuple[str, ...]) -> str:
    """What was expected there, and what was got."""
    if isinstance(told, dict) and kind.of_texts():
        for key, inner in told.items():
            if not isinstance(inner, str):
                return f"{name_of((*path, key))}: expected a text, got {shown(inner)}"
    return f"{name_of(path)}: expected {kind.expected()}, got {shown(told)}"


def check_methods(grpc: Grpc) -> None:
    """Full names of methods. That the classes exist is checked where the settings are known."""
    for name in grpc.methods:
        parts = name.split("/")
        if len(parts) != 3 or parts[0] or not parts[1] or not parts[2] or not name.isascii():
            raise OperatorError(
                f"grpc.methods.{shown(name)}: expected /package.Service/Method or /package.Service/*"
            )


def check_etcd(etcd: Etcd) -> None:
    """What belongs together, and the form of addresses."""
    for number, one in enumerate(etcd.endpoints):
        try:
            parse_address(one)
        except AddressError as error:
            raise OperatorError(f"membership.etcd.endpoints: the entry {number + 1}: {error}") from error
    if not etcd.prefix:
        raise OperatorError("membership.etcd.prefix: expected a prefix, got ''")
    for key, needed in (
        ("username", "password_file"),
        ("password_file", "username"),
        ("tls_key", "tls_cert"),
    ):
        if getattr(etcd, key) and not getattr(etcd, needed):
            raise OperatorError(f"membership.etcd.{key}: needs {needed} as well")


def check_gossip(gossip: Gossip) -> None:
    """What belongs together, and the form of addresses."""
    for key, one in (
        ("bind", gossip.bind),
        ("advertise", gossip.advertise),
        *(("seeds", one) for one in gossip.seeds),
    ):
        if one or key == "seeds":
            try:
                parse_address(one)
            except AddressError as error:
                raise OperatorError(f"gossip.{key}: {error}") from error
    reached = gossip.advertise or gossip.bind
    literal = reached[:1].isdigit() or reached.startswith("[")
    if reached and (not literal or reached.startswith(("0.0.0.0:", "[::]:"))):
        key = "advertise" if gossip.advertise else "bind"
        raise OperatorError(
            f"gossip.{key}: expected an address that the others reach, as digits; got {shown(reached)}"
        )
    for key in ("key_file", "certificate_file", "fleet_keys"):
        if gossip.bind and not getattr(gossip, key):
            raise OperatorError(f"gossip.{key}: missing; gossip.bind needs it")


def name_of(path: tuple[str, ...]) -> str:
    """A key's path, parts quoted where they would not be one word."""
    return ".".join(key if re.fullmatch(r"[A-Za-z0-9_-]{1,60}", key) else shown(key) for key in path)


def shown(value: object) -> str:
    """A value on one line, cut short."""
    text = " ".join(repr(value).split())
    return text if len(text) <= 60 else text[:57] + "..."
