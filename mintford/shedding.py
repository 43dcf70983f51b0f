"""Shedding: which requests are refused because the backends or this gateway's own loop can't keep up."""

from __future__ import annotations

import math
import random

from . import interface as api
from .attempts import Attempts
from .load import LONGEST, MARK_MS, PATIENCE, RATE_MS, RECENT, Fleet

SHED_AT, SHED_BAND, SHED_SPAN = 0.6, 0.5, 0.9  # of the aim: refusals begin; to all; earlier for low worth
KEPT, KEPT_UNTIL = 0.5, 0.2  # of a burst: left to the class worth most; up to this weight of the worst one
LEAST_OUT, PRIOR = 2.0, 6.0  # out: too few to tell anything; answers that the recent latency weighs as
CALM = 0.1  # of the aim: latency under which capacity counts as clearly spare
LAG_AIM, LAG_WEIGHT = 20.0, 0.5  # of the gateway's own loop: more than this is strain; weight of one look
LOOK_MS = 20.0  # about how often it is looked at
LEVEL_SUM, LEVEL_NOW, LEVEL_STEP, LEVEL_MOST = 0.02, 0.12, 3.0, 0.95  # gains on the excess; the most


class OwnStrain:
    """Of this gateway's own loop: how much a request must be worth to be let in."""

    def __init__(self, settings: api.Settings, chance: random.Random) -> None:
        self.random = chance
        self.retune(settings)
        self.lag, self.strain = 0.0, 0.0  # own lag of late; its excess, summed up
        self.level = 0.0  # how much a request must be worth to be let in

    def retune(self, settings: api.Settings) -> None:
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.top_importance = max((c.importance for c in settings.classes), default=1.0)

    def lagged(self, lag: float) -> None:
        """Raise the level while the loop lags, lower it while it does not: by sum and by present excess."""
        looks = max(1.0, lag / LOOK_MS)  # that were missed: a slow loop must not slow this down too
        self.lag += (lag - self.lag) * (1 - (1 - LAG_WEIGHT) ** looks)
        excess = min(LEVEL_STEP, self.lag / LAG_AIM - 1)
        self.strain = min(LEVEL_MOST, max(0.0, self.strain + LEVEL_SUM * excess * min(looks, LEVEL_STEP)))
        self.level = min(LEVEL_MOST, max(0.0, self.strain + LEVEL_NOW * excess)) if self.strain else 0.0

    def turn_away(self, request_class: str) -> float | None:
        """The time to come back for a request that is refused at the door, None for one that is let in.

        Danger: where the core itself is the bottleneck, queues form in its sockets, unseen by anything that
        counts what is out, and every request is late. What is refused must cost far less than what is
        served, so it is judged by its class alone, before it is read whole; the least worth goes first.
        """
        kind = self.classes.get(request_class)
        if not self.level or kind is None:
            return None
        worth = kind.importance / self.top_importance if self.top_importance else 1.0
        if (worth + self.random.random()) / 2 >= self.level:
            return None
        return min(kind.latency_target * PATIENCE, self.settings.max_retry_after)


class Shedding:
    """Of the backends: what would be answered too late is refused early, the least worth first."""

    def __init__(self, fleet: Fleet, attempts: Attempts, own: OwnStrain, chance: random.Random) -> None:
        self.fleet, self.attempts, self.own, self.random = fleet, attempts, own, chance
        self.retune()

    def retune(self) -> None:
        own = self.own
        even = own.settings.capabilities.worst_class_weight / KEPT_UNTIL if own.top_importance else 1.0
        self.most_kept = KEPT * max(0.0, 1 - even)
        self.waits = {kind.name: self.most_wait(kind) for kind in own.settings.classes}

    def most_wait(self, kind: api.RequestClass, earns: float = 1.0) -> tuple[float, float]:
        """The longest wait at which a class is still let in, and the aim that this is a part of, in ms.

        `earns`: the part of its worth that such a request earns, net; under 1 for one beyond its quota.

        Danger: all classes stand in the same queues. Judged by its own longer aim, a class of little worth
        holds out until those worth more than it are late. So the tightest aim counts of those worth as much
        as this one or more; and the less a class is worth, the less queue it may find.
        """
        top = self.own.top_importance
        lesser = 1 - kind.importance * earns / top if top else 0.0
        equals = (c.latency_target for c in self.own.settings.classes if c.importance >= kind.importance)
        aim = min((kind.latency_target, *equals))
        return SHED_AT * (1 - SHED_SPAN * lesser) * aim, aim

    def kept(self, kind: api.RequestClass) -> float:
        """The part of a customer's burst that a class leaves to those worth more.

        A unit of quota is spent once. A customer near its quota gets the most for it where the classes that
        are worth little wait until there is enough for those worth more.
        """
        return self.most_kept * (1 - kind.importance / self.own.top_importance) if self.most_kept else 0.0

    def too_late(
        self, now: float, kind: api.RequestClass, earns: float, aim_at: float, expected: float
    ) -> bool:
        """Whether a request that should take `expected` ms, and earns this part of its worth, is refused."""
        known = self.waits.get(kind.name) if earns == 1.0 else None
        wait, aim = known or self.most_wait(kind, earns)
        band = SHED_BAND * self.random.random() * aim if self.fleet.floor < LEAST_OUT else 0.0
        return expected > wait + band or now + expected > aim_at

    def time_to_answer(self, now: float) -> float:
        """What is out over the rate of answers: how long one more request should take (Little's law).

        Danger: judged by the latency of answers, overload and its end are seen a whole queue too late. What
        is out is known at once. It covers floods, slow backends and lost capacity; it could refuse too much
        where traffic multiplies in a second. Where one gateway's few tell nothing, recent latency decides.
        """
        fleet = self.fleet
        waiting = 1 + self.attempts.waiting(now - max(LONGEST * max(fleet.typical, fleet.recent), 1.0))
        if fleet.floor >= LEAST_OUT:
            if waiting <= fleet.floor:
                return 0.0
            # Danger: where few answers come, their rate is mostly chance, and one in three requests would be
            # refused by it. So it is taken together with what those that came have taken.
            rate = fleet.rate * math.exp((fleet.answered_at - now) / RATE_MS)
            prior = PRIOR if fleet.recent else 0.0
            return (waiting + prior) * 1000 / max(rate + prior * 1000 / max(1.0, fleet.recent), 1e-9)
        answer = max(1.0, fleet.recent * math.exp((fleet.recent_at - now) / MARK_MS))
        for attempt in self.attempts.out.values():
            age = now - attempt.sent_at
            if age <= answer:
                break  # those sent later raise it no more
            if not attempt.lost:
                answer *= (age / answer) ** RECENT
        return answer * max(1.0, waiting / LEAST_OUT) ** 2
