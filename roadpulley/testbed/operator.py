"""An operator in the testbed: calls a gateway's address, changes its settings, replaces its process."""

from __future__ import annotations

import asyncio
import copy
import json
import signal
from typing import Any

from .processes import GatewayProcess

CALL_S = 5.0  # far longer than a call may take: the machine may be busy
LOOK_S = 0.02
EXTRA = "extra"  # the class that a retuning adds


class NoAnswerError(Exception):
    """A call that was not answered as it should. The text is one line."""


async def call(process: GatewayProcess, line: str) -> str:
    """One call, and what was answered. Raises OSError, TimeoutError among them."""
    host, port = process.config["admin"].rsplit(":", 1)
    async with asyncio.timeout(CALL_S):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(line.encode() + b"\n")
            return (await reader.read()).decode()
        finally:
            writer.close()


async def told(process: GatewayProcess, line: str) -> None:
    """A call that has to be obeyed. Raises NoAnswerError."""
    try:
        answer = await call(process, line)
    except OSError as error:
        raise NoAnswerError(f"{process.name}: {line}: {error or 'no answer'}") from error
    if not answer.startswith("OK"):
        raise NoAnswerError(f"{process.name}: {line}: {answer.strip()}")


async def figures(process: GatewayProcess) -> dict[str, int]:
    """The figures of METRICS, by name."""
    *lines, end = (await call(process, "METRICS")).split()
    if end != "END":
        raise NoAnswerError(f"{process.name}: METRICS: ends with {end}")
    return {name: int(value) for name, value in (line.split("=") for line in lines)}


def retuned(settings: dict[str, Any]) -> dict[str, Any]:
    """Other settings of the same deployment: a class more, and an attempt less."""
    changed = copy.deepcopy(settings)
    changed["classes"].append({**changed["classes"][0], "name": EXTRA})
    changed["caps"]["maxAttempts"] = max(1, changed["caps"]["maxAttempts"] - 1)
    return changed


def with_shorter_aims(settings: dict[str, Any]) -> dict[str, Any]:
    """The same settings with half of each class's latency target: a drain then keeps connections longer."""
    changed = copy.deepcopy(settings)
    for request_class in changed["classes"]:
        request_class["aim"] /= 2
    return changed


def retune(process: GatewayProcess, settings: dict[str, Any], cut: bool = False) -> None:
    """Put other settings in the gateway's file, or half of them, and tell it."""
    process.config["settings"] = settings
    text = json.dumps({**process.config, "seed": f"{process.seed():016x}"})
    process.path.write_text(text[: len(text) // 2] if cut else text)
    process.signal(signal.SIGHUP)


async def upgrade(process: GatewayProcess, admin: str) -> None:
    """Start the next process beside the old one, wait until it serves, and stop the old one.

    Raises NoAnswerError.
    """
    process.config["admin"] = admin
    before = await process.start_beside()
    async with asyncio.timeout(CALL_S):
        while not await serves(process):
            await asyncio.sleep(LOOK_S)
    before.send_signal(signal.SIGTERM)
    async with asyncio.timeout(CALL_S):
        await before.wait()


async def serves(process: GatewayProcess) -> bool:
    """Whether the newest process of the gateway serves."""
    try:
        return (await call(process, "STATUS")).startswith("OK")
    except OSError:
        return False  # it does not listen yet
