"""The supervisor's service: its listening socket, and signals for processes that are still being created."""

from __future__ import annotations

import asyncio
import json
import socket
from pathlib import Path

import pytest
import uvloop

from roadpulley.testbed import terms
from roadpulley.workers.service import ListeningSocket, SupervisorService


def test_stop_reaches_processes_that_are_still_being_created(tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    raw = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": terms.settings(0, 1)}
    config.write_text(json.dumps(raw))

    async def work() -> None:
        service = SupervisorService(str(config), lambda: 2)
        running = asyncio.create_task(service.run())
        await asyncio.sleep(0)  # the starts are scheduled, but no process exists
        assert not service.processes
        service.stop()
        assert len(service.pending_signals) == 2
        # The workers must exit before the drain timeout, which would have them killed.
        async with asyncio.timeout(service.settings.drain_timeout_s * 0.75):
            await running
        assert not service.processes and not service.pending_signals

    uvloop.run(work())


def test_queued_connections_outlive_the_worker_that_listened() -> None:
    """The next worker accepts a queued connection. Connections are refused only once no worker listens."""
    listener = ListeningSocket()
    listener.rebind(("127.0.0.1", 0))
    assert listener.socket is not None
    address = listener.socket.getsockname()
    with pytest.raises(ConnectionRefusedError):  # bound but not listening
        socket.create_connection(address, timeout=5).close()
    first = listener.socket.dup()
    first.listen(8)
    with socket.create_connection(address, timeout=5) as client:
        first.close()
        second = listener.socket.dup()
        accepted, _ = second.accept()
        accepted.sendall(b"+PONG")
        assert client.recv(5) == b"+PONG"
        accepted.close()
    listener.refuse_connections()
    listener.refuse_connections()  # may be repeated
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address, timeout=5).close()
    second.listen(8)  # as a worker does when it starts
    socket.create_connection(address, timeout=5).close()
    second.close()
    listener.close()


def test_rebind_to_an_address_in_use_keeps_the_socket() -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        listener = ListeningSocket()
        listener.rebind(("127.0.0.1", 0))
        before = listener.socket
        with pytest.raises(OSError):
            listener.rebind(taken.getsockname())
        assert listener.socket is before and before is not None and before.fileno() >= 0
        listener.close()
