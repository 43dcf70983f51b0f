"""Connections to backends, and the attempts made on them.

The sockets are driven directly rather than through transports: what may be said of an attempt depends on
whether its last byte has left the process, a cutoff holds at the first byte, and an attempt that is given up
must be closed before the next one is sent. `send` and `close` tell and do that at once.
"""

from __future__ import annotations

import asyncio
import bisect
import errno
import logging
import re
import socket
from collections import Counter as Tally
from collections.abc import Callable
from dataclasses import dataclass

from mintford.interface import BackendState, Outcome

from .clock import Timer, Timers, now_ms
from .command import Sink, Source
from .outcomes import Ending, Stage, outcome
from .resp import Answer, LongValue, Malformed, long_value, parse_answer
from .settings import Address
from .tallies import Tallies

log = logging.getLogger(__name__)

ERROR = re.compile(rb"(?:BUSY|ERR failed)(?: [!-~]{1,512})?")  # a load report may stand last

IDLE_SHARE = 0.6  # of the keep-alive time: retired before the backend may close it under a request
AGES_MS = (100.0, 200.0, 400.0, 800.0, 1_600.0, 3_200.0, float("inf"))
DOUBT, EXCESS, FADE = 5.0, 0.15, 0.9  # requests that say nothing yet; losses over the usual; kept each sweep
SWEEP_MS = 1_000.0
CUTOFF_MARGIN_MS = 50.0  # before the end of the grace for new work to a draining backend
READ_BYTES = 64 * 1024
NOTHING = memoryview(b"")
# A long value of which nothing has come for this long, though it is read, is broken. Danger: past its
# request's time its client is owed an end within half a second, and would wait for it in vain. The silence
# may begin at that very time and be seen a look later, and the loop and the way to the client need some too.
STALLED_MS, OVERDUE_MS, LOOK_MS = 5_000.0, 300.0, 100.0
# Before a connection is used again: a second answer may come some milliseconds after the first, and would be
# taken for the next request's. Each stands idle so much longer, which is little beside a request's own time.
REST_MS = 20.0


class Freshness:
    """How long a connection may stand idle before a request on it is likely to be lost, as learned.

    Backends close idle connections at the latest after the time in the settings, and some of them, or what
    lies between, drop them unheard after a fraction of it. What becomes of the requests tells: more losses
    than on connections that were new, from some age on, and connections are used no longer than that.
    """

    def __init__(self) -> None:
        self.tried = [0.0] * (len(AGES_MS) + 1)  # of late, by age; the last are connections that were new
        self.lost = [0.0] * (len(AGES_MS) + 1)
        self.limit = AGES_MS[-1]

    def note(self, age: float | None, lost: bool) -> None:
        """Take in what became of a request; the age is that of its connection when it was sent."""
        place = -1 if age is None else bisect.bisect_left(AGES_MS, age, hi=len(AGES_MS) - 1)
        self.tried[place] += 1
        self.lost[place] += lost
        if lost:
            self.judge()

    def fade(self) -> None:
        """Forget slowly, so that a longer age is tried again."""
        self.tried = [FADE * count for count in self.tried]
        self.lost = [FADE * count for count in self.lost]
        self.judge()

    def judge(self) -> None:
        usual = self.lost[-1] / (self.tried[-1] + DOUBT)
        self.limit = AGES_MS[-1]
        for place in range(1, len(AGES_MS)):
            if self.lost[place] / (self.tried[place] + DOUBT) > usual + EXCESS:
                self.limit = AGES_MS[place - 1]
                break


@dataclass(eq=False, slots=True)
class Attempt:
    """One try of a request at a backend; `ended` is called exactly once."""

    backend: int
    encode: Callable[[int], bytes]
    expires: float  # its first byte goes out before this or not at all
    ended: Callable[[Attempt, Outcome, bytes], None]
    key: tuple[str, int] = ("", 0)  # its request, and its number among that one's attempts
    # Told that a long value begins; gives where it goes, None if nobody wants it any more.
    begin: Callable[[Attempt, int, Source], Sink | None] | None = None
    latest: float = float("inf")  # the same, by the rule on repeats
    wanted: Callable[[Attempt], bool] | None = None  # whether its client still waits
    body: memoryview | None = None  # what goes behind the encoded command
    connection: Connection | None = None
    timer: Timer | None = None  # of its time-out
    over: bool = False
    passes_on: bool = False  # a long value of it is or was under way to the client
    use: bytes = b""  # figures on use that came with its answer

    def end(self, outcome: Outcome, value: bytes = b"") -> None:
        if not self.over:
            self.over, self.connection = True, None
            if self.timer is not None:
                self.timer.cancel()
            self.ended(self, outcome, value)


