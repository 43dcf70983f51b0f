"""Fencing tokens: writes that only the current holder of a duty may make.

Each batch is conditional on the fence record in the store.

fence/DUTY    {"fence", "owner"}: the highest claimed fence and its owner
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
    """Return the highest claimed fence, its owner and the record's version; `(0, "", 0)` if none."""
    record = store.entry(get_fence_key(duty))
    if record is None:
        return 0, "", 0
    raw = json.loads(record.value)
    return int(raw["fence"]), str(raw["owner"]), record.version


def claim_fence(store: Store, duty: str, fence: int, owner: str) -> int | None:
    """Claim a fence. Return None on success, otherwise the highest fence claimed so far.

    Repeating a claim with the same owner succeeds.
    """
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
    """The store as seen by the holder of one duty.

    Writes raise StaleFenceError once a higher fence is claimed.
    """

    def __init__(self, store: Store, duty: str, fence: int) -> None:
        self.store, self.duty, self.fence = store, duty, fence

    @property
    def version(self) -> int:
        return self.store.version

    def check(self) -> None:
        """Verify the fence before an action outside the store. Raises StaleFenceError."""
        if (highest := read_fence(self.store, self.duty)[0]) != self.fence:
            raise StaleFenceError(highest)

    def batch(self, writes: Sequence[Write]) -> int:
        highest, owner, version = read_fence(self.store, self.duty)
        if highest != self.fence:
            raise StaleFenceError(highest)
        # Rewriting the fence record on condition of its version makes the check and the batch atomic. With
        # the check alone, a fence claimed between the check and the write would not stop the write.
        fence_write = Write(
            get_fence_key(self.duty), json.dumps({"fence": highest, "owner": owner}).encode(), expect=version
        )
        try:
            return self.store.batch((*writes, fence_write))
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
