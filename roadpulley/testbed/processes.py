"""Gateways as processes: the very program that the platform's `run` starts.

Danger: if the command that started them is killed outright, its gateways must end too. On Linux the kernel
sees to that; elsewhere a gateway notices nothing, and `Gateways` end only with an orderly stop.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import signal
import socket
import sys
from collections import deque
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from roadpulley.core.clock import now_ms

from .ledger import Ended, Ledger, Pause
from .server import Port

LOG_LINES = 40
PR_SET_PDEATHSIG = 1
END_S = 2.0


def _libc() -> Any:
    if not sys.platform.startswith("linux"):
        return None
    return ctypes.CDLL(None, use_errno=True)


LIBC = _libc()  # loaded before any fork: a child must not load anything


def end_with_parent(parent: int) -> None:
    """In a new child, before its program: ask the kernel to kill it when its parent dies."""
    if LIBC is not None:
        LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
        if os.getppid() != parent:  # it died between the fork and this
            os.kill(os.getpid(), signal.SIGKILL)


class GatewayExitError(Exception):
    """A gateway ended that nobody had ended. The text is one line."""


class GatewayProcess:
    """One gateway, as one process after the other under one name."""

    def __init__(
        self,
        name: str,
        folder: Path,
        config: dict[str, Any],
        port: Port,
        ledger: Ledger,
        workers: str = "",
        listener: socket.socket | None = None,
        more: Sequence[str] = (),
        program: Sequence[str] = ("roadpulley",),
    ) -> None:
        """`listener`: outlives the process, which inherits it; so do those that take its place.

        `more`: arguments of `serve`. `program`: module and arguments of a gateway without workers.
        """
        self.listener, self.path = listener, folder / f"{name}.json"
        self.name, self.folder, self.config, self.port, self.ledger = name, folder, config, port, ledger
        self.args = ["roadpulley.cli", "serve", "--workers", workers, *more] if workers else [*program]
        self.process: asyncio.subprocess.Process | None = None
        self.lines: deque[str] = deque(maxlen=LOG_LINES)
        self.reader: asyncio.Task[None] | None = None
        self.called = False  # its end was asked for
        self.killed = False
        self.stopped = False  # the whole installation ends
        self.pause: Pause | None = None
        self.starts = 0
        self.crashed: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    @property
    def running(self) -> bool:
        """Whether it lives and was not killed; one that was killed may not be reaped yet."""
        return self.process is not None and self.process.returncode is None and not self.killed

    @property
    def pid(self) -> int:
        """The id of the process that runs."""
        assert self.process is not None
        return self.process.pid

    async def start_beside(self) -> asyncio.subprocess.Process:
        """Start the next process while this one serves; gives the one before, for the caller to stop."""
        before = self.process
        assert before is not None
        await self.start()
        return before

    async def start(self) -> None:
        """Start the next process. Raises OSError."""
        self.called = self.killed = False
        self.starts += 1
        path = self.path
        path.write_text(json.dumps({**self.config, "seed": f"{self.seed():016x}"}))
        parent = os.getpid()
        shared = {"TMPDIR": str(self.folder)}
        if self.listener is not None:
            shared["LB_ACCEPT_FD"] = str(self.listener.fileno())
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *self.args,
            env={**os.environ, **shared, "LB_CONFIG": str(path), "LB_NAME": self.name},
            pass_fds=[self.listener.fileno()] if self.listener is not None else [],
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=lambda: end_with_parent(parent),
            start_new_session=True,  # Ctrl-C is for the command, which ends them in order
        )
        self.reader = asyncio.create_task(self._read(self.process))

    def seed(self) -> int:
        """New with each start, and the same in each run."""
        return (int(self.config["seed"], 16) + self.starts * 0x9E3779B97F4A7C15) % 2**64

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        with (self.folder / f"{self.name}.log").open("ab") as log:
            async for line in process.stderr:
                log.write(line)
                log.flush()
                self.lines.append(line.decode(errors="replace").rstrip())
        code = await process.wait()
        replaced = process is not self.process
        how = "killed" if self.killed else "finished" if self.called or replaced else "crashed"
        if not self.stopped:
            self.ledger.ended.append(Ended(self.name, now_ms(), how))
        if how == "crashed" and not self.crashed.done():
            last = next((line for line in reversed(self.lines) if line.strip()), "it said nothing")
            self.crashed.set_result(f"gateway {self.name} ended uncalled with {code}: {last}")

    # ---- faults ----

    def kill(self) -> None:
        """SIGKILL."""
        if self.running:
            self.called = self.killed = True  # first: who sees a connection end must know why
            self.signal(signal.SIGKILL)
            self.resume()

    def terminate(self) -> None:
        """SIGTERM: it drains and ends."""
        self.called = True
        self.signal(signal.SIGTERM)

    def hang(self) -> None:
        """SIGSTOP, recorded as a pause."""
        if self.running and self.pause is None:
            self.pause = Pause(self.name, now_ms())
            self.ledger.pauses.append(self.pause)
            self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """SIGCONT, and the end of the pause."""
        if self.pause is not None:
            if self.running:
                self.signal(signal.SIGCONT)
            self.pause.until, self.pause = now_ms(), None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if it runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def ended(self, within: float) -> bool:
        """Wait for its end; whether it came."""
        if self.reader is None:
            return True
        done, _ = await asyncio.wait({self.reader}, timeout=within)
        return bool(done)

    async def stop(self) -> None:
        """End it whatever state it is in."""
        self.called = self.stopped = True
        self.resume()
        if self.listener is not None:
            self.listener.close()
        if self.process is not None and not await self.ended(0):
            try:
                os.killpg(self.process.pid, signal.SIGKILL)  # its workers with it
            except ProcessLookupError:
                pass
        await self.ended(END_S)
