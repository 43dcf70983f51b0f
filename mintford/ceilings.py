"""Hard ceilings: what all gateways together may send on for a customer, whatever is known of the others.

A ceiling is a store of units that may never be overdrawn. Most of it is split evenly: each gateway spends its
part unseen by the others, also while the counter is silent. The rest is shared: a unit of it is spent only
after it was added to the counter's number, whose total tells the most that the others can have spent.
Where there is no counter, or one gateway, all is split.
"""

from __future__ import annotations

from . import interface as api

SHARED = 0.4  # of a ceiling at most, through the counter
SLIVER = 2.5  # of the largest request: under this an even part of a burst is a sliver
SPLIT = 1.3  # of the quota: what is split carries that much by itself, for when the counter is slow or silent


def share(plan: api.Plan, even: float, unit: float) -> float:
    """The part of a plan's ceiling that is shared. All gateways must know the same: settings alone decide.

    Where many gateways would share it, nothing is: each request would need a call, and what the others spend
    from their own parts would be taken for spent from the shared one.
    """
    if even * plan.ceiling_burst < SLIVER * unit:
        return 0.0
    return max(0.0, min(SHARED, 1 - SPLIT * plan.rate / max(plan.ceiling_rate, 1e-9)))


class Ceiling:
    """Of one customer at one gateway. Amounts are units as guessed; a settlement changes nothing here."""

    def __init__(
        self, plan: api.Plan, even: float, counted: bool, seconds: float, unit: float, rights: float = 0.0
    ) -> None:
        """`seconds`: since this gateway's start; `unit`: the largest request; `rights`: the part by these."""
        self.shared = share(plan, even, unit) if counted and even < 1 and not rights else 0.0
        self.rights, own = rights > 0, (1 - self.shared) * even * (1 - rights)
        self.whole = own * plan.ceiling_rate, own * plan.ceiling_burst  # of this gateway
        self.own_rate, self.own_burst = self.whole  # of this process, which may be one of two
        self.pool_rate, self.pool_burst = self.shared * plan.ceiling_rate, self.shared * plan.ceiling_burst
        # Danger: a restarted gateway does not know what it sent before. Counted as empty at its start, its
        # part can never be spent twice; and of the shared part nothing is there that no total has shown.
        self.own, self.pool = seconds * self.own_rate, 0.0
        # Danger: a counter that lost its numbers proves that all is there. What this gateway has itself taken
        # of the shared part it never takes again.
        self.unused = self.pool_burst

    def take_part(self, part: float, kept: float) -> None:
        """Stand for a part of this gateway, and keep so much of what is there."""
        self.own_rate, self.own_burst = part * self.whole[0], part * self.whole[1]
        self.own, self.unused = self.own * kept, self.unused * kept
        self.pool = min(self.pool, self.unused)

    def inherit(self, old: Ceiling) -> None:
        """Stand in for another plan's: what is owed to that stays owed, here and in the shared part."""
        self.own = self.own_burst - (old.own_burst - old.own)
        self.unused = self.pool_burst - (old.pool_burst - old.unused)
        self.pool = min(self.unused, self.pool_burst - (old.pool_burst - old.pool))

    def fill(self, seconds: float) -> None:
        self.own = min(self.own_burst, self.own + seconds * self.own_rate)
        self.unused = min(self.pool_burst, self.unused + seconds * self.pool_rate)
        self.pool = min(self.unused, self.pool + seconds * self.pool_rate)

    def holds(self, units: float, counted: bool) -> bool:
        """Whether a request may be sent on; `counted`: a total read here holds its units, or a right paid."""
        return self.own >= units or (counted and (self.rights or self.pool >= units))

    def lacks(self, units: float) -> bool:
        """Whether only the shared part could pay, so that the request has to be counted first."""
        return self.own < units <= self.pool

    def take(self, units: float, counted: bool) -> None:
        if (self.own >= units and not self.rights) or not counted:
            self.own -= units
        elif not self.rights:
            self.pool, self.unused = self.pool - units, self.unused - units

    def spent_elsewhere(self, units: float) -> None:
        """Since the last reading: perhaps all of it from the shared part, and perhaps just now."""
        self.pool -= max(0.0, units)

    def met(self, spent: float, before: float, seconds: float) -> None:
        """The least that the shared part holds, by the totals of an epoch `seconds` old and of the last."""
        paid = seconds * self.pool_rate
        least = self.pool_burst - spent - max(0.0, min(before, self.pool_burst) - paid)
        self.pool = min(self.unused, least)

    def forget(self) -> None:
        """The totals may lack what the others spent: only time fills the shared part again."""
        self.pool = min(self.pool, 0.0)
