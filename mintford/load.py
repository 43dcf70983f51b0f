"""Backend selection: what is known about the health of each backend, and which one receives a request."""

from __future__ import annotations

import hashlib
import math
import random
from collections.abc import Callable, Sequence

from . import interface as api
from .guards import CANCELLED_OUTCOMES, LEASE_MS, compute_cold_share, compute_warmth
from .records import BackendRecord
from .start_times import set_cold_since, spare_newest

MAX_LATENCY_SAMPLES = 40.0  # the typical latency averages this many answers
FREE_ATTEMPTS_PER_BACKEND = 3.0  # open attempts that are always allowed
RECENT_LATENCY_WEIGHT_RATIO = 0.12  # weight of one answer in the recent latency
LATENCY_MARK_WEIGHT_RATIO = 0.15  # weight of one answer in a backend's latency mark
FAILURE_MARK_WEIGHT_RATIO = 0.3  # weight of one answer in a backend's failure marks
# A mark decays to about a third in this time, or in this many usual gaps between answers if that is longer.
MARK_DECAY_MS = 4_000.0
MARK_DECAY_GAPS = 5.0
FAILURE_COST_RATIO = 8.0  # a backend that always fails has its cost raised by this ratio
AVOIDED_FAILURE_RATIO = 0.5  # from this failure level on a backend counts as avoided
# The exponent of the random factor in a cost. A backend with half the cost is chosen sixteen times as often.
RANDOM_SPREAD_EXPONENT = 0.25
MIN_SUBSET_SIZE = 8  # backends that a gateway of a large fleet uses
MIN_GATEWAYS_PER_BACKEND = 8
# Multiplied by the price of crossing zones, it raises the cost of a backend in another zone. A price of 0.02
# a crossing counts as 30% more load.
ZONE_CROSSING_COST_RATIO = 15.0
MAX_CANDIDATES = 12  # of one choice, so that its work does not grow with the fleet
# Quantiles of the random factor in a cost.
NOISE_QUANTILES = [(-math.log(1 - (i + 0.5) / 1024)) ** RANDOM_SPREAD_EXPONENT for i in range(1024)]
DEFAULT_TIMEOUT_RATIO = 0.4  # of the latency target, while the typical latency is unknown
MAX_LATENCY_RATIO = 9.0  # of the typical latency: no latency sample counts for more
MIN_TIMEOUT_RATIO = 2.0  # of the typical latency, for a failing backend
DECAY_INTERVAL_MS = 25.0  # how often the decay of a backend's marks is computed
RATE_DECAY_MS = 800.0  # decay time of the rate of answers


class Backend(BackendRecord):
    """One backend as observed by this gateway."""

    def compute_warmth(self, now: float) -> float:
        """The ratio of its full capacity that the backend is sure to have by now."""
        return compute_warmth(self.rules, self.cold_since, now)


