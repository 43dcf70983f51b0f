"""The address where operators call: one line a connection, one answer, a close."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import cast

from roadpulley.core.settings import Address

from .calls import LONGEST_CALL, Call, Unknown, error, read_call

log = logging.getLogger(__name__)

MOST_CALLERS = 16  # connections at once: a few people and their tools
SILENT_S = 10.0  # a caller that has not finished its line by then is closed
BACKLOG = 64

Answer = Callable[[Call], bytes]


class Caller(asyncio.Protocol):
    """One connection of an operator."""

    def __init__(self, address: OperatorAddress) -> None:
        self.address, self.line = address, b""
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.timer = self.address.loop.call_later(SILENT_S, self.transport.abort)
        self.address.take_in(self)

    def data_received(self, data: bytes) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self.line += data[: LONGEST_CALL + 1]
        line, end, _ = self.line.partition(b"\n")
        if end:
            self.say(self.address.reply(line))
        elif len(self.line) > LONGEST_CALL:
            self.say(self.address.reply(self.line))

    def say(self, reply: bytes) -> None:
        assert self.transport is not None
        self.transport.write(reply)
        self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.address.callers.pop(self, None)


class OperatorAddress:
    """Listens for operators. What a call does is `answer`'s; nothing is kept of it here."""

    def __init__(self, loop: asyncio.AbstractEventLoop, answer: Answer) -> None:
        self.loop, self.answer = loop, answer
        self.callers: dict[Caller, None] = {}  # the longest connected first
        self.server: asyncio.Server | None = None

    async def listen(self, address: Address) -> int:
        """Raises OSError where the address can't be had; gives the port."""
        self.server = await self.loop.create_server(lambda: Caller(self), *address, backlog=BACKLOG)
        return int(self.server.sockets[0].getsockname()[1])

    def take_in(self, caller: Caller) -> None:
        self.callers[caller] = None
        if len(self.callers) > MOST_CALLERS:
            # Danger: callers that never finish a line would keep out the one who wants to know why.
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            if oldest.transport is not None:
                oldest.transport.abort()

    def reply(self, line: bytes) -> bytes:
        try:
            call = read_call(line)
        except Unknown as unknown:
            return error(str(unknown))
        try:
            return self.answer(call)
        except Exception:
            log.exception("%s could not be answered", call.value)
            return error("failed; see the log")

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for caller in list(self.callers):
            if caller.transport is not None:
                caller.transport.abort()
