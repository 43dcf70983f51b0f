"""The handover link between two processes of one gateway, over a Unix socket in the temporary folder.

It makes no decisions: the decision module divides the state, and the lifecycle gets an event when a successor
serves or is lost. The link is used only if the process has inherited its listening socket, because only then
can another process follow it.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
import os
import socket
import tempfile
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from mintford import interface as api
from roadpulley.core.clock import now_ms, wall_offset_ms
from roadpulley.core.driver import Driver

from .handover import (
    HELLO,
    MAX_MESSAGE_BYTES,
    PARTIAL_STATE,
    RECENT_IDS,
    REMAINING_STATE,
    SERVING,
    MessageError,
    decode_message,
    encode_message,
    parse_message,
)
from .id_exchange import IdExchange

log = logging.getLogger(__name__)

REPLY_TIMEOUT_S = 0.7  # the peer is on the same machine, and no client waits during the handover
HALF_SHARE = 0.5
# The old process gets SIGTERM within 6 s of the new one's start, and SIGKILL at most 3.7 s later.
MAX_OVERLAP_MS = 9_700.0


def socket_path(gateway: str) -> str:
    """The path of a gateway's socket. The name is hashed, as it may exceed the limit of about 100 bytes."""
    digest = hashlib.blake2b(gateway.encode(), digest_size=8).hexdigest()
    return os.path.join(tempfile.gettempdir(), f"gateway-{digest}.link")