class Connection:
    """One connection, with one attempt on it at a time.

    Answers come in order and giving up means closing, so a second attempt would share the first one's fate.
    """

    def __init__(self, pool: Backends, host: Host, attempt: Attempt) -> None:
        self.pool, self.host, self.address, self.started = pool, host, host.address, host.started
        self.attempt: Attempt | None = attempt
        self.answer = bytearray()  # what has come of it
        self.long: LongValue | None = None  # under way, and where it goes
        self.sink: Sink | None = None
        self.paused = False  # by the sink
        self.heard_at = 0.0
        self.unsent = NOTHING
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
            pool.connect_timeout / 1000, self.end, Ending.CONNECT_TIME
        )
        pool.loop.add_writer(self.fd, self._came_up)

    def _came_up(self) -> None:
        self.pool.loop.remove_writer(self.fd)
        if self.timer is not None:
            self.timer.cancel()
        if self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return self.end(Ending.BROKEN)
        self.up = True
        self.pool.loop.add_reader(self.fd, self._readable)
        attempt = self.attempt
        assert attempt is not None
        if attempt.wanted is None or attempt.wanted(attempt):
            self.write()
        elif self.attempt is attempt:
            self.end(Ending.CALLED_OFF)

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
        expired = now >= min(attempt.expires, attempt.latest)
        if expired or not self.host.takes_new(now) or not self.pool.current(self):
            self.attempt = None
            self.pool.release(self)  # it serves another, or closes
            return attempt.end(outcome(Stage.CONNECTING, Ending.EXPIRED if expired else Ending.SHUT))
        self.unsent = memoryview(attempt.encode(max(1, int(attempt.expires - now))))
        self.body = attempt.body
        self._flush()

    def _flush(self) -> None:
        try:
            sent = self.socket.send(self.unsent)
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError:
            return self.end(Ending.BROKEN)
        self.unsent = self.unsent[sent:]
        if not self.unsent and self.body is not None:
            self.unsent, self.body = self.body, None  # never empty between: the last byte has not left
        if not self.unsent:
            # Danger: an empty view of a long value keeps all of it, as long as this connection is idle.
            self.unsent = NOTHING
            self.pool.tallies.relayed += 1
        if bool(self.unsent) != self.writing:
            self.writing = not self.writing
            if self.writing:
                self.pool.loop.add_writer(self.fd, self._flush)
            else:
                self.pool.loop.remove_writer(self.fd)

    def _readable(self) -> None:
        view = self.pool.view if self.sink is None else self.pool.view[: self.sink.wants()]
        try:
            count = self.socket.recv_into(view)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            count = 0
        if not count:
            if self.attempt is not None and not self.answer:
                self.pool.freshness.note(self.age, True)
            return self.end(Ending.BROKEN)
        if self.attempt is None:
            self.pool.spoilt["said what nobody asked for"] += 1
            return self.close()
        try:
            answer = self._long(self.pool.view[:count]) if self.long is not None else self._short(count)
        except Malformed as error:
            self.pool.spoilt[str(error)] += 1
            return self.end(Ending.BROKEN)
        # What a long value brings out, a client that leaves, may have ended it here.
        if answer is not None and self.attempt is not None:
            self._answered(self.attempt, answer)

    def _short(self, count: int) -> Answer | None:
        """An answer that is held until it is whole; a long one is passed on from here. Raises Malformed."""
        if not self.answer:
            self.pool.freshness.note(self.age, False)
        self.answer += self.pool.view[:count]
        self.pool.held += count
        if (begun := long_value(self.answer)) and (came := self._begin(*begun)):
            return self._long(came)
        if self.pool.held > self.pool.most_held:
            raise Malformed("no room for it")
        return parse_answer(self.answer)

    def _begin(self, length: int, start: int) -> memoryview | None:
        """Pass a long value on from now on, if it is wanted; gives what has come of it."""
        attempt = self.attempt
        if attempt is None or attempt.begin is None or self.unsent:
            return None
        sink = attempt.begin(attempt, length, self)
        if sink is None:
            return None
        if attempt.timer is not None:
            attempt.timer.cancel()
        came = memoryview(bytes(self.answer))[start:]
        self.drop_answer()
        attempt.passes_on = True
        self.long, self.sink = LongValue(length), sink
        self.heard_at = now_ms()
        if not self.pool.looking:
            self.pool.looking = True
            self.pool.timers.at(self.heard_at + LOOK_MS, self.pool.look_at_long)
        self.pool.long[self] = None
        return came

    def _long(self, data: memoryview) -> Answer | None:
        assert self.long is not None
        self.heard_at = now_ms()
        if (value := self.long.take(data)) and self.sink is not None:
            self.sink.feed(value)
        if self.long is None:
            return None  # the client left meanwhile
        if self.sink is not None and self.long.ended():
            sink, self.sink = self.sink, None
            self.resume()
            sink.done()
        return self.long.answer() if self.long is not None else None

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
            return self.end(Ending.SAID)
        self.attempt = None
        # Danger: what else comes here would be taken for the answer to the next request.
        if usable and answer.clean and not self.unsent:
            self.pool.release(self)
        else:
            self.pool.spoilt["more than an answer, or an unknown error"] += 1
            self.close()
        attempt.use = answer.use
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

    def end(self, ending: Ending) -> None:
        """Close, and end the attempt that is on it. The close comes first: never two attempts at once."""
        told = outcome(self.stage(), ending)
        attempt, self.attempt = self.attempt, None
        sink, self.sink = self.sink, None
        passed_on = self.long is not None and sink is None  # only what follows a value was still to come
        self.close()
        if sink is not None:
            sink.broken()
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
    if ERROR.fullmatch(line):
        return (Outcome.FULL if line.startswith(b"BUSY") else Outcome.FAILED), True
    return Outcome.FAILED, False


