"""Datagrams between instances: bytes to types and back, strict and bounded. Pure.

    MessagePack array: format, installation, sender's name, its boot, number, receiver's boot, bodies
    MAC of 16 bytes: keyed BLAKE2b (RFC 7693) over all before it; missing where no key is set

A receiver's boot of 0: the sender does not know it. Such a datagram may carry bodies for members only. One
that names an earlier boot was meant for a process that is gone; so a datagram that was kept back does nothing
to the process after it. Within one boot each number is taken once (the window of RFC 6479, by bits).
"""

from __future__ import annotations

import hashlib
import hmac
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

FORMAT = 1
MAX_DATAGRAM_BYTES = 1_200  # under the least MTU of IPv6, 1,280, with headers: it is never fragmented
MAC_BYTES = 16
MIN_KEY_BYTES, MAX_KEY_BYTES = 32, 64  # bytes; BLAKE2b takes no more
PERSON = b"roadpulley-peers"  # so that the key's other uses give other MACs
REPLAY_WINDOW_SIZE = 1_024  # numbers of one sender that may come out of order
MAX_SENDERS = 4_096  # whose windows are kept; the one heard least lately goes
OVERHEAD = 160  # bytes for all but the bodies: names are at most 32, numbers at most 9 each


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    format: int
    installation: str
    sender: str
    sender_boot: int
    sequence: int
    receiver_boot: int
    bodies: list[msgspec.Raw]


class DropReason(Enum):
    """Why a datagram was dropped."""

    OVERSIZED = "oversized"
    MALFORMED = "garbled"
    INVALID_MAC = "unsigned"  # its MAC does not fit our key
    UNKNOWN_FORMAT = "format"
    OTHER_INSTALLATION = "foreign"  # of another installation
    OWN_DATAGRAM = "own"
    REPLAYED = "repeated"
    STALE = "old"  # behind the window, or meant for an earlier boot
    UNKNOWN_SENDER = (
        "strange"  # from no address that is known for that voter, or not for those who are not met yet
    )
    REMOTE_WITHOUT_KEY = "remote"  # not from this machine, and there is no key


@dataclass(slots=True)
class ReplayWindow:
    highest: int = -1
    received_bits: int = 0  # bit k: `highest - k` was taken

    def accept(self, number: int) -> DropReason | None:
        ahead = number - self.highest
        if ahead > 0:
            self.received_bits = (
                ((self.received_bits << ahead) | 1) & ((1 << REPLAY_WINDOW_SIZE) - 1)
                if ahead < REPLAY_WINDOW_SIZE
                else 1
            )
            self.highest = number
            return None
        if -ahead >= REPLAY_WINDOW_SIZE:
            return DropReason.STALE
        if self.received_bits >> -ahead & 1:
            return DropReason.REPLAYED
        self.received_bits |= 1 << -ahead
        return None


class Codec:
    """Of one process. `key` None: datagrams carry no MAC."""

    def __init__(self, installation: str, name: str, boot: int, key: bytes | None) -> None:
        self.installation, self.name, self.boot, self.key = installation, name, boot, key
        self.encoder, self.decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Envelope)
        self.windows: OrderedDict[tuple[str, int], ReplayWindow] = OrderedDict()
        self.last_sequence = 0
        self.max_body_bytes = MAX_DATAGRAM_BYTES - OVERHEAD - (MAC_BYTES if key else 0)

    def encode_body(self, message: Any) -> msgspec.Raw:
        return msgspec.Raw(self.encoder.encode(message))

    def pack(self, to_boot: int, bodies: Sequence[msgspec.Raw]) -> list[bytes]:
        """As few datagrams as hold them, in order. Raises ValueError for a body that is too long for one."""
        out: list[bytes] = []
        some: list[msgspec.Raw] = []
        size = 0
        for body in bodies:
            length = len(memoryview(body))
            if length > self.max_body_bytes:
                raise ValueError(f"a body of {length} bytes; {self.max_body_bytes} fit into a datagram")
            if size + length > self.max_body_bytes:
                out.append(self._encode_datagram(to_boot, some))
                some, size = [], 0
            some.append(body)
            size += length
        if some:
            out.append(self._encode_datagram(to_boot, some))
        return out

    def _encode_datagram(self, to_boot: int, bodies: list[msgspec.Raw]) -> bytes:
        self.last_sequence += 1
        data = self.encoder.encode(
            Envelope(FORMAT, self.installation, self.name, self.boot, self.last_sequence, to_boot, bodies)
        )
        return data + self._mac(data) if self.key else data

    def _mac(self, data: bytes) -> bytes:
        assert self.key is not None
        return hashlib.blake2b(data, digest_size=MAC_BYTES, key=self.key, person=PERSON).digest()

    def unpack(self, data: bytes) -> Envelope | DropReason:
        """What is to be believed, or why it is not. Nothing of it counts before its MAC was checked."""
        if len(data) > MAX_DATAGRAM_BYTES:
            return DropReason.OVERSIZED
        if self.key:
            data, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
            if not hmac.compare_digest(self._mac(data), mac):
                return DropReason.INVALID_MAC
        try:
            found = self.decoder.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError, RecursionError):
            return DropReason.MALFORMED
        if found.format != FORMAT:
            return DropReason.UNKNOWN_FORMAT
        if found.installation != self.installation:
            return DropReason.OTHER_INSTALLATION
        if found.sender_boot <= 0 or found.sequence <= 0 or len(found.sender) > 32:
            return DropReason.MALFORMED
        if found.sender_boot == self.boot and found.sender == self.name:
            return DropReason.OWN_DATAGRAM
        if cause := self._find_window(found.sender, found.sender_boot).accept(found.sequence):
            return cause
        return found

    def _find_window(self, name: str, boot: int) -> ReplayWindow:
        window = self.windows.setdefault((name, boot), ReplayWindow())
        self.windows.move_to_end((name, boot))
        if len(self.windows) > MAX_SENDERS:
            self.windows.popitem(last=False)
        return window
