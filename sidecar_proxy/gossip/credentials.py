"""The credentials in the operator's files, loaded again when a file changes so that no restart is needed."""

from __future__ import annotations

import os
from dataclasses import dataclass

from nacl.signing import SigningKey

from sidecar_proxy.config.schema import Gossip
from sidecar_proxy.gossip import files
from sidecar_proxy.gossip.codec import Certificate

EXPIRY_WARNING_S = 3 * 86_400  # before the end of a certificate warnings begin
EXPIRY_WARNING_INTERVAL_S = 6 * 3600


@dataclass(slots=True, frozen=True)
class Credentials:
    """What an instance signs with and whom it trusts."""

    key: SigningKey
    certificate: Certificate
    fleet_keys: tuple[bytes, ...]  # public keys
    revoked_serials: frozenset[int]  # serials


def load(config: Gossip) -> Credentials:
    """Load the files that the configuration names. Raises FileError, also if they do not match each other."""
    key = files.read_private_key(config.key_file)
    certificate = files.read_certificate(config.certificate_file)
    if key.verify_key.encode() != certificate.key:
        raise files.FileError("gossip.certificate_file: it is not of the key in gossip.key_file")
    public_keys = (public for path in config.fleet_keys for public in files.read_fleet_keys(path))
    fleet_keys = tuple(dict.fromkeys(public_keys))
    revoked_serials = files.read_revoked_serials(config.revoked_file) if config.revoked_file else []
    return Credentials(key, certificate, fleet_keys, frozenset(revoked_serials))


class CredentialsWatcher:
    """Detects changes of the files."""

    def __init__(self, config: Gossip) -> None:
        """Load the files. Raises FileError."""
        self._config = config
        paths = (config.key_file, config.certificate_file, *config.fleet_keys, config.revoked_file)
        self._paths = [path for path in paths if path]
        self._file_versions = self._read_versions()
        self._warned_s = 0.0
        self.current = load(config)

    def reload(self) -> Credentials | None:
        """Return the new credentials if they have changed.

        Raises FileError, once for each change, for files that can't be used: the current credentials stay.
        """
        versions = self._read_versions()
        if versions == self._file_versions:
            return None
        self._file_versions = versions
        loaded = load(self._config)
        certificate, previous = loaded.certificate, self.current.certificate
        if (certificate.name, certificate.site) != (previous.name, previous.site):
            raise files.FileError(
                f"{self._config.certificate_file}: it is of {certificate.name} of {certificate.site}; "
                "a new name or site takes a restart"
            )
        if loaded == self.current:
            return None
        self.current = loaded
        self._warned_s = 0.0
        return loaded

    def expiry_warning(self, wall_s: float) -> str:
        """Return a warning now and then once the certificate ends soon, else an empty string."""
        left_s = self.current.certificate.expires_s - wall_s
        if left_s > EXPIRY_WARNING_S or wall_s - self._warned_s < EXPIRY_WARNING_INTERVAL_S:
            return ""
        self._warned_s = wall_s
        if left_s <= 0:
            return "the certificate has expired; peers reject this sidecar's packets"
        return f"the certificate expires in {left_s / 3600:.0f} h"

    def _read_versions(self) -> list[tuple[int, int, int]]:
        return [file_version(path) for path in self._paths]


def file_version(path: str) -> tuple[int, int, int]:
    """Return a value that changes with the file; a file moved in its place has another inode."""
    try:
        status = os.stat(path)
    except OSError:
        return 0, 0, 0
    return status.st_mtime_ns, status.st_size, status.st_ino
