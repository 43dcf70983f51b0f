"""The replica of all counters at one instance: a state machine that performs no I/O."""

from __future__ import annotations

import hashlib
import math
from collections import OrderedDict, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from roadpulley.fleet.duties.terms import MonotonicTime, ProcessId

from .messages import (
    BUCKET_COUNT,
    MAX_PARTS_PER_BATCH,
    AddReply,
    AddRequest,
    CounterPart,
    Digest,
    PartBatch,
    ReplicaMessage,
)

MAX_PARTS = 200_000  # beyond it, new parts of other owners are rejected
REPLY_CACHE_S = 5.0  # how long a retry of an addition is recognized
MAX_CACHED_REPLIES = 50_000


@dataclass(slots=True)
class StoredPart:
    """The part of one owner in one counter. `bucket`: the bucket of the counter's name."""

    version: int
    total: float
    expires_at: MonotonicTime
    bucket: int


@dataclass(slots=True)
class OwnerIndex:
    """The counters to which one owner has added.

    `bucket_hashes`: for each bucket, the XOR of the hashes of names and versions, independent of their order.
    """

    names: set[str] = field(default_factory=set)
    bucket_hashes: list[int] = field(default_factory=lambda: [0] * BUCKET_COUNT)


class ReplicatedCounters:
    """All counters as one instance sees them: grow-only maps of parts, merged by version."""

    def __init__(self, own_id: ProcessId) -> None:
        self.self_id = own_id
        self.counters: dict[str, dict[ProcessId, StoredPart]] = {}  # parts by owner, by name of the counter
        self.owners: dict[ProcessId, OwnerIndex] = defaultdict(OwnerIndex)
        self.version = 0
        self.unsent_changes: dict[str, None] = {}  # names of own parts not sent yet, the oldest first
        self.reply_cache: OrderedDict[tuple[int, int], tuple[MonotonicTime, float]] = OrderedDict()
        self.part_count = 0
        self.rejected_parts = 0  # parts rejected because of MAX_PARTS

    # ---- adding and reading ----

    def add(self, now: MonotonicTime, request: AddRequest) -> AddReply | None:
        """Apply an addition once for each sequence number of a worker.

        Returns None for an invalid request.
        """
        if not math.isfinite(request.amount) or request.ttl_ms <= 0:
            return None
        key = request.holder, request.sequence
        # A worker retries a request whose answer was lost. Without the cache it would be added twice, and the
        # customer charged twice.
        if (cached := self.reply_cache.get(key)) is None:
            cached = self.reply_cache[key] = (
                now,
                self._add(now, request.name, request.amount, request.ttl_ms / 1000),
            )
        self._trim_reply_cache(now)
        return AddReply(request.holder, request.sequence, cached[1])

    def _add(self, now: MonotonicTime, name: str, amount: float, ttl: float) -> float:
        own_part = self._find_part(name, self.self_id)
        if own_part is not None and own_part.expires_at <= now:
            self._remove_part(name, self.self_id)
            own_part = None
        total = (own_part.total if own_part else 0.0) + amount
        if amount or own_part is None:
            self.version += 1
            expiry = own_part.expires_at if own_part else now + ttl
            self._store_part(name, self.self_id, self.version, total, expiry)
            self.unsent_changes[name] = None
        return self.total(now, name)

    def total(self, now: MonotonicTime, name: str) -> float:
        """The sum of all unexpired parts of a counter."""
        return sum(part.total for part in self.counters.get(name, {}).values() if part.expires_at > now)

    def _trim_reply_cache(self, now: MonotonicTime) -> None:
        while self.reply_cache:
            added_at, _ = next(iter(self.reply_cache.values()))
            if now - added_at < REPLY_CACHE_S and len(self.reply_cache) <= MAX_CACHED_REPLIES:
                return
            self.reply_cache.popitem(last=False)

    # ---- replication ----

    def take_changes(self, now: MonotonicTime) -> list[PartBatch]:
        """Take the own parts that changed since the last call, for all other instances."""
        names, self.unsent_changes = list(self.unsent_changes), {}
        return list(self._make_batches(now, self.self_id, names))

    def digests(self) -> list[Digest]:
        """Digests of all owners, for one other instance."""
        if self.self_id not in self.owners:
            self.owners[self.self_id] = OwnerIndex()
        return [Digest(owner, tuple(index.bucket_hashes)) for owner, index in self.owners.items()]

    def handle_message(self, now: MonotonicTime, body: ReplicaMessage) -> list[ReplicaMessage]:
        """Merge parts, or compare a digest; returns the answers to the sender."""
        if isinstance(body, Digest):
            return list(self._compare_digest(now, body))
        for part in body.parts:
            self._merge_part(now, body.owner, part)
        return []

    def _merge_part(self, now: MonotonicTime, owner: ProcessId, part: CounterPart) -> None:
        if owner == self.self_id:
            return  # only this process changes its own part
        known = self._find_part(part.name, owner)
        if (known is not None and known.version >= part.version) or part.remaining_ms <= 0:
            return
        if known is None and self.part_count >= MAX_PARTS:
            self.rejected_parts += 1
            return
        if not math.isfinite(part.total):
            return
        # The expiry of a known part is kept. Otherwise each replica that forwards the part would extend its
        # life, and it would never expire.
        expiry = known.expires_at if known is not None else now + part.remaining_ms / 1000
        self._store_part(part.name, owner, part.version, part.total, expiry)

    def _compare_digest(self, now: MonotonicTime, digest: Digest) -> Iterator[ReplicaMessage]:
        """Yield the parts that differ, and the own digest if the sender may have parts missing here."""
        index = self.owners.get(digest.owner)
        own_hashes = tuple(index.bucket_hashes) if index is not None else (0,) * BUCKET_COUNT
        differing = {n for n, (a, b) in enumerate(zip(own_hashes, digest.buckets, strict=False)) if a != b}
        if not differing:
            return
        if index is not None:
            yield from self._make_batches(
                now, digest.owner, [n for n in index.names if bucket_of(n) in differing]
            )
        if digest.owner != self.self_id and any(digest.buckets):
            yield Digest(digest.owner, own_hashes)

    def _make_batches(
        self, now: MonotonicTime, owner: ProcessId, names: Iterable[str]
    ) -> Iterator[PartBatch]:
        batch: list[CounterPart] = []
        for name in names:
            part = self._find_part(name, owner)
            if part is None or part.expires_at <= now:
                continue
            batch.append(
                CounterPart(name, part.version, part.total, math.ceil((part.expires_at - now) * 1000))
            )
            if len(batch) == MAX_PARTS_PER_BATCH:
                yield PartBatch(owner, tuple(batch))
                batch = []
        if batch:
            yield PartBatch(owner, tuple(batch))

    # ---- storage ----

    def _find_part(self, name: str, owner: ProcessId) -> StoredPart | None:
        return self.counters.get(name, {}).get(owner)

    def _store_part(
        self, name: str, owner: ProcessId, version: int, total: float, expiry: MonotonicTime
    ) -> None:
        self._remove_part(name, owner)
        bucket = bucket_of(name)
        self.counters.setdefault(name, {})[owner] = StoredPart(version, total, expiry, bucket)
        index = self.owners[owner]
        index.names.add(name)
        index.bucket_hashes[bucket] ^= hash_of(name, version)
        self.part_count += 1

    def _remove_part(self, name: str, owner: ProcessId) -> None:
        parts = self.counters.get(name, {})
        part = parts.pop(owner, None)
        if part is None:
            return
        if not parts:
            del self.counters[name]
        index = self.owners[owner]
        index.names.discard(name)
        index.bucket_hashes[part.bucket] ^= hash_of(name, part.version)
        self.part_count -= 1

    def remove_expired(self, now: MonotonicTime) -> None:
        """Remove expired parts, and owners without parts."""
        expired = [
            (n, o)
            for n, parts in self.counters.items()
            for o, part in parts.items()
            if part.expires_at <= now
        ]
        for name, owner in expired:
            self._remove_part(name, owner)
        for owner in [o for o, index in self.owners.items() if not index.names and o != self.self_id]:
            del self.owners[owner]


def bucket_of(name: str) -> int:
    """The bucket of a counter's name, the same at all instances."""
    return hashlib.blake2b(name.encode(), digest_size=1).digest()[0] % BUCKET_COUNT


def hash_of(name: str, version: int) -> int:
    """Hash of a part's name and version, of 53 bits, so that it is exact as a float too."""
    return int.from_bytes(hashlib.blake2b(f"{version}:{name}".encode(), digest_size=7).digest(), "big") >> 3
