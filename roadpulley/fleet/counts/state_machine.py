"""The numbers as one instance sees them. Pure: time, additions and messages in, totals and messages out."""

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

MAX_PARTS = 200_000  # kept; of whom nothing more is taken up beyond that
REPLY_CACHE_S = 5.0  # for which an addition is known that may be asked for again
MAX_CACHED_REPLIES = 50_000


@dataclass(slots=True)
class StoredPart:
    version: int
    total: float
    expires_at: MonotonicTime
    bucket: int


@dataclass(slots=True)
class OwnerIndex:
    """The numbers of one owner. `hashes` by bucket: of names and versions, whatever their order."""

    names: set[str] = field(default_factory=set)
    bucket_hashes: list[int] = field(default_factory=lambda: [0] * BUCKET_COUNT)


class ReplicatedCounters:
    def __init__(self, me: ProcessId) -> None:
        self.self_id = me
        self.counters: dict[str, dict[ProcessId, StoredPart]] = {}  # by name, what each owner added
        self.owners: dict[ProcessId, OwnerIndex] = defaultdict(OwnerIndex)
        self.version = 0
        self.unsent_changes: dict[str, None] = {}  # of ours: not told yet, the oldest first
        self.reply_cache: OrderedDict[tuple[int, int], tuple[MonotonicTime, float]] = OrderedDict()
        self.part_count = 0
        self.rejected_parts = 0  # parts that were not taken up, as there were too many

    # ---- to add and to read ----

    def add(self, now: MonotonicTime, ask: AddRequest) -> AddReply | None:
        """Once for each number that a process gives its asks; None for nonsense."""
        if not math.isfinite(ask.amount) or ask.ttl_ms <= 0:
            return None
        key = ask.holder, ask.sequence
        # Danger: an ask whose answer was lost comes again. Added twice, the customer would pay twice.
        if (known := self.reply_cache.get(key)) is None:
            known = self.reply_cache[key] = now, self._add(now, ask.name, ask.amount, ask.ttl_ms / 1000)
        self._trim_reply_cache(now)
        return AddReply(ask.holder, ask.sequence, known[1])

    def _add(self, now: MonotonicTime, name: str, amount: float, keep: float) -> float:
        mine = self._find_part(name, self.self_id)
        if mine is not None and mine.expires_at <= now:
            self._remove_part(name, self.self_id)
            mine = None
        total = (mine.total if mine else 0.0) + amount
        if amount or mine is None:
            self.version += 1
            until = mine.expires_at if mine else now + keep
            self._store_part(name, self.self_id, self.version, total, until)
            self.unsent_changes[name] = None
        return self.total(now, name)

    def total(self, now: MonotonicTime, name: str) -> float:
        return sum(kept.total for kept in self.counters.get(name, {}).values() if kept.expires_at > now)

    def _trim_reply_cache(self, now: MonotonicTime) -> None:
        while self.reply_cache:
            at, _ = next(iter(self.reply_cache.values()))
            if now - at < REPLY_CACHE_S and len(self.reply_cache) <= MAX_CACHED_REPLIES:
                return
            self.reply_cache.popitem(last=False)

    # ---- to tell ----

    def take_changes(self, now: MonotonicTime) -> list[PartBatch]:
        """What was added here since the last call, for everybody."""
        names, self.unsent_changes = list(self.unsent_changes), {}
        return list(self._make_batches(now, self.self_id, names))

    def digests(self) -> list[Digest]:
        """Of all owners, for one other instance."""
        if self.self_id not in self.owners:
            self.owners[self.self_id] = OwnerIndex()
        return [Digest(owner, tuple(owned.bucket_hashes)) for owner, owned in self.owners.items()]

    def handle_message(self, now: MonotonicTime, body: ReplicaMessage) -> list[ReplicaMessage]:
        """Take in what another instance says; gives what to answer it."""
        if isinstance(body, Digest):
            return list(self._compare_digest(now, body))
        for part in body.parts:
            self._merge_part(now, body.owner, part)
        return []

    def _merge_part(self, now: MonotonicTime, owner: ProcessId, part: CounterPart) -> None:
        if owner == self.self_id:
            return  # nobody knows better what was added here
        known = self._find_part(part.name, owner)
        if (known is not None and known.version >= part.version) or part.remaining_ms <= 0:
            return
        if known is None and self.part_count >= MAX_PARTS:
            self.rejected_parts += 1
            return
        if not math.isfinite(part.total):
            return
        # Danger: each that passes a part on would give it new time, and it would never end.
        until = known.expires_at if known is not None else now + part.remaining_ms / 1000
        self._store_part(part.name, owner, part.version, part.total, until)

    def _compare_digest(self, now: MonotonicTime, digest: Digest) -> Iterator[ReplicaMessage]:
        """What the other lacks of an owner; and our own digest, if it may have what we lack."""
        owned = self.owners.get(digest.owner)
        ours = tuple(owned.bucket_hashes) if owned is not None else (0,) * BUCKET_COUNT
        differ = {n for n, (a, b) in enumerate(zip(ours, digest.buckets, strict=False)) if a != b}
        if not differ:
            return
        if owned is not None:
            yield from self._make_batches(
                now, digest.owner, [n for n in owned.names if bucket_of(n) in differ]
            )
        if digest.owner != self.self_id and any(digest.buckets):
            yield Digest(digest.owner, ours)

    def _make_batches(
        self, now: MonotonicTime, owner: ProcessId, names: Iterable[str]
    ) -> Iterator[PartBatch]:
        some: list[CounterPart] = []
        for name in names:
            kept = self._find_part(name, owner)
            if kept is None or kept.expires_at <= now:
                continue
            some.append(
                CounterPart(name, kept.version, kept.total, math.ceil((kept.expires_at - now) * 1000))
            )
            if len(some) == MAX_PARTS_PER_BATCH:
                yield PartBatch(owner, tuple(some))
                some = []
        if some:
            yield PartBatch(owner, tuple(some))

    # ---- what is kept ----

    def _find_part(self, name: str, owner: ProcessId) -> StoredPart | None:
        return self.counters.get(name, {}).get(owner)

    def _store_part(
        self, name: str, owner: ProcessId, version: int, total: float, until: MonotonicTime
    ) -> None:
        self._remove_part(name, owner)
        bucket = bucket_of(name)
        self.counters.setdefault(name, {})[owner] = StoredPart(version, total, until, bucket)
        owned = self.owners[owner]
        owned.names.add(name)
        owned.bucket_hashes[bucket] ^= hash_of(name, version)
        self.part_count += 1

    def _remove_part(self, name: str, owner: ProcessId) -> None:
        number = self.counters.get(name, {})
        kept = number.pop(owner, None)
        if kept is None:
            return
        if not number:
            del self.counters[name]
        owned = self.owners[owner]
        owned.names.discard(name)
        owned.bucket_hashes[kept.bucket] ^= hash_of(name, kept.version)
        self.part_count -= 1

    def remove_expired(self, now: MonotonicTime) -> None:
        """Forget numbers that have ended, and owners of whom nothing is left."""
        ended = [
            (n, o) for n, number in self.counters.items() for o, k in number.items() if k.expires_at <= now
        ]
        for name, owner in ended:
            self._remove_part(name, owner)
        for owner in [o for o, owned in self.owners.items() if not owned.names and o != self.self_id]:
            del self.owners[owner]


def bucket_of(name: str) -> int:
    return hashlib.blake2b(name.encode(), digest_size=1).digest()[0] % BUCKET_COUNT


def hash_of(name: str, version: int) -> int:
    """53 bits: they go as a number."""
    return int.from_bytes(hashlib.blake2b(f"{version}:{name}".encode(), digest_size=7).digest(), "big") >> 3
