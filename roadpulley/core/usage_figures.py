"""Parses the figures that backends attach to answers: the units a request used, and load reports.

The text comes from a peer and may hold anything, so whatever is not a valid figure is skipped.
"""

from __future__ import annotations

import re

NUMBER = re.compile(rb"\d{1,9}(?:\.\d{1,9})?")  # neither negative nor larger than nine digits
MAX_FIGURES = 8


def parse_figures(text: bytes) -> dict[str, float]:
    """The named numbers of a string such as `used=37,cost=4`. Anything that is not such a number is skipped.

    A name that occurs twice is dropped, because neither value can be trusted.
    """
    figures: dict[str, float] = {}
    duplicates: set[str] = set()
    for part in text.split(b",")[:MAX_FIGURES]:
        name, equals, number = part.partition(b"=")
        if not equals or not name.isalnum() or not NUMBER.fullmatch(number):
            continue
        key = name.decode()
        if key in figures:
            duplicates.add(key)
        figures[key] = float(number)
    return {key: value for key, value in figures.items() if key not in duplicates}


def parse_cost(text: bytes) -> float:
    """The actual units of a request, or 0 if the answer doesn't state them."""
    return parse_figures(text).get("cost", 0.0) if b"cost=" in text else 0.0
