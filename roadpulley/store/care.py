"""Inspects a store's files without changing them, and salvages the readable records of a damaged store."""

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

Progress = Callable[[int, int], None]  # bytes or keys done, and their total


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
    """Read and check every live segment, or all segments if the manifest is unreadable.

    Raises OSError, FormatVersionError.
    """
    report = InspectionReport()
    names = files.names()
    manifest = read_manifest(files, names, report)
    sealed = {s.number: s for s in manifest.sealed} if manifest else {}
    numbers = sorted(n for name in names if (n := parse_number(name, ".seg")) is not None)
    if manifest is not None:
        numbers = sorted([*sealed, manifest.active])
    total, done = sum(get_segment_size(files, n, names) for n in numbers), 0
    for number in numbers:
        name = segment_name(number)
        if name not in names:
            lost = f"versions {sealed[number].first} to {sealed[number].last} are lost"
            report.damage.append(
                Damage(name, 0, "it is not there", lost if number in sealed else "all of it is")
            )
            continue
        data = read_file(files, name)
        if number in sealed:
            data = data[: sealed[number].length]
        try:
            segment_scan = scan_segment(data, number)
        except format.NewerFormatError as error:
            raise FormatVersionError(f"{name}: {error}") from error
        report.segments += 1
        if number in sealed:
            problem = find_sealed_damage(sealed[number], segment_scan, len(data))
            report.damage += [problem] if problem else []
        else:
            recovery_plan = plan_recovery(segment_scan, manifest.version if manifest else 0)
            report.damage += recovery_plan.damage
            report.torn_bytes += recovery_plan.cut_bytes if not recovery_plan.damage else 0
        collect_records(report, data, segment_scan)
        done += len(data)
        progress(done, total)
    return report


def read_manifest(files: Files, names: list[str], report: InspectionReport) -> Manifest | None:
    """Read the manifest. If that fails, report the damage and return None. Raises FormatVersionError."""
    problem = "it is not there"
    if MANIFEST in names:
        try:
            return Manifest.read(read_file(files, MANIFEST))
        except format.NewerFormatError as error:
            raise FormatVersionError(f"{MANIFEST}: {error}") from error
        except (UnreadableError, ValueError, KeyError, TypeError) as error:
            problem = str(error)
    lost = "the list of live segments is lost; all segments present are read"
    report.damage.append(Damage(MANIFEST, 0, problem, lost))
    return None


def read_file(files: Files, name: str) -> bytes:
    """Return the content of a file."""
    file = files.open(name)
    try:
        return file.read(0, file.size())
    finally:
        file.close()


def get_segment_size(files: Files, number: int, names: list[str]) -> int:
    """Return the size of a segment's file in bytes, 0 if it does not exist."""
    if segment_name(number) not in names:
        return 0
    file = files.open(segment_name(number))
    try:
        return file.size()
    finally:
        file.close()


def collect_records(report: InspectionReport, data: bytes, segment_scan: SegmentScan) -> None:
    """Add all readable records of a segment to the report, including those after damage."""
    starts = [
        (frame.offset, frame.header) for frame in segment_scan.frames
    ] + segment_scan.frames_after_problem
    for offset, head in starts:
        body_at = offset + FRAME_HEADER.size
        body = data[body_at : body_at + head.length]
        report.batches += not head.is_mark
        for place in format.unpack_metadata(head, body, body_at, segment_scan.salt):
            report.records += 1
            record = format.read_record(data[place.offset : place.offset + place.size], segment_scan.salt)
            previous = report.readable.get(record.key)
            if previous is None or previous.version <= record.version:
                report.readable[record.key] = record


def write_salvaged(
    report: InspectionReport, target: Files, progress: Progress = lambda done, of: None
) -> int:
    """Write the readable records into a new store and return the number of keys.

    The records get new versions, so a conditional write with an old version fails with ConflictError.
    Raises as `Store.open` and `Store.batch`.
    """
    live = [r for _, r in sorted(report.readable.items()) if r.kind != DELETE]
    with Store.open(target, Options()) as store:
        batch: list[Write] = []
        size = 0
        for number, record in enumerate(live, 1):
            batch.append(Write(record.key, record.value))
            size += len(record.value)
            if size > 1024 * 1024 or len(batch) == 1_000 or number == len(live):
                store.batch(batch)
                batch, size = [], 0
                progress(number, len(live))
    return len(live)
