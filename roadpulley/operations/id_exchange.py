"""Tells the other process of an upgrade which ids may have run, while both serve.

Each side sends the ids that it remembers when the link is up, and every further one as soon as its request
has been sent on; so what one process knows the other knows too, however that one ends. What is in flight
between the two is not known: a client would have to lose its connection and to send again within that time.
An earlier release understands no such line, so it gets none: its `hello` has no ids.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

from roadpulley.core.clock import now_ms
from roadpulley.core.recent_requests import RecentRequests

from .handover import RECENT_IDS, VERSION, MessageError, check_name, check_number, check_size

MAX_IDS_PER_MESSAGE = 10_000
MAX_REMAINING_MS = 600_000.0  # a longer time is no deadline of a request


def encode_ids(gateway: str, ids: list[tuple[str, float]]) -> bytes:
    """A message with ids and the milliseconds for which each is still to be remembered."""
    message = {"v": VERSION, "kind": RECENT_IDS, "gateway": gateway, "ids": ids}
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"


def decode_ids(message: dict[str, Any]) -> list[tuple[str, float]]:
    """The ids of a message. Raises MessageError."""
    try:
        return [
            (check_name(request), min(MAX_REMAINING_MS, check_number(remaining_ms)))
            for request, remaining_ms in check_size(message.get("ids", []), list, MAX_IDS_PER_MESSAGE)
        ]
    except (TypeError, ValueError) as error:
        raise MessageError(f"ids: {error}") from error


class IdExchange:
    """The ids of this process and those of the other one. `start` and `stop` follow the link."""

    def __init__(self, gateway: str, recent_requests: RecentRequests) -> None:
        self.gateway, self.recent_requests = gateway, recent_requests
        self.writer: asyncio.StreamWriter | None = None
        self.pending: list[tuple[str, float]] = []

    def list_all(self) -> list[tuple[str, float]]:
        """The ids that this process remembers, those that last longest first if there are too many."""
        remaining = self.recent_requests.list_remaining(now_ms())
        return sorted(remaining, key=lambda entry: -entry[1])[:MAX_IDS_PER_MESSAGE]

    def start(self, writer: asyncio.StreamWriter) -> None:
        """Send every further id to the other process from now on."""
        self.writer = writer
        self.recent_requests.on_added = self._on_added

    def stop(self) -> None:
        """Send what is pending, and nothing any more."""
        self._send_pending()
        self.writer, self.recent_requests.on_added = None, None
        self.pending.clear()

    def receive(self, message: dict[str, Any]) -> None:
        """Remember the ids of the other process. Raises MessageError."""
        now = now_ms()
        for request, remaining_ms in decode_ids(message):
            self.recent_requests.add(request, now, now + remaining_ms, is_own=False)

    def _on_added(self, request: str, remaining_ms: float) -> None:
        if not self.pending:
            asyncio.get_running_loop().call_soon(self._send_pending)
        self.pending.append((request, remaining_ms))

    def _send_pending(self) -> None:
        if self.writer is not None and not self.writer.is_closing():
            for start in range(0, len(self.pending), MAX_IDS_PER_MESSAGE):
                part = self.pending[start : start + MAX_IDS_PER_MESSAGE]
                self.writer.write(encode_ids(self.gateway, part))
        self.pending.clear()
