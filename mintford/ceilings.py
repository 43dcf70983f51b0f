"""Hard ceilings: limits on a customer's units over all gateways that hold even without communication.

A ceiling is a token bucket that may never be overdrawn. Most of it is split evenly: each gateway spends its
own part without the others, even while the counter does not answer. The rest is shared: a unit of it is spent
only after it was added to the counter's number, whose total is an upper bound of what the others have
spent. Without a counter, or with a single gateway, everything is split.
"""

from __future__ import annotations

from . import interface as api

MAX_SHARED_RATIO = 0.4  # of a ceiling, shared through the counter
MIN_EVEN_BURST_RATIO = 2.5  # of the largest request: with a smaller even part of the burst, nothing is shared
# The split part alone can carry this ratio of the quota, for times when the counter is slow or does not
# answer.
SPLIT_QUOTA_RATIO = 1.3


def compute_shared_ratio(plan: api.Plan, even_share: float, max_units: float) -> float:
    """The ratio of a plan's ceiling that is shared. It depends on settings only, so all gateways agree on it.

    Nothing is shared among many gateways. Each request would need a call to the counter, and what the other
    gateways spend from their own parts would count as spent from the shared part.
    """
    if even_share * plan.ceiling_burst < MIN_EVEN_BURST_RATIO * max_units:
        return 0.0
    return max(0.0, min(MAX_SHARED_RATIO, 1 - SPLIT_QUOTA_RATIO * plan.rate / max(plan.ceiling_rate, 1e-9)))


class Ceiling:
    """The ceiling of one customer at one gateway.

    Amounts are the units that requests state. A later settlement of the true units changes nothing here.
    """

    def __init__(
        self,
        plan: api.Plan,
        even_share: float,
        has_counter: bool,
        seconds: float,
        max_units: float,
        rights_ratio: float = 0.0,
    ) -> None:
        """`seconds`: since the gateway's start; `max_units`: of a request; `rights_ratio`: paid by rights."""
        self.shared_ratio = (
            compute_shared_ratio(plan, even_share, max_units)
            if has_counter and even_share < 1 and not rights_ratio
            else 0.0
        )
        self.uses_rights = rights_ratio > 0
        own_ratio = (1 - self.shared_ratio) * even_share * (1 - rights_ratio)
        # Rate and burst of this gateway's own part.
        self.gateway_limits = own_ratio * plan.ceiling_rate, own_ratio * plan.ceiling_burst
        self.own_rate, self.own_burst = self.gateway_limits  # of this process, one of at most two
        self.shared_rate = self.shared_ratio * plan.ceiling_rate
        self.shared_burst = self.shared_ratio * plan.ceiling_burst
        # A restarted gateway does not know what it spent before. Its own part starts empty, so that it can't
        # be spent twice, and the shared part holds nothing until a total has shown it.
        self.own_tokens = seconds * self.own_rate
        self.shared_tokens = 0.0
        # A counter that lost its numbers makes the whole shared part look unspent. The allowance keeps this
        # gateway from spending again what it has itself taken of the shared part.
        self.shared_allowance = self.shared_burst

    def set_gateway_share(self, gateway_share: float, kept_ratio: float) -> None:
        """Serve a share of this gateway, and keep this ratio of the tokens and the allowance."""
        self.own_rate = gateway_share * self.gateway_limits[0]
        self.own_burst = gateway_share * self.gateway_limits[1]
        self.own_tokens *= kept_ratio
        self.shared_allowance *= kept_ratio
        self.shared_tokens = min(self.shared_tokens, self.shared_allowance)

    def carry_over_debt(self, old: Ceiling) -> None:
        """Take over the debt of another plan's ceiling, in the own and in the shared part."""
        self.own_tokens = self.own_burst - (old.own_burst - old.own_tokens)
        self.shared_allowance = self.shared_burst - (old.shared_burst - old.shared_allowance)
        self.shared_tokens = min(
            self.shared_allowance, self.shared_burst - (old.shared_burst - old.shared_tokens)
        )

    def refill(self, seconds: float) -> None:
        """Refill both parts for the time that has passed."""
        self.own_tokens = min(self.own_burst, self.own_tokens + seconds * self.own_rate)
        self.shared_allowance = min(self.shared_burst, self.shared_allowance + seconds * self.shared_rate)
        self.shared_tokens = min(self.shared_allowance, self.shared_tokens + seconds * self.shared_rate)

    def compute_full_after(self) -> float:
        """The seconds of refill until nothing is owed and the record holds no more than a new one."""
        own = (self.own_burst - self.own_tokens) / self.own_rate if self.own_rate else 0.0
        owed_to_shared = self.shared_burst - self.shared_allowance
        return max(own, owed_to_shared / self.shared_rate if self.shared_rate else 0.0)

    def can_pay(self, units: float, counted: bool) -> bool:
        """Whether a request may be sent.

        `counted`: a total that was read contains its units, or a right has been spent for it.
        """
        if counted and self.uses_rights:
            return True
        return self.get_own_available() >= units or (counted and self.get_shared_available() >= units)

    def needs_shared_part(self, units: float) -> bool:
        """Whether only the shared part can pay. The request's units must be added to the counter first."""
        return self.get_own_available() < units <= self.get_shared_available()

    def get_own_available(self) -> float:
        """Units that the own part can pay. A debt of this gateway to the shared part is paid first."""
        return self.own_tokens + min(0.0, self.shared_allowance)

    def get_shared_available(self) -> float:
        """Units that the shared part can pay. A debt of the own part is paid first.

        A lowered ceiling leaves a debt in the part that paid. If the other part paid on, the customer would
        spend more than the ceiling has.
        """
        return self.shared_tokens + min(0.0, self.own_tokens)

    def take(self, units: float, counted: bool) -> None:
        """Spend the units of a request, from the shared part only if they are `counted`."""
        if not counted or (self.get_own_available() >= units and not self.uses_rights):
            self.own_tokens -= units
        elif not self.uses_rights:
            self.shared_tokens -= units
            self.shared_allowance -= units

    def subtract_peer_spending(self, units: float) -> None:
        """Subtract units that other gateways spent since the last reading.

        In the worst case all of them came from the shared part, just now.
        """
        self.shared_tokens -= max(0.0, units)

    def estimate_shared_tokens(self, spent: float, last_epoch_spent: float, seconds: float) -> None:
        """Set the shared part to its lower bound, by totals of this epoch, `seconds` old, and of the last."""
        refilled = seconds * self.shared_rate
        least = self.shared_burst - spent - max(0.0, min(last_epoch_spent, self.shared_burst) - refilled)
        self.shared_tokens = min(self.shared_allowance, least)

    def reset_shared_tokens(self) -> None:
        """Empty the shared part, as the totals may lack what others spent. Only time refills it."""
        self.shared_tokens = min(self.shared_tokens, 0.0)
