"""Load shedding: refuses requests because the backends or this gateway's own event loop are overloaded."""

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

SHED_START_RATIO = 0.6  # of the latency target: refusals begin at this expected latency
SHED_BAND_RATIO = 0.5  # of the latency target: refusals become more likely over this range
LOW_WORTH_SHED_RATIO = 0.9  # by how much earlier refusals begin for requests worth nothing
MAX_RESERVED_BURST_RATIO = 0.5  # of a customer's burst, reserved for the classes worth most
# The reservation shrinks as the class with the worst result gains weight, and ends at this weight.
MAX_RESERVING_CLASS_WEIGHT_RATIO = 0.2
MIN_FREE_ATTEMPTS = 2.0  # with fewer free attempts, the number in flight says nothing about the load
LATENCY_PRIOR_ANSWERS = 6.0  # the recent latency counts as much as this many answers
SPARE_CAPACITY_RATIO = 0.1  # of the latency target: below it the backends clearly have spare capacity
TARGET_LAG_MS = 20.0  # lag of the gateway's own event loop that is still no overload
LAG_WEIGHT_RATIO = 0.5  # weight of one measurement
LAG_MEASUREMENT_INTERVAL_MS = 20.0  # approximate
INTEGRAL_GAIN_RATIO = 0.02
PROPORTIONAL_GAIN_RATIO = 0.12
MAX_EXCESS_RATIO = 3.0
MAX_SHED_LEVEL = 0.95


class LoopLagController:
    """A PI controller on the lag of the gateway's own event loop.

    Its output, the shed level, is how much a request must be worth to be admitted, from 0 to 1.
    """

    def __init__(self, settings: api.Settings, chance: random.Random) -> None:
        self.random = chance
        self.apply_settings(settings)
        self.lag = 0.0  # smoothed, in ms
        self.previous_lag = 0.0  # the last measurement, in ms
        self.sustained_lag = 0.0  # smoothed, in ms, of the smaller of each two consecutive measurements
        self.integral = 0.0  # the sum of the excess of the sustained lag
        self.shed_level = 0.0  # how much a request must be worth to be admitted

    def apply_settings(self, settings: api.Settings) -> None:
        """Use other settings from now on."""
        self.settings = settings
        self.classes = {c.name: c for c in settings.classes}
        self.top_importance = max((c.importance for c in settings.classes), default=1.0)

    def update(self, lag: float) -> None:
        """Take a measured lag: raise the shed level above the target lag, lower it below."""
        # A slow loop misses measurements. Counting them keeps a slow loop from slowing down the controller.
        missed = max(1.0, lag / LAG_MEASUREMENT_INTERVAL_MS)
        weight = 1 - (1 - LAG_WEIGHT_RATIO) ** missed
        self.lag += (lag - self.lag) * weight
        # A single late turn may be one in which the machine gave this process no core. An overloaded loop is
        # late again at the next turn.
        sustained, self.previous_lag = min(lag, self.previous_lag), lag
        self.sustained_lag += (sustained - self.sustained_lag) * weight
        excess = min(MAX_EXCESS_RATIO, self.sustained_lag / TARGET_LAG_MS - 1)
        self.integral = min(
            MAX_SHED_LEVEL,
            max(0.0, self.integral + INTEGRAL_GAIN_RATIO * excess * min(missed, MAX_EXCESS_RATIO)),
        )
        self.shed_level = (
            min(MAX_SHED_LEVEL, max(0.0, self.integral + PROPORTIONAL_GAIN_RATIO * excess))
            if self.integral
            else 0.0
        )

    def get_early_refusal(self, request_class: str) -> float | None:
        """The milliseconds to retry after if a request is refused before it is read, None if it is admitted.

        When the core itself is the bottleneck, queues form in its sockets. Counting the attempts in flight
        does not see them, and every request is late. A refusal must then cost far less than an answer, so it
        depends on the request class alone, before the request is read whole. Requests worth least go first.
        """
        kind = self.classes.get(request_class)
        if not self.shed_level or kind is None:
            return None
        worth = kind.importance / self.top_importance if self.top_importance else 1.0
        if (worth + self.random.random()) / 2 >= self.shed_level:
            return None
        return min(kind.latency_target * DEFAULT_TIMEOUT_RATIO, self.settings.max_retry_after)


