"""A connection to a backend that is reset in the middle of a long value, and requests behind that one."""

from __future__ import annotations

import asyncio
import secrets
from pathlib import Path

from sites import naas_road
from standins import (
    BROKEN,
    HELD,
    TROUBLE,
    CannotRunError,
    Counter,
    Discovery,
    Gateway,
    Node,
    Record,
    command,
    read_reply,
    run_case,
    served,
)

LONG_VALUE = b"q" * (1024 * 1024)
WORK_S = 0.15
ROUNDS = 20
RESET_EVERY = 4  # long values: "some are reset under requests, also long after"
BEHIND = 3  # requests that the client sends behind the one with the long value


async def play(record: Record) -> int:
    ran: list[str] = []
    lost: list[str] = []
    whole = cut = long_values = 0

    def breaks(answer: bytes) -> bool:
        nonlocal long_values
        if len(answer) <= 64 * 1024:
            return False
        long_values += 1
        return TROUBLE and long_values % RESET_EVERY == 0

    async def work(node: Node, args: list[bytes]) -> bytes:
        id = args[2].decode()
        await asyncio.sleep(WORK_S)
        if args[0] == b"API.WRITE":
            ran.append(id)
            record.write(f"{node.name}: {id} has run")
            return served(b"value of " + args[2])
        return served(LONG_VALUE)

    discovery, counter = Discovery(), Counter()
    await discovery.start()
    await counter.start()
    for number in range(4):
        node = Node(f"t{number}", work)
        node.breaks = breaks
        await node.start()
        discovery.add(node.name, node.port)
    gateway = Gateway(record, naas_road())
    gateway.write_config(discovery, counter)
    try:
        await gateway.start()
        for number in range(ROUNDS):
            reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
            first, behind = secrets.token_hex(8), [secrets.token_hex(8) for _ in range(BEHIND)]
            listed = "c={},t=basic,d=4000,units=1,spread=1,first=0"
            customer = b"%016x" % number
            data = command(b"API.READ", customer, first.encode(), listed.format("quote").encode())
            for id in behind:
                data += command(b"API.WRITE", customer, id.encode(), listed.format("payout").encode(), b"pay")
            writer.write(data)
            record.write(f"client: sends {first} and behind it {behind}")
            left = [first, *behind]
            try:
                while left:
                    reply = await read_reply(reader)
                    record.write(f"client: {left[0]} is answered with {len(reply)} bytes: {reply[:30]!r}")
                    left.pop(0)
                whole += 1
            except (OSError, asyncio.IncompleteReadError) as error:
                cut += 1
                record.write(
                    f"client: the connection ended ({type(error).__name__}), without an answer: {left}"
                )
            # The value that was begun and cut has failed, and is not lost: the client can tell.
            lost += [id for id in left if id != first]
            writer.close()
            await asyncio.sleep(0.2)
    finally:
        await gateway.stop()
    unsafe = [id for id in lost if id in ran]
    record.say(f"{ROUNDS} connections: {whole} answered whole, {cut} cut")
    record.say(f"{len(lost)} requests were never answered, {len(unsafe)} of them have run")
    if not whole + cut:
        raise CannotRunError("nothing was asked")
    return BROKEN if lost else HELD


run_case(Path(__file__).parent, play)
