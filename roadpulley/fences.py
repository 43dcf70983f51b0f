"""Fencing tokens: numbers that increase with each lease of a duty.

A resource that a duty writes to rejects tokens that are lower than the highest one it has accepted.
"""

from __future__ import annotations


class StaleFenceError(Exception):
    """The fencing token is too low: `highest` was accepted before, so another holder has acted since."""

    def __init__(self, highest: int) -> None:
        super().__init__(f"fence {highest} was taken up")
        self.highest = highest
