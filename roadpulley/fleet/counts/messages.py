"""Messages that replicate counters.

A counter is the sum of its parts, one for each owner: a process of an instance, by name and boot. Only the
owner changes its part, and it raises the version with each change; the other replicas keep the part of the
highest version. Merging is therefore commutative, associative and idempotent. The part of an owner that has
ended stays counted at every replica that received it, until the counter expires.

See Shapiro and others, "Conflict-free Replicated Data Types" (2011); Almeida, Shoker, Baquero, "Delta State
Replicated Data Types" (2018); docs/design/fleet-limits.md.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from roadpulley.fleet.duties.terms import ProcessId

MAX_NAME_BYTES = 80  # of the name of a counter
MAX_PARTS_PER_BATCH = 16  # so that a batch fits into a datagram
BUCKET_COUNT = 16  # an owner's parts are compared by one hash for each bucket


class CounterPart(msgspec.Struct, array_like=True, frozen=True):
    """What one owner has added to one counter. `remaining_ms`: time until the counter expires."""

    name: str
    version: int
    total: float
    remaining_ms: int


class PartBatch(msgspec.Struct, tag="c-parts", array_like=True, frozen=True):
    """Parts of one owner, sent by any replica."""

    owner: ProcessId
    parts: tuple[CounterPart, ...]


class Digest(msgspec.Struct, tag="c-digest", array_like=True, frozen=True):
    """Anti-entropy digest: a hash of each bucket of an owner's parts; 0 for an empty bucket."""

    owner: ProcessId
    buckets: tuple[int, ...]


ReplicaMessage: TypeAlias = PartBatch | Digest


# ---- between an instance and the workers on its machine ----


class AddRequest(msgspec.Struct, tag="c-add", array_like=True, frozen=True):
    """Add to a counter once: a retry has the same `sequence`, which is counted by the worker.

    `holder`: the number of the worker. `ttl_ms`: time until a new counter expires.
    """

    holder: int
    sequence: int
    name: str
    amount: float
    ttl_ms: int


class AddReply(msgspec.Struct, tag="c-added", array_like=True, frozen=True):
    """The total of the counter at this instance, including the addition."""

    holder: int
    sequence: int
    total: float
