"""Claims of all observers, and what follows from them. Pure: time, claims and own evidence in, verdicts out.

Known rules weighed: Envoy's outlier ejection (a share that is never exceeded, a panic threshold), phi accrual
(levels, not yes or no), Prequal's probes (few requests go on to a suspected backend and bring it back). See
docs/design/verdicts.md.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from roadpulley.fleet.duties.terms import Mono, Who

from .terms import PAGE, Claim, Claims, Row, Verdict

CAP = 6.0  # tries of one observer that count: none outweighs all others
PRIOR = 1.0  # tries without a failure that each backend is granted
ENTER, LEAVE = 0.5, 0.25  # of the tries failed: a verdict begins; it ends
HALF = 0.5  # of the tries of one observer, where its last one was served: it has found it failing
ALONE = 2.5  # failures that one observer alone needs, where there are two
MOST_OWN = 0.5  # of what an observer uses: more that seems to fail is likely its own fault
LEAST_OWN = 3  # backends that it has to have met, for that to be told
BEFORE_MS = 200.0  # between an answer and a failure of others: what served then says nothing any more
PANIC = 0.5  # of all backends: more that seem to fail are none
FORGET = 10.0  # times the life: how long a claim that ended is remembered, so that an older one does nothing
MOST_KEPT = 20_000  # claims; beyond that none of new backends is taken up


def finds_failing(evidence: Claim | Row) -> bool:
    """Whether one observer's evidence is of a backend that fails.

    A failure that nothing has followed is enough. Danger: an observer keeps off a backend from its first
    failure on, so that a second one, which would outweigh what was served before, may never come.
    """
    return evidence.run > 0 or evidence.failures >= HALF * evidence.tries


def counted(claim: Claim) -> tuple[float, float]:
    """The tries and failures of a claim that say something of the backend as it is now.

    Of one that has begun to fail, those since then: like what others were served before, what this observer
    was served before says nothing any more.
    """
    tries, failures = claim.tries, claim.failures
    if claim.run > 0:
        tries, failures = min(tries, claim.run), min(failures, claim.run)
    part = min(1.0, CAP / max(tries, 1e-9))
    return part * tries, part * failures


@dataclass(frozen=True)
class Terms:
    """Seconds. `share`: of the backends, that verdicts take at most."""

    say: float = 0.25
    life: float = 3.0
    share: float = 0.3


@dataclass(slots=True)
class Kept:
    claim: Claim
    came: Mono


@dataclass
class Book:
    """All claims that are known, by observer and backend."""

    me: Who
    terms: Terms
    version: int = 0
    kept: dict[Who, dict[int, Kept]] = field(default_factory=dict)
    mine: dict[int, Row] = field(default_factory=dict)  # own evidence, as it was last told here
    ready: int = 0
    standing: dict[int, float] = field(default_factory=dict)  # verdicts of the last look, by backend
    number: int = 0
    not_taken: int = 0

    # ---- own evidence ----

    def saw(self, now: Mono, wall_ms: int, ready: int, rows: Iterable[Row]) -> list[Claims]:
        """What the processes beside saw lately; gives what to tell all others."""
        self.ready, self.mine = ready, {row.backend: row for row in rows}
        disputed = {b for claims in self.kept.values() for b, kept in claims.items() if kept.claim.failures}
        failing = {b for b, row in self.mine.items() if finds_failing(row)}
        told = {b: self.mine[b] for b in sorted(failing | (disputed & set(self.mine)))}
        if self.broken():
            # Danger: a gateway with a broken card finds all backends failing, and would take them from all
            # others. It takes back what it has said.
            mine = self.kept.get(self.me, {}).values()
            told = {k.claim.backend: Row(k.claim.backend, k.claim.started, 0.0, 0.0, 0) for k in mine}
        claims = []
        for backend, row in told.items():
            self.version += 1
            seen = wall_ms - row.age_ms
            claims.append(Claim(backend, row.started, self.version, row.tries, row.failures, seen, row.run))
        for claim in claims:
            self._keep(now, self.me, claim)
        return [Claims(self.me, tuple(claims[n : n + PAGE])) for n in range(0, len(claims), PAGE)]

    def broken(self) -> bool:
        """Whether most of what is met from here fails, so that the fault is likely here."""
        failing = sum(finds_failing(row) for row in self.mine.values())
        return len(self.mine) >= LEAST_OWN and failing > MOST_OWN * len(self.mine)

    # ---- claims ----

    def heard(self, now: Mono, wall_ms: int, claims: Claims) -> None:
        for claim in claims.claims:
            if self._valid(claim) and wall_ms - claim.seen_ms <= 1000 * self.terms.life:
                self._keep(now, claims.owner, claim)

    def _valid(self, claim: Claim) -> bool:
        sound = 0 <= claim.failures <= claim.tries + 1e-6 and claim.tries < math.inf
        return sound and claim.version > 0 and claim.run >= 0

    def _keep(self, now: Mono, owner: Who, claim: Claim) -> None:
        known = self.kept.setdefault(owner, {})
        before = known.get(claim.backend)
        if before is not None and before.claim.version >= claim.version:
            return
        if before is None and self.number >= MOST_KEPT:
            self.not_taken += 1
            return
        self.number += before is None
        known[claim.backend] = Kept(claim, now)

    def forget(self, now: Mono) -> None:
        """What has ended so long ago that nothing older can come any more."""
        for owner, claims in list(self.kept.items()):
            for backend, kept in list(claims.items()):
                if now - kept.came > FORGET * self.terms.life:
                    del claims[backend]
                    self.number -= 1
            if not claims:
                del self.kept[owner]

    def fresh(self, now: Mono, wall_ms: int) -> Iterator[tuple[Who, Claim]]:
        life = self.terms.life
        for owner, claims in self.kept.items():
            for kept in claims.values():
                if now - kept.came < life and wall_ms - kept.claim.seen_ms < 1000 * life:
                    yield owner, kept.claim

    # ---- to judge ----

    def judge(self, now: Mono, wall_ms: int, instances: int) -> list[Verdict]:
        """What holds now, for a fleet of so many instances that are seen."""
        by_backend: dict[int, list[Claim]] = {}
        for _, claim in self.fresh(now, wall_ms):
            by_backend.setdefault(claim.backend, []).append(claim)
        found = []
        for backend, claims in by_backend.items():
            # Danger: claims on an earlier process at this address say nothing of the one that is there now.
            started = max(claim.started for claim in claims)
            of_it = [claim for claim in claims if claim.started == started]
            verdict = self._one(wall_ms, backend, started, of_it, instances)
            if verdict is not None:
                found.append(verdict)
        found.sort(key=lambda v: (-v.level, v.backend))
        # Danger: verdicts that took most of the capacity would do more harm than the backends.
        if len(found) > PANIC * self.ready:
            found = []
        found = found[: max(1, int(self.terms.share * self.ready))]
        self.standing = {verdict.backend: verdict.level for verdict in found}
        return found

    def _one(
        self, wall_ms: int, backend: int, started: float, claims: list[Claim], instances: int
    ) -> Verdict | None:
        tries = failures = 0.0
        agree = 0
        seen = max((claim.seen_ms for claim in claims if finds_failing(claim)), default=0)
        for claim in claims:
            failing = finds_failing(claim)
            if claim.seen_ms < seen - BEFORE_MS and not failing:
                continue  # it was served before it began to fail, and has not met it since
            more_tries, more_failures = counted(claim)
            tries, failures = tries + more_tries, failures + more_failures
            agree += failing
        level = failures / (tries + PRIOR)
        least = LEAVE if backend in self.standing else ENTER
        # Danger: one observer alone may have a fault of its own. It is enough where there is no third to ask.
        enough = agree >= 2 or (agree == 1 and instances <= 2 and failures >= ALONE)
        if level < least or not (enough or (agree and backend in self.standing)):
            return None
        return Verdict(backend, started, min(1.0, level), max(0, wall_ms - seen))
