"""Encodes and decodes the datagrams between instances, with size limits. Performs no I/O.

A datagram consists of:

    a MessagePack array: format, installation, sender's name, sender's boot, sequence number, receiver's boot,
        bodies
    a MAC of 16 bytes: keyed BLAKE2b (RFC 7693) over everything before it; absent if no key is configured

A boot is the random number of one process start. A receiver's boot of 0 means that the sender does not know
it; such a datagram may carry membership messages only. A datagram that names an earlier boot was meant for a
process that has ended, so a delayed or replayed datagram cannot affect its successor. Within one boot of the
sender, each sequence number is accepted once (anti-replay window as in RFC 6479, kept as a bitmap).
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

FORMAT_VERSION = 1
MAX_DATAGRAM_BYTES = 1_200  # with headers below the minimum MTU of IPv6, 1,280: never fragmented
MAC_BYTES = 16
MIN_KEY_BYTES = 32
MAX_KEY_BYTES = 64  # the longest key of BLAKE2b
BLAKE2B_PERSON = b"roadpulley-peers"  # domain separation: other uses of the key yield other MACs
REPLAY_WINDOW_SIZE = 1_024  # how far behind the highest sequence number a datagram may arrive
MAX_SENDERS = 4_096  # replay windows that are kept; the least recently used one is evicted
ENVELOPE_OVERHEAD_BYTES = 160  # everything but the bodies: names take at most 32 bytes, integers 9 each


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """The MessagePack array of a datagram, in the order of its fields. Bodies are decoded by the receiver."""

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
    INVALID_MAC = "unsigned"  # the MAC does not match the configured key
    UNKNOWN_FORMAT = "format"
    OTHER_INSTALLATION = "foreign"  # sent by another installation
    OWN_DATAGRAM = "own"
    REPLAYED = "repeated"
    STALE = "old"  # behind the replay window, or meant for an earlier boot of the receiver
    # The address is not the one that is configured for that voter, or the ballot names another process.
    UNKNOWN_SENDER = "strange"
    REMOTE_WITHOUT_KEY = "remote"  # from another machine although no key is configured


@dataclass(slots=True)
class ReplayWindow:
    """Sequence numbers received from one boot of a sender."""

    highest: int = -1
    received_bits: int = 0  # bit k is set if `highest - k` was received

    def accept(self, sequence: int) -> DropReason | None:
        """Record `sequence`, or return why it must be dropped."""
        distance = sequence - self.highest
        if distance > 0:
            self.received_bits = (
                ((self.received_bits << distance) | 1) & ((1 << REPLAY_WINDOW_SIZE) - 1)
                if distance < REPLAY_WINDOW_SIZE
                else 1
            )
            self.highest = sequence
            return None
        if -distance >= REPLAY_WINDOW_SIZE:
            return DropReason.STALE
        if self.received_bits >> -distance & 1:
            return DropReason.REPLAYED
        self.received_bits |= 1 << -distance
        return None


class Codec:
    """Encodes and decodes the datagrams of one process. If `key` is None, datagrams carry no MAC."""

    def __init__(self, installation: str, name: str, boot: int, key: bytes | None) -> None:
        self.installation, self.name, self.boot, self.key = installation, name, boot, key
        self.encoder, self.decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Envelope)
        self.windows: OrderedDict[tuple[str, int], ReplayWindow] = OrderedDict()
        self.last_sequence = 0
        self.max_body_bytes = MAX_DATAGRAM_BYTES - ENVELOPE_OVERHEAD_BYTES - (MAC_BYTES if key else 0)

    def encode_body(self, message: Any) -> msgspec.Raw:
        """Encode one message as a body for `pack`."""
        return msgspec.Raw(self.encoder.encode(message))

    def pack(self, receiver_boot: int, bodies: Sequence[msgspec.Raw]) -> list[bytes]:
        """Pack bodies into as few datagrams as possible, in order.

        Raises ValueError for a body that does not fit into one datagram.
        """
        datagrams: list[bytes] = []
        batch: list[msgspec.Raw] = []
        size = 0
        for body in bodies:
            length = len(memoryview(body))
            if length > self.max_body_bytes:
                raise ValueError(
                    f"body of {length} bytes is too long: at most {self.max_body_bytes} fit into a datagram"
                )
            if size + length > self.max_body_bytes:
                datagrams.append(self._encode_datagram(receiver_boot, batch))
                batch, size = [], 0
            batch.append(body)
            size += length
        if batch:
            datagrams.append(self._encode_datagram(receiver_boot, batch))
        return datagrams

    def _encode_datagram(self, receiver_boot: int, bodies: list[msgspec.Raw]) -> bytes:
        self.last_sequence += 1
        data = self.encoder.encode(
            Envelope(
                FORMAT_VERSION,
                self.installation,
                self.name,
                self.boot,
                self.last_sequence,
                receiver_boot,
                bodies,
            )
        )
        return data + self._mac(data) if self.key else data

    def _mac(self, data: bytes) -> bytes:
        assert self.key is not None
        return hashlib.blake2b(data, digest_size=MAC_BYTES, key=self.key, person=BLAKE2B_PERSON).digest()

    def unpack(self, data: bytes) -> Envelope | DropReason:
        """Return the envelope, or why the datagram is dropped. The MAC is verified before parsing."""
        if len(data) > MAX_DATAGRAM_BYTES:
            return DropReason.OVERSIZED
        if self.key:
            data, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
            if not hmac.compare_digest(self._mac(data), mac):
                return DropReason.INVALID_MAC
        try:
            envelope = self.decoder.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError, RecursionError):
            return DropReason.MALFORMED
        if envelope.format != FORMAT_VERSION:
            return DropReason.UNKNOWN_FORMAT
        if envelope.installation != self.installation:
            return DropReason.OTHER_INSTALLATION
        if envelope.sender_boot <= 0 or envelope.sequence <= 0 or len(envelope.sender) > 32:
            return DropReason.MALFORMED
        if envelope.sender_boot == self.boot and envelope.sender == self.name:
            return DropReason.OWN_DATAGRAM
        if reason := self._find_window(envelope.sender, envelope.sender_boot).accept(envelope.sequence):
            return reason
        return envelope

    def _find_window(self, name: str, boot: int) -> ReplayWindow:
        window = self.windows.setdefault((name, boot), ReplayWindow())
        self.windows.move_to_end((name, boot))
        if len(self.windows) > MAX_SENDERS:
            self.windows.popitem(last=False)
        return window
