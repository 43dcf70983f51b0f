"""What backends say beside an answer: figures on use, and load reports. A peer sent it: anything may come."""

from __future__ import annotations

import re

NUMBER = re.compile(rb"\d{1,9}(?:\.\d{1,9})?")  # never negative, never huge
MAX_FIGURES = 8


def parse_figures(text: bytes) -> dict[str, float]:
    """The named numbers of a string such as `used=37,cost=4`; what is no such number is left out.

    Of a name that comes twice, neither is taken: it can't be told which one is true.
    """
    found: dict[str, float] = {}
    twice: set[str] = set()
    for part in text.split(b",")[:MAX_FIGURES]:
        name, equals, number = part.partition(b"=")
        if not equals or not name.isalnum() or not NUMBER.fullmatch(number):
            continue
        key = name.decode()
        if key in found:
            twice.add(key)
        found[key] = float(number)
    return {key: value for key, value in found.items() if key not in twice}


def parse_cost(text: bytes) -> float:
    """The true units of a request; 0 where they are not told."""
    return parse_figures(text).get("cost", 0.0) if b"cost=" in text else 0.0
