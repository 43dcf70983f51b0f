"""An address to listen at, which the process before this one may hold for a moment longer."""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Awaitable, Callable

from roadpulley.core.clock import now_ms
from roadpulley.core.settings import Address, ConfigError

log = logging.getLogger(__name__)

AGAIN_S = 0.05
HELD_MS = 8_000.0  # a process told to end is gone by then, and this one still ready within 10 s


async def listening(
    key: str, address: Address, listen: Callable[[], Awaitable[int]], stopped: asyncio.Task[bool]
) -> int | None:
    """The port at which `listen` listens now; None where the process is told to stop first.

    Danger: a process that starts as the one before it ends would die of an address that is free a moment
    later. Raises ConfigError where the address can't be had, with `key` as what names it.
    """
    began, told = now_ms(), False
    while not stopped.done():
        try:
            return await listen()
        except OSError as error:
            held = error.errno == errno.EADDRINUSE
            if not held or now_ms() - began > HELD_MS:
                where = f"{key} is {address[0]}:{address[1]}"
                right = "give a free address of this machine"
                raise ConfigError(f"{where}, where nobody can listen ({error.strerror}); {right}") from error
        if not told:
            log.warning("%s is held by another process; tried again for %.0f s", key, HELD_MS / 1000)
            told = True
        await asyncio.wait({stopped}, timeout=AGAIN_S)
    return None
