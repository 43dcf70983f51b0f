"""A long value whose backend goes on writing is cut off once the request's time is over."""

from __future__ import annotations

import asyncio
import os
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

VALUE_BYTES = 1024 * 1024  # the page: up to 4 MiB
PIECE_BYTES = 128 * 1024
PAUSE_S = 0.5 if TROUBLE else 0.0  # between two pieces: the backend takes 4 s to write the value
WAIT_MS = 2000  # the page: a try is given up after 50 to 100% of the class's time, which is 4 s
REQUESTS = 6


async def play(world: World) -> int:
    value = os.urandom(1024) * (VALUE_BYTES // 1024)
    cut: dict[str, int] = {}  # bytes that a backend had written when its connection was closed

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
            cut[command.id] = min(at, len(data))
            world.record(f"{command.backend}: the gateway closed after {at} of {len(data)} bytes")
            raise
        world.record(f"{command.backend} has written the whole value of {command.id}")

    world.add_backends(3, answer)
    settings = make_settings([request_class("quote", "pure", 1500.0, 4000.0, 1.0)])
    await world.start_gateway(settings)
    whole = 0
    reasons: list[str] = []

    async def client(number: int) -> None:
        nonlocal whole
        await asyncio.sleep(number * 0.3)
        identity, data = make_request(b"API.READ", number, "quote", WAIT_MS)
        reader, writer = await asyncio.open_connection("127.0.0.1", world.port, limit=2**22)
        writer.write(data)
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(15):
                reply = await read_reply(reader)
            found = "whole" if reply == b"$" + value else f"not served: {reply[:40]!r}"
        except (EOFError, OSError, TimeoutError) as error:
            found = f"cut off: {error}"
        whole += found == "whole"
        reasons.append(found)
        world.record(f"client of {identity} after {time.monotonic() - sent_at:.2f} s: {found}")
        writer.close()

    await asyncio.gather(*(client(number) for number in range(REQUESTS)))
    await asyncio.sleep(2 * PAUSE_S)  # until each backend has seen the end of its connection
    world.record(f"{whole} of {REQUESTS} values came whole; {len(cut)} were cut while their backend wrote on")
    broken = [text for text in reasons if text.startswith("cut off")]
    return BROKEN if broken and cut else HELD


run_case(__file__, play)
