"""Who should take which duty: the same answer wherever the same members are seen. Pure; decides nothing safe.

Highest random weight (Thaler and Ravishankar, 1998) with a bound on each one's load (Mirrokni, Thorup,
Zadimoghaddam, "Consistent hashing with bounded loads", 2016): a duty goes to its preferred instances first,
then by weight, to the first that has room; nobody takes more than its even part, rounded up.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping, Sequence

from .terms import ProcessId

MAX_ACTIVE_CANDIDATES = (
    3  # that try to take a duty nobody seems to hold; the others wait until these are dead
)
RANK_DELAY_S = 0.15  # between their tries: the first has taken it by then


def rendezvous_weight(duty: str, name: str) -> int:
    return int.from_bytes(hashlib.blake2b(f"{duty}\0{name}".encode(), digest_size=8).digest())


def rank_candidates(duty: str, able: Sequence[ProcessId], preferred: Sequence[str]) -> list[ProcessId]:
    """All that may hold it, first choice first. Of processes of one name, the higher boot."""

    def key(who: ProcessId) -> tuple[int, int, int]:
        rank = preferred.index(who.name) if who.name in preferred else len(preferred)
        return rank, -rendezvous_weight(duty, who.name), -who.boot

    return sorted(able, key=key)


def assign_candidates(
    able: Mapping[str, Sequence[ProcessId]], preferred: Mapping[str, Sequence[str]]
) -> dict[str, list[ProcessId]]:
    """By duty: in which order its candidates should try, the one that has room for it first.

    `able`: by duty, the live processes that may hold it.
    """
    everyone = {who for those in able.values() for who in those}
    room = -(-sum(1 for those in able.values() if those) // max(1, len(everyone)))
    load = dict.fromkeys(everyone, 0)
    found: dict[str, list[ProcessId]] = {}
    # Preferences first: they should not lose their place to duties that would go anywhere.
    for duty in sorted(able, key=lambda d: (not preferred.get(d), d)):
        wanted = rank_candidates(duty, able[duty], preferred.get(duty, ()))
        if not wanted:
            found[duty] = []
            continue
        wishes = preferred.get(duty, ())
        first = next((w for w in wanted if load[w] < room or w.name in wishes), wanted[0])
        load[first] += 1
        found[duty] = [first, *(w for w in wanted if w != first)]
    return found
