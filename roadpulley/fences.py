"""Fences: numbers that rise with each holding of a duty. What a duty touches refuses one that is too low."""

from __future__ import annotations


class StaleFenceError(Exception):
    """`highest` was taken up before, and is not below the one that was given: somebody else acts, or did."""

    def __init__(self, highest: int) -> None:
        super().__init__(f"fence {highest} was taken up")
        self.highest = highest
