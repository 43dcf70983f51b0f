"""Long values, and backends that write them in pieces."""

from __future__ import annotations

import asyncio

from loopback import Backend, Peer

MIB = 1024 * 1024
PIECE_BYTES = 64 * 1024


def make_value(length: int) -> bytes:
    return (b"%015d\n" * (length // 16 + 1) % tuple(range(length // 16 + 1)))[:length]


def encode_reply(body: bytes) -> bytes:
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(body), body)


class PacedBackend(Backend):
    """Writes a long value in pieces, with a pause between two; `stops_after` bytes it writes no more."""

    def __init__(self, body: bytes, pause_s: float, stops_after: int | None = None) -> None:
        super().__init__()
        self.body, self.pause_s, self.stops_after = body, pause_s, stops_after

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Peer(reader, writer)
        while (command := await peer.receive()) is not None:
            self.got.append(command)
            whole = encode_reply(self.body)
            for at in range(0, len(whole[: self.stops_after]), PIECE_BYTES):
                writer.write(whole[at : at + PIECE_BYTES])
                await asyncio.sleep(self.pause_s)
