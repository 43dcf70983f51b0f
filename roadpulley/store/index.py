"""The in-memory index: the location of each key's record, in key order, with history for open snapshots.

A location packs segment, offset and size into one integer: as tuples, a million keys would take twice the
memory.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from itertools import islice
from typing import Any

from sortedcontainers import SortedDict

# Enough for a record with a value of 64 MiB and its key.
SIZE_BITS = 28
# Enough for a segment of a terabyte.
OFFSET_BITS = 40
# A scan holds the lock for this many keys at a time.
CHUNK_KEYS = 256


def pack_location(segment: int, offset: int, size: int) -> int:
    return (segment << OFFSET_BITS | offset) << SIZE_BITS | size


def unpack_location(location: int) -> tuple[int, int, int]:
    """Return segment, offset and size."""
    rest, size = location >> SIZE_BITS, location & ((1 << SIZE_BITS) - 1)
    return rest >> OFFSET_BITS, rest & ((1 << OFFSET_BITS) - 1), size


class Index:
    """Not thread-safe: the store holds its lock around every call."""

    def __init__(self, keys: Iterable[tuple[bytes, int]] = ()) -> None:
        self.locations: Any = SortedDict(keys)
        # By key: the version of each replacing write, and the location that it replaced.
        self.history: dict[bytes, list[tuple[int, int | None]]] = {}
        self.snapshots: Counter[int] = Counter()  # number of open snapshots, by version

    def set(self, key: bytes, location: int | None, version: int) -> int | None:
        """Set a key's location as of a version (None: deleted). Return its previous location."""
        old: int | None = self.locations.get(key)
        if self.snapshots:
            self.history.setdefault(key, []).append((version, old))
        if location is not None:
            self.locations[key] = location
        elif old is not None:
            del self.locations[key]
        return old

    def move(self, key: bytes, old: int, new: int) -> bool:
        """Update the location of a copied record. Return False if the key has another record by now."""
        if self.locations.get(key) != old:
            return False
        self.locations[key] = new
        return True

    def get(self, key: bytes, version: int | None = None) -> int | None:
        """Return a key's current location, or the one as of a snapshot's version."""
        if version is not None:
            for replaced_at, old in self.history.get(key, ()):
                if replaced_at > version:
                    return old
        found: int | None = self.locations.get(key)
        return found

    def read_chunk(
        self, start: bytes, end: bytes | None, version: int | None = None
    ) -> tuple[list[tuple[bytes, int]], bytes | None]:
        """Return the next keys and locations in [start, end), and where to continue (None: at the end)."""
        keys: list[bytes] = list(islice(self._keys(start, end), CHUNK_KEYS))
        following = keys[-1] + b"\0" if len(keys) == CHUNK_KEYS else None
        if version is None:
            return [(key, self.locations[key]) for key in keys], following
        previous = [k for k in self.history if start <= k and (end is None or k < end)]
        if following is not None:
            previous = [k for k in previous if k < following]
        found = ((key, self.get(key, version)) for key in sorted({*keys, *previous}))
        return [(key, location) for key, location in found if location is not None], following

    def _keys(self, start: bytes, end: bytes | None) -> Iterator[bytes]:
        keys: Iterator[bytes] = self.locations.irange(start, end, inclusive=(True, False))
        return keys

    # ---- snapshots ----

    def add_snapshot(self, version: int) -> None:
        self.snapshots[version] += 1

    def remove_snapshot(self, version: int) -> bool:
        """Remove a snapshot. Return whether no snapshot remains."""
        self.snapshots[version] -= 1
        if not self.snapshots[version]:
            del self.snapshots[version]
        if not self.snapshots:
            self.history.clear()
            return True
        oldest = min(self.snapshots)
        for key, past in list(self.history.items()):
            remaining = [(replaced_at, old) for replaced_at, old in past if replaced_at > oldest]
            if remaining:
                self.history[key] = remaining
            else:
                del self.history[key]
        return False


def end_of_prefix(prefix: bytes) -> bytes | None:
    """Return the first key after all keys with a prefix, or None if there can be none."""
    rest = prefix.rstrip(b"\xff")
    return rest[:-1] + bytes([rest[-1] + 1]) if rest else None
