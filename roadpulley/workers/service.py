"""The supervisor's shell: processes, pipes, signals and timers; the machine decides."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import socket
import sys
from collections.abc import Callable
from dataclasses import dataclass

from roadpulley.core.settings import Address, ConfigError, load_config

from .supervisor import Action, Drain, Finished, Kill, Limits, Refuse, Say, Start, Supervisor

log = logging.getLogger("roadpulley.workers")


@dataclass(eq=False)
class Running:
    process: asyncio.subprocess.Process
    version: int
    tasks: list[asyncio.Task[None]]


def bound(address: Address) -> socket.socket:
    """A TCP socket bound there that does not listen yet. Raises OSError."""
    new = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    try:
        new.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        new.bind(address)
    except OSError:
        new.close()
        raise
    return new


class Door:
    """The one listening socket of all workers. It outlives each of them, and what waits at it with it.

    It is bound here and listens only once a worker asks for that, so that nobody waits where nobody serves.
    """

    def __init__(self) -> None:
        self.address: Address | None = None
        self.socket: socket.socket | None = None

    def move(self, address: Address) -> None:
        """Bind anew, if it is another address; those who have the old socket keep it. Raises OSError."""
        if address == self.address:
            return
        new = bound(address)
        if not address[1]:
            # Danger: a socket that is shut loses a port that the kernel chose; one that is asked for stays.
            with new:
                new = bound(new.getsockname()[:2])
        self.close()
        self.socket, self.address = new, address

    def refuse(self) -> None:
        """Connections are refused until the next worker listens: they can go elsewhere at once."""
        try:
            if self.socket is not None:
                self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # it does not listen

    def close(self) -> None:
        if self.socket is not None:
            self.socket.close()
            self.socket = self.address = None


class Service:
    """`count` gives the number of workers wanted, and is asked again at each replacement."""

    def __init__(self, config: str, count: Callable[[], int], limits: Limits | None = None) -> None:
        self.config, self.count = config, count
        self.limits = limits or Limits()
        self.machine = Supervisor(count(), self.limits)
        self.loop = asyncio.get_running_loop()
        self.running: dict[int, Running] = {}
        self.owed: dict[int, signal.Signals] = {}  # to processes that are still being made
        self.timer: asyncio.TimerHandle | None = None
        self.door = Door()
        self.finished = asyncio.Event()
        self.leaving = asyncio.Event()  # it was told to end

    async def run(self) -> None:
        """Keep the workers running until they are told to end and have ended. Raises OSError, ConfigError."""
        self.door.move(load_config(self.config).listen)
        for signum in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(signum, self.stop)
        self.loop.add_signal_handler(signal.SIGHUP, self.replace)
        self.do(self.machine.tick(self.loop.time()))
        try:
            await self.finished.wait()
        finally:
            self.door.close()
            for each in self.running.values():  # only a fault of this process leaves any
                each.process.kill()
            await asyncio.gather(*(each.process.wait() for each in self.running.values()))

    # ---- from outside ----

    def stop(self) -> None:
        log.info("ending")
        self.leaving.set()
        self.do(self.machine.stop(self.loop.time()))

    def replace(self) -> None:
        """Bring in what the configuration says now: the number of workers, and each worker anew."""
        try:
            count = self.count()
        except Exception as error:  # whatever is wrong with it, those that run go on
            return log.error("not replaced, the workers stay as they are: %s", error)
        try:
            self.door.move(load_config(self.config).listen)
        except (ConfigError, OSError) as error:  # the machine sees that no second worker starts with it
            log.error("the address stays as it is: %s", error)
        now = self.loop.time()
        if count != self.machine.count:
            self.do(self.machine.resize(now, count))
        self.do(self.machine.replace(now))

    # ---- actions ----

    def do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Start(slot, version):
                    self.loop.create_task(self.start(slot, version))
                case Drain(slot):
                    self.signal(slot, signal.SIGTERM)
                case Kill(slot, _):
                    self.signal(slot, signal.SIGKILL)
                case Refuse():
                    self.door.refuse()
                case Say(words):
                    log.info("%s", words)
                case Finished():
                    self.finished.set()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due = self.machine.next_at()
        if due < float("inf") and not self.finished.is_set():
            self.timer = self.loop.call_at(max(due, self.loop.time()) + 0.001, self.tick)

    def tick(self) -> None:
        self.do(self.machine.tick(self.loop.time()))

    def signal(self, slot: int, number: signal.Signals) -> None:
        running = self.running.get(slot)
        if running is None:
            # Danger: its process is still being made. A signal that was dropped would leave the slot waiting
            # for an end that nobody has asked for.
            self.owed[slot] = number
            return
        try:
            running.process.send_signal(number)
        except ProcessLookupError:
            pass  # its end is on its way here

    async def start(self, slot: int, version: int) -> None:
        assert self.door.socket is not None
        listener = self.door.socket.fileno()
        ours, theirs = os.pipe()
        try:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "roadpulley.workers.worker",
                env={
                    **os.environ,
                    "LB_CONFIG": self.config,
                    "ROADPULLEY_WORKER": str(slot),
                    "ROADPULLEY_WORKERS": str(self.machine.count),
                    "ROADPULLEY_LISTEN_FD": str(listener),
                    "ROADPULLEY_BEAT_FD": str(theirs),
                    "ROADPULLEY_BEAT_S": str(self.limits.beat_s),
                },
                stdin=asyncio.subprocess.DEVNULL,
                pass_fds=(theirs, listener),
            )
        except OSError as error:
            os.close(ours)
            return self.do(
                self.machine.ended(self.loop.time(), slot, f"could not be started: {error.strerror}")
            )
        finally:
            os.close(theirs)
        running = self.running[slot] = Running(process, version, [])
        running.tasks = [
            self.loop.create_task(self.listen(slot, ours)),
            self.loop.create_task(self.wait(slot, running)),
        ]
        if owed := self.owed.pop(slot, None):
            self.signal(slot, owed)

    async def listen(self, slot: int, fd: int) -> None:
        reader = asyncio.StreamReader()
        transport, _ = await self.loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), os.fdopen(fd, "rb")
        )
        try:
            while line := await reader.readline():
                words = line.split()
                if words[0] == b"serves":
                    log.info("worker %d serves at port %s", slot, words[1].decode())
                    self.do(self.machine.served(self.loop.time(), slot))
                elif words[0] == b"closes":
                    self.do(self.machine.closed(self.loop.time(), slot))
                elif words[0] == b"beat":
                    self.do(self.machine.beat(self.loop.time(), slot, float(words[1]) / 1000))
        finally:
            transport.close()

    async def wait(self, slot: int, running: Running) -> None:
        code = await running.process.wait()
        if self.running.get(slot) is running:
            del self.running[slot]
        self.do(self.machine.ended(self.loop.time(), slot, f"code {code}"))
