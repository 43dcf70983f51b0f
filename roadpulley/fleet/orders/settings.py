"""Reads `[orders]` of `fleet.toml`: the timing of followers, and whether orders outlive a partition."""

from __future__ import annotations

from dataclasses import dataclass

from roadpulley.checks import Table, ValidationError

from .follower import FollowerSettings

CUT_OFF_CHOICES = ("keep", "let-go")


@dataclass(frozen=True)
class OrderSettings:
    """`open_lease_s` is the lease of rights to concurrency limits; every request has to end within it."""

    follower_settings: FollowerSettings
    open_lease_s: float


def read_order_settings(table: Table, drift: float) -> OrderSettings:
    """Raises ValidationError."""
    poll_s, holds_s = table.read_number("poll_s", 0.3, 0.02, 60), table.read_number("holds_s", 5.0, 0.1, 3600)
    cut_off = table.read_text("cut_off", "keep", choices=CUT_OFF_CHOICES)
    lease_s = table.read_number("open_lease_s", 15.0, 0.5, 600)
    table.reject_unknown_keys()
    if holds_s < 4 * poll_s:
        remedy = f"give {4 * poll_s:g} or more: three polls may be lost"
        raise ValidationError(
            table.path_of("holds_s"), f"is {holds_s:g}, and polls are sent every {poll_s:g} s", remedy
        )
    return OrderSettings(FollowerSettings(poll_s, holds_s, cut_off == "keep", drift), lease_s)
