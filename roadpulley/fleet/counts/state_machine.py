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
    until: MonotonicTime
    bucket: int


@dataclass(slots=True)
class OwnerIndex:
    """The numbers of one owner. `hashes` by bucket: of names and versions, whatever their order."""

    names: set[str] = field(default_factory=set)
    hashes: list[int] = field(default_factory=lambda: [0] * BUCKET_COUNT)


class ReplicatedCounters:
    def __init__(self, me: ProcessId) -> None:
        self.me = me
        self.numbers: dict[str, dict[ProcessId, StoredPart]] = {}  # by name, what each owner added
        self.owners: dict[ProcessId, OwnerIndex] = defaultdict(OwnerIndex)
        self.version = 0
        self.changed: dict[str, None] = {}  # of ours: not told yet, the oldest first
        self.answered: OrderedDict[tuple[int, int], tuple[MonotonicTime, float]] = OrderedDict()
        self.parts = 0
        self.full = 0  # parts that were not taken up, as there were too many

    # ---- to add and to read ----

    def add(self, now: MonotonicTime, ask: AddRequest) -> AddReply | None:
        """Once for each number that a process gives its asks; None for nonsense."""
        if not math.isfinite(ask.amount) or ask.keep_ms <= 0:
            return None
        key = ask.holder, ask.number
        # Danger: an ask whose answer was lost comes again. Added twice, the customer would pay twice.
        if (known := self.answered.get(key)) is None:
            known = self.answered[key] = now, self._add(now, ask.name, ask.amount, ask.keep_ms / 1000)
        self._forget_answers(now)
        return AddReply(ask.holder, ask.number, known[1])

    def _add(self, now: MonotonicTime, name: str, amount: float, keep: float) -> float:
        mine = self._of(name, self.me)
        if mine is not None and mine.until <= now:
            self._drop(name, self.me)
            mine = None
        total = (mine.total if mine else 0.0) + amount
        if amount or mine is None:
            self.version += 1
            until = mine.until if mine else now + keep
            self._keep(name, self.me, self.version, total, until)
            self.changed[name] = None
        return self.total(now, name)

    def total(self, now: MonotonicTime, name: str) -> float:
        return sum(kept.total for kept in self.numbers.get(name, {}).values() if kept.until > now)

    def _forget_answers(self, now: MonotonicTime) -> None:
        while self.answered:
            at, _ = next(iter(self.answered.values()))
            if now - at < REPLY_CACHE_S and len(self.answered) <= MAX_CACHED_REPLIES:
                return
            self.answered.popitem(last=False)

    # ---- to tell ----

    def news(self, now: MonotonicTime) -> list[PartBatch]:
        """What was added here since the last call, for everybody."""
        names, self.changed = list(self.changed), {}
        return list(self._pages(now, self.me, names))

    def digests(self) -> list[Digest]:
        """Of all owners, for one other instance."""
        if self.me not in self.owners:
            self.owners[self.me] = OwnerIndex()
        return [Digest(owner, tuple(owned.hashes)) for owner, owned in self.owners.items()]

    def heard(self, now: MonotonicTime, body: ReplicaMessage) -> list[ReplicaMessage]:
        """Take in what another instance says; gives what to answer it."""
        if isinstance(body, Digest):
            return list(self._compare(now, body))
        for part in body.parts:
            self._merge(now, body.owner, part)
        return []

    def _merge(self, now: MonotonicTime, owner: ProcessId, part: CounterPart) -> None:
        if owner == self.me:
            return  # nobody knows better what was added here
        known = self._of(part.name, owner)
        if (known is not None and known.version >= part.version) or part.left_ms <= 0:
            return
        if known is None and self.parts >= MAX_PARTS:
            self.full += 1
            return
        if not math.isfinite(part.total):
            return
        # Danger: each that passes a part on would give it new time, and it would never end.
        until = known.until if known is not None else now + part.left_ms / 1000
        self._keep(part.name, owner, part.version, part.total, until)

    def _compare(self, now: MonotonicTime, digest: Digest) -> Iterator[ReplicaMessage]:
        """What the other lacks of an owner; and our own digest, if it may have what we lack."""
        owned = self.owners.get(digest.owner)
        ours = tuple(owned.hashes) if owned is not None else (0,) * BUCKET_COUNT
        differ = {n for n, (a, b) in enumerate(zip(ours, digest.buckets, strict=False)) if a != b}
        if not differ:
            return
        if owned is not None:
            yield from self._pages(now, digest.owner, [n for n in owned.names if bucket_of(n) in differ])
        if digest.owner != self.me and any(digest.buckets):
            yield Digest(digest.owner, ours)

    def _pages(self, now: MonotonicTime, owner: ProcessId, names: Iterable[str]) -> Iterator[PartBatch]:
        some: list[CounterPart] = []
        for name in names:
            kept = self._of(name, owner)
            if kept is None or kept.until <= now:
                continue
            some.append(CounterPart(name, kept.version, kept.total, math.ceil((kept.until - now) * 1000)))
            if len(some) == MAX_PARTS_PER_BATCH:
                yield PartBatch(owner, tuple(some))
                some = []
        if some:
            yield PartBatch(owner, tuple(some))

    # ---- what is kept ----

    def _of(self, name: str, owner: ProcessId) -> StoredPart | None:
        return self.numbers.get(name, {}).get(owner)

    def _keep(self, name: str, owner: ProcessId, version: int, total: float, until: MonotonicTime) -> None:
        self._drop(name, owner)
        bucket = bucket_of(name)
        self.numbers.setdefault(name, {})[owner] = StoredPart(version, total, until, bucket)
        owned = self.owners[owner]
        owned.names.add(name)
        owned.hashes[bucket] ^= hash_of(name, version)
        self.parts += 1

    def _drop(self, name: str, owner: ProcessId) -> None:
        number = self.numbers.get(name, {})
        kept = number.pop(owner, None)
        if kept is None:
            return
        if not number:
            del self.numbers[name]
        owned = self.owners[owner]
        owned.names.discard(name)
        owned.hashes[kept.bucket] ^= hash_of(name, kept.version)
        self.parts -= 1

    def sweep(self, now: MonotonicTime) -> None:
        """Forget numbers that have ended, and owners of whom nothing is left."""
        ended = [(n, o) for n, number in self.numbers.items() for o, k in number.items() if k.until <= now]
        for name, owner in ended:
            self._drop(name, owner)
        for owner in [o for o, owned in self.owners.items() if not owned.names and o != self.me]:
            del self.owners[owner]


def bucket_of(name: str) -> int:
    return hashlib.blake2b(name.encode(), digest_size=1).digest()[0] % BUCKET_COUNT


def hash_of(name: str, version: int) -> int:
    """53 bits: they go as a number."""
    return int.from_bytes(hashlib.blake2b(f"{version}:{name}".encode(), digest_size=7).digest(), "big") >> 3
