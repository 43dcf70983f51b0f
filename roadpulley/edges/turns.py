"""Turns of client connections that have more commands than they may handle at once."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from roadpulley.core.clock import now_ms

if TYPE_CHECKING:
    from .connection import ClientConnection

TURN_TIME_MS = 5.0  # for all turns between two polls of the sockets


class TurnQueue:
    """Gives connections their turns in the order in which they asked, and polls all sockets in between."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.waiting: deque[ClientConnection] = deque()
        self.is_scheduled = False

    def add(self, connection: ClientConnection) -> None:
        """Let a connection handle further commands after the others had a turn."""
        self.waiting.append(connection)
        self._schedule()

    def _schedule(self) -> None:
        if not self.is_scheduled:
            self.is_scheduled = True
            self.loop.call_soon(self._run)

    def _run(self) -> None:
        self.is_scheduled = False
        ends_at = now_ms() + TURN_TIME_MS
        for _ in range(len(self.waiting)):
            connection = self.waiting.popleft()
            if connection.is_deferred:
                connection.take_turn()
            if now_ms() >= ends_at:
                break
        if self.waiting:
            self._schedule()
