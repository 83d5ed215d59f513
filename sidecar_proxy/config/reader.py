"""Parses an operator file into typed values; an error is one line that names the invalid key.

The schema defines the types and limits. This module creates the error messages, and checks the form of
addresses and method names and the conditions that involve more than one key.
"""

from __future__ import annotations

import re
import tomllib

import msgspec

from sidecar_proxy.config.errors import OperatorError, OperatorValueError
from sidecar_proxy.config.field_types import FieldType, operator_file_type
from sidecar_proxy.config.schema import Etcd, Gossip, Grpc, Operator
from sidecar_proxy.engine.address import AddressError, parse_address

MAX_FILE_BYTES = 1024 * 1024
MAX_TOML_ERROR_CHARS = 200
MAX_SHOWN_VALUE_CHARS = 60
ELLIPSIS = "..."
WILDCARD_ADDRESSES = ("0.0.0.0:", "[::]:")

KeyPath = tuple[str, ...]  # the names of the enclosing tables, outermost first, and the name of the key


def load_file(path: str) -> Operator:
    """Return the content of an operator file. Raises OperatorError, and OSError if it can't be read."""
    with open(path, "rb") as file:
        data = file.read(MAX_FILE_BYTES + 1)
    if len(data) > MAX_FILE_BYTES:
        raise OperatorError(f"{path}: over {MAX_FILE_BYTES} bytes")
    try:
        return parse(data.decode("utf-8"))
    except (UnicodeDecodeError, OperatorError) as error:
        raise OperatorError(f"{path}: {error}") from error


def parse(text: str) -> Operator:
    """Return the content of an operator file from its text. Raises OperatorError."""
    try:
        content = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        message = " ".join(str(error).split())[:MAX_TOML_ERROR_CHARS]
        raise OperatorError(f"not TOML: {message}") from error
    check_types(content, operator_file_type())
    operator = msgspec.convert(content, Operator)
    check_methods(operator.grpc)
    check_etcd(operator.membership.etcd)
    check_gossip(operator.gossip)
    return operator


def check_types(value: object, field_type: FieldType, path: KeyPath = ()) -> None:
    """Raise OperatorValueError for the first key that is unknown or has an invalid value.

    The messages of msgspec are not used: they contain keys of the file without escaping them, so the key
    could not be distinguished from the surrounding text.
    """
    if not field_type.is_table:
        if not field_type.accepts(value):
            raise invalid_value_error(value, field_type, path)
        return
    if not isinstance(value, dict):
        raise invalid_value_error(value, field_type, path)
    for key, member in value.items():
        if key not in field_type.fields:
            expected_keys = ", ".join(field_type.fields)
            raise OperatorValueError(format_path((*path, key)), f"unknown; expected one of {expected_keys}")
        check_types(member, field_type.fields[key], (*path, key))


def invalid_value_error(value: object, field_type: FieldType, path: KeyPath) -> OperatorValueError:
    """Return an error with the expected values and the actual one."""
    if isinstance(value, dict) and field_type.is_string_table:
        for key, member in value.items():
            if not isinstance(member, str):
                return OperatorValueError(
                    format_path((*path, key)), f"expected a text, got {format_value(member)}"
                )
    problem = f"expected {field_type.expected_value()}, got {format_value(value)}"
    return OperatorValueError(format_path(path), problem)


def check_methods(grpc: Grpc) -> None:
    """Check the form of method names. The gRPC subsystem checks that their request classes exist."""
    for name in grpc.methods:
        parts = name.split("/")
        if len(parts) != 3 or parts[0] or not parts[1] or not parts[2] or not name.isascii():
            raise OperatorValueError(
                f"grpc.methods.{format_value(name)}",
                "expected /package.Service/Method or /package.Service/*",
            )


def check_etcd(etcd: Etcd) -> None:
    """Check the form of the etcd endpoints, and that keys that need another key have it."""
    for number, endpoint in enumerate(etcd.endpoints, start=1):
        try:
            parse_address(endpoint)
        except AddressError as error:
            raise OperatorValueError("membership.etcd.endpoints", f"entry {number}: {error}") from error
    if not etcd.prefix:
        raise OperatorValueError("membership.etcd.prefix", "expected a prefix, got ''")
    for key, needed_key in (
        ("username", "password_file"),
        ("password_file", "username"),
        ("tls_key", "tls_cert"),
    ):
        if getattr(etcd, key) and not getattr(etcd, needed_key):
            raise OperatorValueError(f"membership.etcd.{key}", f"needs {needed_key} as well")


def check_gossip(gossip: Gossip) -> None:
    """Check the form of the gossip addresses, and that `bind` has the keys that it needs."""
    for key, address in (("bind", gossip.bind), ("advertise", gossip.advertise)):
        if address:
            check_gossip_address(key, address)
    for address in gossip.seeds:
        check_gossip_address("seeds", address)
    check_reachable(gossip)
    for key in ("key_file", "certificate_file", "fleet_keys"):
        if gossip.bind and not getattr(gossip, key):
            raise OperatorValueError(f"gossip.{key}", "missing; gossip.bind needs it")


def check_gossip_address(key: str, address: str) -> None:
    """Check that an address has the form HOST:PORT."""
    try:
        parse_address(address)
    except AddressError as error:
        raise OperatorValueError(f"gossip.{key}", str(error)) from error


def check_reachable(gossip: Gossip) -> None:
    """Check that the address that other sidecars connect to is numeric and not a wildcard."""
    address = gossip.advertise or gossip.bind
    if not address:
        return
    is_numeric = address[:1].isdigit() or address.startswith("[")
    if not is_numeric or address.startswith(WILDCARD_ADDRESSES):
        key = "advertise" if gossip.advertise else "bind"
        raise OperatorValueError(
            f"gossip.{key}",
            f"expected an address that the others reach, in numeric form; got {format_value(address)}",
        )


def format_path(path: KeyPath) -> str:
    """Return a key's path separated by dots; a name with other than plain characters is quoted."""
    return ".".join(key if re.fullmatch(r"[A-Za-z0-9_-]{1,60}", key) else format_value(key) for key in path)


def format_value(value: object) -> str:
    """Return a value on one line, truncated to MAX_SHOWN_VALUE_CHARS characters."""
    text = " ".join(repr(value).split())
    if len(text) <= MAX_SHOWN_VALUE_CHARS:
        return text
    return text[: MAX_SHOWN_VALUE_CHARS - len(ELLIPSIS)] + ELLIPSIS
