"""What can go wrong with a store, each with what to do about it."""

from __future__ import annotations

from collections.abc import Sequence

from .recovery import Damage


class StoreError(Exception):
    """Any of those below."""


class LockedError(StoreError):
    """Another process has the folder open."""


class DamagedError(StoreError):
    """Something that was acknowledged can't be read. Nothing was changed."""

    def __init__(self, damage: Sequence[Damage]) -> None:
        super().__init__("; ".join(str(each) for each in damage))
        self.damage = tuple(damage)


class FormatVersionError(StoreError):
    """Written by a later version of this program, or no store at all."""


class WriteFailedError(StoreError):
    """This write is not there; the store goes on. A full disk, say."""


class StoreFailedError(StoreError):
    """A sync failed, or what was begun could not be taken back: the store takes no more until it is opened
    anew.

    Danger: a second sync may succeed though the first one's bytes are lost, so none is tried.
    """


class ConflictError(StoreError):
    """The key's version is not the expected one: another writer was first. Read again, then decide."""

    def __init__(self, key: bytes, expected: int, found: int) -> None:
        was = f"has version {found}" if found else "is not there"
        wanted = f"version {expected} was expected" if expected else "it was expected not to be there"
        super().__init__(f"{key!r} {was}; {wanted}")
        self.key, self.expected, self.found = key, expected, found


class ClosedError(StoreError):
    """The store was closed."""
