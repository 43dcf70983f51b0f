"""The supervisor's shell, where a signal comes before the process it is for."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import uvloop

from roadpulley.testbed import terms
from roadpulley.workers.service import Service


def test_a_stop_while_processes_are_still_being_made_reaches_them(tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    raw = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": terms.settings(0, 1)}
    config.write_text(json.dumps(raw))

    async def work() -> None:
        service = Service(str(config), lambda: 2)
        running = asyncio.create_task(service.run())
        await asyncio.sleep(0)  # the starts are asked for, and no process is there
        assert not service.running
        service.stop()
        assert len(service.owed) == 2
        async with asyncio.timeout(
            service.limits.drain_s * 0.75
        ):  # not by the kill that ends what is overdue
            await running
        assert not service.running and not service.owed

    uvloop.run(work())
