"""Load and choice: what is known of each backend, and which one a request goes to."""

from __future__ import annotations

import hashlib
import math
import random
from collections.abc import Callable, Sequence

from . import interface as api
from .guards import CANCELLED_OUTCOMES, LEASE_MS, compute_cold_share, compute_warmth
from .records import BackendRecord

MAX_LATENCY_SAMPLES, FREE_ATTEMPTS_PER_BACKEND = (
    40.0,
    3.0,
)  # answers that the typical latency is the mean of; always allowed out
RECENT_LATENCY_WEIGHT_RATIO, LATENCY_MARK_WEIGHT_RATIO, FAILURE_MARK_WEIGHT_RATIO = (
    0.12,
    0.15,
    0.3,
)  # weight of one answer in the recent latency and a backend's two marks
MARK_DECAY_MS, MARK_DECAY_GAPS = 4_000.0, 5.0  # a mark fades to a third in this time or in so many usual gaps
FAILURE_COST_RATIO, AVOIDED_FAILURE_RATIO = (
    8.0,
    0.5,
)  # what failing always adds to a cost; the mark that counts as avoided
RANDOM_SPREAD_EXPONENT = (
    0.25  # how far chance spreads the choice: half the cost is chosen sixteen times as often
)
MIN_SUBSET_SIZE, MIN_GATEWAYS_PER_BACKEND = (
    8,
    8,
)  # backends that a gateway of a large fleet uses; gateways that each backend needs
ZONE_CROSSING_COST_RATIO = (
    15.0  # of its price: how much another zone adds to a cost; 0.02 a crossing: as 30% more load
)
MAX_CANDIDATES = 12  # candidates of one choice: the work of a choice does not grow with the fleet
NOISE_QUANTILES = [
    (-math.log(1 - (i + 0.5) / 1024)) ** RANDOM_SPREAD_EXPONENT for i in range(1024)
]  # quantiles of the chance in it
DEFAULT_TIMEOUT_RATIO = 0.4  # of the aim: how long to wait before anything is known
MAX_LATENCY_RATIO, MIN_TIMEOUT_RATIO = (
    9.0,
    2.0,
)  # typical latencies: the most a sample counts for; a bad backend's patience
DECAY_INTERVAL_MS, RATE_DECAY_MS = (
    25.0,
    800.0,
)  # between looks at how far a mark has faded; memory of the rate of answers


class Backend(BackendRecord):
    """One backend as this gateway has seen it."""

    def compute_warmth(self, now: float) -> float:
        return compute_warmth(self.rules, self.started, now)


