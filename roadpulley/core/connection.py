"""One connection to a backend, and the attempt on it.

Every attempt ends in `Connection.end` or `Connection._complete`, and `core/outcomes.py` gives its outcome.
"""

from __future__ import annotations

import asyncio
import errno
import fcntl
import os
import re
import socket
import struct
import sys
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from mintford.interface import Outcome

from .clock import Timer, now_ms
from .command import HeldSink, Sink, Source
from .long_answer import LongAnswer
from .outcomes import EndReason, Stage, resolve_outcome
from .resp import (
    LONG_VALUE_EVIDENCE_BYTES,
    STREAMING_START_BYTES,
    Answer,
    LongValue,
    MalformedError,
    parse_answer,
    parse_long_value_header,
)
from .socket_watcher import SocketWatcher

if TYPE_CHECKING:
    from .backends import BackendPools, Host

USABLE_ERROR = re.compile(rb"(?:BUSY|ERR failed)(?: [!-~]{1,512})?")  # a load report may follow
STALL_CHECK_INTERVAL_MS = 100.0  # for long values
EMPTY_VIEW = memoryview(b"")
SIOCOUTQNSD = 0x894B  # Linux: the bytes of a socket's send queue that the kernel has not sent yet
# Bytes that the kernel may hold unsent of a request whose last byte has a time limit. By default it takes
# megabytes, and sends the last of them when the peer has read the others.
MAX_UNSENT_KERNEL_BYTES = 16 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: the kernel discards what it has not sent


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt of a request at a backend. `on_end` is called exactly once."""

    backend: int
    encode: Callable[[int], bytes]
    expires_at: float  # the first byte is sent before this time or not at all, and its request ends then
    on_end: Callable[[Attempt, Outcome, bytes], None]
    key: tuple[str, int] = ("", 0)  # the id of the request, and the number of the attempt
    # Called when a long value begins. Returns its receiver, or None if nobody waits for it.
    on_long_value: Callable[[Attempt, int, Source], Sink | None] | None = None
    # The last byte is sent before this time or not at all, by the rule on repeats.
    latest_send_at: float = float("inf")
    is_client_waiting: Callable[[Attempt], bool] | None = None
    body: memoryview | None = None  # sent after the encoded command
    connection: Connection | None = None
    timer: Timer | None = None  # for the attempt's timeout
    send_timer: Timer | None = None  # for `latest_send_at`
    has_ended: bool = False
    streams_value: bool = False  # its value is or was streamed to the client
    held_value: HeldSink | None = None  # its long value, while that is held
    long_answer: LongAnswer | None = None  # the time of its long value, from the beginning of that
    usage: bytes = b""  # the usage figures of its answer
    on_sent: Callable[[], None] | None = None  # called when the last byte has been written
    was_sent: bool = False  # the last byte has been written
    # Called when a long value begins whose first bytes come slowly.
    on_slow_start: Callable[[Attempt], None] | None = None
    end_detail: str = ""  # why it ended, for the log

    def end(self, outcome: Outcome, value: bytes = b"") -> None:
        """Ends the attempt. Only the first call has an effect."""
        if not self.has_ended:
            self.has_ended, self.connection = True, None
            for timer in (self.timer, self.send_timer):
                if timer is not None:
                    timer.cancel()
            self.on_end(self, outcome, value)

    def limit_sending(self, latest_send_at: float) -> None:
        """Lowers the time before which the last byte is sent, as another attempt of the request begins."""
        if latest_send_at < self.latest_send_at:
            self.latest_send_at = latest_send_at
            if self.connection is not None:
                self.connection.schedule_send_deadline(self)


class Connection:
    """One connection, with one attempt on it at a time.

    Answers are ordered, and cancelling an attempt closes the connection. A second attempt on it would be
    delayed by the first one and be lost with it.
    """

    def __init__(self, pool: BackendPools, host: Host, attempt: Attempt) -> None:
        self.pool, self.host, self.address, self.started = pool, host, host.address, host.started
        self.attempt: Attempt | None = attempt
        self.answer = bytearray()  # the buffered part
        self.long_value: LongValue | None = None  # being received, and passed to `sink`
        self.long_answer: LongAnswer | None = None  # its time, together with `long_value`
        self.sink: Sink | None = None
        self.paused = False  # by the sink
        self.unsent = EMPTY_VIEW
        self.body: memoryview | None = None  # sent after `unsent`
        self.is_connected = self.closed = self.writing = False
        self.idle_since = 0.0
        self.idle_before_ms: float | None = None  # before the current request; None: new connection
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.fd = self.socket.fileno()
        self.watcher = SocketWatcher(pool.loop, self.socket)
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
            pool.connect_timeout_ms / 1000, self.end, EndReason.CONNECT_TIMEOUT
        )
        self.watcher.start_writing(self._on_connected)

    def _on_connected(self) -> None:
        self.watcher.stop_writing()
        if self.timer is not None:
            self.timer.cancel()
        # Data that arrived before the request is no answer to it, and would be served as one.
        if self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) or not self.is_alive():
            return self.end(EndReason.CONNECTION_ERROR, "not established")
        self.is_connected = True
        self.watcher.start_reading(self._on_readable)
        attempt = self.attempt
        assert attempt is not None
        if attempt.is_client_waiting is None or attempt.is_client_waiting(attempt):
            self.write()
        elif self.attempt is attempt:
            self.end(EndReason.ABANDONED)

    def start(self, attempt: Attempt) -> None:
        """Sends an attempt on this idle connection."""
        self.idle_before_ms = now_ms() - self.idle_since
        self.attempt, attempt.connection = attempt, self
        self.write()

    def write(self) -> None:
        """Sends the attempt on the connection, unless it has become too late for that."""
        # While the connection was being established, the request may have expired, or the backend's grace for
        # new requests may have ended. Both are checked again before the first byte. A drain counts that byte;
        # the rule on repeats counts the last one, which `schedule_send_deadline` takes care of.
        attempt = self.attempt
        assert attempt is not None
        now = now_ms()
        expired = now >= min(attempt.expires_at, attempt.latest_send_at)
        if expired or not self.host.accepts_new_requests(now) or not self.pool.is_current(self):
            self.attempt = None
            self.pool.release(self)
            return attempt.end(
                resolve_outcome(Stage.CONNECTING, EndReason.EXPIRED if expired else EndReason.UNAVAILABLE)
            )
        self.unsent = memoryview(attempt.encode(max(1, int(attempt.expires_at - now))))
        self.body = attempt.body
        if attempt.latest_send_at < float("inf"):
            self.schedule_send_deadline(attempt)
        self._flush()

    def schedule_send_deadline(self, attempt: Attempt) -> None:
        """Ends the attempt at its `latest_send_at`, unless its last byte has left this machine by then."""
        if attempt.send_timer is not None:
            attempt.send_timer.cancel()
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_KERNEL_BYTES)
        attempt.send_timer = self.pool.timers.call_at(
            attempt.latest_send_at, partial(self._on_send_deadline, attempt)
        )

    def _on_send_deadline(self, attempt: Attempt) -> None:
        if self.attempt is attempt and (self.get_stage() is not Stage.SENT or self.has_unsent_in_kernel()):
            self.end(EndReason.EXPIRED)

    def has_unsent_in_kernel(self) -> bool:
        """Whether the kernel still holds bytes of the request, because the peer doesn't take them."""
        try:
            count = fcntl.ioctl(self.fd, SIOCOUTQNSD, bytes(4))
        except OSError:
            return False  # not a TCP socket
        return int.from_bytes(count, sys.byteorder) > 0

    def _continue_sending(self) -> None:
        """Sends more of the request once the peer has room, unless it has become too late for its last byte.

        This process may have been suspended since the last piece, so the timer for that may not have fired.
        """
        if self.attempt is not None and now_ms() >= self.attempt.latest_send_at:
            return self.end(EndReason.EXPIRED)
        self._flush()

    def _flush(self) -> None:
        try:
            sent = self.socket.send(self.unsent)
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError as error:
            return self.end(EndReason.CONNECTION_ERROR, f"send failed: {error.strerror}")
        self.unsent = self.unsent[sent:]
        if not self.unsent and self.body is not None:
            self.unsent, self.body = self.body, None  # not empty in between: the last byte isn't sent yet
        if not self.unsent:
            # An empty view of a long body would keep the whole body in memory while this connection is idle.
            self.unsent = EMPTY_VIEW
            self.pool.stats.attempts_sent += 1
            if self.attempt is not None:
                self.attempt.was_sent = True
                if self.attempt.on_sent is not None:
                    self.attempt.on_sent()
        if bool(self.unsent) != self.writing:
            self.writing = not self.writing
            if self.writing:
                self.watcher.start_writing(self._continue_sending)
            else:
                self.watcher.stop_writing()

    def _on_readable(self) -> None:
        view = self.pool.read_view if self.sink is None else self.pool.read_view[: self.sink.free_bytes()]
        end_detail = "closed by the backend"
        try:
            count = self.socket.recv_into(view)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            count, end_detail = 0, f"receive failed: {error.strerror}"
        if not count:
            if self.attempt is not None and not self.answer:
                self.pool.idle_limit.record(self.idle_before_ms, True)
            return self.end(EndReason.CONNECTION_ERROR, self.describe_break() or end_detail)
        if self.attempt is None:
            self.pool.answer_errors["data without a request"] += 1
            return self.close()
        try:
            answer = (
                self._read_streaming(self.pool.read_view[:count])
                if self.long_value is not None
                else self._read_buffered(count)
            )
        except MalformedError as error:
            self.pool.answer_errors[str(error)] += 1
            return self.end(EndReason.CONNECTION_ERROR, str(error))
        # Streaming a value may reveal that the client has disconnected, which ends the attempt.
        if answer is not None and self.attempt is not None:
            self._complete(self.attempt, answer)

    def _read_buffered(self, count: int) -> Answer | None:
        """Buffers an answer until it is complete. A long value is streamed from here on.

        Raises MalformedError.
        """
        if not self.answer:
            self.pool.idle_limit.record(self.idle_before_ms, False)
        self.answer += self.pool.read_view[:count]
        self.pool.buffered_bytes += count
        if header := parse_long_value_header(self.answer, LONG_VALUE_EVIDENCE_BYTES):
            if len(self.answer) < header[1] + STREAMING_START_BYTES:
                self._note_slow_start()
            elif received := self._start_streaming(*header):
                return self._read_streaming(received)
        if self.pool.buffered_bytes > self.pool.max_buffered_bytes:
            raise MalformedError("buffer limit exceeded")
        return parse_answer(self.answer)

    def _note_slow_start(self) -> None:
        """A long value has begun, and not enough of it has come to pass it on."""
        attempt = self.attempt
        if attempt is None or attempt.on_slow_start is None or self.unsent:
            return
        if self.long_answer is not None:
            return self.long_answer.record_bytes(now_ms())
        self.long_answer = attempt.long_answer = LongAnswer(now_ms())
        attempt.on_slow_start(attempt)

    def start_long_value(self) -> None:
        """Passes a long value on whose beginning comes slowly, as it may be held no longer."""
        header = parse_long_value_header(self.answer, LONG_VALUE_EVIDENCE_BYTES)
        if header is not None and (received := self._start_streaming(*header)):
            self._read_streaming(received)

    def _start_streaming(self, length: int, start: int) -> memoryview | None:
        """Starts to pass a long value on, if its client waits for it. Returns the part that is received."""
        attempt = self.attempt
        if attempt is None or attempt.on_long_value is None or self.unsent:
            return None
        if self.long_answer is None:
            self.long_answer = attempt.long_answer = LongAnswer(now_ms())
        sink = attempt.on_long_value(attempt, length, self)
        if sink is None:
            return None
        received = memoryview(bytes(self.answer))[start:]
        self._free_buffer()
        self.long_value, self.sink = LongValue(length), sink
        self.pool.watch_long_answer(self)
        return received

    def _read_streaming(self, data: memoryview) -> Answer | None:
        assert self.long_value is not None and self.long_answer is not None
        self.long_answer.record_bytes(now_ms())
        if (value := self.long_value.consume(data)) and self.sink is not None:
            self.sink.feed(value)
        if self.long_value is None:
            return None  # the client has disconnected
        if self.sink is not None and self.long_value.is_complete():
            sink, self.sink = self.sink, None
            self.resume()
            sink.finish()
        return self.long_value.parse_trailer() if self.long_value is not None else None

    def pause(self) -> None:
        """Stops reading until `resume`."""
        if not self.paused and not self.closed:
            self.paused = True
            if self.long_answer is not None:
                self.long_answer.pause()
            self.watcher.stop_reading()

    def resume(self) -> None:
        """Continues reading after `pause`."""
        if self.paused and not self.closed:
            self.paused = False
            if self.long_answer is not None:
                self.long_answer.resume(now_ms())
            self.watcher.start_reading(self._on_readable)

    def _complete(self, attempt: Attempt, answer: Answer) -> None:
        self.discard_answer()
        outcome, is_usable = parse_error(answer.error)
        if answer.value is not None:
            outcome, is_usable = Outcome.OK, True
        if self.unsent and outcome is not Outcome.FULL:
            return self.end(EndReason.ANSWERED)
        self.attempt = None
        # Further data on this connection would be taken for the answer to the next request.
        if is_usable and answer.is_connection_reusable and not self.unsent:
            self.pool.release(self)
        else:
            self.pool.answer_errors["data after an answer, or unknown error"] += 1
            self.close()
        attempt.usage = answer.usage
        attempt.end(outcome, answer.value or b"")

    def read_now(self) -> None:
        """Reads what lies unread, as far as reading is on: this process may have been suspended before.

        It may end the attempt. Counting unread bytes without reading them would postpone a time limit for
        ever where the reader isn't called.
        """
        if not (self.closed or self.paused):
            self._on_readable()

    def _free_buffer(self) -> None:
        self.pool.buffered_bytes -= len(self.answer)
        self.answer = bytearray()

    def discard_answer(self) -> None:
        """Frees the buffered part of an answer and stops streaming."""
        self._free_buffer()
        self.long_answer = None
        if self.long_value is not None:
            self.long_value = None
            self.pool.long_values.pop(self, None)

    def get_stage(self) -> Stage:
        """How far the current attempt has got."""
        if not self.is_connected:
            return Stage.CONNECTING
        return Stage.SENDING if self.unsent else Stage.SENT

    def describe_break(self) -> str:
        """The error that the kernel reported on the connection, for the log."""
        return os.strerror(self.watcher.error) if self.watcher.error else ""

    def describe_progress(self) -> str:
        """How far the attempt has got, for the log."""
        if self.long_value is not None:
            return f"{self.long_value.remaining_bytes} bytes of its long value missing"
        return f"{self.get_stage().value}, {len(self.answer)} bytes of its answer received"

    def end(self, reason: EndReason, detail: str = "") -> None:
        """Closes the connection before it ends the attempt, so that two attempts never run at once.

        `detail`: what the reason doesn't tell, for the log.
        """
        outcome = resolve_outcome(self.get_stage(), reason)
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.end_detail = f"{detail or reason.value}; {self.describe_progress()}"
        if attempt is not None and self.has_unsent_in_kernel():
            # Otherwise the kernel would go on sending, and the backend could begin a request given up here.
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        sink, self.sink = self.sink, None
        is_value_complete = self.long_value is not None and sink is None  # only the trailer is missing
        self.close()
        if sink is not None:
            sink.abort()
        if attempt is not None:
            attempt.end(Outcome.OK if is_value_complete else outcome)

    def close(self) -> None:
        """Closes the connection, without ending its attempt."""
        if self.closed:
            return
        self.closed = True
        self.discard_answer()
        if self.timer is not None:
            self.timer.cancel()
        self.watcher.close()
        self.socket.close()
        self.pool.remove_connection(self)

    def is_alive(self) -> bool:
        """Whether the connection is open and has no unread data, as far as is known here."""
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False  # the peer closed it, or sent data without a request


def parse_error(line: bytes) -> tuple[Outcome, bool]:
    """The outcome that an error line stands for, and whether its connection remains usable."""
    if USABLE_ERROR.fullmatch(line):
        return (Outcome.FULL if line.startswith(b"BUSY") else Outcome.FAILED), True
    return Outcome.FAILED, False
