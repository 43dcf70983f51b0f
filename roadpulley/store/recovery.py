"""Decides what opening a store keeps, truncates or refuses. Pure: scan results go in, a plan comes out.

Sealed segments were synced completely before the manifest listed them as sealed, so any error in them is
damage. In the active segment an unreadable frame is either a torn write of a crash, or damage. It is damage
if a readable frame anywhere in the segment proves that its version was durable: each frame carries the last
version synced before the frame was written, and a mark with that version follows each sync. Otherwise
neither the frame nor any later one was acknowledged, and they are truncated.

Intact frames that are not proven durable are kept and written again: after a failed sync the disk may have
dropped them while the page cache of the operating system still returns them.
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
    """An error in a file, its offset, and the data lost by it."""

    file: str
    offset: int
    what: str
    lost: str

    def __str__(self) -> str:
        return f"{self.file} at byte {self.offset}: {self.what}; {self.lost}"


@dataclass(frozen=True)
class Frame:
    """An intact frame at an offset of a segment."""

    offset: int
    header: FrameHeader
    record_metadata: tuple[RecordMetadata, ...]

    @property
    def end(self) -> int:
        return self.offset + FRAME_HEADER.size + self.header.length


@dataclass
class SegmentScan:
    """The readable part of one segment."""

    number: int
    salt: int = 0
    frames: list[Frame] = field(default_factory=list)
    end: int = 0  # of the last intact frame before the problem, or of the header
    size: int = 0  # of the file
    problem: str = ""  # the error at `end`; "" if the file ends there
    # Offset and header of each intact frame after the problem.
    frames_after_problem: list[tuple[int, FrameHeader]] = field(default_factory=list)

    @property
    def durable(self) -> int:
        """The last version that any readable frame proves durable."""
        heads = [frame.header for frame in self.frames] + [head for _, head in self.frames_after_problem]
        return max((head.durable for head in heads), default=0)

    @property
    def last(self) -> int:
        return max((frame.header.version for frame in self.frames), default=0)


def scan_segment(data: bytes, number: int) -> SegmentScan:
    """Parse a segment. Raises NewerFormatError."""
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
    """How opening treats the active segment."""

    keep_bytes: int = 0  # length of the unchanged part of the active segment
    rewrite: list[Frame] = field(default_factory=list)  # intact, but not proven durable
    cut_bytes: int = 0  # length of the torn write at its end
    needs_new_segment: bool = False  # the active segment must not be appended to
    damage: list[Damage] = field(default_factory=list)

    @property
    def refused(self) -> bool:
        return bool(self.damage)


def find_sealed_damage(sealed: SealedSegment, found: SegmentScan | None, size: int) -> Damage | None:
    """Return the damage of a sealed segment, judged by its scan, or by its size alone if `found` is None."""
    name = segment_name(sealed.number)
    lost = f"what it holds of versions {sealed.first} to {sealed.last} is lost from there on"
    if size < sealed.length:
        return Damage(name, size, f"it has {size} of {sealed.length} bytes", lost)
    if found is not None and found.problem and found.end < sealed.length:
        return Damage(name, found.end, found.problem, lost)
    return None


def plan_recovery(found: SegmentScan, known: int) -> RecoveryPlan:
    """Plan the recovery of the active segment. `known` is the last version of the sealed segments."""
    name = segment_name(found.number)
    if not found.salt and found.problem:
        # The header was synced before the manifest named the segment, so an unreadable header is damage and
        # not a torn write.
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
    # A mark proves the frames before it durable, but not itself. If marks at the end were kept as durable, a
    # crash could leave a hole in their place, so they are written again.
    proven = [f for f in found.frames if f.header.version <= durable and not f.header.is_mark]
    keep = max([SEGMENT_HEADER.size, *(frame.end for frame in proven)])
    rewrite = [f for f in found.frames if f.header.version > durable and not f.header.is_mark]
    cut = found.size - found.end
    return RecoveryPlan(keep, rewrite, cut, needs_new_segment=bool(rewrite or cut))


def find_orphaned_files(names: Iterable[str], manifest: Manifest) -> list[str]:
    """Return the files that the manifest does not name. A crash left them, and they hold no live data."""
    live = {s.number for s in manifest.sealed} | {manifest.active}
    keep = {f"{number:08d}" for number in live}
    return [n for n in names if n.endswith((".seg", ".hint", ".tmp")) and n.partition(".")[0] not in keep]
