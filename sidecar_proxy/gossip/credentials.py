"""The credentials in the operator's files, reloaded without a restart when a file changes."""

from __future__ import annotations

import os
from dataclasses import dataclass

from nacl.signing import SigningKey

from sidecar_proxy.config.schema import Gossip
from sidecar_proxy.gossip import files
from sidecar_proxy.gossip.codec import Certificate

EXPIRY_WARNING_S = 3 * 86_400  # remaining validity of the certificate from which warnings are logged
EXPIRY_WARNING_INTERVAL_S = 6 * 3600  # minimum interval between two of these warnings


@dataclass(slots=True, frozen=True)
class Credentials:
    """An instance's private key and certificate, the trusted fleet keys, and the revoked certificates."""

    key: SigningKey
    certificate: Certificate
    fleet_keys: tuple[bytes, ...]  # public keys that sign certificates
    revoked_serials: frozenset[int]  # serials of certificates


def load(config: Gossip) -> Credentials:
    """Load the configured files. Raises FileError, also if the certificate is not one of the key."""
    key = files.read_private_key(config.key_file)
    certificate = files.read_certificate(config.certificate_file)
    if key.verify_key.encode() != certificate.key:
        raise files.FileError("gossip.certificate_file: not a certificate of the key in gossip.key_file")
    public_keys = (public for path in config.fleet_keys for public in files.read_fleet_keys(path))
    fleet_keys = tuple(dict.fromkeys(public_keys))
    revoked_serials = files.read_revoked_serials(config.revoked_file) if config.revoked_file else []
    return Credentials(key, certificate, fleet_keys, frozenset(revoked_serials))


class CredentialsWatcher:
    """Detects changes of the credential files and reloads them."""

    def __init__(self, config: Gossip) -> None:
        """Load the files. Raises FileError."""
        self._config = config
        paths = (config.key_file, config.certificate_file, *config.fleet_keys, config.revoked_file)
        self._paths = [path for path in paths if path]
        self._file_versions = self._read_versions()
        self._last_warning_s = 0.0
        self.current = load(config)

    def reload(self) -> Credentials | None:
        """Return the new credentials if they have changed.

        Raises FileError for files that can't be used, once for each change; the current credentials are kept.
        """
        versions = self._read_versions()
        if versions == self._file_versions:
            return None
        self._file_versions = versions
        loaded = load(self._config)
        certificate, previous = loaded.certificate, self.current.certificate
        if (certificate.name, certificate.site) != (previous.name, previous.site):
            raise files.FileError(
                f"{self._config.certificate_file}: certificate of {certificate.name} of {certificate.site}; "
                "a new name or site needs a restart"
            )
        if loaded == self.current:
            return None
        self.current = loaded
        self._last_warning_s = 0.0
        return loaded

    def expiry_warning(self, wall_s: float) -> str:
        """Return a warning if the certificate expires soon, at most once per interval, else an empty text."""
        remaining_s = self.current.certificate.expires_s - wall_s
        if remaining_s > EXPIRY_WARNING_S or wall_s - self._last_warning_s < EXPIRY_WARNING_INTERVAL_S:
            return ""
        self._last_warning_s = wall_s
        if remaining_s <= 0:
            return "the certificate has expired; peers reject this sidecar's packets"
        return f"the certificate expires in {remaining_s / 3600:.0f} h"

    def _read_versions(self) -> list[tuple[int, int, int]]:
        return [file_version(path) for path in self._paths]


def file_version(path: str) -> tuple[int, int, int]:
    """Return a value that changes with the file: a file that is moved to the path has another inode."""
    try:
        status = os.stat(path)
    except OSError:
        return 0, 0, 0
    return status.st_mtime_ns, status.st_size, status.st_ino
