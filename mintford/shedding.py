"""Shedding: which requests are refused because the backends or this gateway's own loop can't keep up."""

from __future__ import annotations

import math
import random

from . import interface as api
from .attempts import Attempts
from .load import (
    DEFAULT_TIMEOUT_RATIO,
    MARK_DECAY_MS,
    MAX_LATENCY_RATIO,
    RATE_DECAY_MS,
    RECENT_LATENCY_WEIGHT_RATIO,
    Fleet,
)

SHED_START_RATIO, SHED_BAND_RATIO, LOW_WORTH_SHED_RATIO = (
    0.6,
    0.5,
    0.9,
)  # of the aim: refusals begin; to all; earlier for low worth
MAX_RESERVED_BURST_RATIO, MAX_RESERVING_CLASS_WEIGHT_RATIO = (
    0.5,
    0.2,
)  # of a burst: left to the class worth most; up to this weight of the worst one
MIN_FREE_ATTEMPTS, LATENCY_PRIOR_ANSWERS = (
    2.0,
    6.0,
)  # out: too few to tell anything; answers that the recent latency weighs as
SPARE_CAPACITY_RATIO = 0.1  # of the aim: latency under which capacity counts as clearly spare
TARGET_LAG_MS, LAG_WEIGHT_RATIO = (
    20.0,
    0.5,
)  # of the gateway's own loop: more than this is strain; weight of one look
LAG_MEASUREMENT_INTERVAL_MS = 20.0  # about how often it is looked at
INTEGRAL_GAIN_RATIO, PROPORTIONAL_GAIN_RATIO, MAX_EXCESS_RATIO, MAX_SHED_LEVEL = (
    0.02,
    0.12,
    3.0,
    0.95,
)  # gains on the excess; the most


class LoopLagController:
    """Of this gateway's own loop: how much a request must be worth to be let in."""

    def __init__(self, settings: api.Settings, chance: random.Random) -> None:
        self.random = chance
        self.apply_settings(settings)
        self.lag, self.integral = 0.0, 0.0  # own lag of late; its excess, summed up
        self.shed_level = 0.0  # how much a request must be worth to be let in

    def apply_settings(self, settings: api.Settings) -> None:
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.top_importance = max((c.importance for c in settings.classes), default=1.0)

    def update(self, lag: float) -> None:
        """Raise the level while the loop lags, lower it while it does not: by sum and by present excess."""
        looks = max(
            1.0, lag / LAG_MEASUREMENT_INTERVAL_MS
        )  # that were missed: a slow loop must not slow this down too
        self.lag += (lag - self.lag) * (1 - (1 - LAG_WEIGHT_RATIO) ** looks)
        excess = min(MAX_EXCESS_RATIO, self.lag / TARGET_LAG_MS - 1)
        self.integral = min(
            MAX_SHED_LEVEL,
            max(0.0, self.integral + INTEGRAL_GAIN_RATIO * excess * min(looks, MAX_EXCESS_RATIO)),
        )
        self.shed_level = (
            min(MAX_SHED_LEVEL, max(0.0, self.integral + PROPORTIONAL_GAIN_RATIO * excess))
            if self.integral
            else 0.0
        )

    def get_early_refusal(self, request_class: str) -> float | None:
        """The time to come back for a request that is refused at the door, None for one that is let in.

        Danger: where the core itself is the bottleneck, queues form in its sockets, unseen by anything that
        counts what is out, and every request is late. What is refused must cost far less than what is
        served, so it is judged by its class alone, before it is read whole; the least worth goes first.
        """
        kind = self.classes.get(request_class)
        if not self.shed_level or kind is None:
            return None
        worth = kind.importance / self.top_importance if self.top_importance else 1.0
        if (worth + self.random.random()) / 2 >= self.shed_level:
            return None
        return min(kind.latency_target * DEFAULT_TIMEOUT_RATIO, self.settings.max_retry_after)


