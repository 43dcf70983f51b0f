"""A gateway that ends after SIGTERM cuts a long value off that it is passing on."""

from __future__ import annotations

import asyncio
import os
import signal
import time

from rig import (
    BROKEN,
    HELD,
    TROUBLE,
    Command,
    World,
    make_request,
    make_settings,
    read_reply,
    request_class,
    run_case,
    served,
)

VALUE_BYTES = 4 * 1024 * 1024  # the page: up to 4 MiB
PIECE_BYTES = 192 * 1024
PAUSE_S = 0.2  # between two pieces: the backend takes 4.4 s to write the value
WAIT_MS = 4000  # the page: 50 to 100% of the class's time, which is 4 s
TERM_AFTER_S = 0.3  # after the last request; its value has begun by then
KILL_AFTER_S = 8.0  # the page: no sooner than 3.7 s after SIGTERM
CLIENTS = 4


async def play(world: World) -> int:
    value = os.urandom(1024) * (VALUE_BYTES // 1024)
    ended_at = float("inf")  # the gateway, by itself
    given_after_end: dict[str, int] = {}  # bytes that the backend still had to give when the gateway ended

    async def answer(command: Command, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.1)
        data, at = served(value), 0
        try:
            while at < len(data):
                writer.write(data[at : at + PIECE_BYTES])
                at += PIECE_BYTES
                await writer.drain()
                if at < len(data):
                    await asyncio.sleep(PAUSE_S)
                if writer.transport.is_closing():
                    raise ConnectionResetError
        except OSError:
            given_after_end[command.id] = len(data) - at
            world.record(f"{command.backend}: the gateway closed after {at} of {len(data)} bytes")
            raise
        world.record(f"{command.backend} has written the whole value of {command.id}")

    world.add_backends(4, answer)
    settings = make_settings([request_class("quote", "pure", 1500.0, 4000.0, 1.0)])
    gateway = await world.start_gateway(settings)
    found: list[str] = []

    async def client(number: int) -> None:
        identity, data = make_request(b"API.READ", number, "quote", WAIT_MS)
        reader, writer = await asyncio.open_connection("127.0.0.1", world.port, limit=2**23)
        writer.write(data)
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(20):
                reply = await read_reply(reader)
            outcome = "whole" if reply == b"$" + value else f"not served: {reply[:40]!r}"
        except (EOFError, OSError, TimeoutError) as error:
            outcome = f"cut off: {error}"
        found.append(outcome)
        world.record(f"client of {identity} after {time.monotonic() - sent_at:.2f} s: {outcome}")
        writer.close()

    clients = [asyncio.ensure_future(client(number)) for number in range(CLIENTS)]
    code: int | None = None
    if TROUBLE:
        await asyncio.sleep(TERM_AFTER_S)
        gateway.signal(signal.SIGTERM)
        terminated_at = time.monotonic()
        code = await gateway.wait(KILL_AFTER_S)
        if code is None:
            gateway.signal(signal.SIGKILL)
        else:
            ended_at = time.monotonic()
            world.record(f"the gateway ended by itself {ended_at - terminated_at:.2f} s after SIGTERM")
    await asyncio.gather(*clients)
    await asyncio.sleep(PAUSE_S * 2)  # until each backend has seen the end of its connection
    cut = [outcome for outcome in found if outcome.startswith("cut off")]
    world.record(f"{len(found)} requests, all sent before SIGTERM: {len(cut)} values were cut off")
    return BROKEN if cut and given_after_end and code is not None else HELD


run_case(__file__, play)
