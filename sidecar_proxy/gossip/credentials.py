"""What the operator's files let an instance say and believe, read anew when they change, so that keys and
certificates are changed without a restart.
"""

from __future__ import annotations

import os
from dataclasses import dataclass

from nacl.signing import SigningKey

from sidecar_proxy.config.schema import Gossip
from sidecar_proxy.gossip import files
from sidecar_proxy.gossip.codec import Certificate

SOON_S = 3 * 86_400  # a certificate that ends within it is spoken of
AGAIN_S = 6 * 3600  # and then now and then


@dataclass(slots=True, frozen=True)
class Credentials:
    key: SigningKey
    certificate: Certificate
    fleet: tuple[bytes, ...]  # public keys
    revoked: frozenset[int]


def load(told: Gossip) -> Credentials:
    """Raises FileError, also for files that don't belong together."""
    key, certificate = files.private(told.key_file), files.certificate(told.certificate_file)
    if key.verify_key.encode() != certificate.key:
        raise files.FileError("gossip.certificate_file: it is not of the key in gossip.key_file")
    fleet = tuple(dict.fromkeys(one for path in told.fleet_keys for one in files.publics(path)))
    revoked = files.revoked(told.revoked_file) if told.revoked_file else []
    return Credentials(key, certificate, fleet, frozenset(revoked))


class Watch:
    """The files, looked at now and then."""

    def __init__(self, told: Gossip) -> None:
        """Raises FileError."""
        self.told = told
        paths = (told.key_file, told.certificate_file, *told.fleet_keys, told.revoked_file)
        self.paths = [path for path in paths if path]
        self.stamps = self.look()
        self.now = load(told)
        self.warned_s = 0.0

    def look(self) -> list[tuple[int, int, int]]:
        return [stamp(path) for path in self.paths]

    def changed(self) -> Credentials | None:
        """What holds from now on, if it is not what held before. Raises FileError, once for each change, for
        files that can't be used: what held goes on holding.
        """
        stamps = self.look()
        if stamps == self.stamps:
            return None
        self.stamps = stamps
        found = load(self.told)
        before = self.now.certificate
        if (found.certificate.name, found.certificate.site) != (before.name, before.site):
            raise files.FileError(
                f"{self.told.certificate_file}: it is of {found.certificate.name} of "
                f"{found.certificate.site}; a new name or site takes a restart"
            )
        if found == self.now:
            return None
        self.now, self.warned_s = found, 0.0
        return found

    def ends(self, wall_s: float) -> str:
        """A line, now and then, once the certificate ends soon."""
        left_s = self.now.certificate.until_s - wall_s
        if left_s > SOON_S or wall_s - self.warned_s < AGAIN_S:
            return ""
        self.warned_s = wall_s
        if left_s <= 0:
            return "the certificate has ended; the others hear nothing of this sidecar"
        return f"the certificate ends in {left_s / 3600:.0f} h"


def stamp(path: str) -> tuple[int, int, int]:
    """Differs once the file does; a file put in another's place has an inode of its own."""
    try:
        found = os.stat(path)
    except OSError:
        return 0, 0, 0
    return found.st_mtime_ns, found.st_size, found.st_ino
