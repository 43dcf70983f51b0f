"""One connection to a backend, and the attempt that is on it.

What ends an attempt passes `Connection.end` or `_answered`, and what it is told `core/outcomes.py`.
"""

from __future__ import annotations

import asyncio
import errno
import re
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mintford.interface import Outcome

from .clock import Timer, now_ms
from .command import Sink, Source
from .outcomes import EndReason, Stage, resolve_outcome
from .resp import Answer, LongValue, MalformedError, parse_answer, parse_long_value_header

if TYPE_CHECKING:
    from .backends import BackendPools, Host

USABLE_ERROR = re.compile(rb"(?:BUSY|ERR failed)(?: [!-~]{1,512})?")  # a load report may stand last
STALL_CHECK_INTERVAL_MS = 100.0  # between two looks at the long values under way
EMPTY_VIEW = memoryview(b"")


@dataclass(eq=False, slots=True)
class Attempt:
    """One try of a request at a backend; `ended` is called exactly once."""

    backend: int
    encode: Callable[[int], bytes]
    expires_at: float  # its first byte goes out before this or not at all
    on_end: Callable[[Attempt, Outcome, bytes], None]
    key: tuple[str, int] = ("", 0)  # its request, and its number among that one's attempts
    # Told that a long value begins; gives where it goes, None if nobody wants it any more.
    on_long_value: Callable[[Attempt, int, Source], Sink | None] | None = None
    latest_send_at: float = float("inf")  # the same, by the rule on repeats
    is_client_waiting: Callable[[Attempt], bool] | None = None  # whether its client still waits
    body: memoryview | None = None  # what goes behind the encoded command
    connection: Connection | None = None
    timer: Timer | None = None  # of its time-out
    has_ended: bool = False
    streams_value: bool = False  # a long value of it is or was under way to the client
    usage: bytes = b""  # figures on use that came with its answer

    def end(self, outcome: Outcome, value: bytes = b"") -> None:
        if not self.has_ended:
            self.has_ended, self.connection = True, None
            if self.timer is not None:
                self.timer.cancel()
            self.on_end(self, outcome, value)


