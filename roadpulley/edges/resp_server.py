"""The RESP server that clients connect to.

The sockets are driven directly: connections that come by hundreds are taken in as there is room for them, and
what each may make the process hold is bounded.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter as Tally
from typing import Protocol

from roadpulley.core.budget import MemoryBudget
from roadpulley.core.clock import Timer, Timers, now_ms
from roadpulley.core.command import Command, ReplySlot
from roadpulley.core.request_stats import RequestStats
from roadpulley.core.resp import MAX_BODY_BYTES

from .connection import ClientConnection
from .request_parser import ATTRIBUTES_PATTERN, CLASS_PATTERN, RequestParser
from .slots import MAX_HIGH_WATER_BYTES, MIN_HIGH_WATER_BYTES

log = logging.getLogger(__name__)

READ_BUFFER_BYTES = 32 * 1024
BACKLOG = 1024  # connections that wait to be taken in, at no cost in descriptors
MAX_ACCEPTS_PER_WAKEUP = 32  # so that those taken in are also read between
MAX_SHARED_ACCEPTS_PER_WAKEUP = 2  # so that a rush does not all go to the worker that woke first
SWEEP_INTERVAL_MS, LOG_INTERVAL_MS = 250.0, 1_000.0
MIN_EVICTABLE_IDLE_MS = 2_000.0  # unused for this long: may be closed when room is short
NEW_CONNECTION_GRACE_MS = 100.0  # in which a new connection is let say something, however short room is
MAX_LINGERING_DIVISOR = (
    4  # of the bound on connections: so many may stand only until their clients have seen the end
)
ACCEPT_RETRY_INTERVAL_MS = 20.0  # until there may be room, or a descriptor, again


class Handler(Protocol):
    is_shedding: bool  # some requests are turned away at the door

    def encode_early_refusal(self, request_class: str) -> bytes | None: ...

    def on_command(self, command: Command, slot: ReplySlot) -> None: ...

    def on_client_gone(self, request: str) -> None: ...


class RespServer:
    """Listens, and bounds the connections of clients and what they may hold."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        timers: Timers,
        handler: Handler,
        parser: RequestParser,
        max_connections: int,
        memory_bytes: int,
        tallies: RequestStats | None = None,
    ) -> None:
        self.loop, self.timers, self.handler, self.max_connections = loop, timers, handler, max_connections
        self.tallies = tallies or RequestStats()
        self.set_parser(parser)
        self.streaming_replies = 0  # long values under way
        self.body_budget = MemoryBudget(max(MAX_BODY_BYTES, memory_bytes // 2))
        self.max_unsent_bytes, self.unsent_bytes = (
            memory_bytes,
            0,
        )  # bytes of answers that are not taken yet, of all clients
        self.read_buffer = bytearray(
            READ_BUFFER_BYTES
        )  # of all connections: each takes out at once what it has read
        self.read_view = memoryview(self.read_buffer)
        self.connections: dict[ClientConnection, None] = {}  # the longest unused first
        self.without_request: dict[
            ClientConnection, None
        ] = {}  # of these, those that never asked, the oldest first
        self.lingering: dict[ClientConnection, None] = {}  # of all, those that have ended but for their bytes
        self.refusals: Tally[str] = Tally()  # since the last line of the log, by reason
        self.last_log_at = 0.0
        self.draining = self.accepting = self.has_shared_listener = False
        self.answers_ping = True  # to PING
        self.listener: socket.socket | None = None
        self.accept_timer: Timer | None = None  # to accept again
        self.all_closed = asyncio.Event()
        self.all_closed.set()

    async def listen(self, host: str, port: int, given: socket.socket | None = None) -> int:
        """Start to accept; gives the port. A socket that is given is bound; other processes have it too."""
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
                # Danger: the supervisor has it refuse once nobody accepts, which may cross the start of this
                # one: it would serve and never be reached. Asked again, it listens again.
                self.listener.listen(BACKLOG)
            self.loop.add_reader(self.listener.fileno(), self._accept)

    def _pause_accepting(self) -> None:
        """Those that wait in the kernel's queue cost nothing; closing them would fail their requests."""
        if self.listener is not None and self.accepting:
            self.accepting = False
            self.loop.remove_reader(self.listener.fileno())
            self.accept_timer = self.timers.call_at(
                now_ms() + ACCEPT_RETRY_INTERVAL_MS, self._resume_accepting
            )

    def _accept(self) -> None:
        for turn in range(
            MAX_SHARED_ACCEPTS_PER_WAKEUP if self.has_shared_listener else MAX_ACCEPTS_PER_WAKEUP
        ):
            # Room is made only for one that is known to wait, as on the first turn.
            if (turn and len(self.connections) >= self.max_connections) or not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Take in the next that waits; False where none does, or there is no room for it yet."""
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
            return True  # it has left; the next may wait
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
        """Give up a connection that nobody is using: one that has ended first, then one that never asked."""
        if ended := next(iter(self.lingering), None):
            ended.close()
            return True
        now = now_ms()
        oldest = next((c for c in self.without_request if c.is_idle), None)
        if oldest is not None and now - oldest.last_used_at > NEW_CONNECTION_GRACE_MS:
            oldest.close_if_idle(room=True)
            if oldest.is_closed:
                return True
        spare = next((c for c in self.connections if c.is_idle and c not in self.without_request), None)
        if spare is not None and now - spare.last_used_at > MIN_EVICTABLE_IDLE_MS:
            spare.close_if_idle(room=True)
        return spare is not None and spare.is_closed

    # ---- connections ----

    def note_request(self, connection: ClientConnection) -> None:
        self.without_request.pop(connection, None)

    def note_use(self, connection: ClientConnection) -> None:
        connection.last_used_at = now_ms()
        if connection in self.connections:
            del self.connections[connection]
            self.connections[connection] = None

    def refuse_early(self, args: list[bytes]) -> tuple[str, bytes] | None:
        """Class and refusal of a request that is not worth reading whole just now, if seen before."""
        plain = ATTRIBUTES_PATTERN.fullmatch(args[3]) if len(args) > 3 else None
        known = self.parser.known_attributes.get((args[0], *plain.group(2, 3, 7, 8, 9))) if plain else None
        reply = self.handler.encode_early_refusal(known[0].name) if known else None
        return (known[0].name, reply) if known and reply else None

    def find_class(self, args: list[bytes]) -> str | None:
        """The class that a wrong request names, if it is or was one."""
        found = CLASS_PATTERN.search(args[3]) if len(args) > 3 else None
        name = found[1].decode(errors="replace") if found else ""
        return name if name in self.tallies.answers else None

    def high_water_bytes(self) -> int:
        """Bytes of a long value that may wait for its client: of all of them together, half of the budget."""
        return max(
            MIN_HIGH_WATER_BYTES,
            min(MAX_HIGH_WATER_BYTES, self.max_unsent_bytes // (2 * max(1, self.streaming_replies))),
        )

    def add_lingering(self, connection: ClientConnection) -> None:
        self.without_request.pop(connection, None)
        self.lingering[connection] = None
        if len(self.lingering) > self.max_connections // MAX_LINGERING_DIVISOR:
            next(iter(self.lingering)).close()

    def remove_connection(self, connection: ClientConnection) -> None:
        self.connections.pop(connection, None)
        self.without_request.pop(connection, None)
        self.lingering.pop(connection, None)
        if not self.connections:
            self.all_closed.set()

    def close_slowest_reader(self) -> None:
        """Give up the client that has taken nothing for the longest time, before memory runs out."""
        waiting = (
            c for c in self.connections if c.unsent and not c.streaming_replies
        )  # long values are held back
        slowest = min(waiting, key=lambda c: c.last_progress_at, default=None)
        if slowest is not None:
            self.refusals["answers left unread"] += 1
            slowest.close()

    def sweep(self) -> None:
        now = now_ms()
        for connection in list(self.connections):
            connection.check_timeouts(now)
        if self.refusals and now - self.last_log_at >= LOG_INTERVAL_MS:  # one line tells of all
            log.warning("refused: %s", dict(self.refusals))
            self.refusals.clear()
            self.last_log_at = now
        self.timers.call_at(now + SWEEP_INTERVAL_MS, self.sweep)

    def set_parser(self, parser: RequestParser) -> None:
        """Other terms from the next request on. What was counted of a class that is dropped stays."""
        self.parser = parser
        for name in parser.classes:
            self.tallies.add_class(name.decode())

    def set_admission(self, answers_ping: bool, accepts: bool, keeps_idle: bool) -> None:
        """Change what the server offers to its clients.

        `answers_ping`: whether PING is answered with PONG. `accepts`: whether connections are accepted; False
        is final. `keeps_idle`: whether idle connections stay open; if not, the server drains, and each
        connection is closed once it has its answers.
        """
        self.answers_ping, self.draining = answers_ping, not keeps_idle
        if not keeps_idle:
            for connection in list(self.connections):
                connection.close_for_drain()
        if not accepts and self.listener is not None:
            # Danger: closing a listener resets all that wait at it, and what they have asked by then. Those
            # at one that is shared are taken by the others.
            while not self.has_shared_listener and self._accept_one():
                pass
            self._pause_accepting()
            self.listener.close()
            self.listener = None

    def finish(self) -> None:
        """The process ends: what has come by now is taken, and refused at the door; nothing after that."""
        for connection in list(self.connections):
            connection.finish_commands()
