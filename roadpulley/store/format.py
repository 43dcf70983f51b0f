"""The on-disk format: segments of frames, hint files, the manifest. Pure; see docs/design/store-format.md.

All integers are little-endian. Checksums of frames and records are CRC-32 seeded with the segment's salt, so
that a frame stored inside a value (a backup of another store, say) is never taken for one of the segment.

    segment  = header frame*
    header   = "RPSG" format:u16 0:u16 number:u64 salt:u32 crc:u32                        24 bytes
    frame    = "RPFR" length:u32 count:u32 version:u64 durable:u64 body_crc:u32 crc:u32   36 bytes, and body
    body     = record{count}, `length` bytes together
    record   = kind:u8 key_length:u16 value_length:u32 version:u64 crc:u32 key value      19 bytes and these

A frame is one batch and is applied as a whole or not at all. `version` is the batch's sequence number, and
`durable` the last version known to be synced when the frame was written. A frame without records is a mark:
it only carries `durable`.
"""

from __future__ import annotations

import json
import struct
import zlib
from collections.abc import Iterator
from dataclasses import asdict, dataclass

FORMAT_VERSION = 1
SEGMENT_MAGIC = b"RPSG"
FRAME_MAGIC = b"RPFR"
HINT_MAGIC = b"RPHT"
SEGMENT_HEADER = struct.Struct("<4sHHQII")
FRAME_HEADER = struct.Struct("<4sIIQQII")
RECORD_HEADER = struct.Struct("<BHIQI")
# Magic, format, 0, segment, its length, number of entries, and a checksum of these and of all entries.
HINT_HEADER = struct.Struct("<4sHHQQII")
# Kind, key length, value length, version and offset of the record. The key follows.
HINT_ENTRY = struct.Struct("<BHIQQ")
PUT = 1
DELETE = 2
MAX_KEY_BYTES = 0xFFFF
MAX_VALUE_BYTES = 64 * 1024 * 1024
# Bounds memory: several copies of a batch exist while it is written.
MAX_BATCH_BYTES = 128 * 1024 * 1024


class UnreadableError(Exception):
    """Bytes violate the format. The text names the violation."""


class NewerFormatError(UnreadableError):
    """A file was written in a newer format. It is not damaged, and this program must not change it."""


@dataclass(frozen=True, slots=True)
class Record:
    """A key, its value and the version of the batch that wrote it."""

    kind: int  # PUT or DELETE
    key: bytes
    value: bytes  # empty for a deletion
    version: int


@dataclass(frozen=True, slots=True)
class FrameHeader:
    """The header of a frame."""

    length: int
    count: int
    version: int
    durable: int
    body_crc: int

    @property
    def is_mark(self) -> bool:
        return self.count == 0


@dataclass(frozen=True, slots=True)
class RecordMetadata:
    """A record's offset in its segment and its fields without the value."""

    kind: int
    key: bytes
    version: int
    offset: int  # of the record in the segment
    value_length: int

    @property
    def size(self) -> int:
        return RECORD_HEADER.size + len(self.key) + self.value_length


# ---- segments ----


def pack_header(number: int, salt: int) -> bytes:
    body = SEGMENT_HEADER.pack(SEGMENT_MAGIC, FORMAT_VERSION, 0, number, salt, 0)[:-4]
    return body + struct.pack("<I", zlib.crc32(body))


def read_header(data: bytes, number: int) -> int:
    """Check a segment's header and return its salt. Raises UnreadableError."""
    if len(data) < SEGMENT_HEADER.size:
        raise UnreadableError(f"its header has {len(data)} of {SEGMENT_HEADER.size} bytes")
    magic, format_version, _, found_number, salt, crc = SEGMENT_HEADER.unpack_from(data)
    if magic != SEGMENT_MAGIC:
        raise UnreadableError(f"it begins with {magic!r}, not with {SEGMENT_MAGIC!r}")
    if format_version != FORMAT_VERSION:
        raise NewerFormatError(f"it has format {format_version}; this program reads format {FORMAT_VERSION}")
    if zlib.crc32(data[: SEGMENT_HEADER.size - 4]) != crc:
        raise UnreadableError("the header's checksum does not match")
    if found_number != number:
        raise UnreadableError(f"it says that it is segment {found_number}")
    return int(salt)


