"""Load and choice: what is known of each backend, and which one a request goes to."""

from __future__ import annotations

import hashlib
import math
import random
from collections.abc import Callable, Sequence

from . import interface as api
from .guards import CALLED_OFF, LEASE_MS, cold_share, warmth
from .records import BackendRecord

TYPICAL_OVER, FLOOR_OUT = 40.0, 3.0  # answers that the typical latency is the mean of; always allowed out
RECENT, SLOW, BAD = 0.12, 0.15, 0.3  # weight of one answer in the recent latency and a backend's two marks
MARK_MS, MARK_MEETINGS = 4_000.0, 5.0  # a mark fades to a third in this time or in so many usual gaps
ERROR_COST, AVOIDED = 8.0, 0.5  # what failing always adds to a cost; the mark that counts as avoided
CHANCE = 0.25  # how far chance spreads the choice: half the cost is chosen sixteen times as often
SUBSET, COVER = 8, 8  # backends that a gateway of a large fleet uses; gateways that each backend needs
CROSSING = 15.0  # of its price: how much another zone adds to a cost; 0.02 a crossing: as 30% more load
DRAWN = 12  # candidates of one choice: the work of a choice does not grow with the fleet
NOISE = [(-math.log(1 - (i + 0.5) / 1024)) ** CHANCE for i in range(1024)]  # quantiles of the chance in it
PATIENCE = 0.4  # of the aim: how long to wait before anything is known
LONGEST, SHORTEST = 9.0, 2.0  # typical latencies: the most a sample counts for; a bad backend's patience
FADED_MS, RATE_MS = 25.0, 800.0  # between looks at how far a mark has faded; memory of the rate of answers


class Backend(BackendRecord):
    """One backend as this gateway has seen it."""

    def warmth(self, now: float) -> float:
        return warmth(self.rules, self.started, now)


