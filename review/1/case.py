"""Keyed requests with a long value: connections reset under them, and backends that read slowly."""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from dataclasses import dataclass, field
from pathlib import Path

from sites import quay_parcels
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

WINDOW_S = 0.5  # `repeatWindow` of the class: for so long the group of backends drops a repeat
# What the pages add to time limits: 50 ms on sockets, and 0.15 s for which a gateway may be held up.
SLACK_S = 0.2
VALUE = bytes(4 * 1024 * 1024)  # "some values are long, up to 4 MiB"
# Half of the long values are read in this time: "peers take seconds to read or write, in pieces of any size".
READ_S = 1.2
WORK_S = 0.08
RESET_SHARE = 0.25  # of the requests with a long value: "some are reset under requests"
RESET_AFTER_S = 0.05  # from the last byte of the request
CLIENTS = 4
SHORT_CLIENTS = 4
LENGTH_S = 50.0


@dataclass
class Group:
    """All nodes together know each key from the first run on, for the window and the slack."""

    record: Record
    begun: dict[str, float] = field(default_factory=dict)
    ran_again: dict[str, float] = field(default_factory=dict)

    def run(self, node: Node, id: str, key: str) -> str:
        """A whole request has come: it runs, unless it repeats one that is remembered."""
        now = time.monotonic()
        first = self.begun.setdefault(key, now)
        if first == now:
            words = "runs"
        elif now - first <= WINDOW_S + SLACK_S:
            words = "is dropped as a repeat"
        else:
            self.ran_again[key] = now - first
            words = f"RUNS AGAIN, {now - first:.3f} s after the first run began"
        self.record.write(f"{node.name}: {id} with key {key} has come whole and {words}")
        return words


async def play(record: Record) -> int:
    group = Group(record)
    answers: list[bytes] = []
    short_values: list[str] = []
    done = asyncio.Event()
    chance = random.Random(1)
    pieces = len(VALUE) / (64 * 1024)

    async def work(node: Node, args: list[bytes]) -> bytes | None:
        if args[0] == b"API.READ":
            await asyncio.sleep(WORK_S)
            return served(b"track of " + args[2])
        id, listed = args[2].decode(), dict(item.split("=") for item in args[3].decode().split(","))
        words = group.run(node, id, listed["k"])
        if TROUBLE and words == "runs" and chance.random() < RESET_SHARE:
            await asyncio.sleep(RESET_AFTER_S)
            record.write(f"{node.name}: the connection of {id} is reset")
            return None
        await asyncio.sleep(WORK_S)
        return served(b"label of " + args[2])

    def pause() -> float:
        """Drawn for each long value; 0 for those that are read at once."""
        return READ_S / pieces if TROUBLE and chance.random() < 0.5 else 0.0

    async def short_requests() -> None:
        """Most requests are short, and are answered at once."""
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        while not done.is_set():
            id = secrets.token_hex(8)
            listed = b"c=track,t=basic,d=1300,units=1,spread=1,first=0"
            writer.write(command(b"API.READ", b"%016x" % 99, id.encode(), listed))
            if (await read_reply(reader))[:1] == b"$":
                short_values.append(id)
            await asyncio.sleep(0.02)
        writer.close()

    async def client(number: int) -> None:
        while record.now() < LENGTH_S:
            id, key = secrets.token_hex(8), secrets.token_hex(8)
            listed = f"c=label,t=basic,d=1500,k={key},units=1,spread=1,first=0"
            reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
            record.write(f"client {number}: {id} with key {key} is sent")
            try:
                writer.write(command(b"API.WRITE", b"%016x" % number, id.encode(), listed.encode(), VALUE))
                await writer.drain()
                answers.append(await read_reply(reader))
            except (OSError, asyncio.IncompleteReadError) as error:
                answers.append(f"cut: {type(error).__name__}".encode())
            record.write(f"client {number}: {id} is answered {answers[-1].decode()}")
            writer.close()
            await asyncio.sleep(0.2)

    discovery, counter = Discovery(), Counter()
    await discovery.start()
    await counter.start()
    for number in range(4):
        node = Node(f"t{number}", work, pause, 64 * 1024)
        await node.start()
        discovery.add(node.name, node.port)
    gateway = Gateway(record, quay_parcels())
    gateway.write_config(discovery, counter)
    try:
        await gateway.start()
        short = [asyncio.create_task(short_requests()) for _ in range(SHORT_CLIENTS)]
        await asyncio.sleep(1)
        await asyncio.gather(*(client(number) for number in range(CLIENTS)))
        done.set()
        await asyncio.wait(short, timeout=3)
    finally:
        await gateway.stop()
    values = sum(answer.startswith(b"$") for answer in answers)
    record.say(
        f"{len(answers)} requests with long values, {values} of them served, {len(short_values)} short ones"
    )
    record.say(f"{len(group.begun)} effects ran")
    record.say(f"{len(group.ran_again)} effects ran twice: {group.ran_again}")
    if not group.begun:
        raise CannotRunError("nothing ran")
    return BROKEN if group.ran_again else HELD


run_case(Path(__file__).parent, play)
