"""Hard ceilings: what all gateways together may send on for a customer, whatever is known of the others.

A ceiling is a store of units that may never be overdrawn. Most of it is split evenly: each gateway spends its
part unseen by the others, also while the counter is silent. The rest is shared: a unit of it is spent only
after it was added to the counter's number, whose total tells the most that the others can have spent.
Where there is no counter, or one gateway, all is split.
"""

from __future__ import annotations

from . import interface as api

MAX_SHARED_RATIO = 0.4  # of a ceiling at most, through the counter
MIN_EVEN_BURST_RATIO = 2.5  # of the largest request: under this an even part of a burst is a sliver
SPLIT_QUOTA_RATIO = (
    1.3  # of the quota: what is split carries that much by itself, for when the counter is slow or silent
)


def compute_shared_ratio(plan: api.Plan, even: float, unit: float) -> float:
    """The part of a plan's ceiling that is shared. All gateways must know the same: settings alone decide.

    Where many gateways would share it, nothing is: each request would need a call, and what the others spend
    from their own parts would be taken for spent from the shared one.
    """
    if even * plan.ceiling_burst < MIN_EVEN_BURST_RATIO * unit:
        return 0.0
    return max(0.0, min(MAX_SHARED_RATIO, 1 - SPLIT_QUOTA_RATIO * plan.rate / max(plan.ceiling_rate, 1e-9)))


class Ceiling:
    """Of one customer at one gateway. Amounts are units as guessed; a settlement changes nothing here."""

    def __init__(
        self, plan: api.Plan, even: float, counted: bool, seconds: float, unit: float, rights: float = 0.0
    ) -> None:
        """`seconds`: since this gateway's start; `unit`: the largest request; `rights`: the part by these."""
        self.shared_ratio = (
            compute_shared_ratio(plan, even, unit) if counted and even < 1 and not rights else 0.0
        )
        self.uses_rights, own = rights > 0, (1 - self.shared_ratio) * even * (1 - rights)
        self.gateway_limits = own * plan.ceiling_rate, own * plan.ceiling_burst  # of this gateway
        self.own_rate, self.own_burst = self.gateway_limits  # of this process, which may be one of two
        self.shared_rate, self.shared_burst = (
            self.shared_ratio * plan.ceiling_rate,
            self.shared_ratio * plan.ceiling_burst,
        )
        # Danger: a restarted gateway does not know what it sent before. Counted as empty at its start, its
        # part can never be spent twice; and of the shared part nothing is there that no total has shown.
        self.own_tokens, self.shared_tokens = seconds * self.own_rate, 0.0
        # Danger: a counter that lost its numbers proves that all is there. What this gateway has itself taken
        # of the shared part it never takes again.
        self.shared_allowance = self.shared_burst

    def set_gateway_share(self, part: float, kept: float) -> None:
        """Stand for a part of this gateway, and keep so much of what is there."""
        self.own_rate, self.own_burst = part * self.gateway_limits[0], part * self.gateway_limits[1]
        self.own_tokens, self.shared_allowance = self.own_tokens * kept, self.shared_allowance * kept
        self.shared_tokens = min(self.shared_tokens, self.shared_allowance)

    def carry_over_debt(self, old: Ceiling) -> None:
        """Stand in for another plan's: what is owed to that stays owed, here and in the shared part."""
        self.own_tokens = self.own_burst - (old.own_burst - old.own_tokens)
        self.shared_allowance = self.shared_burst - (old.shared_burst - old.shared_allowance)
        self.shared_tokens = min(
            self.shared_allowance, self.shared_burst - (old.shared_burst - old.shared_tokens)
        )

    def refill(self, seconds: float) -> None:
        self.own_tokens = min(self.own_burst, self.own_tokens + seconds * self.own_rate)
        self.shared_allowance = min(self.shared_burst, self.shared_allowance + seconds * self.shared_rate)
        self.shared_tokens = min(self.shared_allowance, self.shared_tokens + seconds * self.shared_rate)

    def can_pay(self, units: float, counted: bool) -> bool:
        """Whether a request may be sent on; `counted`: a total read here holds its units, or a right paid."""
        return self.own_tokens >= units or (counted and (self.uses_rights or self.shared_tokens >= units))

    def needs_shared_part(self, units: float) -> bool:
        """Whether only the shared part could pay, so that the request has to be counted first."""
        return self.own_tokens < units <= self.shared_tokens

    def take(self, units: float, counted: bool) -> None:
        if (self.own_tokens >= units and not self.uses_rights) or not counted:
            self.own_tokens -= units
        elif not self.uses_rights:
            self.shared_tokens, self.shared_allowance = (
                self.shared_tokens - units,
                self.shared_allowance - units,
            )

    def subtract_peer_spending(self, units: float) -> None:
        """Since the last reading: perhaps all of it from the shared part, and perhaps just now."""
        self.shared_tokens -= max(0.0, units)

    def estimate_shared_tokens(self, spent: float, before: float, seconds: float) -> None:
        """The least that the shared part holds, by the totals of an epoch `seconds` old and of the last."""
        paid = seconds * self.shared_rate
        least = self.shared_burst - spent - max(0.0, min(before, self.shared_burst) - paid)
        self.shared_tokens = min(self.shared_allowance, least)

    def reset_shared_tokens(self) -> None:
        """The totals may lack what the others spent: only time fills the shared part again."""
        self.shared_tokens = min(self.shared_tokens, 0.0)