@dataclass
class Predecessor:
    """A new process's connection to the process that served before it."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Link:
    """The connections of one process to its predecessor and to its successor."""

    def __init__(
        self,
        gateway: str,
        driver: Driver,
        on_successor_change: Callable[[bool], object],
        path: str | None = None,
    ) -> None:
        """`on_successor_change` is called with True when a successor serves, with False when it is lost."""
        self.gateway, self.driver, self.on_successor_change = gateway, driver, on_successor_change
        self.path = path or socket_path(gateway)
        self.id_exchange = IdExchange(gateway, driver.recent_requests)
        self.predecessor: Predecessor | None = None
        self.successor: asyncio.StreamWriter | None = None
        self.state_to_send: api.HandoverState | None = None
        self.server: asyncio.Server | None = None
        self.watch_task: asyncio.Task[None] | None = None

    # ---- to the predecessor ----

    async def take_over(self) -> None:
        """Take over what a predecessor gives up, if there is one. Must precede accepting clients."""
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                reader, writer = await asyncio.open_unix_connection(self.path, limit=MAX_MESSAGE_BYTES)
        except (FileNotFoundError, ConnectionRefusedError):
            return log.info("no process before this one")
        except OSError as error:  # includes TimeoutError
            return self.start_without_state(str(error) or "no answer")
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                writer.write(encode_message(HELLO, self.gateway, ids=[]))
                line = await reader.readline()
            state = decode_message(line, PARTIAL_STATE, self.gateway, now_ms(), wall_offset_ms())
            assert state is not None
            self.receive_ids(line, writer)
        except (OSError, ValueError, MessageError) as error:  # ValueError: the line exceeds the limit
            writer.close()
            return self.start_without_state(str(error) or "no answer")
        self.predecessor = Predecessor(reader, writer)
        self.driver.handle_event(api.GatewayShareChanged(HALF_SHARE))
        self.driver.handle_event(api.HandoverReceived(state))
        log.info("half of %d customers' leases taken over", len(state.customers))

    def start_without_state(self, reason: str) -> None:
        """Start beside a process that accepted the connection but sent no usable state.

        That process may continue to spend the whole of the gateway's own part of each ceiling. This process
        therefore has nothing of these parts until the other one must have exited. Otherwise ceilings would be
        exceeded.
        """
        log.warning("nothing could be taken over: %s", reason)
        self.driver.handle_event(
            api.HandoverReceived(api.HandoverState(now_ms() + MAX_OVERLAP_MS, (), (), 0.0, 0.0))
        )

    async def announce_serving(self) -> None:
        """Report to the predecessor that this process accepts clients, so that it may be stopped."""
        if self.predecessor is None:
            return await self.listen()
        self.predecessor.writer.write(encode_message(SERVING, self.gateway))
        self.watch_task = asyncio.get_running_loop().create_task(self.watch_predecessor(self.predecessor))

    async def watch_predecessor(self, predecessor: Predecessor) -> None:
        """Wait until the predecessor exits, take over its remaining state, and listen for a successor."""
        remaining: api.HandoverState | None = None
        try:
            line = await self.read_beyond_ids(predecessor.reader)
            if line:
                remaining = decode_message(line, REMAINING_STATE, self.gateway, now_ms(), wall_offset_ms())
        except (OSError, ValueError, MessageError) as error:
            log.warning("the remaining state could not be taken over: %s", error)
        predecessor.writer.close()
        self.predecessor = None
        self.id_exchange.stop()
        self.driver.handle_event(api.GatewayShareChanged(1.0))
        if remaining is not None:
            self.driver.handle_event(api.HandoverReceived(remaining))
        log.info("the process before has gone, %s", "all is taken over" if remaining else "with what it held")
        await self.listen()

    # ---- to the successor ----

    async def listen(self) -> None:
        """Listen for a successor at the path of the gateway's socket, in place of an earlier process.

        Not called while the predecessor is running. If this process then exited before the predecessor, the
        next process would find no listener and start as if it were the only one.
        """
        own_path = f"{self.path}.{os.getpid()}"
        try:
            with suppress(FileNotFoundError):
                os.unlink(own_path)
            bound = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            bound.bind(own_path)
            self.server = await asyncio.start_unix_server(
                self.serve_successor, sock=bound, limit=MAX_MESSAGE_BYTES
            )
            os.rename(own_path, self.path)  # atomic; also replaces the socket file of an earlier process
        except OSError as error:
            log.warning("no successor can take over: %s: %s", own_path, error)

    async def serve_successor(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Hand half of the state to a successor, and follow its messages until the connection ends."""
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                hello = await reader.readline()
                decode_message(hello, HELLO, self.gateway, now_ms())
        except (OSError, ValueError, MessageError) as error:
            log.warning("connection on the link is not from a process of this gateway: %s", error or "silent")
            return writer.close()
        if self.successor is not None:
            return writer.close()  # only one successor at a time
        self.successor = writer
        try:
            if (state := self.split_state(HALF_SHARE)) is None:
                return
            takes_ids = self.receive_ids(hello, writer)
            ids = self.id_exchange.list_all() if takes_ids else None
            writer.write(encode_message(PARTIAL_STATE, self.gateway, state, wall_offset_ms(), ids))
            while line := await self.read_beyond_ids(reader):
                decode_message(line, SERVING, self.gateway, now_ms())
                self.on_successor_change(True)
        except (OSError, ValueError, MessageError) as error:
            log.warning("the link to the next process failed: %s", error)
        finally:
            writer.close()
            if self.successor is writer:
                self.successor = None
                self.id_exchange.stop()
                self.on_successor_change(False)
                self.driver.handle_event(api.GatewayShareChanged(1.0))
                log.info("the next process has gone: this one stands for the whole again")

    # ---- ids that may have run ----

    def receive_ids(self, line: bytes, writer: asyncio.StreamWriter) -> bool:
        """Exchange ids from now on, if the peer's first message says that it does. Raises MessageError."""
        message = parse_message(line, self.gateway)
        if "ids" not in message:
            return False  # an earlier release
        self.id_exchange.receive(message)
        self.id_exchange.start(writer)
        return True

    async def read_beyond_ids(self, reader: asyncio.StreamReader) -> bytes:
        """The next line that does not hold ids; those before it are remembered. Raises MessageError."""
        while line := await reader.readline():
            message = parse_message(line, self.gateway)
            if message.get("kind") != RECENT_IDS:
                return line
            self.id_exchange.receive(message)
        return b""

    def split_state(self, share: float) -> api.HandoverState | None:
        """Reduce this process to a share of the gateway. Return the state that it gives up."""
        self.state_to_send = None
        self.driver.hand_over = self.set_state_to_send
        self.driver.handle_event(api.GatewayShareChanged(share))
        state, self.state_to_send = self.state_to_send, None
        return state

    def set_state_to_send(self, state: api.HandoverState) -> None:
        """Receive the state from the driver, which calls it within `split_state`."""
        self.state_to_send = state

    # ---- exit ----

    async def close(self) -> None:
        """Close the link and send the remaining state to the successor, if one is connected."""
        if self.server is not None:
            self.server.close()
        if self.watch_task is not None:
            self.watch_task.cancel()
        writer, self.successor = self.successor, None
        self.id_exchange.stop()
        if writer is None or (state := self.split_state(0.0)) is None:
            return
        writer.write(encode_message(REMAINING_STATE, self.gateway, state, wall_offset_ms()))
        with suppress(OSError):  # includes TimeoutError
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                await writer.drain()
        writer.close()
