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

from .supervisor import (
    Action,
    DrainWorker,
    KillWorker,
    LogMessage,
    RefuseConnections,
    ReportFinished,
    StartWorker,
    Supervisor,
    SupervisorSettings,
)

log = logging.getLogger("roadpulley.workers")


@dataclass(eq=False)
class WorkerProcess:
    process: asyncio.subprocess.Process
    version: int
    tasks: list[asyncio.Task[None]]


def bind_socket(address: Address) -> socket.socket:
    """A TCP socket bound there that does not listen yet. Raises OSError."""
    bound_socket = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    try:
        bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound_socket.bind(address)
    except OSError:
        bound_socket.close()
        raise
    return bound_socket


class ListeningSocket:
    """The one listening socket of all workers. It outlives each of them, and what waits at it with it.

    It is bound here and listens only once a worker asks for that, so that nobody waits where nobody serves.
    """

    def __init__(self) -> None:
        self.address: Address | None = None
        self.socket: socket.socket | None = None

    def rebind(self, address: Address) -> None:
        """Bind anew, if it is another address; those who have the old socket keep it. Raises OSError."""
        if address == self.address:
            return
        bound_socket = bind_socket(address)
        if not address[1]:
            # Danger: a socket that is shut loses a port that the kernel chose; one that is asked for stays.
            with bound_socket:
                bound_socket = bind_socket(bound_socket.getsockname()[:2])
        self.close()
        self.socket, self.address = bound_socket, address

    def refuse_connections(self) -> None:
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


class SupervisorService:
    """`count` gives the number of workers wanted, and is asked again at each replacement."""

    def __init__(
        self, config: str, get_worker_count: Callable[[], int], settings: SupervisorSettings | None = None
    ) -> None:
        self.config, self.get_worker_count = config, get_worker_count
        self.settings = settings or SupervisorSettings()
        self.supervisor = Supervisor(get_worker_count(), self.settings)
        self.loop = asyncio.get_running_loop()
        self.processes: dict[int, WorkerProcess] = {}
        self.pending_signals: dict[int, signal.Signals] = {}  # to processes that are still being made
        self.timer: asyncio.TimerHandle | None = None
        self.listener = ListeningSocket()
        self.finished = asyncio.Event()
        self.stopping = asyncio.Event()  # it was told to end

    async def run(self) -> None:
        """Keep the workers running until they are told to end and have ended. Raises OSError, ConfigError."""
        self.listener.rebind(load_config(self.config).listen)
        for signum in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(signum, self.stop)
        self.loop.add_signal_handler(signal.SIGHUP, self.replace_workers)
        self.perform(self.supervisor.tick(self.loop.time()))
        try:
            await self.finished.wait()
        finally:
            self.listener.close()
            for worker in self.processes.values():  # only a fault of this process leaves any
                worker.process.kill()
            await asyncio.gather(*(worker.process.wait() for worker in self.processes.values()))

    # ---- from outside ----

    def stop(self) -> None:
        log.info("ending")
        self.stopping.set()
        self.perform(self.supervisor.stop(self.loop.time()))

    def replace_workers(self) -> None:
        """Bring in what the configuration says now: the number of workers, and each worker anew."""
        try:
            worker_count = self.get_worker_count()
        except Exception as error:  # whatever is wrong with it, those that run go on
            return log.error("not replaced, the workers stay as they are: %s", error)
        try:
            self.listener.rebind(load_config(self.config).listen)
        except (ConfigError, OSError) as error:  # the machine sees that no second worker starts with it
            log.error("the address stays as it is: %s", error)
        now = self.loop.time()
        if worker_count != self.supervisor.worker_count:
            self.perform(self.supervisor.resize(now, worker_count))
        self.perform(self.supervisor.replace_workers(now))

    # ---- actions ----

    def perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case StartWorker(slot, version):
                    self.loop.create_task(self.start_worker(slot, version))
                case DrainWorker(slot):
                    self.signal_worker(slot, signal.SIGTERM)
                case KillWorker(slot, _):
                    self.signal_worker(slot, signal.SIGKILL)
                case RefuseConnections():
                    self.listener.refuse_connections()
                case LogMessage(text):
                    log.info("%s", text)
                case ReportFinished():
                    self.finished.set()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        deadline = self.supervisor.next_deadline()
        if deadline < float("inf") and not self.finished.is_set():
            self.timer = self.loop.call_at(max(deadline, self.loop.time()) + 0.001, self.tick)

    def tick(self) -> None:
        self.perform(self.supervisor.tick(self.loop.time()))

    def signal_worker(self, slot: int, signal_number: signal.Signals) -> None:
        worker = self.processes.get(slot)
        if worker is None:
            # Danger: its process is still being made. A signal that was dropped would leave the slot waiting
            # for an end that nobody has asked for.
            self.pending_signals[slot] = signal_number
            return
        try:
            worker.process.send_signal(signal_number)
        except ProcessLookupError:
            pass  # its end is on its way here

    async def start_worker(self, slot: int, version: int) -> None:
        assert self.listener.socket is not None
        listener_fd = self.listener.socket.fileno()
        read_fd, write_fd = os.pipe()
        try:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "roadpulley.workers.worker",
                env={
                    **os.environ,
                    "LB_CONFIG": self.config,
                    "ROADPULLEY_WORKER": str(slot),
                    "ROADPULLEY_WORKERS": str(self.supervisor.worker_count),
                    "ROADPULLEY_LISTEN_FD": str(listener_fd),
                    "ROADPULLEY_BEAT_FD": str(write_fd),
                    "ROADPULLEY_BEAT_S": str(self.settings.heartbeat_interval_s),
                },
                stdin=asyncio.subprocess.DEVNULL,
                pass_fds=(write_fd, listener_fd),
            )
        except OSError as error:
            os.close(read_fd)
            return self.perform(
                self.supervisor.handle_exit(self.loop.time(), slot, f"could not be started: {error.strerror}")
            )
        finally:
            os.close(write_fd)
        worker = self.processes[slot] = WorkerProcess(process, version, [])
        worker.tasks = [
            self.loop.create_task(self.read_messages(slot, read_fd)),
            self.loop.create_task(self.wait_for_exit(slot, worker)),
        ]
        if pending_signal := self.pending_signals.pop(slot, None):
            self.signal_worker(slot, pending_signal)

    async def read_messages(self, slot: int, fd: int) -> None:
        reader = asyncio.StreamReader()
        transport, _ = await self.loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), os.fdopen(fd, "rb")
        )
        try:
            while line := await reader.readline():
                fields = line.split()
                if fields[0] == b"serves":
                    log.info("worker %d serves at port %s", slot, fields[1].decode())
                    self.perform(self.supervisor.handle_serving(self.loop.time(), slot))
                elif fields[0] == b"closes":
                    self.perform(self.supervisor.handle_closed(self.loop.time(), slot))
                elif fields[0] == b"beat":
                    self.perform(
                        self.supervisor.handle_heartbeat(self.loop.time(), slot, float(fields[1]) / 1000)
                    )
        finally:
            transport.close()

    async def wait_for_exit(self, slot: int, worker: WorkerProcess) -> None:
        exit_code = await worker.process.wait()
        if self.processes.get(slot) is worker:
            del self.processes[slot]
        self.perform(self.supervisor.handle_exit(self.loop.time(), slot, f"code {exit_code}"))
