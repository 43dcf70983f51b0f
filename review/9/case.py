"""A long value is held back, and then cut off, because another command stands behind it."""

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
PIECE_BYTES = 64 * 1024
PAUSE_S = 0.2  # between two pieces: the backend takes 3.3 s to write the value
MAX_HELD_S = 2.0  # the page: holding the rest back for 2 s loses the request
TOLERANCE_S = 0.5
LONG_THRESHOLD_BYTES = 64 * 1024  # over this, the first bytes are timed
ROUNDS = 3
WAITS_MS = (4000, 2000)  # the page: 50 to 100% of the class's time, which is 4 s


class Long:
    """One long value: when its backend had given more than 64 KiB, and when the client got its first byte."""

    def __init__(self) -> None:
        self.given_at = self.first_byte_at = float("inf")
        self.was_cut = False  # the gateway gave the attempt up while the backend wrote on
        self.outcome = ""


async def play(world: World) -> int:
    value = os.urandom(1024) * (VALUE_BYTES // 1024)
    longs: dict[str, Long] = {}

    async def answer(command: Command, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.1)
        long = longs.get(command.id)
        if long is None:
            writer.write(served(b"short"))
            return
        data, at = served(value), 0
        try:
            while at < len(data):
                writer.write(data[at : at + PIECE_BYTES])
                at += PIECE_BYTES
                await writer.drain()
                if at > LONG_THRESHOLD_BYTES:
                    long.given_at = min(long.given_at, time.monotonic())
                if at < len(data):
                    await asyncio.sleep(PAUSE_S)
                if writer.transport.is_closing():
                    raise ConnectionResetError
        except OSError:
            long.was_cut = True
            world.record(f"{command.backend}: the gateway closed after {at} of {len(data)} bytes")
            raise
        world.record(f"{command.backend} has written the whole value of {command.id}")

    world.add_backends(3, answer)
    settings = make_settings([request_class("quote", "pure", 1500.0, 4000.0, 1.0)])
    await world.start_gateway(settings)

    async def client(number: int, wait_ms: int) -> None:
        """Sends a request for a long value, and with the trouble a second request at once behind it."""
        identity, data = make_request(b"API.READ", 2 * number, "quote", wait_ms)
        long = longs[identity] = Long()
        if TROUBLE:
            data += make_request(b"API.READ", 2 * number + 1, "quote", wait_ms)[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", world.port, limit=2**22)
        sent_at = time.monotonic()
        writer.write(data)
        try:
            async with asyncio.timeout(12):
                first = await reader.readexactly(1)
                long.first_byte_at = time.monotonic()
                if first == b"$":
                    size = int(await reader.readline())
                    body = (await reader.readexactly(size + 2))[:-2]
                    long.outcome = "whole" if body == value else "another value"
                else:
                    long.outcome = (first + await reader.readline()).decode().strip()
                if TROUBLE:
                    await read_reply(reader)
        except (EOFError, OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            long.outcome = long.outcome or f"{type(error).__name__}: {error}"
        world.record(
            f"client of {identity} (waits {wait_ms} ms): first byte after "
            f"{long.first_byte_at - sent_at:.2f} s, {long.first_byte_at - long.given_at:.2f} s after its "
            f"backend had given 64 KiB; {long.outcome}"
        )
        writer.close()

    numbers = iter(range(10**6))
    for wait_ms in WAITS_MS:
        await asyncio.gather(*(client(next(numbers), wait_ms) for _ in range(ROUNDS)))
    await asyncio.sleep(0.5)
    held_back = sum(each.first_byte_at - each.given_at > MAX_HELD_S + TOLERANCE_S for each in longs.values())
    cut = sum(each.was_cut and each.outcome != "whole" for each in longs.values())
    world.record(f"of {len(longs)} long values {held_back} were held back for over 2 s, {cut} were cut off")
    return BROKEN if held_back or cut else HELD


run_case(__file__, play)
