"""A broken file at SIGHUP takes the gateway of `roadpulley serve` away."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from typing import Any

from rig import (
    BROKEN,
    HELD,
    ROOT,
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

SERVE = 'exec .venv/bin/python -m roadpulley.cli serve --config "$LB_CONFIG" --workers 1'
# Where the library of the command line could not be installed: what `serve` does, without its options.
SUPERVISOR = """exec .venv/bin/python -c '
import logging, os, uvloop
from roadpulley.workers.service import SupervisorService
async def supervise():
    await SupervisorService(os.environ["LB_CONFIG"], lambda: 1).run()
logging.basicConfig(level=logging.INFO)
uvloop.run(supervise())'"""
HAS_COMMAND_LINE = "import click"
SETTLED_S = 6.0  # after SIGHUP; a sound replacement of the only worker takes less
WATCHED_S = 6.0  # from then on


async def play(world: World) -> int:
    async def answer(command: Command, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.15)
        writer.write(served(b"done " + command.id.encode()))

    world.add_backends(4, answer)
    settings = make_settings(
        [
            request_class("quote", "pure", 1500.0, 4000.0, 1.0),
            request_class("payout", "side_effect", 1200.0, 4000.0, 3.0),
        ]
    )
    probe = await asyncio.create_subprocess_exec(
        str(ROOT / ".venv/bin/python"), "-c", HAS_COMMAND_LINE, stderr=asyncio.subprocess.DEVNULL
    )
    command = SUPERVISOR if await probe.wait() else SERVE
    gateway = await world.start_gateway(settings, command=command)
    good: dict[str, Any] = json.loads(world.config_path.read_text())
    numbers = iter(range(10**6))

    async def ask(verb: bytes, kind: str) -> str:
        """What a client gets: `served`, an error line, or why there was no answer."""
        _, data = make_request(verb, next(numbers), kind, 4000)
        try:
            async with asyncio.timeout(5):
                reader, writer = await asyncio.open_connection("127.0.0.1", world.port)
                writer.write(data)
                reply = await read_reply(reader)
                writer.close()
        except (OSError, EOFError, TimeoutError) as error:
            return f"no answer ({type(error).__name__})"
        return "served" if reply.startswith(b"$") else reply.decode()

    async def reload_with(name: str, text: str) -> bool:
        """Replace the file, send SIGHUP, and return whether clients are served as before from then on."""
        world.record(f"the file is now {name}")
        part = world.config_path.with_suffix(".part")
        part.write_text(text)
        part.replace(world.config_path)
        gateway.signal(signal.SIGHUP)
        await asyncio.sleep(SETTLED_S)
        until, bad = time.monotonic() + WATCHED_S, 0
        while time.monotonic() < until:
            for verb, kind in ((b"API.READ", "quote"), (b"API.WRITE", "payout")):
                found = await ask(verb, kind)
                world.record(f"client asked for {kind}: {found}")
                bad += found != "served" and not found.startswith("-BUSY")
            await asyncio.sleep(0.5)
        world.record(f"with {name}: {bad} requests were not served")
        return bad == 0

    for verb, kind in ((b"API.READ", "quote"), (b"API.WRITE", "payout")):
        if await ask(verb, kind) != "served":
            raise RuntimeError("not served before the first reload")
    other = json.loads(json.dumps(good))
    other["settings"]["caps"]["maxAttempts"] = 4
    if not TROUBLE:
        held = await reload_with("sound", json.dumps(other))
        return HELD if await reload_with("sound again", json.dumps(good)) and held else BROKEN
    held = await reload_with("empty", "")
    if not await reload_with("sound", json.dumps(good)):
        # A worker that could not start is tried again after up to 30 s. That says nothing of the next file.
        await world.wait_until_ready(35)
    broken = json.loads(json.dumps(good))
    broken["settings"]["classes"][1]["deadline"] = -5
    held = await reload_with("one with a deadline that is not over 0", json.dumps(broken)) and held
    return HELD if held else BROKEN


run_case(__file__, play)