class Connection:
    """One connection, with one attempt on it at a time.

    Answers come in order and giving up means closing, so a second attempt would share the first one's fate.
    """

    def __init__(self, pool: BackendPools, host: Host, attempt: Attempt) -> None:
        self.pool, self.host, self.address, self.started = pool, host, host.address, host.started
        self.attempt: Attempt | None = attempt
        self.answer = bytearray()  # what has come of it
        self.long: LongValue | None = None  # under way, and where it goes
        self.sink: Sink | None = None
        self.paused = False  # by the sink
        self.heard_at = 0.0
        self.unsent = EMPTY_VIEW
        self.body: memoryview | None = None  # to be sent after that
        self.up = self.closed = self.writing = False
        self.idle_since = 0.0
        self.age: float | None = None  # idle until its last request; None: that was its first
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.fd = self.socket.fileno()
        attempt.connection = self
        try:
            self.socket.setblocking(False)
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            problem = self.socket.connect_ex(host.address)
            if problem not in (0, errno.EINPROGRESS):
                raise OSError(problem, "connect")
        except OSError:
            self.socket.close()
            raise
        self.timer: asyncio.TimerHandle | None = pool.loop.call_later(
            pool.connect_timeout / 1000, self.end, EndReason.CONNECT_TIME
        )
        pool.loop.add_writer(self.fd, self._came_up)

    def _came_up(self) -> None:
        self.pool.loop.remove_writer(self.fd)
        if self.timer is not None:
            self.timer.cancel()
        if self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return self.end(EndReason.BROKEN)
        self.up = True
        self.pool.loop.add_reader(self.fd, self._readable)
        attempt = self.attempt
        assert attempt is not None
        if attempt.is_client_waiting is None or attempt.is_client_waiting(attempt):
            self.write()
        elif self.attempt is attempt:
            self.end(EndReason.CALLED_OFF)

    def start(self, attempt: Attempt) -> None:
        self.age = now_ms() - self.idle_since
        self.attempt, attempt.connection = attempt, self
        self.write()

    def write(self) -> None:
        # The wait for a connection may have outlasted the request or the time in which this backend, told
        # to drain meanwhile, may be sent anything: both are judged again at the first byte.
        attempt = self.attempt
        assert attempt is not None
        now = now_ms()
        expired = now >= min(attempt.expires_at, attempt.latest_send_at)
        if expired or not self.host.takes_new(now) or not self.pool.current(self):
            self.attempt = None
            self.pool.release(self)  # it serves another, or closes
            return attempt.end(
                resolve_outcome(Stage.CONNECTING, EndReason.EXPIRED if expired else EndReason.SHUT)
            )
        self.unsent = memoryview(attempt.encode(max(1, int(attempt.expires_at - now))))
        self.body = attempt.body
        self._flush()

    def _flush(self) -> None:
        try:
            sent = self.socket.send(self.unsent)
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError:
            return self.end(EndReason.BROKEN)
        self.unsent = self.unsent[sent:]
        if not self.unsent and self.body is not None:
            self.unsent, self.body = self.body, None  # never empty between: the last byte has not left
        if not self.unsent:
            # Danger: an empty view of a long value keeps all of it, as long as this connection is idle.
            self.unsent = EMPTY_VIEW
            self.pool.tallies.attempts_sent += 1
        if bool(self.unsent) != self.writing:
            self.writing = not self.writing
            if self.writing:
                self.pool.loop.add_writer(self.fd, self._flush)
            else:
                self.pool.loop.remove_writer(self.fd)

    def _readable(self) -> None:
        view = self.pool.view if self.sink is None else self.pool.view[: self.sink.free_bytes()]
        try:
            count = self.socket.recv_into(view)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            count = 0
        if not count:
            if self.attempt is not None and not self.answer:
                self.pool.freshness.note(self.age, True)
            return self.end(EndReason.BROKEN)
        if self.attempt is None:
            self.pool.spoilt["said what nobody asked for"] += 1
            return self.close()
        try:
            answer = self._long(self.pool.view[:count]) if self.long is not None else self._short(count)
        except MalformedError as error:
            self.pool.spoilt[str(error)] += 1
            return self.end(EndReason.BROKEN)
        # What a long value brings out, a client that leaves, may have ended it here.
        if answer is not None and self.attempt is not None:
            self._answered(self.attempt, answer)

    def _short(self, count: int) -> Answer | None:
        """Buffers an answer until it is complete. A long value is streamed from here on.

        Raises MalformedError.
        """
        if not self.answer:
            self.pool.freshness.note(self.age, False)
        self.answer += self.pool.view[:count]
        self.pool.held += count
        if (begun := parse_long_value_header(self.answer)) and (came := self._begin(*begun)):
            return self._long(came)
        if self.pool.held > self.pool.most_held:
            raise MalformedError("no room for it")
        return parse_answer(self.answer)

    def _begin(self, length: int, start: int) -> memoryview | None:
        """Pass a long value on from now on, if it is wanted; gives what has come of it."""
        attempt = self.attempt
        if attempt is None or attempt.on_long_value is None or self.unsent:
            return None
        sink = attempt.on_long_value(attempt, length, self)
        if sink is None:
            return None
        if attempt.timer is not None:
            attempt.timer.cancel()
        came = memoryview(bytes(self.answer))[start:]
        self.drop_answer()
        attempt.streams_value = True
        self.long, self.sink = LongValue(length), sink
        self.heard_at = now_ms()
        if not self.pool.looking:
            self.pool.looking = True
            self.pool.timers.call_at(self.heard_at + STALL_CHECK_INTERVAL_MS, self.pool.look_at_long)
        self.pool.long[self] = None
        return came

    def _long(self, data: memoryview) -> Answer | None:
        assert self.long is not None
        self.heard_at = now_ms()
        if (value := self.long.consume(data)) and self.sink is not None:
            self.sink.feed(value)
        if self.long is None:
            return None  # the client left meanwhile
        if self.sink is not None and self.long.is_complete():
            sink, self.sink = self.sink, None
            self.resume()
            sink.finish()
        return self.long.parse_trailer() if self.long is not None else None

    def pause(self) -> None:
        if not self.paused and not self.closed:
            self.paused = True
            self.pool.loop.remove_reader(self.fd)

    def resume(self) -> None:
        if self.paused and not self.closed:
            self.paused, self.heard_at = False, now_ms()
            self.pool.loop.add_reader(self.fd, self._readable)

    def _answered(self, attempt: Attempt, answer: Answer) -> None:
        self.drop_answer()
        said, usable = read_error(answer.error)
        if answer.value is not None:
            said, usable = Outcome.OK, True
        if self.unsent and said is not Outcome.FULL:
            return self.end(EndReason.SAID)
        self.attempt = None
        # Danger: what else comes here would be taken for the answer to the next request.
        if usable and answer.is_connection_reusable and not self.unsent:
            self.pool.release(self)
        else:
            self.pool.spoilt["more than an answer, or an unknown error"] += 1
            self.close()
        attempt.usage = answer.usage
        attempt.end(said, answer.value or b"")

    def drop_answer(self) -> None:
        self.pool.held -= len(self.answer)
        self.answer = bytearray()
        if self.long is not None:
            self.long = None
            self.pool.long.pop(self, None)

    def stage(self) -> Stage:
        if not self.up:
            return Stage.CONNECTING
        return Stage.SENDING if self.unsent else Stage.SENT

    def end(self, ending: EndReason) -> None:
        """Close, and end the attempt that is on it. The close comes first: never two attempts at once."""
        told = resolve_outcome(self.stage(), ending)
        attempt, self.attempt = self.attempt, None
        sink, self.sink = self.sink, None
        passed_on = self.long is not None and sink is None  # only what follows a value was still to come
        self.close()
        if sink is not None:
            sink.abort()
        if attempt is not None:
            attempt.end(Outcome.OK if passed_on else told)

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.drop_answer()
        if self.timer is not None:
            self.timer.cancel()
        self.pool.loop.remove_reader(self.fd)
        self.pool.loop.remove_writer(self.fd)
        self.socket.close()
        self.pool.forget(self)

    def alive(self) -> bool:
        """Whether an idle connection still stands, so far as this machine has heard."""
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False  # it has ended, or says something that nobody asked for


def read_error(line: bytes) -> tuple[Outcome, bool]:
    """What an error line says, and whether it is one that leaves its connection usable."""
    if USABLE_ERROR.fullmatch(line):
        return (Outcome.FULL if line.startswith(b"BUSY") else Outcome.FAILED), True
    return Outcome.FAILED, False