class Shedding:
    """Refuses early the requests that the backends would answer too late, those worth least first."""

    def __init__(
        self, fleet: Fleet, attempts: Attempts, controller: LoopLagController, chance: random.Random
    ) -> None:
        self.fleet, self.attempts, self.loop_lag, self.random = fleet, attempts, controller, chance
        self.apply_settings()

    def apply_settings(self) -> None:
        """Compute the limits that follow from the settings."""
        controller = self.loop_lag
        class_weight_ratio = (
            controller.settings.capabilities.worst_class_weight / MAX_RESERVING_CLASS_WEIGHT_RATIO
            if controller.top_importance
            else 1.0
        )
        self.max_reserved_ratio = MAX_RESERVED_BURST_RATIO * max(0.0, 1 - class_weight_ratio)
        self.max_waits = {kind.name: self.compute_max_wait(kind) for kind in controller.settings.classes}

    def compute_max_wait(self, kind: api.RequestClass, earned_ratio: float = 1.0) -> tuple[float, float]:
        """The longest expected latency at which a class is admitted, and its latency target, both in ms.

        `earned_ratio`: the net part of its worth that the request earns, below 1 for one beyond the quota.

        All classes wait in the same queues. If a class of little worth were judged by its own longer latency
        target, it would be admitted until requests worth more are late. So the tightest target of the classes
        worth as much or more applies, and a class worth less is admitted only to shorter queues.
        """
        top = self.loop_lag.top_importance
        lesser = 1 - kind.importance * earned_ratio / top if top else 0.0
        equals = (c.latency_target for c in self.loop_lag.settings.classes if c.importance >= kind.importance)
        target = min((kind.latency_target, *equals))
        return SHED_START_RATIO * (1 - LOW_WORTH_SHED_RATIO * lesser) * target, target

    def compute_reserved_ratio(self, kind: api.RequestClass) -> float:
        """The ratio of a customer's burst that a class must leave to classes worth more.

        A unit of quota can be spent only once. A customer close to its quota gets the most for it if the
        classes worth little wait until enough is available for those worth more.
        """
        return (
            self.max_reserved_ratio * (1 - kind.importance / self.loop_lag.top_importance)
            if self.max_reserved_ratio
            else 0.0
        )

    def is_too_late(
        self, now: float, kind: api.RequestClass, earned_ratio: float, target_at: float, expected: float
    ) -> bool:
        """Whether a request that should take `expected` ms is refused, as it would be answered too late."""
        known = self.max_waits.get(kind.name) if earned_ratio == 1.0 else None
        wait, target = known or self.compute_max_wait(kind, earned_ratio)
        # Without a usable count of attempts in flight, a random band spreads the refusals.
        band = (
            SHED_BAND_RATIO * self.random.random() * target
            if self.fleet.free_attempts < MIN_FREE_ATTEMPTS
            else 0.0
        )
        return expected > wait + band or now + expected > target_at

    def estimate_latency(self, now: float) -> float:
        """The expected latency of one more request in ms: attempts in flight / answer rate (Little's law).

        The latency of answers shows an overload and its end only after the whole queue has passed. The
        number of attempts in flight is known at once, and it covers floods, slow backends and lost capacity.
        It may refuse too much when traffic multiplies within a second. Where a gateway has too few attempts
        for it to mean anything, the recent latency decides.
        """
        fleet = self.fleet
        waiting = 1 + self.attempts.count_waiting(
            now - max(MAX_LATENCY_RATIO * max(fleet.typical_latency, fleet.recent_latency), 1.0)
        )
        if fleet.free_attempts >= MIN_FREE_ATTEMPTS:
            if waiting <= fleet.free_attempts:
                return 0.0
            # With few answers, their rate is mostly chance and alone would refuse one request in three. So
            # it is combined with the recent latency of the answers.
            rate = fleet.answer_rate * math.exp((fleet.last_answer_at - now) / RATE_DECAY_MS)
            prior = LATENCY_PRIOR_ANSWERS if fleet.recent_latency else 0.0
            return (waiting + prior) * 1000 / max(rate + prior * 1000 / max(1.0, fleet.recent_latency), 1e-9)
        answer = max(1.0, fleet.recent_latency * math.exp((fleet.recent_latency_at - now) / MARK_DECAY_MS))
        for attempt in self.attempts.in_flight.values():
            age = now - attempt.sent_at
            if age <= answer:
                break  # attempts sent later are younger and raise it no further
            if not attempt.is_lost:
                answer *= (age / answer) ** RECENT_LATENCY_WEIGHT_RATIO
        return answer * max(1.0, waiting / MIN_FREE_ATTEMPTS) ** 2
