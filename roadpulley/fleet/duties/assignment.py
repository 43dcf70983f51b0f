"""Ranks the candidates of each duty; instances with the same view of the members get the same result.

Pure. Safety doesn't depend on it: only the lease decides who holds a duty.

Rendezvous hashing (Thaler and Ravishankar, 1998) with bounded loads (Mirrokni, Thorup, Zadimoghaddam,
"Consistent hashing with bounded loads", 2016): a duty is assigned to its preferred instances first, then by
weight, to the first process that has capacity. A process gets more than an even
share, rounded up, only by preference or if no eligible process has capacity.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping, Sequence

from .terms import ProcessId

MAX_ACTIVE_CANDIDATES = 3  # processes that try to acquire a free duty; others wait until these have failed
RANK_DELAY_S = 0.15  # between attempts of adjacent ranks: enough for the first one to acquire the duty


def rendezvous_weight(duty: str, name: str) -> int:
    """The weight of an instance for a duty: the highest one is preferred."""
    return int.from_bytes(hashlib.blake2b(f"{duty}\0{name}".encode(), digest_size=8).digest())


def rank_candidates(duty: str, eligible: Sequence[ProcessId], preferred: Sequence[str]) -> list[ProcessId]:
    """All eligible processes, the preferred ones first, then by weight; of one name the higher boot first."""

    def key(process: ProcessId) -> tuple[int, int, int]:
        rank = preferred.index(process.name) if process.name in preferred else len(preferred)
        return rank, -rendezvous_weight(duty, process.name), -process.boot

    return sorted(eligible, key=key)


def assign_candidates(
    eligible: Mapping[str, Sequence[ProcessId]], preferred: Mapping[str, Sequence[str]]
) -> dict[str, list[ProcessId]]:
    """By duty: the order in which its candidates should try, the process that it is assigned to first.

    `eligible`: by duty, the live processes that may hold it; `preferred`: names of instances, in order.
    """
    everyone = {process for processes in eligible.values() for process in processes}
    capacity = -(-sum(1 for processes in eligible.values() if processes) // max(1, len(everyone)))
    load = dict.fromkeys(everyone, 0)
    rankings: dict[str, list[ProcessId]] = {}
    # Duties with preferences come first, so that others don't use up the capacity of their instances.
    for duty in sorted(eligible, key=lambda d: (not preferred.get(d), d)):
        ranked = rank_candidates(duty, eligible[duty], preferred.get(duty, ()))
        if not ranked:
            rankings[duty] = []
            continue
        preferences = preferred.get(duty, ())
        assigned = next((w for w in ranked if load[w] < capacity or w.name in preferences), ranked[0])
        load[assigned] += 1
        rankings[duty] = [assigned, *(w for w in ranked if w != assigned)]
    return rankings
