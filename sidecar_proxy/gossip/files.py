"""Keys, certificates and the list of the revoked as files: hexadecimal digits, or a serial a line."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

import msgspec
from nacl.signing import SigningKey

from sidecar_proxy.gossip import codec
from sidecar_proxy.gossip.codec import Certificate

MOST_BYTES = 1024 * 1024
MOST_KEYS = 4  # of a fleet: each costs a verification for a certificate that is of none


class FileError(Exception):
    """A file can't be used; one line that names it."""


def text_of(path: str) -> str:
    """Raises FileError."""
    try:
        with open(path, "rb") as file:
            data = file.read(MOST_BYTES + 1)
        if len(data) > MOST_BYTES:
            raise FileError(f"{path}: over {MOST_BYTES} bytes")
        return data.decode("ascii")
    except OSError as error:
        raise FileError(f"{path}: {error.strerror or error}") from error
    except UnicodeDecodeError as error:
        raise FileError(f"{path}: expected hexadecimal digits") from error


def bytes_of(path: str) -> bytes:
    """Raises FileError."""
    try:
        return bytes.fromhex(text_of(path).strip())
    except ValueError as error:
        raise FileError(f"{path}: expected hexadecimal digits") from error


def private(path: str) -> SigningKey:
    """Raises FileError."""
    seed = bytes_of(path)
    if len(seed) != 32:
        raise FileError(f"{path}: expected 64 hexadecimal digits of a private key")
    if os.stat(path).st_mode & 0o077:
        raise FileError(f"{path}: others may read this private key; chmod 600")
    return SigningKey(seed)


def public(path: str) -> bytes:
    """Raises FileError."""
    key = bytes_of(path)
    if len(key) != 32:
        raise FileError(f"{path}: expected 64 hexadecimal digits of a public key")
    return key


def publics(path: str) -> list[bytes]:
    """Of a fleet, one a line: two while they are changed. Raises FileError."""
    try:
        keys = [bytes.fromhex(line) for line in text_of(path).split()]
    except ValueError as error:
        raise FileError(f"{path}: expected hexadecimal digits") from error
    if not 1 <= len(keys) <= MOST_KEYS or any(len(key) != 32 for key in keys):
        raise FileError(f"{path}: expected public keys, 64 hexadecimal digits a line, {MOST_KEYS} at most")
    return keys


def certificate(path: str) -> Certificate:
    """Raises FileError."""
    try:
        return codec.certificates.decode(bytes_of(path))
    except msgspec.DecodeError as error:
        raise FileError(f"{path}: no certificate: {error}") from error


def revoked(path: str) -> list[int]:
    """The serials. A file that is not there revokes nobody. Raises FileError."""
    if not os.path.exists(path):
        return []
    lines = [line.partition("#")[0].strip() for line in text_of(path).splitlines()]
    try:
        return [int(line) for line in lines if line]
    except ValueError as error:
        raise FileError(f"{path}: expected a serial a line: {error}") from error


def put(path: str, text: str, secret: bool = False, replace: bool = False) -> None:
    """A new file, whole or not at all; one that is there stays unless `replace` says so. Raises FileError."""
    part = f"{path}.part"
    try:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(part)
        handle = os.open(part, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600 if secret else 0o644)
        with os.fdopen(handle, "w") as file:
            file.write(text)
        if replace:
            os.replace(part, path)
        else:
            os.link(part, path)
            os.unlink(part)
    except FileExistsError as error:
        Path(part).unlink(missing_ok=True)
        raise FileError(f"{path}: it is there already") from error
    except OSError as error:
        raise FileError(f"{path}: {error.strerror or error}") from error