class Shedding:
    """Of the backends: what would be answered too late is refused early, the least worth first."""

    def __init__(
        self, fleet: Fleet, attempts: Attempts, own: LoopLagController, chance: random.Random
    ) -> None:
        self.fleet, self.attempts, self.loop_lag, self.random = fleet, attempts, own, chance
        self.apply_settings()

    def apply_settings(self) -> None:
        own = self.loop_lag
        even = (
            own.settings.capabilities.worst_class_weight / MAX_RESERVING_CLASS_WEIGHT_RATIO
            if own.top_importance
            else 1.0
        )
        self.max_reserved_ratio = MAX_RESERVED_BURST_RATIO * max(0.0, 1 - even)
        self.max_waits = {kind.name: self.compute_max_wait(kind) for kind in own.settings.classes}

    def compute_max_wait(self, kind: api.RequestClass, earns: float = 1.0) -> tuple[float, float]:
        """The longest wait at which a class is still let in, and the aim that this is a part of, in ms.

        `earns`: the part of its worth that such a request earns, net; under 1 for one beyond its quota.

        Danger: all classes stand in the same queues. Judged by its own longer aim, a class of little worth
        holds out until those worth more than it are late. So the tightest aim counts of those worth as much
        as this one or more; and the less a class is worth, the less queue it may find.
        """
        top = self.loop_lag.top_importance
        lesser = 1 - kind.importance * earns / top if top else 0.0
        equals = (c.latency_target for c in self.loop_lag.settings.classes if c.importance >= kind.importance)
        aim = min((kind.latency_target, *equals))
        return SHED_START_RATIO * (1 - LOW_WORTH_SHED_RATIO * lesser) * aim, aim

    def compute_reserved_ratio(self, kind: api.RequestClass) -> float:
        """The part of a customer's burst that a class leaves to those worth more.

        A unit of quota is spent once. A customer near its quota gets the most for it where the classes that
        are worth little wait until there is enough for those worth more.
        """
        return (
            self.max_reserved_ratio * (1 - kind.importance / self.loop_lag.top_importance)
            if self.max_reserved_ratio
            else 0.0
        )

    def is_too_late(
        self, now: float, kind: api.RequestClass, earns: float, aim_at: float, expected: float
    ) -> bool:
        """Whether a request that should take `expected` ms, and earns this part of its worth, is refused."""
        known = self.max_waits.get(kind.name) if earns == 1.0 else None
        wait, aim = known or self.compute_max_wait(kind, earns)
        band = (
            SHED_BAND_RATIO * self.random.random() * aim
            if self.fleet.free_attempts < MIN_FREE_ATTEMPTS
            else 0.0
        )
        return expected > wait + band or now + expected > aim_at

    def estimate_latency(self, now: float) -> float:
        """What is out over the rate of answers: how long one more request should take (Little's law).

        Danger: judged by the latency of answers, overload and its end are seen a whole queue too late. What
        is out is known at once. It covers floods, slow backends and lost capacity; it could refuse too much
        where traffic multiplies in a second. Where one gateway's few tell nothing, recent latency decides.
        """
        fleet = self.fleet
        waiting = 1 + self.attempts.count_waiting(
            now - max(MAX_LATENCY_RATIO * max(fleet.typical_latency, fleet.recent_latency), 1.0)
        )
        if fleet.free_attempts >= MIN_FREE_ATTEMPTS:
            if waiting <= fleet.free_attempts:
                return 0.0
            # Danger: where few answers come, their rate is mostly chance, and one in three requests would be
            # refused by it. So it is taken together with what those that came have taken.
            rate = fleet.answer_rate * math.exp((fleet.last_answer_at - now) / RATE_DECAY_MS)
            prior = LATENCY_PRIOR_ANSWERS if fleet.recent_latency else 0.0
            return (waiting + prior) * 1000 / max(rate + prior * 1000 / max(1.0, fleet.recent_latency), 1e-9)
        answer = max(1.0, fleet.recent_latency * math.exp((fleet.recent_latency_at - now) / MARK_DECAY_MS))
        for attempt in self.attempts.in_flight.values():
            age = now - attempt.sent_at
            if age <= answer:
                break  # those sent later raise it no more
            if not attempt.is_lost:
                answer *= (age / answer) ** RECENT_LATENCY_WEIGHT_RATIO
        return answer * max(1.0, waiting / MIN_FREE_ATTEMPTS) ** 2
