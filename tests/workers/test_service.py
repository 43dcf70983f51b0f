"""The supervisor's service: its listening socket, and signals for processes that are still being created."""

from __future__ import annotations

import asyncio
import json
import os
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any
from unittest import mock

import pytest
import uvloop
from loopback import until

from roadpulley.checks import ValidationError
from roadpulley.testbed import terms
from roadpulley.workers.service import ListeningSocket, SupervisorService
from roadpulley.workers.supervisor import State
from roadpulley.workers.worker import RIGHTS_ENV

PLANS = terms.settings(0, 1)["packages"]


def test_stop_reaches_processes_that_are_still_being_created(tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    write_config(config)

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


def write_config(path: Path, **changes: Any) -> None:
    """A configuration of a gateway whose agent is away, with other settings."""
    raw = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": terms.settings(0, 1)}
    path.write_text(json.dumps({**raw, **changes}))


BROKEN_FILES: dict[str, Callable[[Path], object]] = {
    "empty": lambda path: path.write_text(""),
    "cut off": lambda path: path.write_text(path.read_text()[:-40]),
    "a key is missing": lambda path: write_config(path, settings={**terms.settings(0, 1), "caps": {}}),
    "deadline": lambda path: write_config(path, settings=change_class(deadline=-5)),
    "attempts": lambda path: write_config(path, settings=change_attempts(0)),
    "no file": lambda path: path.unlink(),
    "address of another machine": lambda path: write_config(path, listen="192.0.2.1:7000"),
}


def change_class(**changes: Any) -> dict[str, Any]:
    settings = terms.settings(0, 1)
    first, *others = settings["classes"]
    return {**settings, "classes": [{**first, **changes}, *others]}


def change_attempts(count: int) -> dict[str, Any]:
    settings = terms.settings(0, 1)
    return {**settings, "caps": {**settings["caps"], "maxAttempts": count}}


@asynccontextmanager
async def running_service(config: Path, **options: Any) -> AsyncIterator[SupervisorService]:
    """A service with one worker that serves, and no signal handler left behind."""
    service = SupervisorService(str(config), lambda: 1, **options)
    task = asyncio.create_task(service.run())
    try:
        await until(lambda: is_serving(service))
        yield service
    finally:
        service.stop()
        await task


def is_serving(service: SupervisorService) -> bool:
    states = [slot.state for slot in service.supervisor.slots.values()]
    return states == [State.SERVING]


@pytest.mark.parametrize("fault", BROKEN_FILES)
def test_a_reload_of_a_broken_file_leaves_the_only_worker_and_its_settings(
    fault: str, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a gateway that a broken file takes away, at SIGHUP or when its worker dies."""
    config = tmp_path / "config.json"
    write_config(config)

    async def work() -> None:
        async with asyncio.timeout(30), running_service(config) as service:
            worker, accepted = service.processes[0], service.config
            BROKEN_FILES[fault](config)
            for _ in range(3):  # in quick succession
                service.replace_workers()
            assert service.processes[0] is worker and is_serving(service)
            assert service.config is accepted
            worker.process.kill()
            await until(lambda: service.processes.get(0) not in (worker, None))
            await until(lambda: is_serving(service))
            write_config(config, settings=change_class(deadline=2_000))
            service.replace_workers()
            await until(lambda: service.supervisor.slots[0].state is State.DRAINING)
            await until(lambda: is_serving(service))
            assert service.config is not accepted and service.previous_config is None

    uvloop.run(work())
    errors = [r.getMessage() for r in caplog.records if "not replaced, the workers stay" in r.getMessage()]
    assert len(errors) == 3


def test_a_configuration_with_which_no_worker_starts_is_given_up_for_the_one_before(tmp_path: Path) -> None:
    """It passes all checks of the supervisor, and its first worker turns it down all the same."""
    config = tmp_path / "config.json"
    write_config(config)

    async def work() -> None:
        async with asyncio.timeout(30), running_service(config) as service:
            accepted = service.config
            with mock.patch.dict(os.environ, {RIGHTS_ENV: json.dumps({"limits": {}, "part": 0.5})}):
                plans = [{**plan, "neverOverRate": 5.0, "hardBurst": 5.0} for plan in PLANS]
                write_config(config, settings={**terms.settings(0, 1), "packages": plans})
                service.replace_workers()
                await until(lambda: service.config is accepted)
            await until(lambda: is_serving(service))
            assert service.previous_config is None

    uvloop.run(work())


def test_what_the_options_of_serve_forbid_is_turned_down_at_a_reload(tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    write_config(config)

    def check_settings(settings: dict[str, Any]) -> None:
        if settings["classes"][0]["deadline"] == 2_000:
            raise ValidationError("orders.open_lease_s", "is too short", "give more")

    async def work() -> None:
        async with asyncio.timeout(30), running_service(config, check_settings=check_settings) as service:
            accepted = service.config
            write_config(config, settings=change_class(deadline=2_000))
            service.replace_workers()
            assert service.config is accepted and is_serving(service)

    uvloop.run(work())
