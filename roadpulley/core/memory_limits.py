"""What a process may keep at most of each kind of state, by its memory limit.

A part of the limit is what the process has before any client comes; the rest is divided by the ratios below.
"""

from __future__ import annotations

from dataclasses import dataclass

IDLE_MEMORY_MB = 16  # what a process needs before any client comes
MIN_FREE_MEMORY_MB = 8  # assumed to be left beside that, however small the limit
# Of the memory beside that: for incomplete answers, and again for answers not yet sent.
BUFFER_RATIO = 1 / 4
OPEN_REQUEST_RATIO = 1 / 4
CUSTOMER_RATIO = 1 / 8
RECENT_ID_RATIO = 1 / 16
BYTES_PER_OPEN_REQUEST = 5_000  # in all parts of the process, with one attempt
BYTES_PER_CUSTOMER = 2_500  # with its readings of the counter
BYTES_PER_RECENT_ID = 400
DEFAULT_MEMORY_MB = 64


@dataclass(frozen=True)
class MemoryLimits:
    """Numbers of things, and bytes of buffers, that a process may keep."""

    buffer_bytes: int
    max_open_requests: int
    max_customers: int
    max_recent_ids: int


def compute_memory_limits(memory_mb: int = DEFAULT_MEMORY_MB) -> MemoryLimits:
    """The limits of a process with this memory limit in MiB."""
    free_bytes = max(memory_mb - IDLE_MEMORY_MB, MIN_FREE_MEMORY_MB) * 2**20
    return MemoryLimits(
        buffer_bytes=int(free_bytes * BUFFER_RATIO),
        max_open_requests=int(free_bytes * OPEN_REQUEST_RATIO / BYTES_PER_OPEN_REQUEST),
        max_customers=int(free_bytes * CUSTOMER_RATIO / BYTES_PER_CUSTOMER),
        max_recent_ids=int(free_bytes * RECENT_ID_RATIO / BYTES_PER_RECENT_ID),
    )