class Fleet:
    """The backends in this gateway's list, their health, and the choice among them."""

    def __init__(self, settings: api.Settings, chance: random.Random) -> None:
        self.settings, self.random = settings, chance
        self.backends: dict[int, Backend] = {}
        self.has_whole_list = False  # a list that was whole has come, beside the saved one
        self.excluded_backends: frozenset[int] = frozenset()  # ordered by operators
        self.subset: list[Backend] = []  # the backends that this gateway uses
        self.warm: list[Backend] = []  # the backends of the subset that are surely warm
        self.warm_ring: list[Backend] = []  # the warm backends twice, so that a draw can wrap around
        self.next_warm_at = math.inf  # when the next cold backend of the subset becomes warm
        # Mean latency of answers over a long and over a short time.
        self.typical_latency, self.recent_latency, self.recent_latency_at = 0.0, 0.0, 0.0
        self.latency_samples, self.answer_rate, self.last_answer_at = 0.0, 0.0, 0.0  # the rate is per second
        self.free_attempts = 0.0  # open attempts that are always allowed
        # The factor by which another zone raises the cost of a backend.
        self.crossing_factor = 1 + ZONE_CROSSING_COST_RATIO * settings.capabilities.price_crossing

    def apply_settings(self, now: float, settings: api.Settings) -> None:
        """Use other settings from now on."""
        self.settings = settings
        self.crossing_factor = 1 + ZONE_CROSSING_COST_RATIO * settings.capabilities.price_crossing
        for backend in self.backends.values():
            backend.rules = settings.rules
            backend.own_zone = settings.zone
            backend.in_other_zone = backend.entry.zone != settings.zone
        self.update_list(now, api.BackendsChanged(api.ListScope.CHANGES, ()))

    # ---- backend list ----

    def update_list(self, now: float, event: api.BackendsChanged) -> None:
        """Apply a full backend list, or changes to it, and choose the subset anew."""
        if event.scope is not api.ListScope.CHANGES:
            listed = {e.backend for e in event.entries}
            self.backends = {i: b for i, b in self.backends.items() if i in listed}
        for entry in event.entries:
            if entry.state is api.BackendState.GONE:
                self.backends.pop(entry.backend, None)
            else:
                self.apply_entry(now, entry)
        if not self.has_whole_list and event.scope is not api.ListScope.CHANGES:
            spare_newest(self.backends.values(), now, self.settings.rules.warmup_time)
            self.has_whole_list = event.scope is api.ListScope.FULL
        self.free_attempts = FREE_ATTEMPTS_PER_BACKEND * len(self.backends) / max(1, self.settings.gateways)
        self.subset = self.choose_subset(self.list_usable())
        self.update_warm(now)

    def apply_entry(self, now: float, entry: api.BackendEntry) -> None:
        """Apply one entry of the list, of a backend that is not gone."""
        backend = self.backends.get(entry.backend)
        known_start = None if backend is None else backend.started
        if backend is None:
            backend = self.backends[entry.backend] = Backend(entry, self.settings)
        else:
            backend.update(entry)
        if backend.started != known_start:
            set_cold_since(backend, now, self.settings.rules.warmup_time, not self.has_whole_list)

    def list_usable(self) -> list[Backend]:
        """The ready backends that operators have not excluded, or all ready ones if all are excluded."""
        ready = [b for b in self.backends.values() if b.ready]
        return [b for b in ready if b.id not in self.excluded_backends] or ready

    def update_warm(self, now: float) -> None:
        """Find the warm backends of the subset, and when the next cold one becomes warm."""
        self.warm = [b for b in self.subset if b.compute_warmth(now) >= 1]
        self.warm_ring = self.warm * 2
        warmup_time = self.settings.rules.warmup_time
        cold = (b.cold_since + warmup_time for b in self.subset if b.compute_warmth(now) < 1)
        self.next_warm_at = min(cold, default=math.inf)

    def choose_subset(self, ready: list[Backend]) -> list[Backend]:
        """Choose so few backends that each is used often enough to judge its health, or all in a small fleet.

        Gateways are grouped in rounds. The gateways of a round take consecutive slices of one shuffled order,
        and together take all of it, so all backends are used by about equally many gateways. Each slice has
        its part of every zone, so the loss of a zone leaves no gateway without backends.
        """
        size = max(
            MIN_SUBSET_SIZE, math.ceil(MIN_GATEWAYS_PER_BACKEND * len(ready) / max(1, self.settings.gateways))
        )
        shuffle_round, slice_index = divmod(self.settings.index, max(1, len(ready) // size))
        if (slices := len(ready) // size) < 2:
            return ready
        ready.sort(key=lambda b: hashlib.blake2b(f"{shuffle_round}:{b.id}".encode(), digest_size=8).digest())
        zones: dict[str, list[Backend]] = {}
        for backend in ready:
            zones.setdefault(backend.entry.zone, []).append(backend)
        order = [
            ((i + 0.5) / len(zone_backends), name, backend)
            for name, zone_backends in zones.items()
            for i, backend in enumerate(zone_backends)
        ]
        order.sort(key=lambda entry: entry[:2])
        first, last = (len(ready) * n // slices for n in (slice_index, slice_index + 1))
        return [b for _, _, b in order[first:last]]

    # ---- health ----

    def get_mark(self, now: float, backend: Backend, name: str) -> float:
        """The decayed level of a health mark. With few answers a second, marks decay more slowly."""
        if name not in backend.marks:
            return 0.0
        level, at = backend.marks[name]
        gap = len(self.subset) * 1000 / max(self.answer_rate, 0.1)
        return level * math.exp((at - now) / max(MARK_DECAY_MS, min(LEASE_MS, MARK_DECAY_GAPS * gap)))

    def estimate_failure_ratio(self, now: float, backend: Backend, marks: Sequence[str]) -> float:
        """How likely the backend is to fail a request with these marks, from 0 to 1.

        A backend may fail one class or plan while it serves the others.
        """
        if now - backend.decayed_at > DECAY_INTERVAL_MS:
            self.decay_marks(now, backend)
        if (of_all := backend.failure_level) < 0.01:
            return 0.0
        # A class or plan without a mark has had no answer since the backend began to fail. It takes the level
        # of all requests. Otherwise each class and plan would have to fail by itself before the backend is
        # avoided, which takes longest at a gateway with few requests.
        kind, plan = (
            max(backend.peer_failure_level, self.get_mark(now, backend, n)) if n in backend.marks else of_all
            for n in marks[1:]
        )
        return min(1.0, kind * plan / of_all)

    def decay_marks(self, now: float, backend: Backend) -> None:
        """Compute the decayed levels of the marks that every choice reads."""
        backend.excess_latency, backend.decayed_at = self.get_mark(now, backend, "slow"), now
        backend.failure_level = max(
            backend.peer_failure_level, self.get_mark(now, backend, "all") if "all" in backend.marks else 0.0
        )

    def compute_timeout(
        self, now: float, backend: Backend, marks: Sequence[str], latency_target: float
    ) -> float:
        """How many milliseconds an answer may take before the attempt counts as overdue."""
        times = max(
            MIN_TIMEOUT_RATIO,
            MAX_LATENCY_RATIO / (1 + FAILURE_COST_RATIO * self.estimate_failure_ratio(now, backend, marks)),
        )
        return (
            times * self.typical_latency if self.typical_latency else DEFAULT_TIMEOUT_RATIO * latency_target
        )

    def record_outcome(
        self,
        now: float,
        backend: Backend,
        marks: Sequence[str],
        outcome: api.Outcome,
        elapsed: float,
        timeout: float,
    ) -> None:
        """Update the health of a backend and the latencies by an attempt that took `elapsed` ms."""
        ok, slow, overdue = outcome is api.Outcome.OK, self.get_mark(now, backend, "slow"), elapsed >= timeout
        # Without the cap, one attempt lost in the network would make a backend look too slow to be used.
        capped = min(elapsed, MAX_LATENCY_RATIO * self.typical_latency) if self.typical_latency else elapsed
        # An attempt that was cancelled later than an answer usually takes is a lower bound of its latency.
        if ok or (outcome in CANCELLED_OUTCOMES and capped > self.typical_latency + slow):
            slow += (capped - (self.typical_latency or elapsed) - slow) * LATENCY_MARK_WEIGHT_RATIO
            backend.marks["slow"] = (slow, now)
        if ok or (outcome in CANCELLED_OUTCOMES and elapsed > self.recent_latency):
            # The weight of an answer grows with the time since the last one. With a fixed weight, few new
            # answers could not outweigh old ones, and requests would still be refused after the overload.
            # The mean is geometric, because few latencies are long.
            weight = max(
                RECENT_LATENCY_WEIGHT_RATIO, 1 - math.exp((self.recent_latency_at - now) / MARK_DECAY_MS)
            )
            self.recent_latency = (self.recent_latency or elapsed) * (
                elapsed / (self.recent_latency or elapsed)
            ) ** weight
            self.recent_latency_at = now
        if ok:
            self.latency_samples = min(MAX_LATENCY_SAMPLES, self.latency_samples + 1)
            self.typical_latency += (capped - self.typical_latency) / self.latency_samples
            self.answer_rate = (
                self.answer_rate * math.exp((self.last_answer_at - now) / RATE_DECAY_MS)
                + 1000 / RATE_DECAY_MS
            )
            self.last_answer_at = now
        # A client that cancels before the timeout says nothing about the backend.
        if outcome not in CANCELLED_OUTCOMES or overdue:
            is_failure = not ok and outcome is not api.Outcome.IGNORED
            for name in marks:
                if is_failure or "all" in backend.marks:
                    level = self.get_mark(now, backend, name)
                    backend.marks[name] = (level + (is_failure - level) * FAILURE_MARK_WEIGHT_RATIO, now)
        if ok:  # this gateway's own answer overrides earlier findings of other gateways
            backend.peer_failure_level, backend.last_success_at = 0.0, now
        backend.excess_latency = slow
        backend.failure_level = max(backend.peer_failure_level, self.get_mark(now, backend, "all"))
        backend.decayed_at = now

    def apply_peer_verdicts(self, event: api.PeerVerdictsChanged) -> None:
        """Use the failing backends found by other gateways as a lower bound of the failure marks here."""
        for backend in self.backends.values():
            started, level, found_at = event.backends.get(backend.id, (0.0, 0.0, 0.0))
            backend.peer_failure_level = (
                level if started == backend.started and found_at > backend.last_success_at else 0.0
            )
            backend.decayed_at = -math.inf  # the next choice computes its levels again

    def count_avoided(self, now: float) -> int:
        """Count backends that are not ready, or that fail so often that others are chosen before them."""
        return sum(
            1
            for b in self.backends.values()
            if not b.ready or self.get_mark(now, b, "all") >= AVOIDED_FAILURE_RATIO
        )

    # ---- choice ----

    def choose_cheapest(self, now: float, marks: Sequence[str], candidates: list[Backend]) -> Backend | None:
        """Choose the lowest cost: the expected latency, raised by failures and zone crossing, and chance."""
        best = None
        least = math.inf
        chance = self.random.getrandbits(10 * len(candidates)) if candidates else 0
        typical, fresh, crossing = self.typical_latency, now - DECAY_INTERVAL_MS, self.crossing_factor
        for backend in candidates:
            if backend.decayed_at < fresh:
                self.decay_marks(now, backend)
            cost = (
                (typical + backend.excess_latency) * (backend.open_attempts + 1)
                if typical + backend.excess_latency > 1.0
                else backend.open_attempts + 1.0
            )
            if backend.failure_level >= 0.01:
                cost *= 1 + FAILURE_COST_RATIO * self.estimate_failure_ratio(now, backend, marks)
            if backend.in_other_zone:
                cost *= crossing
            cost *= NOISE_QUANTILES[chance & 1023]
            chance >>= 10
            if cost < least:
                best, least = backend, cost
        return best

    def choose_backend(
        self, now: float, marks: Sequence[str], can_send_to: Callable[[float, Backend], bool] | None
    ) -> Backend | None:
        """Choose a backend at random, cheap ones far more often, and a cold one with its reduced probability.

        `can_send_to`: where a further attempt may go. None, for a first attempt, allows every backend.
        """
        if now >= self.next_warm_at:
            self.update_warm(now)
        usable, warm = self.subset, self.warm
        if can_send_to or not usable:
            allowed = can_send_to or (lambda _, __: True)
            usable = [b for b in usable if allowed(now, b)]
            usable = usable or [b for b in self.list_usable() if allowed(now, b)]
            warm = [b for b in usable if b.compute_warmth(now) >= 1]
        if len(warm) < len(usable):
            backend = self.random.choice(usable)
            cold_share = compute_cold_share(self.settings.rules, backend.compute_warmth(now))
            if (
                backend.compute_warmth(now) < 1
                and self.random.random() < cold_share
                and self.estimate_failure_ratio(now, backend, marks) < 0.5
            ):
                return backend
        return self.choose_cheapest(
            now, marks, warm if len(warm) <= MAX_CANDIDATES else self.draw_candidates(warm)
        )

    def has_warm_backend(self, now: float, can_send_to: Callable[[float, Backend], bool]) -> bool:
        """Whether a further attempt could be sent to a warm backend."""
        if any(can_send_to(now, b) and b.compute_warmth(now) >= 1 for b in self.subset):
            return True
        return any(can_send_to(now, b) and b.compute_warmth(now) >= 1 for b in self.list_usable())

    def draw_candidates(self, backends: list[Backend]) -> list[Backend]:
        """Draw a few backends, each equally likely: every n-th from a random start, with a random n."""
        size = len(backends)
        first = int(self.random.random() * size)
        step = 1 + int(self.random.random() * (size // MAX_CANDIDATES))
        ring = self.warm_ring if backends is self.warm else backends * 2
        return ring[first : first + MAX_CANDIDATES * step : step]