class Fleet:
    """The backends of this gateway's list, how they fare, and the choice among them."""

    def __init__(self, settings: api.Settings, chance: random.Random) -> None:
        self.settings, self.random = settings, chance
        self.backends: dict[int, Backend] = {}
        self.excluded_backends: frozenset[int] = frozenset()  # by order of an operator
        self.subset: list[Backend] = []  # the backends that this gateway uses
        self.warm: list[Backend] = []  # of these, those that are surely warm
        self.warm_ring: list[Backend] = []  # these twice, so that a draw may go round the end
        self.next_warm_at = math.inf  # when the next of them will be
        self.typical_latency, self.recent_latency, self.recent_latency_at = (
            0.0,
            0.0,
            0.0,
        )  # mean latency of the answers, and lately
        self.latency_samples, self.answer_rate, self.last_answer_at = 0.0, 0.0, 0.0  # answers; a second
        self.free_attempts = 0.0  # always allowed out
        # The factor by which another zone raises the cost of a backend.
        self.crossing_factor = 1 + ZONE_CROSSING_COST_RATIO * settings.capabilities.price_crossing

    def apply_settings(self, now: float, settings: api.Settings) -> None:
        self.settings, self.crossing_factor = (
            settings,
            1 + ZONE_CROSSING_COST_RATIO * settings.capabilities.price_crossing,
        )
        for b in self.backends.values():
            b.rules, b.own_zone, b.in_other_zone = (
                settings.rules,
                settings.zone,
                b.entry.zone != settings.zone,
            )
        self.update_list(now, api.BackendsChanged(api.ListScope.CHANGES, ()))

    # ---- the list ----

    def update_list(self, now: float, event: api.BackendsChanged) -> None:
        if event.scope is not api.ListScope.CHANGES:
            listed = {e.backend for e in event.entries}
            self.backends = {i: b for i, b in self.backends.items() if i in listed}
        for entry in event.entries:
            if entry.state is api.BackendState.GONE:
                self.backends.pop(entry.backend, None)
            elif entry.backend in self.backends:
                self.backends[entry.backend].update(entry)
            else:
                self.backends[entry.backend] = Backend(entry, self.settings)
        self.free_attempts = FREE_ATTEMPTS_PER_BACKEND * len(self.backends) / max(1, self.settings.gateways)
        self.subset = self.choose_subset(self.list_usable())
        self.update_warm(now)

    def list_usable(self) -> list[Backend]:
        """Those that are ready and not kept off; where that leaves none, all that are ready."""
        ready = [b for b in self.backends.values() if b.ready]
        return [b for b in ready if b.id not in self.excluded_backends] or ready

    def update_warm(self, now: float) -> None:
        self.warm = [b for b in self.subset if b.compute_warmth(now) >= 1]
        self.warm_ring = self.warm * 2
        cold = (b.started + self.settings.rules.warmup_time for b in self.subset if b.compute_warmth(now) < 1)
        self.next_warm_at = min(cold, default=math.inf)

    def choose_subset(self, ready: list[Backend]) -> list[Backend]:
        """Few enough backends to meet each often and judge it; all of them in a small fleet.

        Each gateway of a round takes its own slice of one shuffled order, all slices together take all of it:
        backends are covered evenly. Every slice holds its part of each zone, so that none is lost with one.
        """
        size = max(
            MIN_SUBSET_SIZE, math.ceil(MIN_GATEWAYS_PER_BACKEND * len(ready) / max(1, self.settings.gateways))
        )
        turn, place = divmod(self.settings.index, max(1, len(ready) // size))
        if (slices := len(ready) // size) < 2:
            return ready
        ready.sort(key=lambda b: hashlib.blake2b(f"{turn}:{b.id}".encode(), digest_size=8).digest())
        zones: dict[str, list[Backend]] = {}
        for b in ready:
            zones.setdefault(b.entry.zone, []).append(b)
        order = [((i + 0.5) / len(zone), name, b) for name, zone in zones.items() for i, b in enumerate(zone)]
        order.sort(key=lambda entry: entry[:2])
        first, last = (len(ready) * n // slices for n in (place, place + 1))
        return [b for _, _, b in order[first:last]]

    # ---- health ----

    def get_mark(self, now: float, b: Backend, name: str) -> float:
        """A mark as far as it has not faded; a backend that is met seldom is remembered longer."""
        if name not in b.marks:
            return 0.0
        level, at = b.marks[name]
        gap = len(self.subset) * 1000 / max(self.answer_rate, 0.1)
        return level * math.exp((at - now) / max(MARK_DECAY_MS, min(LEASE_MS, MARK_DECAY_GAPS * gap)))

    def estimate_failure_ratio(self, now: float, b: Backend, marks: Sequence[str]) -> float:
        """How likely it fails such a request: one class or plan may fare ill where the others are served."""
        if now - b.decayed_at > DECAY_INTERVAL_MS:
            self.decay_marks(now, b)
        if (of_all := b.failure_level) < 0.01:
            return 0.0
        # Danger: of those that were not met since it began to fail nothing is known, least by a gateway with
        # few requests: each class and plan would have to find out by itself.
        kind, plan = (
            max(b.peer_failure_level, self.get_mark(now, b, n)) if n in b.marks else of_all for n in marks[1:]
        )
        return min(1.0, kind * plan / of_all)

    def decay_marks(self, now: float, b: Backend) -> None:
        b.excess_latency, b.decayed_at = self.get_mark(now, b, "slow"), now
        b.failure_level = max(b.peer_failure_level, self.get_mark(now, b, "all") if "all" in b.marks else 0.0)

    def compute_timeout(self, now: float, b: Backend, marks: Sequence[str], aim: float) -> float:
        """How long an answer may take before the attempt counts as lost."""
        times = max(
            MIN_TIMEOUT_RATIO,
            MAX_LATENCY_RATIO / (1 + FAILURE_COST_RATIO * self.estimate_failure_ratio(now, b, marks)),
        )
        return times * self.typical_latency if self.typical_latency else DEFAULT_TIMEOUT_RATIO * aim

    def record_outcome(
        self, now: float, b: Backend, marks: Sequence[str], outcome: api.Outcome, lag: float, patience: float
    ) -> None:
        """Take in how an attempt ended, after `lag` milliseconds."""
        ok, slow, overdue = outcome is api.Outcome.OK, self.get_mark(now, b, "slow"), lag >= patience
        # Danger: one attempt lost on the way would look like a backend slow beyond use.
        capped = min(lag, MAX_LATENCY_RATIO * self.typical_latency) if self.typical_latency else lag
        if ok or (
            outcome in CANCELLED_OUTCOMES and capped > self.typical_latency + slow
        ):  # it took longer yet
            slow += (capped - (self.typical_latency or lag) - slow) * LATENCY_MARK_WEIGHT_RATIO
            b.marks["slow"] = (slow, now)
        if ok or (outcome in CANCELLED_OUTCOMES and lag > self.recent_latency):
            # Danger: old answers outweigh few new ones, and refusals stay. Of logarithms, as few are long.
            weight = max(
                RECENT_LATENCY_WEIGHT_RATIO, 1 - math.exp((self.recent_latency_at - now) / MARK_DECAY_MS)
            )
            self.recent_latency, self.recent_latency_at = (
                (self.recent_latency or lag) * (lag / (self.recent_latency or lag)) ** weight,
                now,
            )
        if ok:
            self.latency_samples = min(MAX_LATENCY_SAMPLES, self.latency_samples + 1)
            self.typical_latency += (capped - self.typical_latency) / self.latency_samples
            self.answer_rate = (
                self.answer_rate * math.exp((self.last_answer_at - now) / RATE_DECAY_MS)
                + 1000 / RATE_DECAY_MS
            )
            self.last_answer_at = now
        if (
            outcome not in CANCELLED_OUTCOMES or overdue
        ):  # a client that left early says nothing of the backend
            bad = not ok and outcome is not api.Outcome.IGNORED
            for name in marks:
                if bad or "all" in b.marks:
                    level = self.get_mark(now, b, name)
                    b.marks[name] = (level + (bad - level) * FAILURE_MARK_WEIGHT_RATIO, now)
        if ok:  # what was seen here goes before what others have seen earlier
            b.peer_failure_level, b.last_success_at = 0.0, now
        b.excess_latency, b.failure_level, b.decayed_at = (
            slow,
            max(b.peer_failure_level, self.get_mark(now, b, "all")),
            now,
        )

    def apply_peer_verdicts(self, event: api.PeerVerdictsChanged) -> None:
        """What other gateways found failing, as a prior of the marks here."""
        for b in self.backends.values():
            started, level, seen_at = event.backends.get(b.id, (0.0, 0.0, 0.0))
            b.peer_failure_level = level if started == b.started and seen_at > b.last_success_at else 0.0
            b.decayed_at = -math.inf  # it is looked at again at the next choice

    def count_avoided(self, now: float) -> int:
        """Those that are not ready, and those that fail so often that others are taken before them."""
        return sum(
            1
            for b in self.backends.values()
            if not b.ready or self.get_mark(now, b, "all") >= AVOIDED_FAILURE_RATIO
        )

    # ---- choice ----

    def choose_cheapest(self, now: float, marks: Sequence[str], among: list[Backend]) -> Backend | None:
        """By what an answer should take, judged by answers, failures and silence alike, and by chance."""
        best, least, chance = None, math.inf, self.random.getrandbits(10 * len(among)) if among else 0
        typical, fresh, crossing = self.typical_latency, now - DECAY_INTERVAL_MS, self.crossing_factor
        for b in among:
            if b.decayed_at < fresh:
                self.decay_marks(now, b)
            cost = (
                (typical + b.excess_latency) * (b.open_attempts + 1)
                if typical + b.excess_latency > 1.0
                else b.open_attempts + 1.0
            )
            if b.failure_level >= 0.01:
                cost *= 1 + FAILURE_COST_RATIO * self.estimate_failure_ratio(now, b, marks)
            if b.in_other_zone:
                cost *= crossing
            cost *= NOISE_QUANTILES[chance & 1023]
            chance >>= 10
            if cost < least:
                best, least = b, cost
        return best

    def choose_backend(
        self, now: float, marks: Sequence[str], may_go: Callable[[float, Backend], bool] | None
    ) -> Backend | None:
        """A backend by chance, cheap ones far more often; a cold one only by the cold rule's own lot.

        `may_go`: where a further attempt may go; None for a first one, which may go to any.
        """
        if now >= self.next_warm_at:
            self.update_warm(now)
        may, warm = self.subset, self.warm
        if may_go or not may:
            allowed = may_go or (lambda _, __: True)
            may = [b for b in may if allowed(now, b)]
            may = may or [b for b in self.list_usable() if allowed(now, b)]
            warm = [b for b in may if b.compute_warmth(now) >= 1]
        if len(warm) < len(may):
            b = self.random.choice(may)
            part = compute_cold_share(self.settings.rules, b.compute_warmth(now))
            if (
                b.compute_warmth(now) < 1
                and self.random.random() < part
                and self.estimate_failure_ratio(now, b, marks) < 0.5
            ):
                return b
        return self.choose_cheapest(
            now, marks, warm if len(warm) <= MAX_CANDIDATES else self.draw_candidates(warm)
        )

    def draw_candidates(self, among: list[Backend]) -> list[Backend]:
        """A few of many, each as likely as any other: every so many-th from one on, both by chance."""
        size = len(among)
        first, step = (
            int(self.random.random() * size),
            1 + int(self.random.random() * (size // MAX_CANDIDATES)),
        )
        ring = self.warm_ring if among is self.warm else among * 2
        return ring[first : first + MAX_CANDIDATES * step : step]
