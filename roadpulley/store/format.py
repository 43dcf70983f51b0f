"""The bytes on disk: segments of frames, hints, the manifest. Pure; docs/design/store-format.md is the page.
 All numbers are little-endian. Every check is a CRC-32 that starts from the segment's salt, so that a frame
kept as a value (a backup of another store, say) never passes for one of the segment's own.

    segment  = header frame*
    header   = "RPSG" format:u16 0:u16 number:u64 salt:u32 crc:u32                        24 bytes
    frame    = "RPFR" length:u32 count:u32 version:u64 durable:u64 body_crc:u32 crc:u32   36 bytes, and body
    body     = record{count}, `length` bytes together
    record   = kind:u8 key_length:u16 value_length:u32 version:u64 crc:u32 key value      19 bytes and these
 A frame is one batch: it counts wholly or not at all. `version` is its batch's place in the order of all
batches, and `durable` the last version that was known to be synced when the frame was written. A frame
without records is a mark: it says `durable` and nothing else.
"""

from __future__ import annotations

import json
import struct
import zlib
from collections.abc import Iterator
from dataclasses import asdict, dataclass

FORMAT_VERSION = 1
SEGMENT_MAGIC, FRAME_MAGIC, HINT_MAGIC = b"RPSG", b"RPFR", b"RPHT"
SEGMENT_HEADER = struct.Struct("<4sHHQII")
FRAME_HEADER = struct.Struct("<4sIIQQII")
RECORD_HEADER = struct.Struct("<BHIQI")
HINT_HEADER = struct.Struct(
    "<4sHHQQII"
)  # magic, format, 0, segment, its length, entries, crc of these and of all that follows
HINT_ENTRY = struct.Struct(
    "<BHIQQ"
)  # kind, key length, value length, version, offset of the record; then the key
PUT, DELETE = 1, 2
MAX_KEY_BYTES = 0xFFFF
MAX_VALUE_BYTES = 64 * 1024 * 1024
MAX_BATCH_BYTES = 128 * 1024 * 1024  # of a batch: it is held in memory more than once while it is written


class UnreadableError(Exception):
    """Bytes that are not what the format says. The text says what is wrong, in a few words."""


class NewerFormatError(UnreadableError):
    """Written by a later format: nothing is wrong with it, and this program must keep its hands off."""


@dataclass(frozen=True, slots=True)
class Record:
    kind: int  # PUT or DELETE
    key: bytes
    value: bytes  # empty where it is deleted
    version: int


@dataclass(frozen=True, slots=True)
class FrameHeader:
    """Of a frame."""

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
    """Where a record stands, and what is known of it without reading it."""

    kind: int
    key: bytes
    version: int
    offset: int  # of the record
    value_length: int

    @property
    def size(self) -> int:
        return RECORD_HEADER.size + len(self.key) + self.value_length


# ---- segments ----


def pack_header(number: int, salt: int) -> bytes:
    body = SEGMENT_HEADER.pack(SEGMENT_MAGIC, FORMAT_VERSION, 0, number, salt, 0)[:-4]
    return body + struct.pack("<I", zlib.crc32(body))


def read_header(data: bytes, number: int) -> int:
    """A segment's salt. Raises UnreadableError."""
    if len(data) < SEGMENT_HEADER.size:
        raise UnreadableError(f"its header has {len(data)} of {SEGMENT_HEADER.size} bytes")
    magic, form, _, named, salt, crc = SEGMENT_HEADER.unpack_from(data)
    if magic != SEGMENT_MAGIC:
        raise UnreadableError(f"it begins with {magic!r}, not with {SEGMENT_MAGIC!r}")
    if form != FORMAT_VERSION:
        raise NewerFormatError(f"it has format {form}; this program reads format {FORMAT_VERSION}")
    if zlib.crc32(data[: SEGMENT_HEADER.size - 4]) != crc:
        raise UnreadableError("its header's checksum does not fit")
    if named != number:
        raise UnreadableError(f"it says that it is segment {named}")
    return int(salt)


# ---- frames ----


def pack_record(record: Record, salt: int) -> bytes:
    rest = record.key + record.value
    head = RECORD_HEADER.pack(record.kind, len(record.key), len(record.value), record.version, 0)[:-4]
    return head + struct.pack("<I", zlib.crc32(rest, zlib.crc32(head, salt))) + rest


def pack_frame(records: list[Record], version: int, durable: int, salt: int) -> bytes:
    """One batch. `records` may have versions of their own: those that were copied from elsewhere."""
    body = b"".join(pack_record(record, salt) for record in records)
    head = FRAME_HEADER.pack(
        FRAME_MAGIC, len(body), len(records), version, durable, zlib.crc32(body, salt), 0
    )[:-4]
    return head + struct.pack("<I", zlib.crc32(head, salt)) + body


