"""Serves operators over TCP: one call and one answer a connection, which is then closed."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import cast

from roadpulley.core.settings import Address

from .calls import MAX_CALL_BYTES, Call, UnknownCallError, format_error, read_call

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 16  # enough for a few people and their tools
CALL_TIMEOUT_S = 10.0  # a connection that has not sent a whole line by then is closed
BACKLOG = 64

CallHandler = Callable[[Call], bytes]


class OperatorConnection(asyncio.Protocol):
    """One connection of an operator."""

    def __init__(self, operator_server: OperatorServer) -> None:
        self.operator_server, self.received = operator_server, b""
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its timeout."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass of it
        self.timer = self.operator_server.loop.call_later(CALL_TIMEOUT_S, self.transport.abort)
        self.operator_server.add_connection(self)

    def data_received(self, data: bytes) -> None:
        """Answer as soon as a whole line has arrived, or more bytes than a call may have."""
        if self.transport is None or self.transport.is_closing():
            return
        self.received += data[: MAX_CALL_BYTES + 1]
        line, end, _ = self.received.partition(b"\n")
        if end:
            self.send_and_close(self.operator_server.answer_line(line))
        elif len(self.received) > MAX_CALL_BYTES:
            self.send_and_close(self.operator_server.answer_line(self.received))

    def send_and_close(self, answer: bytes) -> None:
        """Send the answer and close the connection after it."""
        assert self.transport is not None
        self.transport.write(answer)
        self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timeout and remove the connection from the server."""
        if self.timer is not None:
            self.timer.cancel()
        self.operator_server.connections.pop(self, None)


class OperatorServer:
    """Listens for operators and passes each call to `handle_call`. Holds no state of the calls."""

    def __init__(self, loop: asyncio.AbstractEventLoop, handle_call: CallHandler) -> None:
        self.loop, self.handle_call = loop, handle_call
        self.connections: dict[OperatorConnection, None] = {}  # in the order in which they connected
        self.server: asyncio.Server | None = None

    async def listen(self, address: Address) -> int:
        """Listen and return the port. Raises OSError if the address can't be bound."""
        self.server = await self.loop.create_server(
            lambda: OperatorConnection(self), *address, backlog=BACKLOG
        )
        return int(self.server.sockets[0].getsockname()[1])

    def add_connection(self, connection: OperatorConnection) -> None:
        """Register a connection. Above the maximum the oldest connection is aborted."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            # If new connections were refused instead, clients that never finish a line would lock out the
            # operator who wants to find out why.
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            if oldest.transport is not None:
                oldest.transport.abort()

    def answer_line(self, line: bytes) -> bytes:
        """The answer to a line. An unknown call and a handler that raises are answered with an error."""
        try:
            call = read_call(line)
        except UnknownCallError as unknown:
            return format_error(str(unknown))
        try:
            return self.handle_call(call)
        except Exception:
            log.exception("%s could not be answered", call.value)
            return format_error("failed; see the log")

    def close(self) -> None:
        """Stop listening and abort the open connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()
