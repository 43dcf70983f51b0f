"""Secrets of tenants: generated here, shown once, stored as salted hashes and compared in constant time.

A secret has 256 random bits and can't be guessed, so one round of SHA-256 over salt and secret is as safe as
a slow password hash. Slow hashes protect secrets that people choose. A slow hash would cost tens of
milliseconds of CPU time for each wrong secret: a thousand attempts per second with the name of one tenant
would deny service to all others.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from dataclasses import dataclass, replace

SECRET_PREFIX = "rp1_"  # makes secrets that leaked into a log or a repository easy to find
SALT_BYTES = 16
SECRET_BYTES = 32
MAX_OVERLAP_MS = 7 * 24 * 3_600_000.0


@dataclass(frozen=True)
class SecretHash:
    """Salted hash of one secret. Both fields are hexadecimal digits, as they are stored."""

    salt: str
    digest: str

    @classmethod
    def from_secret(cls, secret: str) -> SecretHash:
        """Hash a secret with a new random salt."""
        salt = secrets.token_bytes(SALT_BYTES)
        return cls(salt.hex(), hash_secret(salt, secret))

    def matches(self, secret: str) -> bool:
        """Compare a secret with the hash in constant time."""
        return hmac.compare_digest(hash_secret(bytes.fromhex(self.salt), secret), self.digest)


@dataclass(frozen=True)
class Credentials:
    """The current secret of a tenant, and the previous one while both are valid."""

    current: SecretHash
    previous: SecretHash | None = None
    previous_until: float = 0.0  # wall clock, milliseconds

    def rotate(self, now: float, overlap_ms: float) -> tuple[Credentials, str]:
        """Generate a new secret and keep the current one valid for the overlap.

        Returns the new credentials and the secret. An older previous secret becomes invalid at once, so at
        most two are valid. Raises ValueError if the overlap is negative or longer than `MAX_OVERLAP_MS`.
        """
        if not 0 <= overlap_ms <= MAX_OVERLAP_MS:
            raise ValueError(f"an overlap of {overlap_ms:g} ms: give 0 to {MAX_OVERLAP_MS:g} (seven days)")
        secret = generate_secret()
        until = now + overlap_ms if overlap_ms else 0.0
        return replace(
            self, current=SecretHash.from_secret(secret), previous=self.current, previous_until=until
        ), secret

    def is_valid(self, secret: str, now: float) -> bool:
        """Return whether a secret is valid at this time.

        Both hashes are always compared, so that the duration reveals nothing about the secrets.
        """
        matches_current = self.current.matches(secret)
        matches_previous = (self.previous or DUMMY_HASH).matches(secret)
        return matches_current or (
            matches_previous and self.previous is not None and now < self.previous_until
        )


def create_credentials() -> tuple[Credentials, str]:
    """Return the credentials of a new tenant and their secret, which is not stored."""
    secret = generate_secret()
    return Credentials(SecretHash.from_secret(secret)), secret


def generate_secret() -> str:
    """Return a new random secret with the prefix."""
    return SECRET_PREFIX + secrets.token_urlsafe(SECRET_BYTES)


def hash_secret(salt: bytes, secret: str) -> str:
    """Return the SHA-256 digest of salt and secret in hexadecimal."""
    return hashlib.sha256(salt + secret.encode("utf-8", "surrogateescape")).hexdigest()


def authenticate(known: dict[str, Credentials], name: str, secret: str, now: float) -> bool:
    """Return whether a secret is valid for a tenant. An unknown tenant takes as long as a known one."""
    credentials = known.get(name)
    is_authentic = (credentials or DUMMY_CREDENTIALS).is_valid(secret, now)
    return is_authentic and credentials is not None


# Replace missing hashes and credentials, so that every check compares two hashes. The secret is discarded.
DUMMY_HASH = SecretHash.from_secret(generate_secret())
DUMMY_CREDENTIALS = Credentials(DUMMY_HASH)
