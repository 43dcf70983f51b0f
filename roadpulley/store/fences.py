"""Writes that only the holder of a duty may make: each batch is conditional on the fence in the store.

fence/DUTY    {"fence", "owner"}: the highest that was taken up, and whose claim it was
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Sequence

from roadpulley.fences import StaleFenceError

from .errors import ConflictError
from .format import Record
from .parts import Write
from .store import Store


def get_fence_key(duty: str) -> bytes:
    return b"fence/" + duty.encode()


def read_fence(store: Store, duty: str) -> tuple[int, str, int]:
    """The highest fence, its owner, and the version of the record; zeros where none was."""
    record = store.entry(get_fence_key(duty))
    if record is None:
        return 0, "", 0
    raw = json.loads(record.value)
    return int(raw["fence"]), str(raw["owner"]), record.version


def claim_fence(store: Store, duty: str, fence: int, owner: str) -> int | None:
    """Take a fence up. None: it is; else the highest that was before. Again by the same owner it is
    the same."""
    highest, before, version = read_fence(store, duty)
    if (fence, owner) == (highest, before):
        return None
    if fence <= highest:
        return highest
    value = json.dumps({"fence": fence, "owner": owner}).encode()
    try:
        store.put(get_fence_key(duty), value, expect=version)
    except ConflictError:
        return read_fence(store, duty)[0]
    return None


class FencedStore:
    """A store as the holder of one duty may use it. Writes raise StaleFenceError once a higher fence was
    taken up."""

    def __init__(self, store: Store, duty: str, fence: int) -> None:
        self.store, self.duty, self.fence = store, duty, fence

    @property
    def version(self) -> int:
        return self.store.version

    def check(self) -> None:
        """Before acts elsewhere that rest on the same holding. Raises StaleFenceError."""
        if (highest := read_fence(self.store, self.duty)[0]) != self.fence:
            raise StaleFenceError(highest)

    def batch(self, writes: Sequence[Write]) -> int:
        highest, owner, version = read_fence(self.store, self.duty)
        if highest != self.fence:
            raise StaleFenceError(highest)
        # Danger: checked alone, a fence that is taken up between the check and the write would not stop it.
        same = Write(
            get_fence_key(self.duty), json.dumps({"fence": highest, "owner": owner}).encode(), expect=version
        )
        try:
            return self.store.batch((*writes, same))
        except ConflictError:
            if (highest := read_fence(self.store, self.duty)[0]) != self.fence:
                raise StaleFenceError(highest) from None
            raise

    def put(self, key: bytes, value: bytes, expect: int | None = None) -> int:
        return self.batch((Write(key, value, expect),))

    def get(self, key: bytes) -> bytes | None:
        return self.store.get(key)

    def entry(self, key: bytes) -> Record | None:
        return self.store.entry(key)

    def scan(self, prefix: bytes = b"", start: bytes = b"", end: bytes | None = None) -> Iterator[Record]:
        return self.store.scan(prefix, start, end)
