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

SECRET_PREFIX = "rp1_"  # so that one that leaked into a log or a repository can be found
SALT_BYTES = 16
SECRET_BYTES = 32
MAX_OVERLAP_MS = 7 * 24 * 3_600_000.0


@dataclass(frozen=True)
class SecretHash:
    """Of one secret: hexadecimal digits, as they are stored."""

    salt: str
    digest: str

    @classmethod
    def from_secret(cls, secret: str) -> SecretHash:
        salt = secrets.token_bytes(SALT_BYTES)
        return cls(salt.hex(), hash_secret(salt, secret))

    def matches(self, secret: str) -> bool:
        return hmac.compare_digest(hash_secret(bytes.fromhex(self.salt), secret), self.digest)


@dataclass(frozen=True)
class Credentials:
    """The secret that holds, and the one before it for as long as both do."""

    current: SecretHash
    previous: SecretHash | None = None
    previous_until: float = 0.0  # wall clock, milliseconds

    def rotate(self, now: float, overlap_ms: float) -> tuple[Credentials, str]:
        """A new secret; the one that held until now goes on for a while. Raises ValueError.

        One from before that ends at once: there are never more than two.
        """
        if not 0 <= overlap_ms <= MAX_OVERLAP_MS:
            raise ValueError(f"an overlap of {overlap_ms:g} ms: give 0 to {MAX_OVERLAP_MS:g} (seven days)")
        secret = generate_secret()
        until = now + overlap_ms if overlap_ms else 0.0
        return replace(
            self, current=SecretHash.from_secret(secret), previous=self.current, previous_until=until
        ), secret

    def is_valid(self, secret: str, now: float) -> bool:
        """Whether a secret holds. Both hashes are always compared, so that the time tells nothing."""
        first = self.current.matches(secret)
        second = (self.previous or DUMMY_HASH).matches(secret)
        return first or (second and self.previous is not None and now < self.previous_until)


def create_credentials() -> tuple[Credentials, str]:
    """Credentials of a new tenant, and the secret that is shown once."""
    secret = generate_secret()
    return Credentials(SecretHash.from_secret(secret)), secret


def generate_secret() -> str:
    return SECRET_PREFIX + secrets.token_urlsafe(SECRET_BYTES)


def hash_secret(salt: bytes, secret: str) -> str:
    return hashlib.sha256(salt + secret.encode("utf-8", "surrogateescape")).hexdigest()


def authenticate(known: dict[str, Credentials], name: str, secret: str, now: float) -> bool:
    """Whether a secret is that of a tenant. One that is not there takes as long as one that is."""
    credentials = known.get(name)
    fits = (credentials or DUMMY_CREDENTIALS).is_valid(secret, now)
    return fits and credentials is not None


DUMMY_HASH = SecretHash.from_secret(generate_secret())
DUMMY_CREDENTIALS = Credentials(DUMMY_HASH)
