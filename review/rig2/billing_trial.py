"""Use is billed for tries that were refused and never sent on."""

from __future__ import annotations

import asyncio
import re

from rig import (
    BROKEN,
    HELD,
    TROUBLE,
    Command,
    Process,
    World,
    make_request,
    make_settings,
    read_reply,
    request_class,
    run_case,
    served,
)

PROGRAM = "exec .venv/bin/python -m roadpulley.cli"
RATE = 170 if TROUBLE else 40  # tries a second: under 5.2 times the usual 75 of the site, over two gateways
SECONDS = 4.0
BOXES, CORES, WORK_S = 8, 2, 0.15
MOST_CONNECTIONS = 8  # of a box, from all gateways
WORKERS = 1


async def play(world: World) -> int:
    cores = {f"box-{number}": asyncio.Semaphore(CORES) for number in range(BOXES)}

    async def answer(command: Command, writer: asyncio.StreamWriter) -> None:
        async with cores[command.backend]:
            await asyncio.sleep(WORK_S)
        writer.write(served(b"done " + command.id.encode()))

    world.add_backends(BOXES, answer, MOST_CONNECTIONS)
    settings = make_settings(
        [
            request_class("parcel-view", "pure", 1500.0, 4000.0, 2.0),
            request_class("search-order", "token", 1500.0, 4000.0, 6.0, group="all"),
        ],
        plan="basic",
    )
    usage = world.folder / "usage.toml"
    usage.write_text('store = "books"\nspool = "spool"\n')
    command = f'{PROGRAM} serve --config "$LB_CONFIG" --workers {WORKERS} --usage {usage}'
    gateway = await world.start_gateway(settings, command=command)
    counts = {"served": 0, "refused": 0, "failed": 0, "unanswered": 0}

    async def client(number: int) -> None:
        await asyncio.sleep(number / RATE)
        identity, data = make_request(
            b"API.WRITE", number, "search-order", 4000, key=f"{number:016x}", plan="basic"
        )
        found = "unanswered"
        try:
            async with asyncio.timeout(8):
                reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
                writer.write(data)
                reply = await read_reply(reader)
                found = "served" if reply[:1] == b"$" else "refused" if reply[:5] == b"-BUSY" else "failed"
                writer.close()
        except (OSError, EOFError, TimeoutError):
            pass
        counts[found] += 1
        world.record(f"client of {identity}: {found}")

    tries = int(RATE * SECONDS)
    await asyncio.gather(*(client(number) for number in range(tries)))
    await gateway.stop()  # the worker writes all that it has counted
    outputs = {}
    for name in ("collect", "show"):
        process = Process(name, f"{PROGRAM} usage --settings {usage} {name}", {}, world.folder, world.record)
        await process.start()
        if await process.wait(20) != 0:
            raise RuntimeError(f"usage {name} failed")
        outputs[name] = (world.folder / f"{name}.log").read_text()
    rows = re.findall(r"^\S+Z\s+\S+\s+basic\s+\d+\s+search-order\s+([\d,]+)\s", outputs["show"], re.M)
    billed = sum(int(each.replace(",", "")) for each in rows)
    sent_on = len({command.id for backend in world.backends for command in backend.received})
    world.record(f"{tries} tries: {counts}; {sent_on} came whole to a backend, {billed} are in the books")
    return BROKEN if billed != sent_on else HELD


run_case(__file__, play)
