"""What is kept, cut off and refused as a store is opened. Pure: what could be read goes in, a plan comes out.
 The segments before the last were synced whole before the manifest named them sealed, so anything wrong in
them is damage. In the last one, a frame that can't be read is either the torn end of what was being written
as the machine went down, or damage. It is damage if anything that can be read after it, in the segment,
says that the version was durable already: each frame carries the last version that was synced before it was
written, and a mark with it follows each sync. Otherwise nobody was told that it was written, nor anything
after it, and it is cut.
 Frames that are whole but that nothing proves durable are kept, and written again: a disk that failed to
sync once may have dropped them while the operating system's memory still shows them.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .format import (
    FRAME_HEADER,
    SEGMENT_HEADER,
    FrameHeader,
    Manifest,
    RecordMetadata,
    SealedSegment,
    UnreadableError,
    find_frames,
    read_frame_header,
    read_header,
    segment_name,
    unpack_metadata,
)


@dataclass(frozen=True)
class Damage:
    """What is wrong, where, and what is lost by it."""

    file: str
    offset: int
    what: str
    lost: str

    def __str__(self) -> str:
        return f"{self.file} at byte {self.offset}: {self.what}; {self.lost}"


@dataclass(frozen=True)
class Frame:
    offset: int
    header: FrameHeader
    record_metadata: tuple[RecordMetadata, ...]

    @property
    def end(self) -> int:
        return self.offset + FRAME_HEADER.size + self.header.length


@dataclass
class SegmentScan:
    """What could be read of one segment."""

    number: int
    salt: int = 0
    frames: list[Frame] = field(default_factory=list)
    end: int = 0  # of the last whole frame, or of the header
    size: int = 0  # of the file
    problem: str = ""  # what is wrong at `end`; "" if the file ends there
    # Offset and header of each intact frame after the problem.
    frames_after_problem: list[tuple[int, FrameHeader]] = field(default_factory=list)

    @property
    def durable(self) -> int:
        """The last version that something in it proves synced."""
        heads = [frame.header for frame in self.frames] + [head for _, head in self.frames_after_problem]
        return max((head.durable for head in heads), default=0)

    @property
    def last(self) -> int:
        return max((frame.header.version for frame in self.frames), default=0)


def scan_segment(data: bytes, number: int) -> SegmentScan:
    """Read a segment from its bytes. Raises NewerFormatError."""
    found = SegmentScan(number, size=len(data))
    try:
        found.salt = read_header(data[: SEGMENT_HEADER.size], number)
    except UnreadableError as error:
        if type(error) is not UnreadableError:
            raise
        found.problem = str(error)
        return found
    at = found.end = SEGMENT_HEADER.size
    while at < len(data):
        try:
            head = read_frame_header(data[at : at + FRAME_HEADER.size], found.salt)
            body_at = at + FRAME_HEADER.size
            body = data[body_at : body_at + head.length]
            frame = Frame(at, head, tuple(unpack_metadata(head, body, body_at, found.salt)))
        except UnreadableError as error:
            found.problem = str(error)
            found.frames_after_problem = list(find_frames(data, at + 1, found.salt))
            break
        found.frames.append(frame)
        at = found.end = frame.end
    return found


@dataclass
class RecoveryPlan:
    """How to go on after opening."""

    keep_bytes: int = 0  # bytes of the last segment that stay as they are
    rewrite: list[Frame] = field(default_factory=list)  # whole, and not proven durable: written again
    cut_bytes: int = 0  # bytes of its torn end
    needs_new_segment: bool = False  # the last segment must not be written to any more
    damage: list[Damage] = field(default_factory=list)

    @property
    def refused(self) -> bool:
        return bool(self.damage)


def find_sealed_damage(sealed: SealedSegment, found: SegmentScan | None, size: int) -> Damage | None:
    """What is wrong with a sealed segment, if anything: as scanned, or by its size alone."""
    name = segment_name(sealed.number)
    lost = f"what it holds of versions {sealed.first} to {sealed.last} is lost from there on"
    if size < sealed.length:
        return Damage(name, size, f"it has {size} of {sealed.length} bytes", lost)
    if found is not None and found.problem and found.end < sealed.length:
        return Damage(name, found.end, found.problem, lost)
    return None


def plan_recovery(found: SegmentScan, known: int) -> RecoveryPlan:
    """For the last segment. `known` is the last version that the sealed ones hold."""
    name = segment_name(found.number)
    if not found.salt and found.problem:
        # Danger: it was synced with its header before the manifest named it.
        return RecoveryPlan(damage=[Damage(name, 0, found.problem, "all that it holds is lost")])
    durable = found.durable
    if found.problem and durable > max(known, found.last):
        first = max(known, found.last) + 1
        after = ", ".join(str(h.version) for _, h in found.frames_after_problem if not h.is_mark) or "none"
        lost = f"versions from {first} to {durable} were acknowledged; whole frames after it: {after}"
        return RecoveryPlan(damage=[Damage(name, found.end, found.problem, lost)])
    if not found.problem and durable > max(known, found.last):
        what = f"it ends here, and proves version {durable} durable"
        return RecoveryPlan(
            damage=[Damage(name, found.end, what, f"versions from {found.last + 1} are lost")]
        )
    # Danger: a mark at the end proves what stands before it and not itself; were it counted as kept, a crash
    # could leave a hole there. It is written again.
    proven = [f for f in found.frames if f.header.version <= durable and not f.header.is_mark]
    keep = max([SEGMENT_HEADER.size, *(frame.end for frame in proven)])
    rewrite = [f for f in found.frames if f.header.version > durable and not f.header.is_mark]
    cut = found.size - found.end
    return RecoveryPlan(keep, rewrite, cut, needs_new_segment=bool(rewrite or cut))


def find_orphaned_files(names: Iterable[str], manifest: Manifest) -> list[str]:
    """Files that the manifest does not name: left by a crash, and holding nothing that counts."""
    live = {s.number for s in manifest.sealed} | {manifest.active}
    keep = {f"{number:08d}" for number in live}
    return [n for n in names if n.endswith((".seg", ".hint", ".tmp")) and n.partition(".")[0] not in keep]
