"""Errors of the store. Each docstring says what state the store is in afterwards."""

from __future__ import annotations

from collections.abc import Sequence

from .recovery import Damage


class StoreError(Exception):
    """Base class of all errors of the store."""


class LockedError(StoreError):
    """Another process has the store's folder open."""


class DamagedError(StoreError):
    """Acknowledged data cannot be read. The files were not changed."""

    def __init__(self, damage: Sequence[Damage]) -> None:
        super().__init__("; ".join(str(each) for each in damage))
        self.damage = tuple(damage)


class FormatVersionError(StoreError):
    """A file has a format version that this program does not read."""


class WriteFailedError(StoreError):
    """This write was not stored, for example because the disk is full. The store accepts further writes."""


class StoreFailedError(StoreError):
    """A sync failed, or a partial write could not be truncated. The store accepts no writes until reopened.

    A failed sync is not retried: a second sync may succeed although the data of the first one is lost.
    """


class ConflictError(StoreError):
    """The key does not have the expected version, because another write came first.

    Read the key again before retrying.
    """

    def __init__(self, key: bytes, expected: int, found: int) -> None:
        was = f"has version {found}" if found else "is not there"
        wanted = f"version {expected} was expected" if expected else "it was expected not to be there"
        super().__init__(f"{key!r} {was}; {wanted}")
        self.key, self.expected, self.found = key, expected, found


class ClosedError(StoreError):
    """The store or the snapshot is closed."""
