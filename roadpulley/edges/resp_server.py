"""The RESP server that clients connect to.

It drives its sockets directly instead of through asyncio's transports, to accept connections only while there
is room for them and to bound the memory that each may use.
"""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from collections import Counter as Tally
from typing import Protocol

from roadpulley.core.budget import MemoryBudget
from roadpulley.core.clock import Timer, Timers, now_ms
from roadpulley.core.command import Command, ReplySlot
from roadpulley.core.request_stats import RequestStats
from roadpulley.core.resp import MAX_ANSWER_BYTES, MAX_BODY_BYTES, MAX_VALUE_BYTES

from .close_reasons import CloseReason
from .connection import ClientConnection
from .request_parser import ATTRIBUTES_PATTERN, CLASS_PATTERN, RequestParser
from .slots import MAX_HIGH_WATER_BYTES, MIN_HIGH_WATER_BYTES
from .turns import TurnQueue

log = logging.getLogger(__name__)

READ_BUFFER_BYTES = 32 * 1024
SMALL_READ_BYTES = 2 * 1024  # well over a command without a value
BACKLOG = 1024  # connections that wait in the kernel, without a descriptor of this process
MAX_ACCEPTS_PER_WAKEUP = 32  # so that accepted connections are read in between
MAX_SHARED_ACCEPTS_PER_WAKEUP = 2  # so that a burst of connections is spread over the workers
SWEEP_INTERVAL_MS = 250.0
LOG_INTERVAL_MS = 1_000.0
MIN_EVICTABLE_IDLE_MS = 2_000.0  # connections idle for longer may be closed to make room
NEW_CONNECTION_GRACE_MS = 100.0  # a new connection has this long to send before it may be closed to make room
# At most the connection limit divided by this may linger until their clients have read the end.
MAX_LINGERING_DIVISOR = 4
ACCEPT_RETRY_INTERVAL_MS = 20.0  # after running out of connections or descriptors


class Handler(Protocol):
    """What the server needs of the driver of the decision module."""

    is_shedding: bool  # some classes are refused before their requests are parsed

    def is_crowded(self) -> bool: ...

    def encode_early_refusal(self, request_class: str) -> bytes | None: ...

    def on_command(self, command: Command, slot: ReplySlot) -> None: ...

    def on_client_gone(self, request: str) -> None: ...

    def may_have_run(self, request: str) -> bool: ...


