"""The Unix datagram socket on which an instance talks to the gateway workers on its machine.

Datagrams may be lost, as on a network; the workers retry. The only state that an instance keeps for a worker
is the path of its socket, so an instance may crash and restart without the workers' involvement.
"""

from __future__ import annotations

import asyncio
from collections import Counter, OrderedDict
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeAlias

import msgspec

from .counts.messages import AddRequest
from .orders.messages import Poll
from .rights.messages import FromHolder
from .unix_socket import DatagramSocket, SocketPath
from .verdicts.messages import ObservationBatch

MAX_WORKERS = 1_024  # beyond it, the worker that sent least recently is forgotten

WorkerMessage: TypeAlias = FromHolder | AddRequest | Poll | ObservationBatch
DECODER: msgspec.msgpack.Decoder[WorkerMessage] = msgspec.msgpack.Decoder(WorkerMessage)
ENCODER = msgspec.msgpack.Encoder()


class WorkerSocket(asyncio.DatagramProtocol):
    """Passes the messages of workers to `handler`; `send_to` answers a worker by its number."""

    def __init__(self, path: Path, handler: Callable[[WorkerMessage], None]) -> None:
        self.path, self.message_handler = path, handler
        self.worker_paths: OrderedDict[int, str] = OrderedDict()  # socket paths, by worker number
        self.counters: Counter[str] = Counter()
        self.socket: DatagramSocket | None = None

    async def open(self) -> None:
        """Bind the socket. Raises OSError."""
        self.socket = await SocketPath(self.path).open_datagram_socket(self)

    def close(self) -> None:
        if self.socket is not None:
            self.socket.close()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        try:
            body = DECODER.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError):
            self.counters["garbled"] += 1
            return
        if not isinstance(addr, str) or not addr:
            self.counters["from nowhere"] += 1
            return
        self.worker_paths[body.holder] = addr
        self.worker_paths.move_to_end(body.holder)
        if len(self.worker_paths) > MAX_WORKERS:
            self.worker_paths.popitem(last=False)
        self.message_handler(body)

    def send_to_all(self, body: Any) -> None:
        """Send a message to every known worker."""
        for worker in list(self.worker_paths):
            self.send_to(worker, body)

    def send_to(self, worker: int, body: Any) -> None:
        """Send a message to one worker. It may be lost; failures are only counted."""
        path = self.worker_paths.get(worker)
        if path is None or self.socket is None:
            self.counters["to nobody"] += 1
            return
        try:
            self.socket.send(ENCODER.encode(body), path)
        except BlockingIOError:
            self.counters["lost beside"] += 1  # the receiver's buffer is full; the worker retries
        except OSError:
            del self.worker_paths[worker]  # the worker ended, perhaps without removing its socket
            if Path(path).name.startswith(f"{self.path.name}."):
                self.path.with_name(Path(path).name).unlink(missing_ok=True)

    def error_received(self, exc: Exception) -> None:
        self.counters[type(exc).__name__] += 1
