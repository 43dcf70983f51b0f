"""Clients that send at full speed, from one connection or from many: memory is bounded, others are served."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import flood_client
import pytest
from loopback import Backend, World, in_loop, request
from test_process import connect, launched

MEMORY_MB = 64
MAX_MEMORY_RATIO = 0.9
MAX_P99_S = 0.5
FLOOD_S = 5.0
QUIET_CUSTOMERS = 8


def peak_memory_mb(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) / 1024


@asynccontextmanager
async def flooded(port: int, kind: str, clients: int) -> AsyncIterator[None]:
    """Clients that send until the end, in another process: this one measures."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, str(flood_client.__file__), str(port), kind, str(clients)
    )
    try:
        yield
        assert process.returncode is None, "the flood has ended early"
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def measure_waits(port: int) -> list[float]:
    """The waits of a client that has one request open at a time, in ascending order."""
    peer, waits, number = await connect(port), [], 0
    end = time.monotonic() + FLOOD_S
    while time.monotonic() < end:
        number += 1
        customer = b"%016x" % (2**32 + number % QUIET_CUSTOMERS)
        began = time.monotonic()
        peer.send(*request(id=b"f%015x" % number, customer=customer, wait=3000))
        assert await peer.receive() is not None
        waits.append(time.monotonic() - began)
        await asyncio.sleep(0.02)
    peer.close()
    return sorted(waits)


# Report c39a3a, picture (c): memory grew without end, or other clients waited for seconds.
@pytest.mark.alone
@pytest.mark.parametrize(
    ("kind", "clients"), [("new-customers", 1), ("new-customers", 100), ("unsound", 32), ("ping", 32)]
)
def test_clients_at_full_speed_fill_no_memory_and_delay_no_other(
    kind: str, clients: int, tmp_path: Path
) -> None:
    async def scenario() -> None:
        world = World(*(Backend() for _ in range(4)), memory_mb=MEMORY_MB)
        async with launched(world, tmp_path) as (process, _, port):
            (await connect(port)).close()
            async with flooded(port, kind, clients):
                waits = await measure_waits(port)
                assert peak_memory_mb(process.pid) < MAX_MEMORY_RATIO * MEMORY_MB
                assert waits[int(len(waits) * 0.99)] < MAX_P99_S, waits[-10:]

    in_loop(scenario)
