"""The record of an open request. The driver and the parts that it consists of share it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .clock import Timer
from .command import Command, ReplySlot
from .connection import Attempt

EndCallback = Callable[[], None]


class Request:
    """An open request, which still needs its final answer."""

    __slots__ = (
        "end_callbacks",
        "has_effects",
        "is_metered",
        "is_streaming",
        "received_at",
        "command",
        "meter_record",
        "expires_at",
        "open_attempts",
        "possible_runs",
        "attempt_count",
        "attempt_limit",
        "slot",
        "timer",
    )

    def __init__(self, command: Command, slot: ReplySlot, expires_at: float) -> None:
        self.command, self.slot, self.expires_at = command, slot, expires_at
        self.received_at = expires_at - command.timeout_ms
        self.attempt_count, self.attempt_limit = 0, 1  # the limit is the one in effect at its arrival
        self.is_streaming = False  # a long value is being sent to the client
        self.open_attempts: dict[int, Attempt] = {}  # by number
        self.timer: Timer | None = None  # for its deadline
        self.has_effects = False  # a second run may change something
        self.possible_runs = 0  # attempts that were sent whole, without those that certainly didn't run
        self.is_metered = False
        self.meter_record: Any = None  # from `UsageMeter.record_sent`
        self.end_callbacks: list[EndCallback] = []  # called at its end, for example to return rights
