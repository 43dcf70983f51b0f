"""Where each key's record stands, in memory and in order, and what it was for those that read an older state.

A location is one number (segment, offset and size): a million keys in tuples would take twice the memory.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from itertools import islice
from typing import Any

from sortedcontainers import SortedDict

SIZE_BITS, OFFSET_BITS = 28, 40  # a record of 64 MiB and its key; a segment of a terabyte
CHUNK_KEYS = 256  # keys that a scan takes at a time


def pack_location(segment: int, offset: int, size: int) -> int:
    return (segment << OFFSET_BITS | offset) << SIZE_BITS | size


def unpack_location(location: int) -> tuple[int, int, int]:
    """Segment, offset and size."""
    rest, size = location >> SIZE_BITS, location & ((1 << SIZE_BITS) - 1)
    return rest >> OFFSET_BITS, rest & ((1 << OFFSET_BITS) - 1), size


class Index:
    """Not safe by itself: the store holds its lock around every call."""

    def __init__(self, keys: Iterable[tuple[bytes, int]] = ()) -> None:
        self.locations: Any = SortedDict(keys)
        self.history: dict[bytes, list[tuple[int, int | None]]] = {}  # version that replaced it, what it was
        self.snapshots: Counter[int] = Counter()  # of older states, by version

    def set(self, key: bytes, location: int | None, version: int) -> int | None:
        """A key's record from a version on; None: it is deleted. Gives what it was."""
        old: int | None = self.locations.get(key)
        if self.snapshots:
            self.history.setdefault(key, []).append((version, old))
        if location is not None:
            self.locations[key] = location
        elif old is not None:
            del self.locations[key]
        return old

    def move(self, key: bytes, old: int, new: int) -> bool:
        """A record that was copied elsewhere; false if it is not the key's any more."""
        if self.locations.get(key) != old:
            return False
        self.locations[key] = new
        return True

    def get(self, key: bytes, version: int | None = None) -> int | None:
        """Now, or as of a version that is being read."""
        if version is not None:
            for replaced_at, old in self.history.get(key, ()):
                if replaced_at > version:
                    return old
        found: int | None = self.locations.get(key)
        return found

    def read_chunk(
        self, start: bytes, end: bytes | None, version: int | None = None
    ) -> tuple[list[tuple[bytes, int]], bytes | None]:
        """The next keys from `start` on and before `end`, and where to go on; None at the end."""
        keys: list[bytes] = list(islice(self._keys(start, end), CHUNK_KEYS))
        following = keys[-1] + b"\0" if len(keys) == CHUNK_KEYS else None
        if version is None:
            return [(key, self.locations[key]) for key in keys], following
        gone = [k for k in self.history if start <= k and (end is None or k < end)]
        if following is not None:
            gone = [k for k in gone if k < following]
        found = ((key, self.get(key, version)) for key in sorted({*keys, *gone}))
        return [(key, location) for key, location in found if location is not None], following

    def _keys(self, start: bytes, end: bytes | None) -> Iterator[bytes]:
        keys: Iterator[bytes] = self.locations.irange(start, end, inclusive=(True, False))
        return keys

    # ---- readers of an older state ----

    def add_snapshot(self, version: int) -> None:
        self.snapshots[version] += 1

    def remove_snapshot(self, version: int) -> bool:
        """Whether nobody reads an older state any more."""
        self.snapshots[version] -= 1
        if not self.snapshots[version]:
            del self.snapshots[version]
        if not self.snapshots:
            self.history.clear()
            return True
        oldest = min(self.snapshots)
        for key, past in list(self.history.items()):
            kept = [(at, old) for at, old in past if at > oldest]
            if kept:
                self.history[key] = kept
            else:
                del self.history[key]
        return False


def end_of_prefix(prefix: bytes) -> bytes | None:
    """The first key after all that begin with a prefix; None if none comes after them."""
    rest = prefix.rstrip(b"\xff")
    return rest[:-1] + bytes([rest[-1] + 1]) if rest else None