class RespServer:
    """Accepts clients, and bounds their connections and memory.

    `memory_bytes`: for unsent replies; half as much again for each of long request bodies, short ones, and
    values that are held.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        timers: Timers,
        handler: Handler,
        parser: RequestParser,
        max_connections: int,
        memory_bytes: int,
        request_stats: RequestStats | None = None,
    ) -> None:
        self.loop, self.timers, self.handler, self.max_connections = loop, timers, handler, max_connections
        self.request_stats = request_stats or RequestStats()
        self.set_parser(parser)
        self.streaming_replies = 0  # replies being streamed on all connections
        self.body_budget = MemoryBudget(max(MAX_BODY_BYTES, memory_bytes // 2))
        # Bodies of up to MAX_VALUE_BYTES do not wait behind longer ones.
        self.short_body_budget = MemoryBudget(max(MAX_VALUE_BYTES, memory_bytes // 2))
        # Received and not parsed, on all connections.
        self.max_unparsed_bytes, self.unparsed_bytes = memory_bytes // 4, 0
        self.held_value_budget = MemoryBudget(max(MAX_ANSWER_BYTES, memory_bytes // 2))
        # Replies that clients have not read yet, on all connections.
        self.max_unsent_bytes, self.unsent_bytes = memory_bytes, 0
        # Shared by all connections: each consumes at once what it has read.
        self.read_buffer = bytearray(READ_BUFFER_BYTES)
        self.read_view = memoryview(self.read_buffer)
        self.connections: dict[ClientConnection, None] = {}  # least recently used first
        # Subset of `connections` that never sent a valid request, the oldest first.
        self.without_request: dict[ClientConnection, None] = {}
        self.turns = TurnQueue(loop)
        self.lingering: dict[ClientConnection, None] = {}  # subset of `connections` in state LINGERING
        self.refusals: Tally[str] = Tally()  # by reason, since the last log line
        self.last_log_at = 0.0
        self.draining = self.accepting = self.has_shared_listener = False
        self.drain_began_at = -math.inf  # the last drain
        self.answers_ping = True
        self.listener: socket.socket | None = None
        self.accept_timer: Timer | None = None  # while accepting is paused
        self.all_closed = asyncio.Event()
        self.all_closed.set()

    async def listen(self, host: str, port: int, given: socket.socket | None = None) -> int:
        """Start to accept connections; returns the port.

        `given`: a bound socket that is shared with other processes, instead of a new one.
        """
        self.has_shared_listener = given is not None
        self.listener = given or socket.create_server((host, port), backlog=BACKLOG)
        self.listener.setblocking(False)
        self._resume_accepting()
        self.sweep()
        return int(self.listener.getsockname()[1])

    # ---- accepting ----

    def _resume_accepting(self) -> None:
        self.accept_timer = None
        if self.listener is not None and not self.accepting:
            self.accepting = True
            if self.has_shared_listener:
                # The supervisor shuts the shared socket down once no worker accepts. If that races with the
                # start of this worker, it would serve but never get a connection. Calling listen again
                # reopens the socket.
                self.listener.listen(BACKLOG)
            self.loop.add_reader(self.listener.fileno(), self._accept)

    def _pause_accepting(self) -> None:
        """Leave new connections in the kernel's queue for a while.

        They cost nothing there; accepting and closing them would fail their requests.
        """
        if self.listener is not None and self.accepting:
            self.accepting = False
            self.loop.remove_reader(self.listener.fileno())
            self.accept_timer = self.timers.call_at(
                now_ms() + ACCEPT_RETRY_INTERVAL_MS, self._resume_accepting
            )

    def _accept(self) -> None:
        for iteration in range(
            MAX_SHARED_ACCEPTS_PER_WAKEUP if self.has_shared_listener else MAX_ACCEPTS_PER_WAKEUP
        ):
            # Only in the first iteration is a connection known to wait, so only then is another evicted for
            # it.
            if (iteration and len(self.connections) >= self.max_connections) or not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Accept the next connection; returns False if none waits or there is no room for it yet."""
        if self.listener is None:
            return False
        if len(self.connections) >= self.max_connections and not self.evict_idle_connection():
            self._pause_accepting()
            return False
        try:
            accepted, _address = self.listener.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except ConnectionAbortedError:
            return True  # the client left the queue; another may wait
        except OSError as error:
            self.refusals[f"not accepted: {error.strerror}"] += 1
            self._pause_accepting()
            return False
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = ClientConnection(self, accepted)
        self.connections[connection] = self.without_request[connection] = None
        self.all_closed.clear()
        if self.draining:
            connection.close_for_drain()
        return True

    def evict_idle_connection(self) -> bool:
        """Close an unused connection to make room; returns whether one was closed.

        Tried in order: a lingering one, one without a request yet, the least recently used idle one.
        """
        if ended := next(iter(self.lingering), None):
            ended.close(CloseReason.LINGER_ENDED)
            return True
        now = now_ms()
        oldest = next((c for c in self.without_request if c.is_idle), None)
        if oldest is not None and now - oldest.last_used_at > NEW_CONNECTION_GRACE_MS:
            oldest.close_if_idle(room=True)
            if oldest.is_closed:
                return True
        least_recent = next(
            (c for c in self.connections if c.is_idle and c not in self.without_request), None
        )
        if least_recent is not None and now - least_recent.last_used_at > MIN_EVICTABLE_IDLE_MS:
            least_recent.close_if_idle(room=True)
        return least_recent is not None and least_recent.is_closed

    # ---- memory ----

    def get_body_budget(self, size: int) -> MemoryBudget:
        """The budget of request bodies of this size."""
        return self.body_budget if size > MAX_VALUE_BYTES else self.short_body_budget

    def get_read_size(self) -> int:
        """How many bytes to read at once. Few of each connection, where many have sent what must wait."""
        return READ_BUFFER_BYTES if self.unparsed_bytes < self.max_unparsed_bytes else SMALL_READ_BYTES

    # ---- connections ----

    def note_request(self, connection: ClientConnection) -> None:
        """The connection sent a valid request."""
        self.without_request.pop(connection, None)

    def note_use(self, connection: ClientConnection) -> None:
        """Mark the connection as the most recently used."""
        connection.last_used_at = now_ms()
        if connection in self.connections:
            del self.connections[connection]
            self.connections[connection] = None

    def refuse_early(self, args: list[bytes]) -> tuple[str, bytes] | None:
        """Class and refusal of a request whose class is shed before parsing, or None.

        Only for attributes in the parser's cache, so that invalid requests still get their own error.
        """
        match = ATTRIBUTES_PATTERN.fullmatch(args[3]) if len(args) > 3 else None
        if match is not None and self.may_have_run(args[2]):
            return None
        validated = (
            self.parser.known_attributes.get((args[0], *match.group(2, 3, 7, 8, 9))) if match else None
        )
        reply = self.handler.encode_early_refusal(validated[0].name) if validated else None
        return (validated[0].name, reply) if validated and reply else None

    def may_have_run(self, request: bytes) -> bool:
        """Whether an earlier request of this id may have run, so that it must not be refused."""
        return self.handler.may_have_run(request.decode(errors="replace"))

    def find_class(self, args: list[bytes]) -> str | None:
        """The class that an invalid request names, if it is or was configured."""
        match = CLASS_PATTERN.search(args[3]) if len(args) > 3 else None
        name = match[1].decode(errors="replace") if match else ""
        return name if name in self.request_stats.answers else None

    def high_water_bytes(self) -> int:
        """High-water mark of each streamed reply. All together may use half of the memory for replies."""
        return max(
            MIN_HIGH_WATER_BYTES,
            min(MAX_HIGH_WATER_BYTES, self.max_unsent_bytes // (2 * max(1, self.streaming_replies))),
        )

    def add_lingering(self, connection: ClientConnection) -> None:
        """Register a lingering connection; closes the oldest one beyond the limit."""
        self.without_request.pop(connection, None)
        self.lingering[connection] = None
        if len(self.lingering) > self.max_connections // MAX_LINGERING_DIVISOR:
            next(iter(self.lingering)).close(CloseReason.LINGER_ENDED)

    def remove_connection(self, connection: ClientConnection) -> None:
        """Forget a closed connection."""
        self.connections.pop(connection, None)
        self.without_request.pop(connection, None)
        self.lingering.pop(connection, None)
        if not self.connections:
            self.all_closed.set()

    def close_slowest_reader(self) -> None:
        """Close the connection whose client has read nothing for the longest time, to bound memory."""
        # Streamed replies are bounded by their high-water mark instead.
        candidates = (c for c in self.connections if c.unsent and not c.streaming_replies)
        slowest = min(candidates, key=lambda c: c.last_progress_at, default=None)
        if slowest is not None:
            self.refusals["client does not read its replies"] += 1
            slowest.close(CloseReason.REPLIES_UNREAD)

    def sweep(self) -> None:
        """Check the timeouts of all connections and log refusals, periodically."""
        now = now_ms()
        for connection in list(self.connections):
            connection.check_timeouts(now)
        if self.refusals and now - self.last_log_at >= LOG_INTERVAL_MS:  # one line for all refusals
            log.warning("refused: %s", dict(self.refusals))
            self.refusals.clear()
            self.last_log_at = now
        self.timers.call_at(now + SWEEP_INTERVAL_MS, self.sweep)

    def set_parser(self, parser: RequestParser) -> None:
        """Use another parser from the next request on. Statistics of removed classes are kept."""
        self.parser = parser
        for name in parser.classes:
            self.request_stats.add_class(name.decode())

    def set_admission(self, answers_ping: bool, accepts: bool, keeps_idle: bool) -> None:
        """Change what the server offers to its clients.

        `answers_ping`: whether PING is answered with PONG. `accepts`: whether connections are accepted; False
        is final. `keeps_idle`: whether idle connections stay open; if not, the server drains, and each
        connection is closed once it has its answers.
        """
        if not keeps_idle and not self.draining:
            self.drain_began_at = now_ms()
        self.answers_ping, self.draining = answers_ping, not keeps_idle
        if not keeps_idle:
            for connection in list(self.connections):
                connection.close_for_drain()
        if not accepts and self.listener is not None:
            # Closing a listening socket resets the connections in its queue, with the requests that they sent
            # already. So they are accepted first. Those at a shared socket are accepted by other processes.
            while not self.has_shared_listener and self._accept_one():
                pass
            self._pause_accepting()
            self.listener.close()
            self.listener = None

    def count_moving_values(self, now: float) -> int:
        """The number of connections on which a long value is under way."""
        return sum(connection.is_passing_value(now) for connection in self.connections)

    def finish(self) -> None:
        """Before the process ends, read what has arrived and handle no later commands."""
        for connection in list(self.connections):
            connection.finish_commands()
