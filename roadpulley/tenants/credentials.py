"""Secrets of tenants: made here, shown once, kept as salted hashes, compared in constant time.

A secret is 256 bits of chance, so that guessing is hopeless and one round of SHA-256 over salt and secret
is as good as a slow hash, which exists for what people think up. A slow one would cost the core tens of
milliseconds for each wrong guess: a thousand of them a second from one tenant's name would be a way to stop
all others.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from dataclasses import dataclass, replace

PREFIX = "rp1_"  # so that one that leaked into a log or a repository can be found
SALT_BYTES, SECRET_BYTES = 16, 32
MOST_OVERLAP_MS = 7 * 24 * 3_600_000.0


@dataclass(frozen=True)
class Hash:
    """Of one secret: hexadecimal digits, as they are stored."""

    salt: str
    digest: str

    @classmethod
    def of(cls, secret: str) -> Hash:
        salt = secrets.token_bytes(SALT_BYTES)
        return cls(salt.hex(), digest(salt, secret))

    def fits(self, secret: str) -> bool:
        return hmac.compare_digest(digest(bytes.fromhex(self.salt), secret), self.digest)


@dataclass(frozen=True)
class Credentials:
    """The secret that holds, and the one before it for as long as both do."""

    current: Hash
    previous: Hash | None = None
    previous_until: float = 0.0  # wall clock, milliseconds

    def rotate(self, now: float, overlap_ms: float) -> tuple[Credentials, str]:
        """A new secret; the one that held until now goes on for a while. Raises ValueError.

        One from before that ends at once: there are never more than two.
        """
        if not 0 <= overlap_ms <= MOST_OVERLAP_MS:
            raise ValueError(f"an overlap of {overlap_ms:g} ms: give 0 to {MOST_OVERLAP_MS:g} (seven days)")
        secret = made()
        until = now + overlap_ms if overlap_ms else 0.0
        return replace(self, current=Hash.of(secret), previous=self.current, previous_until=until), secret

    def fit(self, secret: str, now: float) -> bool:
        """Whether a secret holds. Both hashes are always compared, so that the time tells nothing."""
        first = self.current.fits(secret)
        second = (self.previous or UNKNOWN).fits(secret)
        return first or (second and self.previous is not None and now < self.previous_until)


def first() -> tuple[Credentials, str]:
    """Credentials of a new tenant, and the secret that is shown once."""
    secret = made()
    return Credentials(Hash.of(secret)), secret


def made() -> str:
    return PREFIX + secrets.token_urlsafe(SECRET_BYTES)


def digest(salt: bytes, secret: str) -> str:
    return hashlib.sha256(salt + secret.encode("utf-8", "surrogateescape")).hexdigest()


def authenticate(known: dict[str, Credentials], name: str, secret: str, now: float) -> bool:
    """Whether a secret is that of a tenant. One that is not there takes as long as one that is."""
    credentials = known.get(name)
    fits = (credentials or NOBODY).fit(secret, now)
    return fits and credentials is not None


UNKNOWN = Hash.of(made())
NOBODY = Credentials(UNKNOWN)