class Fleet:
    """The backends of this gateway's list, how they fare, and the choice among them."""

    def __init__(self, settings: api.Settings, chance: random.Random) -> None:
        self.settings, self.random = settings, chance
        self.backends: dict[int, Backend] = {}
        self.excluded_backends: frozenset[int] = frozenset()  # by order of an operator
        self.subset: list[Backend] = []  # the backends that this gateway uses
        self.warm: list[Backend] = []  # of these, those that are surely warm
        self.ring: list[Backend] = []  # these twice, so that a draw may go round the end
        self.warm_at = math.inf  # when the next of them will be
        self.typical, self.recent, self.recent_at = 0.0, 0.0, 0.0  # mean latency of the answers, and lately
        self.samples, self.rate, self.answered_at = 0.0, 0.0, 0.0  # answers; a second
        self.floor = 0.0  # always allowed out
        # The factor by which another zone raises the cost of a backend.
        self.crossing = 1 + CROSSING * settings.capabilities.price_crossing

    def retune(self, now: float, settings: api.Settings) -> None:
        self.settings, self.crossing = settings, 1 + CROSSING * settings.capabilities.price_crossing
        for b in self.backends.values():
            b.rules, b.here, b.away = settings.rules, settings.zone, b.entry.zone != settings.zone
        self.listed(now, api.BackendsChanged(api.ListScope.CHANGES, ()))

    # ---- the list ----

    def listed(self, now: float, event: api.BackendsChanged) -> None:
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
        self.floor = FLOOR_OUT * len(self.backends) / max(1, self.settings.gateways)
        self.subset = self.choose_subset(self.usable())
        self.sort_warm(now)

    def usable(self) -> list[Backend]:
        """Those that are ready and not kept off; where that leaves none, all that are ready."""
        ready = [b for b in self.backends.values() if b.ready]
        return [b for b in ready if b.id not in self.excluded_backends] or ready

    def sort_warm(self, now: float) -> None:
        self.warm = [b for b in self.subset if b.warmth(now) >= 1]
        self.ring = self.warm * 2
        cold = (b.started + self.settings.rules.warmup_time for b in self.subset if b.warmth(now) < 1)
        self.warm_at = min(cold, default=math.inf)

    def choose_subset(self, ready: list[Backend]) -> list[Backend]:
        """Few enough backends to meet each often and judge it; all of them in a small fleet.

        Each gateway of a round takes its own slice of one shuffled order, all slices together take all of it:
        backends are covered evenly. Every slice holds its part of each zone, so that none is lost with one.
        """
        size = max(SUBSET, math.ceil(COVER * len(ready) / max(1, self.settings.gateways)))
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

    def mark(self, now: float, b: Backend, name: str) -> float:
        """A mark as far as it has not faded; a backend that is met seldom is remembered longer."""
        if name not in b.marks:
            return 0.0
        level, at = b.marks[name]
        gap = len(self.subset) * 1000 / max(self.rate, 0.1)
        return level * math.exp((at - now) / max(MARK_MS, min(LEASE_MS, MARK_MEETINGS * gap)))

    def failing(self, now: float, b: Backend, marks: Sequence[str]) -> float:
        """How likely it fails such a request: one class or plan may fare ill where the others are served."""
        if now - b.faded_at > FADED_MS:
            self.fade(now, b)
        if (of_all := b.bad) < 0.01:
            return 0.0
        # Danger: of those that were not met since it began to fail nothing is known, least by a gateway with
        # few requests: each class and plan would have to find out by itself.
        kind, plan = (max(b.hearsay, self.mark(now, b, n)) if n in b.marks else of_all for n in marks[1:])
        return min(1.0, kind * plan / of_all)

    def fade(self, now: float, b: Backend) -> None:
        b.slow, b.faded_at = self.mark(now, b, "slow"), now
        b.bad = max(b.hearsay, self.mark(now, b, "all") if "all" in b.marks else 0.0)

    def patience(self, now: float, b: Backend, marks: Sequence[str], aim: float) -> float:
        """How long an answer may take before the attempt counts as lost."""
        times = max(SHORTEST, LONGEST / (1 + ERROR_COST * self.failing(now, b, marks)))
        return times * self.typical if self.typical else PATIENCE * aim

    def judge(
        self, now: float, b: Backend, marks: Sequence[str], outcome: api.Outcome, lag: float, patience: float
    ) -> None:
        """Take in how an attempt ended, after `lag` milliseconds."""
        ok, slow, overdue = outcome is api.Outcome.OK, self.mark(now, b, "slow"), lag >= patience
        # Danger: one attempt lost on the way would look like a backend slow beyond use.
        capped = min(lag, LONGEST * self.typical) if self.typical else lag
        if ok or (outcome in CALLED_OFF and capped > self.typical + slow):  # it took longer yet
            slow += (capped - (self.typical or lag) - slow) * SLOW
            b.marks["slow"] = (slow, now)
        if ok or (outcome in CALLED_OFF and lag > self.recent):
            # Danger: old answers outweigh few new ones, and refusals stay. Of logarithms, as few are long.
            weight = max(RECENT, 1 - math.exp((self.recent_at - now) / MARK_MS))
            self.recent, self.recent_at = (self.recent or lag) * (lag / (self.recent or lag)) ** weight, now
        if ok:
            self.samples = min(TYPICAL_OVER, self.samples + 1)
            self.typical += (capped - self.typical) / self.samples
            self.rate = self.rate * math.exp((self.answered_at - now) / RATE_MS) + 1000 / RATE_MS
            self.answered_at = now
        if outcome not in CALLED_OFF or overdue:  # a client that left early says nothing of the backend
            bad = not ok and outcome is not api.Outcome.IGNORED
            for name in marks:
                if bad or "all" in b.marks:
                    level = self.mark(now, b, name)
                    b.marks[name] = (level + (bad - level) * BAD, now)
        if ok:  # what was seen here goes before what others have seen earlier
            b.hearsay, b.answered_at = 0.0, now
        b.slow, b.bad, b.faded_at = slow, max(b.hearsay, self.mark(now, b, "all")), now

    def heard(self, event: api.PeerVerdictsChanged) -> None:
        """What other gateways found failing, as a prior of the marks here."""
        for b in self.backends.values():
            started, level, seen_at = event.backends.get(b.id, (0.0, 0.0, 0.0))
            b.hearsay = level if started == b.started and seen_at > b.answered_at else 0.0
            b.faded_at = -math.inf  # it is looked at again at the next choice

    def avoided(self, now: float) -> int:
        """Those that are not ready, and those that fail so often that others are taken before them."""
        return sum(1 for b in self.backends.values() if not b.ready or self.mark(now, b, "all") >= AVOIDED)

    # ---- choice ----

    def cheapest(self, now: float, marks: Sequence[str], among: list[Backend]) -> Backend | None:
        """By what an answer should take, judged by answers, failures and silence alike, and by chance."""
        best, least, chance = None, math.inf, self.random.getrandbits(10 * len(among)) if among else 0
        typical, fresh, crossing = self.typical, now - FADED_MS, self.crossing
        for b in among:
            if b.faded_at < fresh:
                self.fade(now, b)
            cost = (typical + b.slow) * (b.out + 1) if typical + b.slow > 1.0 else b.out + 1.0
            if b.bad >= 0.01:
                cost *= 1 + ERROR_COST * self.failing(now, b, marks)
            if b.away:
                cost *= crossing
            cost *= NOISE[chance & 1023]
            chance >>= 10
            if cost < least:
                best, least = b, cost
        return best

    def pick(
        self, now: float, marks: Sequence[str], may_go: Callable[[float, Backend], bool] | None
    ) -> Backend | None:
        """A backend by chance, cheap ones far more often; a cold one only by the cold rule's own lot.

        `may_go`: where a further attempt may go; None for a first one, which may go to any.
        """
        if now >= self.warm_at:
            self.sort_warm(now)
        may, warm = self.subset, self.warm
        if may_go or not may:
            allowed = may_go or (lambda _, __: True)
            may = [b for b in may if allowed(now, b)]
            may = may or [b for b in self.usable() if allowed(now, b)]
            warm = [b for b in may if b.warmth(now) >= 1]
        if len(warm) < len(may):
            b = self.random.choice(may)
            part = cold_share(self.settings.rules, b.warmth(now))
            if b.warmth(now) < 1 and self.random.random() < part and self.failing(now, b, marks) < 0.5:
                return b
        return self.cheapest(now, marks, warm if len(warm) <= DRAWN else self.draw(warm))

    def draw(self, among: list[Backend]) -> list[Backend]:
        """A few of many, each as likely as any other: every so many-th from one on, both by chance."""
        size = len(among)
        first, step = int(self.random.random() * size), 1 + int(self.random.random() * (size // DRAWN))
        ring = self.ring if among is self.warm else among * 2
        return ring[first : first + DRAWN * step : step]