def pack_mark(durable: int, salt: int) -> bytes:
    return pack_frame([], durable, durable, salt)


def read_frame_header(data: bytes | memoryview, salt: int) -> FrameHeader:
    """Raises UnreadableError."""
    if len(data) < FRAME_HEADER.size:
        raise UnreadableError(f"a frame's head has {len(data)} of {FRAME_HEADER.size} bytes")
    magic, length, count, version, durable, body_crc, crc = FRAME_HEADER.unpack_from(data)
    if magic != FRAME_MAGIC:
        raise UnreadableError("no frame begins here")
    if zlib.crc32(bytes(data[: FRAME_HEADER.size - 4]), salt) != crc:
        raise UnreadableError("a frame's head has a checksum that does not fit")
    return FrameHeader(length, count, version, durable, body_crc)


def unpack_metadata(head: FrameHeader, body: bytes, offset: int, salt: int) -> list[RecordMetadata]:
    """The records of a frame whose body begins at an offset. Raises UnreadableError."""
    if len(body) != head.length:
        raise UnreadableError(f"a frame has {len(body)} of {head.length} bytes")
    if zlib.crc32(body, salt) != head.body_crc:
        raise UnreadableError("a frame's checksum does not fit")
    found, at = [], 0
    for _ in range(head.count):
        if at + RECORD_HEADER.size > len(body):
            raise UnreadableError("a frame's records do not fill it as it says")
        kind, key_length, value_length, version, _ = RECORD_HEADER.unpack_from(body, at)
        key = body[at + RECORD_HEADER.size : at + RECORD_HEADER.size + key_length]
        found.append(RecordMetadata(kind, key, version, offset + at, value_length))
        at += RECORD_HEADER.size + key_length + value_length
    if at != len(body):
        raise UnreadableError("a frame's records do not fill it as it says")
    return found


def read_record(data: bytes, salt: int) -> Record:
    """A whole record as it stands on disk. Raises UnreadableError."""
    if len(data) < RECORD_HEADER.size:
        raise UnreadableError(f"a record has {len(data)} bytes, fewer than its head")
    kind, key_length, value_length, version, crc = RECORD_HEADER.unpack_from(data)
    if len(data) != RECORD_HEADER.size + key_length + value_length:
        raise UnreadableError(f"a record has {len(data)} bytes, and says otherwise")
    if zlib.crc32(data[RECORD_HEADER.size :], zlib.crc32(data[: RECORD_HEADER.size - 4], salt)) != crc:
        raise UnreadableError("a record's checksum does not fit")
    split = RECORD_HEADER.size + key_length
    return Record(kind, data[RECORD_HEADER.size : split], data[split:], version)


# ---- hints ----


class Hint:
    """What opening needs of a segment, without its values; gathered as the segment is written."""

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
    """The records of a sealed segment of this number and length. Raises UnreadableError."""
    if len(data) < HINT_HEADER.size:
        raise UnreadableError(f"its header has {len(data)} of {HINT_HEADER.size} bytes")
    magic, form, _, named, of_length, count, crc = HINT_HEADER.unpack_from(data)
    if magic != HINT_MAGIC or form != FORMAT_VERSION:
        raise UnreadableError("it is no hint of this format")
    if (named, of_length) != (number, length):
        raise UnreadableError("it is of another segment")
    if zlib.crc32(memoryview(data)[HINT_HEADER.size :], zlib.crc32(data[: HINT_HEADER.size - 4])) != crc:
        raise UnreadableError("its checksum does not fit")
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
    """A segment that is never written again."""

    number: int
    length: int  # bytes that count; what follows them was cut off
    first: int  # the lowest and the highest version in it
    last: int


@dataclass(frozen=True)
class Manifest:
    """Which segments count. Replaced as a whole."""

    sealed: tuple[SealedSegment, ...]
    active: int  # the number of the segment that is written
    next_number: int
    version: int  # the last one that the active segment does not hold; it may have been compacted away

    def pack(self) -> bytes:
        text = json.dumps({"format": FORMAT_VERSION, **asdict(self)}, indent=1).encode()
        return b"%08x\n" % zlib.crc32(text) + text

    @classmethod
    def read(cls, data: bytes) -> Manifest:
        """Raises UnreadableError."""
        crc, newline, text = data.partition(b"\n")
        if not newline or crc != b"%08x" % zlib.crc32(text):
            raise UnreadableError("its checksum does not fit")
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
    """Of a file's name; None if it is none of ours."""
    stem = name.removesuffix(suffix)
    return int(stem) if name.endswith(suffix) and len(stem) == 8 and stem.isdecimal() else None


def find_frames(data: bytes, offset: int, salt: int) -> Iterator[tuple[int, FrameHeader]]:
    """Whole frames anywhere from an offset on, found by their magic: what follows damage."""
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