# ---- frames ----


def pack_record(record: Record, salt: int) -> bytes:
    rest = record.key + record.value
    head = RECORD_HEADER.pack(record.kind, len(record.key), len(record.value), record.version, 0)[:-4]
    return head + struct.pack("<I", zlib.crc32(rest, zlib.crc32(head, salt))) + rest


def pack_frame(records: list[Record], version: int, durable: int, salt: int) -> bytes:
    """Pack one batch. Records copied by compaction keep their own versions."""
    body = b"".join(pack_record(record, salt) for record in records)
    head = FRAME_HEADER.pack(
        FRAME_MAGIC, len(body), len(records), version, durable, zlib.crc32(body, salt), 0
    )[:-4]
    return head + struct.pack("<I", zlib.crc32(head, salt)) + body


def pack_mark(durable: int, salt: int) -> bytes:
    return pack_frame([], durable, durable, salt)


def read_frame_header(data: bytes | memoryview, salt: int) -> FrameHeader:
    """Parse and check a frame's header. Raises UnreadableError."""
    if len(data) < FRAME_HEADER.size:
        raise UnreadableError(f"a frame's header has {len(data)} of {FRAME_HEADER.size} bytes")
    magic, length, count, version, durable, body_crc, crc = FRAME_HEADER.unpack_from(data)
    if magic != FRAME_MAGIC:
        raise UnreadableError("no frame begins here")
    if zlib.crc32(bytes(data[: FRAME_HEADER.size - 4]), salt) != crc:
        raise UnreadableError("a frame's header has a checksum that does not match")
    return FrameHeader(length, count, version, durable, body_crc)


def unpack_metadata(head: FrameHeader, body: bytes, offset: int, salt: int) -> list[RecordMetadata]:
    """Parse the records of a frame whose body begins at `offset`. Raises UnreadableError."""
    if len(body) != head.length:
        raise UnreadableError(f"a frame has {len(body)} of {head.length} bytes")
    if zlib.crc32(body, salt) != head.body_crc:
        raise UnreadableError("a frame's checksum does not fit")
    found, at = [], 0
    for _ in range(head.count):
        if at + RECORD_HEADER.size > len(body):
            raise UnreadableError("a frame's records do not add up to its length")
        kind, key_length, value_length, version, _ = RECORD_HEADER.unpack_from(body, at)
        key = body[at + RECORD_HEADER.size : at + RECORD_HEADER.size + key_length]
        found.append(RecordMetadata(kind, key, version, offset + at, value_length))
        at += RECORD_HEADER.size + key_length + value_length
    if at != len(body):
        raise UnreadableError("a frame's records do not add up to its length")
    return found


def read_record(data: bytes, salt: int) -> Record:
    """Parse a whole record and check its checksum. Raises UnreadableError."""
    if len(data) < RECORD_HEADER.size:
        raise UnreadableError(f"a record has {len(data)} bytes, fewer than its header")
    kind, key_length, value_length, version, crc = RECORD_HEADER.unpack_from(data)
    if len(data) != RECORD_HEADER.size + key_length + value_length:
        raise UnreadableError(f"a record has {len(data)} bytes, which contradicts its header")
    if zlib.crc32(data[RECORD_HEADER.size :], zlib.crc32(data[: RECORD_HEADER.size - 4], salt)) != crc:
        raise UnreadableError("a record's checksum does not match")
    split = RECORD_HEADER.size + key_length
    return Record(kind, data[RECORD_HEADER.size : split], data[split:], version)


# ---- hints ----


class Hint:
    """Metadata of a segment's records, so that opening need not read the values. Built as it is written."""

    __slots__ = ("count", "entries")

    def __init__(self) -> None:
        self.count, self.entries = 0, bytearray()

    def add(self, place: RecordMetadata) -> None:
        head = HINT_ENTRY.pack(place.kind, len(place.key), place.value_length, place.version, place.offset)
        self.entries += head + place.key
        self.count += 1

    def pack(self, number: int, length: int) -> bytes:
        head = HINT_HEADER.pack(HINT_MAGIC, FORMAT_VERSION, 0, number, length, self.count, 0)[:-4]
        return head + struct.pack("<I", zlib.crc32(self.entries, zlib.crc32(head))) + self.entries


