"""Looks through a store's files without changing them: what is damaged, and what could be saved."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from . import format
from .errors import FormatVersionError
from .files import Files
from .format import DELETE, FRAME_HEADER, Manifest, Record, UnreadableError, parse_number, segment_name
from .parts import MANIFEST, Options, Write
from .recovery import Damage, SegmentScan, find_sealed_damage, plan_recovery, scan_segment
from .store import Store

Progress = Callable[[int, int], None]  # bytes done, of how many


@dataclass
class InspectionReport:
    """What `inspect_store` found in a store's files."""

    damage: list[Damage] = field(default_factory=list)
    segments: int = 0
    batches: int = 0
    records: int = 0
    # Bytes of a torn write at the end of the active segment. Opening the store truncates them.
    torn_bytes: int = 0
    # The readable record with the highest version of each key.
    readable: dict[bytes, Record] = field(default_factory=dict)


def inspect_store(files: Files, progress: Progress = lambda done, of: None) -> InspectionReport:
    """Read every byte of every segment that counts. Raises OSError, FormatVersionError."""
    found = InspectionReport()
    names = files.names()
    manifest = read_manifest(files, names, found)
    sealed = {s.number: s for s in manifest.sealed} if manifest else {}
    numbers = sorted(n for name in names if (n := parse_number(name, ".seg")) is not None)
    if manifest is not None:
        numbers = sorted([*sealed, manifest.active])
    total, done = sum(get_segment_size(files, n, names) for n in numbers), 0
    for number in numbers:
        name = segment_name(number)
        if name not in names:
            lost = f"versions {sealed[number].first} to {sealed[number].last} are lost"
            found.damage.append(
                Damage(name, 0, "it is not there", lost if number in sealed else "all of it is")
            )
            continue
        data = read_file(files, name)
        if number in sealed:
            data = data[: sealed[number].length]
        try:
            one = scan_segment(data, number)
        except format.NewerFormatError as error:
            raise FormatVersionError(f"{name}: {error}") from error
        found.segments += 1
        if number in sealed:
            problem = find_sealed_damage(sealed[number], one, len(data))
            found.damage += [problem] if problem else []
        else:
            decided = plan_recovery(one, manifest.version if manifest else 0)
            found.damage += decided.damage
            found.torn_bytes += decided.cut_bytes if not decided.damage else 0
        collect_records(found, data, one)
        done += len(data)
        progress(done, total)
    return found


def read_manifest(files: Files, names: list[str], found: InspectionReport) -> Manifest | None:
    problem = "it is not there"
    if MANIFEST in names:
        try:
            return Manifest.read(read_file(files, MANIFEST))
        except format.NewerFormatError as error:
            raise FormatVersionError(f"{MANIFEST}: {error}") from error
        except (UnreadableError, ValueError, KeyError, TypeError) as error:
            problem = str(error)
    lost = "which segments count is not known: all that are there are read"
    found.damage.append(Damage(MANIFEST, 0, problem, lost))
    return None


def read_file(files: Files, name: str) -> bytes:
    file = files.open(name)
    try:
        return file.read(0, file.size())
    finally:
        file.close()


def get_segment_size(files: Files, number: int, names: list[str]) -> int:
    if segment_name(number) not in names:
        return 0
    file = files.open(segment_name(number))
    try:
        return file.size()
    finally:
        file.close()


def collect_records(found: InspectionReport, data: bytes, one: SegmentScan) -> None:
    """Take in all that can be read of a segment, what stands after damage too."""
    starts = [(frame.offset, frame.header) for frame in one.frames] + one.frames_after_problem
    for offset, head in starts:
        body_at = offset + FRAME_HEADER.size
        body = data[body_at : body_at + head.length]
        found.batches += not head.is_mark
        for place in format.unpack_metadata(head, body, body_at, one.salt):
            found.records += 1
            record = format.read_record(data[place.offset : place.offset + place.size], one.salt)
            known = found.readable.get(record.key)
            if known is None or known.version <= record.version:
                found.readable[record.key] = record


def write_salvaged(found: InspectionReport, target: Files, progress: Progress = lambda done, of: None) -> int:
    """Write what can be saved into a new store; gives how many keys. Raises as `Store.open` and `batch`.

    Versions are new: whoever remembers one from before finds a conflict, and reads again.
    """
    kept = [r for _, r in sorted(found.readable.items()) if r.kind != DELETE]
    with Store.open(target, Options()) as store:
        batch: list[Write] = []
        size = 0
        for number, record in enumerate(kept, 1):
            batch.append(Write(record.key, record.value))
            size += len(record.value)
            if size > 1024 * 1024 or len(batch) == 1_000 or number == len(kept):
                store.batch(batch)
                batch, size = [], 0
                progress(number, len(kept))
    return len(kept)
