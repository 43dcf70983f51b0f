"""The share of a gateway that this process serves over time, while two processes share one gateway.

A customer that has sent no request to this process has no record here. The own part of its ceiling follows
from the shares that this process has served: it refills at the rate of the share at that time, up to the
burst of that share. An increase adds room, but no units. Otherwise this process would spend units that the
other process of the gateway may have spent before.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

MAX_SHARE_CHANGES = 8  # older ones are forgotten, as if the process had started with the oldest one kept


@dataclass(frozen=True, slots=True)
class ShareChange:
    """From `at` (ms) on this process serves `share`. It kept `kept_ratio` of the tokens that it held."""

    at: float
    share: float
    kept_ratio: float


class GatewayShare:
    """The current share, from 0 to 1, and the changes that led to it."""

    def __init__(self) -> None:
        self.current = 1.0
        self.changes: deque[ShareChange] = deque(maxlen=MAX_SHARE_CHANGES)

    def restart(self, since: float) -> None:
        """Begin anew: customers without a record have held nothing of their ceilings at `since` (ms)."""
        self.changes.clear()
        self.changes.append(ShareChange(since, self.current, 0.0))

    def get_lowest(self) -> float:
        """The lowest share since the beginning."""
        return min(change.share for change in self.changes)

    def change(self, now: float, share: float) -> float:
        """Serve another share from now on. Return the ratio of its tokens that this process keeps."""
        kept_ratio = min(1.0, share / (self.current or share or 1.0))
        self.current = share
        self.changes.append(ShareChange(now, share, kept_ratio))
        return kept_ratio

    def get_complete_since(self) -> float:
        """Since when (ms) this process knows all spending of the whole gateway.

        Before an increase, the other process may have spent units of customers without a record here.
        """
        complete_since = self.changes[0].at
        for previous, change in zip(self.changes, list(self.changes)[1:], strict=False):
            if change.share > previous.share:
                complete_since = change.at
        return complete_since

    def compute_own_tokens(self, now: float, own_rate: float, own_burst: float) -> float:
        """Units of the own part of a ceiling for a customer without a record.

        `own_rate` (units/s) and `own_burst` belong to the whole gateway. Negative before the first change.
        """
        tokens = 0.0
        ends = [change.at for change in self.changes][1:] + [now]
        for change, end in zip(self.changes, ends, strict=True):
            seconds = (end - change.at) / 1000
            tokens *= change.kept_ratio
            tokens = min(change.share * own_burst, tokens + seconds * change.share * own_rate)
        return tokens
