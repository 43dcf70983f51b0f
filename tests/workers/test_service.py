"""The supervisor's shell: its socket, and signals that come before the process they are for."""

from __future__ import annotations

import asyncio
import json
import socket
from pathlib import Path

import pytest
import uvloop

from roadpulley.testbed import terms
from roadpulley.workers.service import ListeningSocket, SupervisorService


def test_a_stop_while_processes_are_still_being_made_reaches_them(tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    raw = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": terms.settings(0, 1)}
    config.write_text(json.dumps(raw))

    async def work() -> None:
        service = SupervisorService(str(config), lambda: 2)
        running = asyncio.create_task(service.run())
        await asyncio.sleep(0)  # the starts are asked for, and no process is there
        assert not service.processes
        service.stop()
        assert len(service.pending_signals) == 2
        async with asyncio.timeout(
            service.settings.drain_timeout_s * 0.75
        ):  # not by the kill that ends what is overdue
            await running
        assert not service.processes and not service.pending_signals

    uvloop.run(work())


def test_what_waits_at_the_door_outlives_the_worker_that_listened() -> None:
    """Connected while a worker accepts, it is taken by the next; refused only once nobody listens."""
    listener = ListeningSocket()
    listener.rebind(("127.0.0.1", 0))
    assert listener.socket is not None
    address = listener.socket.getsockname()
    with pytest.raises(ConnectionRefusedError):  # bound, and nobody serves
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
    listener.refuse_connections()  # at any time
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address, timeout=5).close()
    second.listen(8)  # as a worker does when it starts
    socket.create_connection(address, timeout=5).close()
    second.close()
    listener.close()


def test_an_address_that_is_taken_leaves_the_door_as_it_was() -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        listener = ListeningSocket()
        listener.rebind(("127.0.0.1", 0))
        before = listener.socket
        with pytest.raises(OSError):
            listener.rebind(taken.getsockname())
        assert listener.socket is before and before is not None and before.fileno() >= 0
        listener.close()
