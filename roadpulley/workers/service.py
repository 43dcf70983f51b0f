"""Runs the processes, pipes, signals and timers of a supervisor. The state machine makes the decisions."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
import socket
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from roadpulley.core.settings import Address, GatewayConfig, load_config, load_replacement
from roadpulley.operations.listen_retry import listen_with_retries

from .messages import parse_overdue_s
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

CONFIG_ERROR_EXIT_CODE = 2  # of a worker that can't start with its configuration


@dataclass(eq=False)
class WorkerProcess:
    """A running worker, with the tasks that read its pipe and wait for its exit."""

    process: asyncio.subprocess.Process
    version: int
    tasks: list[asyncio.Task[None]]


def bind_socket(address: Address) -> socket.socket:
    """Return a TCP socket that is bound to the address but does not listen yet. Raises OSError."""
    bound_socket = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    try:
        bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound_socket.bind(address)
    except OSError:
        bound_socket.close()
        raise
    return bound_socket


class ListeningSocket:
    """The listening socket that all workers share. It and its accept queue outlive each worker.

    The socket is only bound here. It listens once a worker calls `listen`, so that no connection is
    queued while no worker serves.
    """

    def __init__(self) -> None:
        self.address: Address | None = None
        self.socket: socket.socket | None = None

    def rebind(self, address: Address) -> None:
        """Bind to the address if it has changed. Running workers keep the old socket. Raises OSError."""
        if address == self.address:
            return
        bound_socket = bind_socket(address)
        if not address[1]:
            # On shutdown a socket loses a port that the kernel chose, but keeps one that was requested. The
            # chosen port is therefore bound again by its number.
            with bound_socket:
                bound_socket = bind_socket(bound_socket.getsockname()[:2])
        self.close()
        self.socket, self.address = bound_socket, address

    def refuse_connections(self) -> None:
        """Refuse connections until a worker listens again. Clients can use another gateway at once."""
        try:
            if self.socket is not None:
                self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # the socket does not listen

    def close(self) -> None:
        """Close the socket, if there is one. Workers keep their copies."""
        if self.socket is not None:
            self.socket.close()
            self.socket = self.address = None


class SupervisorService:
    """Supervises the workers of one gateway.

    It reads the configuration once at the start and once at each SIGHUP, and accepts it whole or not at all.
    Workers start from what was accepted, not from the file, which may be broken when one dies.

    `get_worker_count` and `check_settings` are called at each replacement and raise an error that names what
    is wrong; the first is called at the start, too.
    """

    def __init__(
        self,
        config_path: str,
        get_worker_count: Callable[[], int],
        settings: SupervisorSettings | None = None,
        check_settings: Callable[[dict[str, Any]], object] = lambda settings: None,
    ) -> None:
        self.config_path, self.get_worker_count = config_path, get_worker_count
        self.check_settings = check_settings
        self.config: GatewayConfig | None = None  # the accepted one
        self.previous_config: GatewayConfig | None = None  # until a worker serves with the accepted one
        self.settings = settings or SupervisorSettings()
        self.supervisor = Supervisor(get_worker_count(), self.settings)
        self.loop = asyncio.get_running_loop()
        self.processes: dict[int, WorkerProcess] = {}
        self.pending_signals: dict[int, signal.Signals] = {}  # for processes that are still being created
        self.timer: asyncio.TimerHandle | None = None
        self.listener = ListeningSocket()
        self.finished = asyncio.Event()
        self.stopping = asyncio.Event()  # set once `stop` was called

    async def load_first_config(self) -> bool:
        """Accept the configuration and bind to its address; return False if it is stopped before.

        Workers of a supervisor that was killed hold the address until they have ended. Raises ConfigError.
        """
        config = load_config(self.config_path)

        async def bind() -> int:
            self.listener.rebind(config.listen)
            return config.listen[1]

        stopped = self.loop.create_task(self.stopping.wait())
        port = await listen_with_retries("listen", config.listen, bind, stopped)
        stopped.cancel()
        self.config = config
        return port is not None

    async def run(self) -> None:
        """Run the workers until they are stopped and have exited. Raises ConfigError."""
        for signum in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(signum, self.stop)
        self.loop.add_signal_handler(signal.SIGHUP, self.replace_workers)
        if not await self.load_first_config():
            return
        self.perform(self.supervisor.tick(self.loop.time()))
        try:
            await self.finished.wait()
        finally:
            self.listener.close()
            for worker in self.processes.values():  # workers remain only after an error in this process
                worker.process.kill()
            await asyncio.gather(*(worker.process.wait() for worker in self.processes.values()))

    # ---- requests from signals and callers ----

    def stop(self) -> None:
        """Drain all workers and finish."""
        log.info("stopping all workers")
        self.stopping.set()
        self.perform(self.supervisor.stop(self.loop.time()))

    def replace_workers(self) -> None:
        """Accept the current configuration, change the number of workers and replace each of them.

        If anything is wrong, nothing changes.
        """
        if self.config is None:
            return  # it is read when the address is free
        try:
            worker_count = self.get_worker_count()
            config = load_replacement(self.config_path, self.config)
            self.check_settings(config.raw_settings)
            self.listener.rebind(config.listen)
        except Exception as error:  # no error here may stop running workers
            return log.error("not replaced, the workers stay as they are: %s", error)
        self.previous_config = self.previous_config or self.config
        self.config = config
        now = self.loop.time()
        if worker_count != self.supervisor.worker_count:
            self.perform(self.supervisor.resize(now, worker_count))
        self.perform(self.supervisor.replace_workers(now))

    def restore_previous_config(self) -> None:
        """Go back to the configuration before, as no worker can start with the accepted one."""
        assert self.previous_config is not None
        self.config, self.previous_config = self.previous_config, None
        log.error("a worker can't start with the new configuration: the old one stands")
        try:
            self.listener.rebind(self.config.listen)
        except OSError as error:
            log.error("the listen address of before can't be taken: %s", error)
        self.perform(self.supervisor.abort_replacement(self.loop.time()))

    # ---- actions ----

    def perform(self, actions: list[Action]) -> None:
        """Carry out actions, then set the timer for the next deadline."""
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
        deadline = self.supervisor.get_next_deadline()
        if deadline < float("inf") and not self.finished.is_set():
            self.timer = self.loop.call_at(max(deadline, self.loop.time()) + 0.001, self.tick)

    def tick(self) -> None:
        """Handle the deadlines that have passed."""
        self.perform(self.supervisor.tick(self.loop.time()))

    def signal_worker(self, slot: int, signal_number: signal.Signals) -> None:
        """Send a signal to the worker of a slot, or keep it until the process exists."""
        worker = self.processes.get(slot)
        if worker is None:
            # The process is still being created. If the signal were dropped, the slot would wait for the
            # exit of a process that never received a signal.
            self.pending_signals[slot] = signal_number
            return
        try:
            worker.process.send_signal(signal_number)
        except ProcessLookupError:
            pass  # the process has exited and `wait_for_exit` will report it

    async def start_worker(self, slot: int, version: int) -> None:
        """Create a worker process and the tasks that watch it."""
        assert self.listener.socket is not None and self.config is not None
        listener_fd = self.listener.socket.fileno()
        read_fd, write_fd = os.pipe()
        try:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "roadpulley.workers.worker",
                env={
                    **os.environ,
                    "LB_CONFIG": self.config_path,
                    "ROADPULLEY_WORKER": str(slot),
                    "ROADPULLEY_WORKERS": str(self.supervisor.worker_count),
                    "ROADPULLEY_LISTEN_FD": str(listener_fd),
                    "ROADPULLEY_BEAT_FD": str(write_fd),
                    "ROADPULLEY_BEAT_S": str(self.settings.heartbeat_interval_s),
                },
                stdin=asyncio.subprocess.PIPE,
                pass_fds=(write_fd, listener_fd),
            )
        except OSError as error:
            os.close(read_fd)
            return self.perform(
                self.supervisor.handle_exit(self.loop.time(), slot, f"could not be started: {error.strerror}")
            )
        finally:
            os.close(write_fd)
        assert process.stdin is not None
        process.stdin.write(json.dumps(self.config.raw).encode())
        process.stdin.close()
        worker = self.processes[slot] = WorkerProcess(process, version, [])
        worker.tasks = [
            self.loop.create_task(self.read_messages(slot, version, read_fd)),
            self.loop.create_task(self.wait_for_exit(slot, worker)),
        ]
        if pending_signal := self.pending_signals.pop(slot, None):
            self.signal_worker(slot, pending_signal)

    async def read_messages(self, slot: int, version: int, fd: int) -> None:
        """Read the messages of a worker from its pipe until the pipe is closed."""
        reader = asyncio.StreamReader()
        transport, _ = await self.loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), os.fdopen(fd, "rb")
        )
        try:
            while line := await reader.readline():
                fields = line.split()
                if fields[0] == b"serves":
                    log.info("worker %d serves at port %s", slot, fields[1].decode())
                    if version == self.supervisor.version:
                        self.previous_config = None
                    self.perform(self.supervisor.handle_serving(self.loop.time(), slot))
                elif fields[0] == b"closes":
                    self.perform(self.supervisor.handle_closed(self.loop.time(), slot))
                elif fields[0] == b"values":
                    self.perform(self.supervisor.handle_values_under_way(self.loop.time(), slot))
                elif fields[0] == b"beat":
                    overdue_s = parse_overdue_s(fields)
                    self.perform(self.supervisor.handle_heartbeat(self.loop.time(), slot, overdue_s))
        finally:
            transport.close()

    async def wait_for_exit(self, slot: int, worker: WorkerProcess) -> None:
        """Report the exit of a worker to the state machine."""
        exit_code = await worker.process.wait()
        if self.processes.get(slot) is worker:
            del self.processes[slot]
        is_current = worker.version == self.supervisor.version
        if exit_code == CONFIG_ERROR_EXIT_CODE and is_current and self.previous_config is not None:
            self.restore_previous_config()
        self.perform(self.supervisor.handle_exit(self.loop.time(), slot, f"code {exit_code}"))
