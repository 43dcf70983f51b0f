"""The link between two processes of one gateway, over a Unix socket in the folder that they share.

Decides nothing: the module divides what it holds, the lifecycle learns of a successor. Off unless the process
has inherited its listener, which is how it knows that another one may follow it.
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
from roadpulley.core.clock import now_ms
from roadpulley.core.driver import Driver

from .handover import GIVES, HELLO, LEFT, LONGEST, SERVING, Garbled, read, write

log = logging.getLogger(__name__)

ANSWER_S = 0.7  # for what the predecessor gives: it is on this machine, and no client waits meanwhile
HALF = 0.5
# SIGTERM reaches the old process within 6 s of the new one's start, SIGKILL 3.7 s later at the latest.
MOST_BESIDE_MS = 9_700.0


def path_of(gateway: str) -> str:
    """Where the processes of a gateway meet. Names may be long, such a path holds about a hundred bytes."""
    digest = hashlib.blake2b(gateway.encode(), digest_size=8).hexdigest()
    return os.path.join(tempfile.gettempdir(), f"gateway-{digest}.link")


@dataclass
class Predecessor:
    """The process that serves now, as its successor sees it."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Link:
    """One process's two ends: to the one before it, and to the one after it."""

    def __init__(
        self,
        gateway: str,
        driver: Driver,
        succeeded: Callable[[bool], object],
        path: str | None = None,
    ) -> None:
        """`succeeded` is told whether a successor serves."""
        self.gateway, self.driver, self.succeeded = gateway, driver, succeeded
        self.path = path or path_of(gateway)
        self.before: Predecessor | None = None
        self.after: asyncio.StreamWriter | None = None
        self.estate: api.HandoverState | None = None
        self.server: asyncio.Server | None = None
        self.watching: asyncio.Task[None] | None = None

    # ---- to the process before ----

    async def inherit(self) -> None:
        """Take what a predecessor gives, if there is one, before anything is accepted."""
        try:
            async with asyncio.timeout(ANSWER_S):
                reader, writer = await asyncio.open_unix_connection(self.path, limit=LONGEST)
        except (FileNotFoundError, ConnectionRefusedError):
            return log.info("no process before this one")
        except OSError as error:  # time-outs are among these
            return self.beside(str(error) or "no answer")
        try:
            async with asyncio.timeout(ANSWER_S):
                writer.write(write(HELLO, self.gateway))
                line = await reader.readline()
            estate = read(line, GIVES, self.gateway, now_ms())
            assert estate is not None
        except (OSError, ValueError, Garbled) as error:  # ValueError: a line without end
            writer.close()
            return self.beside(str(error) or "no answer")
        self.before = Predecessor(reader, writer)
        self.driver.handle_event(api.GatewayShareChanged(HALF))
        self.driver.handle_event(api.HandoverReceived(estate))
        log.info("half of %d customers' leases taken over", len(estate.customers))

    def beside(self, reason: str) -> None:
        """Somebody is there, and gave nothing that can be used.

        Danger: it may go on spending the whole of each ceiling's own part. Until it must be gone, nothing of
        them is here.
        """
        log.warning("nothing could be taken over: %s", reason)
        self.driver.handle_event(
            api.HandoverReceived(api.HandoverState(now_ms() + MOST_BESIDE_MS, (), (), 0.0, 0.0))
        )

    async def serves(self) -> None:
        """This process takes clients now; the one before it may be stopped."""
        if self.before is None:
            return await self.listen()
        self.before.writer.write(write(SERVING, self.gateway))
        self.watching = asyncio.get_running_loop().create_task(self.watch(self.before))

    async def watch(self, before: Predecessor) -> None:
        """Until the process before this one has gone: what it has left then is taken too."""
        rest: api.HandoverState | None = None
        try:
            if line := await before.reader.readline():
                rest = read(line, LEFT, self.gateway, now_ms())
        except (OSError, ValueError, Garbled) as error:
            log.warning("what was left could not be taken over: %s", error)
        before.writer.close()
        self.before = None
        self.driver.handle_event(api.GatewayShareChanged(1.0))
        if rest is not None:
            self.driver.handle_event(api.HandoverReceived(rest))
        log.info("the process before has gone, %s", "all is taken over" if rest else "with what it held")
        await self.listen()

    # ---- to the process after ----

    async def listen(self) -> None:
        """Be there for a successor, in the place of a process before this one.

        Danger: not while that one is there. Should this one die first, the next would find nobody here,
        and start as if alone.
        """
        own = f"{self.path}.{os.getpid()}"
        try:
            with suppress(FileNotFoundError):
                os.unlink(own)
            bound = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            bound.bind(own)
            self.server = await asyncio.start_unix_server(self.met, sock=bound, limit=LONGEST)
            os.rename(own, self.path)  # whole at once, also over what an earlier process left there
        except OSError as error:
            log.warning("no successor can take over: %s: %s", own, error)

    async def met(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(ANSWER_S):
                read(await reader.readline(), HELLO, self.gateway, now_ms())
        except (OSError, ValueError, Garbled) as error:
            log.warning("not a process of this gateway: %s", error or "silent")
            return writer.close()
        if self.after is not None:
            return writer.close()  # one at a time
        self.after = writer
        try:
            if (estate := self.divide(HALF)) is None:
                return
            writer.write(write(GIVES, self.gateway, estate))
            while line := await reader.readline():
                read(line, SERVING, self.gateway, now_ms())
                self.succeeded(True)
        except (OSError, ValueError, Garbled) as error:
            log.warning("the link to the next process broke: %s", error)
        finally:
            writer.close()
            if self.after is writer:
                self.after = None
                self.succeeded(False)
                self.driver.handle_event(api.GatewayShareChanged(1.0))
                log.info("the next process has gone: this one stands for the whole again")

    def divide(self, part: float) -> api.HandoverState | None:
        """What the module gives when this process stands for such a part from now on."""
        self.estate = None
        self.driver.hand_over = self.take
        self.driver.handle_event(api.GatewayShareChanged(part))
        estate, self.estate = self.estate, None
        return estate

    def take(self, estate: api.HandoverState) -> None:
        self.estate = estate

    # ---- the end ----

    async def close(self) -> None:
        """This process ends: what it holds goes to the next one, if that is there."""
        if self.server is not None:
            self.server.close()
        if self.watching is not None:
            self.watching.cancel()
        writer, self.after = self.after, None
        if writer is None or (estate := self.divide(0.0)) is None:
            return
        writer.write(write(LEFT, self.gateway, estate))
        with suppress(OSError):  # time-outs are among these
            async with asyncio.timeout(ANSWER_S):
                await writer.drain()
        writer.close()
