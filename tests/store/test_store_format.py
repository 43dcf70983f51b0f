"""Frames, hints and manifests: round trips, and detection of changed bytes."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpulley.store import format
from roadpulley.store.format import DELETE, PUT, Manifest, Record, SealedSegment, UnreadableError
from roadpulley.store.recovery import plan_recovery, scan_segment

records = st.builds(
    lambda key, value, version: Record(DELETE if value is None else PUT, key, value or b"", version),
    st.binary(max_size=20),
    st.none() | st.binary(max_size=50),
    st.integers(1, 2**64 - 1),
)
salts = st.integers(0, 2**32 - 1)


def segment(*parts: bytes, salt: int = 9) -> bytes:
    return format.pack_header(3, salt) + b"".join(parts)


@given(st.lists(records, min_size=1, max_size=5), salts)
def test_segment_round_trip(batch: list[Record], salt: int) -> None:
    data = segment(format.pack_frame(batch, 5, 4, salt), format.pack_mark(5, salt), salt=salt)
    found = scan_segment(data, 3)
    assert (found.problem, found.end, found.durable, found.salt) == ("", len(data), 5, salt)
    places = found.frames[0].record_metadata
    assert [format.read_record(data[p.offset : p.offset + p.size], salt) for p in places] == batch


@given(st.lists(records, min_size=1, max_size=3), st.data())
def test_changed_byte_of_a_frame_is_detected(batch: list[Record], data: st.DataObject) -> None:
    whole = bytearray(segment(format.pack_frame(batch, 5, 4, 9)))
    at = data.draw(st.integers(format.SEGMENT_HEADER.size, len(whole) - 1))
    whole[at] ^= data.draw(st.integers(1, 255))
    found = scan_segment(bytes(whole), 3)
    assert found.problem and not found.frames and found.end == format.SEGMENT_HEADER.size


@given(records, salts, salts)
def test_frame_of_another_segment_is_rejected(record: Record, salt: int, other: int) -> None:
    """A value may contain frames of another store, which begin with the same magic."""
    inner = format.pack_frame([record], 7, 6, other)
    data = segment(b"torn", format.pack_frame([Record(PUT, b"k", inner, 1)], 1, 0, salt)[:-1], salt=salt)
    assert not scan_segment(data, 3).frames_after_problem or salt == other


def test_frame_after_damage_proves_the_durable_version() -> None:
    one, two, three = (format.pack_frame([Record(PUT, b"k", b"v" * n, n)], n, n - 1, 9) for n in (1, 2, 3))
    torn = scan_segment(segment(one, two[:-1] + b"?", three), 3)
    assert torn.problem == "a frame's checksum does not fit" and torn.durable == 2
    (damage,) = plan_recovery(torn, 0).damage
    assert (damage.file, damage.offset) == ("00000003.seg", format.SEGMENT_HEADER.size + len(one))
    assert "versions from 2 to 2 were acknowledged" in damage.lost
    # Both were written before either was synced, so neither was acknowledged.
    three = format.pack_frame([Record(PUT, b"k", b"v", 3)], 3, 1, 9)
    cut = plan_recovery(scan_segment(segment(one, two[:-1] + b"?", three), 3), 0)
    assert (
        not cut.damage
        and cut.cut_bytes == len(two) + len(three)
        and [f.header.version for f in cut.rewrite] == []
    )


def test_frames_not_proven_durable_are_rewritten() -> None:
    one, two = (format.pack_frame([Record(PUT, b"k", b"v", n)], n, n - 1, 9) for n in (1, 2))
    found = plan_recovery(scan_segment(segment(one, two), 3), 0)
    assert [f.header.version for f in found.rewrite] == [
        2
    ] and found.keep_bytes == format.SEGMENT_HEADER.size + len(one)
    marked = plan_recovery(scan_segment(segment(one, two, format.pack_mark(2, 9)), 3), 0)
    assert (
        not marked.rewrite
        and not marked.needs_new_segment
        and not marked.cut_bytes
        and marked.keep_bytes > found.keep_bytes
    )


def test_damaged_last_batch_before_a_mark_is_not_a_torn_write() -> None:
    one = format.pack_frame([Record(PUT, b"k", b"v", 1)], 1, 0, 9)
    data = bytearray(segment(one, format.pack_mark(1, 9)))
    data[format.SEGMENT_HEADER.size + len(one) - 1] ^= 1
    assert plan_recovery(scan_segment(bytes(data), 3), 0).damage


@pytest.mark.parametrize("cut", range(format.SEGMENT_HEADER.size))
def test_segment_without_its_header_is_damaged(cut: int) -> None:
    (damage,) = plan_recovery(scan_segment(segment()[:cut], 3), 0).damage
    assert damage.offset == 0


def test_newer_format_is_distinguished_from_damage() -> None:
    head = bytearray(segment())
    head[4] = format.FORMAT_VERSION + 1
    with pytest.raises(format.NewerFormatError, match="format 2; this program reads format 1"):
        scan_segment(bytes(head), 3)
    with pytest.raises(UnreadableError, match="it says that it is segment 3"):
        format.read_header(segment(), 4)


@given(st.lists(records, max_size=5))
def test_hint_round_trip_and_changed_bytes_are_detected(batch: list[Record]) -> None:
    found = scan_segment(segment(format.pack_frame(batch or [Record(PUT, b"", b"", 1)], 5, 4, 9)), 3)
    hint = format.Hint()
    for place in found.frames[0].record_metadata:
        hint.add(place)
    data = hint.pack(3, found.end)
    assert tuple(format.read_hint(data, 3, found.end)) == found.frames[0].record_metadata
    for at in range(len(data)):
        changed = bytearray(data)
        changed[at] ^= 0x55
        with pytest.raises(UnreadableError):
            format.read_hint(bytes(changed), 3, found.end)
    for wrong in (data[:-1], data[: format.HINT_HEADER.size], b""):
        if wrong != data:
            with pytest.raises(UnreadableError):
                format.read_hint(wrong, 3, found.end)


def test_manifest_round_trip_and_changed_bytes_are_detected() -> None:
    made = Manifest((SealedSegment(1, 900, 1, 7), SealedSegment(4, 30, 8, 9)), 5, 6, 9)
    data = made.pack()
    assert Manifest.read(data) == made
    for at in range(len(data)):
        for changed in (data[:at], data[:at] + bytes([data[at] ^ 0x11]) + data[at + 1 :]):
            with pytest.raises(UnreadableError):
                Manifest.read(changed)
