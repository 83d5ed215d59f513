"""Files of keys and certificates (hexadecimal digits) and of the revocation list (one serial per line)."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

import msgspec
from nacl.signing import SigningKey

from sidecar_proxy.gossip import codec
from sidecar_proxy.gossip.codec import Certificate

MAX_FILE_BYTES = 1024 * 1024
KEY_BYTES = 32
MAX_FLEET_KEYS = 4  # each costs one verification of a certificate that no fleet key has signed


class FileError(Exception):
    """A file that can't be used. The message is one line that names the file."""


def read_text(path: str) -> str:
    """Read an ASCII file. Raises FileError."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise FileError(f"{path}: {error.strerror or error}") from error
    if len(data) > MAX_FILE_BYTES:
        raise FileError(f"{path}: over {MAX_FILE_BYTES} bytes")
    try:
        return data.decode("ascii")
    except UnicodeDecodeError as error:
        raise FileError(f"{path}: expected hexadecimal digits") from error


def read_hex(path: str) -> bytes:
    """Read a file of hexadecimal digits. Raises FileError."""
    try:
        return bytes.fromhex(read_text(path).strip())
    except ValueError as error:
        raise FileError(f"{path}: expected hexadecimal digits") from error


def read_private_key(path: str) -> SigningKey:
    """Read a private key. Raises FileError, also if group or others have access to the file."""
    seed = read_hex(path)
    if len(seed) != KEY_BYTES:
        raise FileError(f"{path}: expected 64 hexadecimal digits of a private key")
    if os.stat(path).st_mode & 0o077:
        raise FileError(f"{path}: others may read this private key; chmod 600")
    return SigningKey(seed)


def read_public_key(path: str) -> bytes:
    """Read a public key. Raises FileError."""
    key = read_hex(path)
    if len(key) != KEY_BYTES:
        raise FileError(f"{path}: expected 64 hexadecimal digits of a public key")
    return key


def read_fleet_keys(path: str) -> list[bytes]:
    """Read the public keys of the fleet, one per line; there are two during a rotation. Raises FileError."""
    try:
        keys = [bytes.fromhex(line) for line in read_text(path).split()]
    except ValueError as error:
        raise FileError(f"{path}: expected hexadecimal digits") from error
    if not 1 <= len(keys) <= MAX_FLEET_KEYS or any(len(key) != KEY_BYTES for key in keys):
        raise FileError(
            f"{path}: expected public keys, 64 hexadecimal digits a line, {MAX_FLEET_KEYS} at most"
        )
    return keys


def read_certificate(path: str) -> Certificate:
    """Read a certificate. Raises FileError."""
    try:
        return codec.certificate_decoder.decode(read_hex(path))
    except msgspec.DecodeError as error:
        raise FileError(f"{path}: no certificate: {error}") from error


def read_revoked_serials(path: str) -> list[int]:
    """Read the revoked serials; there are none if the file does not exist. Raises FileError."""
    if not os.path.exists(path):
        return []
    lines = [line.partition("#")[0].strip() for line in read_text(path).splitlines()]
    try:
        return [int(line) for line in lines if line]
    except ValueError as error:
        raise FileError(f"{path}: expected a serial a line: {error}") from error


def write_file(path: str, text: str, secret: bool = False, replace: bool = False) -> None:
    """Write a file atomically. Raises FileError, also if it exists and `replace` is not set.

    `secret` makes the file readable for its owner only.
    """
    partial_path = f"{path}.part"
    try:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(partial_path)
        mode = 0o600 if secret else 0o644
        handle = os.open(partial_path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, mode)
        with os.fdopen(handle, "w") as file:
            file.write(text)
        if replace:
            os.replace(partial_path, path)
        else:
            os.link(partial_path, path)
            os.unlink(partial_path)
    except FileExistsError as error:
        Path(partial_path).unlink(missing_ok=True)
        raise FileError(f"{path}: it is there already") from error
    except OSError as error:
        raise FileError(f"{path}: {error.strerror or error}") from error