class Host:
    """A backend's address, its idle connections and when it was told to drain."""

    def __init__(self, address: Address, started: float) -> None:
        self.address, self.started = address, started
        self.idle: list[Connection] = []  # the last used at the end
        self.cutoff = float("inf")

    def takes_new(self, now: float) -> bool:
        return now < self.cutoff


class Backends:
    """The pools. Decides nothing: it sends where it is told, or says why it cannot."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        timers: Timers,
        connect_timeout: float,
        keepalive: float,
        drain_grace: float,
        most: int,
        memory: int,
        tallies: Tallies | None = None,
    ) -> None:
        self.tallies = tallies or Tallies()
        self.loop, self.timers, self.connect_timeout = loop, timers, connect_timeout
        self.idle_ms, self.drain_grace, self.most = keepalive * IDLE_SHARE, drain_grace, most
        self.most_held, self.held = memory, 0  # bytes of answers that are not whole, of all connections
        self.freshness = Freshness()
        self.hosts: dict[int, Host] = {}
        self.connections: set[Connection] = set()
        self.long: dict[Connection, None] = {}  # of these, those with a long value under way
        self.looking = False  # a look at these is to come
        self.buffer = bytearray(READ_BYTES)  # of all connections: each takes out at once what it has read
        self.view = memoryview(self.buffer)
        self.unopened: Tally[str] = Tally()  # since the last sweep: one line tells of all
        self.spoilt: Tally[str] = Tally()  # answers, likewise
        self.timers.at(now_ms() + SWEEP_MS, self.sweep)

    def retune(self, connect_timeout: float, keepalive: float, drain_grace: float) -> None:
        self.connect_timeout, self.idle_ms = connect_timeout, keepalive * IDLE_SHARE
        self.drain_grace = drain_grace

    # ---- the list ----

    def update(
        self,
        backend: int,
        address: Address,
        state: BackendState,
        started: float = 0.0,
        since: float | None = None,
    ) -> None:
        """`since`: from when on this may have counted as told; None: from now on."""
        if state is not BackendState.READY:
            return self.retire(backend, since)
        host = self.hosts.get(backend)
        if host is None:
            host = self.hosts[backend] = Host(address, started)
        if host.address != address or host.started != started:
            self.close_idle(host)
            host.address, host.started = address, started
        host.cutoff = float("inf")

    def retire(self, backend: int, since: float | None = None) -> None:
        if host := self.hosts.get(backend):
            # Danger: a drain counts as told while no watch is open; its grace may be over as it is heard.
            since = now_ms() if since is None else since
            host.cutoff = min(host.cutoff, since + self.drain_grace - CUTOFF_MARGIN_MS)
            self.close_idle(host)

    # ---- attempts ----

    def send(self, attempt: Attempt) -> None:
        host = self.hosts.get(attempt.backend)
        if host is None or not host.takes_new(now_ms()):
            return attempt.end(outcome(Stage.CONNECTING, Ending.SHUT))
        now = now_ms()
        for place in range(len(host.idle) - 1, -1, -1):  # the last used first, once it has rested
            connection = host.idle[place]
            rested = now - connection.idle_since
            if rested < REST_MS:
                continue
            # Danger: what has come here since the loop last looked, an end or a second copy of an answer,
            # would be the next request's. The kernel is asked once more, though it costs a call.
            if rested < min(self.idle_ms, self.freshness.limit) and connection.alive():
                del host.idle[place]
                return connection.start(attempt)
            connection.close()
        if len(self.connections) >= self.most:
            self.close_oldest()
        if len(self.connections) >= self.most:
            # Better one request turned away than no descriptors left.
            return attempt.end(outcome(Stage.CONNECTING, Ending.BROKEN))
        try:
            self.connections.add(Connection(self, host, attempt))
        except OSError as error:
            self.unopened[error.strerror or "unknown"] += 1
            attempt.end(outcome(Stage.CONNECTING, Ending.BROKEN))

    def give_up(self, attempt: Attempt, ending: Ending) -> None:
        if attempt.connection is not None:
            attempt.connection.end(ending)
        else:
            attempt.end(outcome(Stage.CONNECTING, ending))

    # ---- pools ----

    def current(self, connection: Connection) -> bool:
        """Whether a connection still leads to what discovery lists: the same address and process."""
        host = connection.host
        return connection.address == host.address and connection.started == host.started

    def release(self, connection: Connection) -> None:
        host = connection.host
        if host.cutoff < float("inf") or not self.current(connection):
            return connection.close()
        connection.idle_since = now_ms()
        host.idle.append(connection)

    def forget(self, connection: Connection) -> None:
        self.connections.discard(connection)
        if connection in connection.host.idle:
            connection.host.idle.remove(connection)

    def close_idle(self, host: Host) -> None:
        for connection in list(host.idle):
            connection.close()

    def close_oldest(self) -> None:
        idle = [h.idle[0] for h in self.hosts.values() if h.idle]
        if idle:
            min(idle, key=lambda c: c.idle_since).close()

    def look_at_long(self) -> None:
        """End long values that don't go on, as long as any are under way."""
        now = now_ms()
        for connection in list(self.long):
            attempt = connection.attempt
            overdue = attempt is not None and now > attempt.expires
            if not connection.paused and now - connection.heard_at > (OVERDUE_MS if overdue else STALLED_MS):
                self.spoilt["a long value that did not go on"] += 1
                connection.end(Ending.BROKEN)
        self.looking = bool(self.long)
        if self.looking:
            self.timers.at(now + LOOK_MS, self.look_at_long)

    def sweep(self) -> None:
        now = now_ms()
        self.freshness.fade()
        for backend, host in list(self.hosts.items()):
            for connection in list(host.idle):
                if now - connection.idle_since < min(self.idle_ms, self.freshness.limit):
                    break
                connection.close()
            if not host.takes_new(now):
                del self.hosts[backend]
        for what, tally in (("connections not opened", self.unopened), ("spoilt answers", self.spoilt)):
            if tally:
                log.warning("%s: %s", what, dict(tally))
                tally.clear()
        self.timers.at(now + SWEEP_MS, self.sweep)

    def close(self) -> None:
        for connection in list(self.connections):
            connection.end(Ending.BROKEN)
