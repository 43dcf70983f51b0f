"""What instances say to each other about counts.

A number is the sum of what each process of an instance (its name and boot: an owner) has added. Only the
owner changes its part, and gives each change a higher version; everybody else keeps the highest that it was
told. So merging takes the higher version, in any order, again and again: commutative, associative and
idempotent. What an owner that is gone had told somebody stays counted until the number itself ends.

After Shapiro and others, "Conflict-free Replicated Data Types" (2011); Almeida, Shoker, Baquero, "Delta State
Replicated Data Types" (2018). See docs/design/fleet-limits.md.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from roadpulley.fleet.duties.terms import ProcessId

MAX_NAME_BYTES = 80  # bytes of a number's name
MAX_PARTS_PER_BATCH = 16  # parts in one body, so that it fits into a datagram
BUCKET_COUNT = 16  # of the numbers of one owner, compared by one hash each


class CounterPart(msgspec.Struct, array_like=True, frozen=True):
    """What one owner has added to one number. `remaining_ms`: until everybody forgets the number."""

    name: str
    version: int
    total: float
    remaining_ms: int


class PartBatch(msgspec.Struct, tag="c-parts", array_like=True, frozen=True):
    """Of one owner, whoever sends them."""

    owner: ProcessId
    parts: tuple[CounterPart, ...]


class Digest(msgspec.Struct, tag="c-digest", array_like=True, frozen=True):
    """One hash for each bucket of an owner's numbers; an empty one where nothing is known of it."""

    owner: ProcessId
    buckets: tuple[int, ...]


ReplicaMessage: TypeAlias = PartBatch | Digest


# ---- between an instance and the processes beside it ----


class AddRequest(msgspec.Struct, tag="c-add", array_like=True, frozen=True):
    """Add to a number, once: asked again it has the same `number`, counted by the process that asks."""

    holder: int
    sequence: int
    name: str
    amount: float
    ttl_ms: int


class AddReply(msgspec.Struct, tag="c-added", array_like=True, frozen=True):
    """The number as this instance sees it, with what was added."""

    holder: int
    sequence: int
    total: float