def read_hint(data: bytes, number: int, length: int) -> list[RecordMetadata]:
    """Parse the hint file of a sealed segment of this number and length. Raises UnreadableError."""
    if len(data) < HINT_HEADER.size:
        raise UnreadableError(f"its header has {len(data)} of {HINT_HEADER.size} bytes")
    magic, format_version, _, found_number, of_length, count, crc = HINT_HEADER.unpack_from(data)
    if magic != HINT_MAGIC or format_version != FORMAT_VERSION:
        raise UnreadableError("it is not a hint file of this format")
    if (found_number, of_length) != (number, length):
        raise UnreadableError("it belongs to another segment")
    if zlib.crc32(memoryview(data)[HINT_HEADER.size :], zlib.crc32(data[: HINT_HEADER.size - 4])) != crc:
        raise UnreadableError("its checksum does not match")
    found, at = [], HINT_HEADER.size
    unpack, size = HINT_ENTRY.unpack_from, HINT_ENTRY.size
    for _ in range(count):
        kind, key_length, value_length, version, offset = unpack(data, at)
        at += size + key_length
        found.append(RecordMetadata(kind, data[at - key_length : at], version, offset, value_length))
    return found


# ---- the manifest ----


@dataclass(frozen=True)
class SealedSegment:
    """A segment that is no longer written to."""

    number: int
    length: int  # bytes in use; later bytes in the file are ignored
    first: int  # the lowest version in it
    last: int  # the highest version in it


@dataclass(frozen=True)
class Manifest:
    """The list of live segments. It is replaced atomically."""

    sealed: tuple[SealedSegment, ...]
    active: int  # the number of the segment that is written to
    next_number: int
    version: int  # the last one before the active segment; compaction may have removed it

    def pack(self) -> bytes:
        text = json.dumps({"format": FORMAT_VERSION, **asdict(self)}, indent=1).encode()
        return b"%08x\n" % zlib.crc32(text) + text

    @classmethod
    def read(cls, data: bytes) -> Manifest:
        """Parse a manifest. Raises UnreadableError, ValueError, KeyError, TypeError."""
        crc, newline, text = data.partition(b"\n")
        if not newline or crc != b"%08x" % zlib.crc32(text):
            raise UnreadableError("its checksum does not match")
        raw = json.loads(text)
        if raw["format"] != FORMAT_VERSION:
            raise NewerFormatError(
                f"it has format {raw['format']}; this program reads format {FORMAT_VERSION}"
            )
        return cls(
            tuple(SealedSegment(**each) for each in raw["sealed"]),
            raw["active"],
            raw["next_number"],
            raw["version"],
        )


def segment_name(number: int) -> str:
    return f"{number:08d}.seg"


def hint_name(number: int) -> str:
    return f"{number:08d}.hint"


def parse_number(name: str, suffix: str) -> int | None:
    """Return the segment number in a file name, or None if the name is not of the store."""
    stem = name.removesuffix(suffix)
    return int(stem) if name.endswith(suffix) and len(stem) == 8 and stem.isdecimal() else None


def find_frames(data: bytes, offset: int, salt: int) -> Iterator[tuple[int, FrameHeader]]:
    """Search for intact frames by their magic from an offset on, to find frames after damage."""
    at = data.find(FRAME_MAGIC, offset)
    while at >= 0:
        try:
            head = read_frame_header(data[at : at + FRAME_HEADER.size], salt)
            unpack_metadata(
                head, data[at + FRAME_HEADER.size : at + FRAME_HEADER.size + head.length], 0, salt
            )
        except UnreadableError:
            at = data.find(FRAME_MAGIC, at + 1)
            continue
        yield at, head
        at = data.find(FRAME_MAGIC, at + FRAME_HEADER.size + head.length)
