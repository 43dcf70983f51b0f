"""The counter service over sockets; what it does with a call is the machine's."""

from __future__ import annotations

import asyncio
from collections import Counter as Tally
from collections.abc import Awaitable, Callable

from roadpulley.core.clock import now_ms

from .counter_machine import CounterMachine, InvalidCallError, read_call, write_total
from .ledger import Anomaly, Ledger
from .scenario import CounterKind
from .server import Origins, Server

AT_ONCE = CounterKind(parts=1, per_s=1e6, ms=0.0, queue_ms=1e9)  # for tests that are not about its pace
CONNECTIONS = 32  # of one gateway; further ones are reset
IDLE_S = 10.0
LONGEST_LINE = 256

Reply = bytes | None
Due = tuple[float, bytes]


class Counter(Server):
    """`script` may answer a call otherwise (None: not at all, b"" hangs up)."""

    def __init__(
        self,
        script: Callable[[list[bytes]], Awaitable[Reply]] | None = None,
        kind: CounterKind = AT_ONCE,
        ledger: Ledger | None = None,
        origins: Origins | None = None,
    ) -> None:
        super().__init__()
        self.script, self.machine = script, CounterMachine(kind)
        self.ledger, self.origins = ledger or Ledger(), origins or Origins()
        self.got: list[list[bytes]] = []
        self.keep_calls = ledger is None  # a long run must not grow by them
        self.calls = 0
        self.running = True  # before the run begins, all calls are turned away
        self.slower_ms = 0.0
        self.idle_s = IDLE_S
        self.by_gateway: Tally[str] = Tally()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        answers: asyncio.Queue[Due | None] = asyncio.Queue()
        sender = asyncio.create_task(self._send(answers, writer))
        gateway = None
        try:
            while not sender.done():
                async with asyncio.timeout(self.idle_s):
                    line = await reader.readline()
                if not line:
                    break
                if gateway is None:  # known only once its relay's connection is up
                    gateway = self.origins.name(writer)
                    self.by_gateway[gateway] += 1
                    if gateway and self.by_gateway[gateway] > CONNECTIONS:
                        return writer.transport.abort()
                due = await self._take(line, gateway)
                if due is not None and due[1] == b"":
                    break
                if due is not None:
                    answers.put_nowait(due)
        except ValueError:
            self.odd(gateway or "", "a line without end")
        finally:
            if gateway is not None:
                self.by_gateway[gateway] -= 1
            answers.put_nowait(None)
            try:
                await sender
            finally:
                sender.cancel()

    async def _send(self, answers: asyncio.Queue[Due | None], writer: asyncio.StreamWriter) -> None:
        """Answers in the order of the calls, each once its call has had its turn."""
        while (due := await answers.get()) is not None:
            if (wait := due[0] - now_ms()) > 0:
                await asyncio.sleep(wait / 1000)
            if writer.is_closing():
                return
            writer.write(due[1])

    async def _take(self, line: bytes, gateway: str) -> Due | None:
        now = now_ms()
        self.calls += 1
        if line == b"ping\r\n":
            return now, b"pong\r\n"
        try:
            if not line.endswith(b"\r\n"):
                raise InvalidCallError("a line that does not end in CRLF")
            call = read_call(line[:-2])
        except InvalidCallError as error:
            self.odd(gateway, str(error))
            return now, b"error\r\n"
        if self.keep_calls:
            self.got.append(line.split())
        if not self.running or (at := self.machine.serve_at(call, now)) is None:
            return now, b"busy\r\n"
        total = self.machine.add(call, at)
        if self.script is not None:
            reply = await self.script(line.split())
            return None if reply is None else (now, reply)
        return at + self.slower_ms, write_total(total)

    def odd(self, gateway: str, what: str) -> None:
        self.ledger.oddities.append(Anomaly(f"{gateway or '?'}>counter", now_ms(), what))

    @property
    def totals(self) -> dict[bytes, float]:
        return {name: total for name, (total, _) in self.machine.names.items()}

    def lose(self) -> None:
        """Die with all numbers; `start` brings an empty one back at the same address."""
        self.shut()
        self.machine.forget()
