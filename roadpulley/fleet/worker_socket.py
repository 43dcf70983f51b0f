"""The socket at which an instance hears the processes beside it, on the same machine: Unix datagrams.

Lost ones are asked for again, as on a link. An instance remembers nothing for those processes but where they
listen, so that it may break and come back under them.
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

MAX_WORKERS = 1_024  # processes beside this instance; those heard least lately go

WorkerMessage: TypeAlias = FromHolder | AddRequest | Poll | ObservationBatch
DECODER: msgspec.msgpack.Decoder[WorkerMessage] = msgspec.msgpack.Decoder(WorkerMessage)
ENCODER = msgspec.msgpack.Encoder()


class WorkerSocket(asyncio.DatagramProtocol):
    """`taken` gets what a process says; `tell` answers it by its number."""

    def __init__(self, path: Path, handler: Callable[[WorkerMessage], None]) -> None:
        self.path, self.message_handler = path, handler
        self.worker_paths: OrderedDict[int, str] = OrderedDict()  # by number, the path of its socket
        self.counters: Counter[str] = Counter()
        self.socket: DatagramSocket | None = None

    async def open(self) -> None:
        """Raises OSError."""
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
        for holder in list(self.worker_paths):
            self.send_to(holder, body)

    def send_to(self, holder: int, body: Any) -> None:
        path = self.worker_paths.get(holder)
        if path is None or self.socket is None:
            self.counters["to nobody"] += 1
            return
        try:
            self.socket.send(ENCODER.encode(body), path)
        except BlockingIOError:
            self.counters["lost beside"] += 1  # as on a link: it is asked for again
        except OSError:
            del self.worker_paths[holder]  # it has ended, perhaps without taking its socket away
            if Path(path).name.startswith(f"{self.path.name}."):
                self.path.with_name(Path(path).name).unlink(missing_ok=True)

    def error_received(self, exc: Exception) -> None:
        self.counters[type(exc).__name__] += 1
