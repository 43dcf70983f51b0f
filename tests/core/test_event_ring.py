"""The ring of events: bounded, and a broken answer is told with its reason."""

from __future__ import annotations

import asyncio
import logging

import pytest
from long_value_backends import encode_reply, make_value
from loopback import Backend, Peer, World, in_loop, request, running

from roadpulley.core.event_ring import MAX_EVENTS, MAX_REPORTS_PER_INTERVAL, EventKind, EventRing


class BreakingBackend(Backend):
    """Ends its connection in the middle of a long value."""

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await Peer(reader, writer).receive()
        writer.write(encode_reply(make_value(200_000))[:100_000])
        await writer.drain()


def test_a_broken_long_value_is_told_with_request_backend_and_reason(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario() -> None:
        async with running(World(BreakingBackend())) as world:
            peer = await world.client()
            peer.send(*request(id=b"00000000000000aa"))
            while await peer.reader.read(65536):
                pass

    in_loop(scenario)
    told = [r.getMessage() for r in caplog.records if "00000000000000aa" in r.getMessage()]
    assert len(told) == 1
    for words in ("its long value broke", "long value began", "200000 bytes", "closed by the backend"):
        assert words in told[0]


def test_events_and_reports_are_bounded(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.WARNING)
    ring = EventRing()
    for number in range(2 * MAX_EVENTS):
        ring.record(EventKind.REFUSED, f"{number:016x}", "reason")
    for number in range(3 * MAX_REPORTS_PER_INTERVAL):
        ring.report(f"{2 * MAX_EVENTS - 1 - number:016x}", "broke")
    assert len(ring.events) == MAX_EVENTS
    assert len(caplog.records) == MAX_REPORTS_PER_INTERVAL
