"""Clients that send at full speed, in a process of their own: `flood_client.py PORT KIND CLIENTS`."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Iterator

import uvloop
from loopback import LOCAL, encode, request

BATCH = 64
CUSTOMERS_PER_CLIENT = 1_000_000


def make_commands(kind: str, first: int) -> Iterator[bytes]:
    """Commands of one client that never repeat a name."""
    number = first
    while True:
        number += 1
        if kind == "new-customers":
            yield encode(*request(id=b"%016x" % number, customer=b"%016x" % number, plan=b"basic", wait=2000))
        elif kind == "unsound":
            yield encode(b"API.READ", b"%016x" % number, b"%016x" % number, b"garbage%d" % number)
        else:
            yield encode(b"PING", b"%d" % number)


async def discard_replies(reader: asyncio.StreamReader) -> None:
    while await reader.read(65536):
        pass


async def flood(port: int, kind: str, first: int) -> None:
    reader, writer = await asyncio.open_connection(LOCAL, port)
    replies = asyncio.create_task(discard_replies(reader))
    commands = make_commands(kind, first)
    while not replies.done():
        writer.write(b"".join(next(commands) for _ in range(BATCH)))
        await writer.drain()
        await asyncio.sleep(0)  # the other clients


async def main(port: int, kind: str, clients: int) -> None:
    await asyncio.gather(*(flood(port, kind, n * CUSTOMERS_PER_CLIENT) for n in range(clients)))


if __name__ == "__main__":
    uvloop.run(main(int(sys.argv[1]), sys.argv[2], int(sys.argv[3])))
