"""Listening at an address that the previous process may still be using for a moment."""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Awaitable, Callable

from roadpulley.core.clock import now_ms
from roadpulley.core.settings import Address, ConfigError

log = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.05
# A process that got SIGTERM has exited by then, and this one can still be ready within 10 s of its start.
ADDRESS_IN_USE_TIMEOUT_MS = 8_000.0


async def listen_with_retries(
    key: str, address: Address, listen: Callable[[], Awaitable[int]], stopped: asyncio.Task[bool]
) -> int | None:
    """Call `listen` until it succeeds and return the port, or None if `stopped` is done first.

    Only an address in use is tried again. Without that, a process that starts while the previous one exits
    would fail because of an address that becomes free a moment later. Raises ConfigError, which names the
    setting `key`, if the address can't be bound.
    """
    started_at, has_warned = now_ms(), False
    while not stopped.done():
        try:
            return await listen()
        except OSError as error:
            is_in_use = error.errno == errno.EADDRINUSE
            if not is_in_use or now_ms() - started_at > ADDRESS_IN_USE_TIMEOUT_MS:
                setting = f"{key} is {address[0]}:{address[1]}"
                correction = "give a free address of this machine"
                raise ConfigError(
                    f"{setting}, where nobody can listen ({error.strerror}); {correction}"
                ) from error
        if not has_warned:
            log.warning(
                "%s is held by another process; retrying for %.0f s", key, ADDRESS_IN_USE_TIMEOUT_MS / 1000
            )
            has_warned = True
        await asyncio.wait({stopped}, timeout=RETRY_INTERVAL_S)
    return None
