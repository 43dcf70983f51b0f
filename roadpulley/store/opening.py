"""Opening a store: reads what is there, has recovery decide, and makes it ready to be written on."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from . import format
from .errors import DamagedError, FormatVersionError
from .format import PUT, Manifest, RecordMetadata, SealedSegment, UnreadableError, hint_name, segment_name
from .index import Index, pack_location, unpack_location
from .parts import MANIFEST, Segment
from .recovery import (
    Damage,
    Frame,
    RecoveryPlan,
    SegmentScan,
    find_orphaned_files,
    find_sealed_damage,
    plan_recovery,
    scan_segment,
)

if TYPE_CHECKING:
    from .store import Store


class StoreOpener:
    """One opening of a store's folder, which is locked already."""

    def __init__(self, store: Store) -> None:
        self.store = store

    def load(self) -> None:
        names = self.store.files.names()
        if MANIFEST not in names:
            if segments := [n for n in names if n.endswith(".seg") and self.may_hold_data(n)]:
                lost = f"segments {', '.join(segments)} are there; see `roadpulley store repair --dry-run`"
                raise DamagedError([Damage(MANIFEST, 0, "it is not there", lost)])
            return self.create_store()
        manifest = self.read_manifest()
        self.store.next_number = manifest.next_number
        best: dict[bytes, int] = {}
        where: dict[bytes, int | None] = {}
        damage: list[Damage] = []
        unhinted: list[tuple[Segment, format.Hint]] = []
        for sealed in manifest.sealed:
            problem = self.load_sealed(sealed, names, best, where, unhinted)
            if problem is not None:
                damage.append(problem)
        self.store.sealed_version = manifest.version
        found, decided = self.scan_active(manifest.active, manifest.version)
        damage += decided.damage
        if damage:
            raise DamagedError(damage)
        for name in find_orphaned_files(names, manifest):
            self.store.files.unlink(name)
        for each, hint in unhinted:
            self.store._write_hint(each.number, each.length, hint)
        self.store.recovery_plan = decided
        segment = self.store.segments[manifest.active]
        segment.salt, segment.length = found.salt, decided.keep_bytes
        kept = [frame for frame in found.frames if frame.end <= decided.keep_bytes]
        for frame in kept:
            self.add_records(segment, frame.record_metadata, best, where)
            for place in frame.record_metadata:
                segment.hint.add(place)
        self.store.version = max(manifest.version, segment.last)
        self.store.index = Index((key, location) for key, location in where.items() if location is not None)
        for _, location in self.store.index.locations.items():
            number, _, size = unpack_location(location)
            self.store.segments[number].live_bytes += size
        self.resume_writing(manifest, decided)

    def may_hold_data(self, name: str) -> bool:
        """Whether a segment without a manifest may hold anything that was acknowledged."""
        file = self.store.files.open(name)
        try:
            return file.size() > format.SEGMENT_HEADER.size
        finally:
            file.close()

    def read_manifest(self) -> Manifest:
        file = self.store.files.open(MANIFEST)
        try:
            return Manifest.read(file.read(0, file.size()))
        except format.NewerFormatError as error:
            raise FormatVersionError(f"{MANIFEST}: {error}") from error
        except (UnreadableError, ValueError, KeyError, TypeError) as error:
            lost = "which segments count is not known; see `roadpulley store repair --dry-run`"
            raise DamagedError([Damage(MANIFEST, 0, str(error), lost)]) from error
        finally:
            file.close()

    def create_store(self) -> None:
        for name in self.store.files.names():
            if name.endswith((".seg", ".hint", ".tmp")):
                self.store.files.unlink(name)  # of a creation that was cut off
        self.store.next_number = 1
        segment = self.store._new_segment()
        self.store.active = segment
        self.store._write_manifest()

    def load_sealed(
        self,
        sealed: SealedSegment,
        names: Sequence[str],
        best: dict[bytes, int],
        where: dict[bytes, int | None],
        unhinted: list[tuple[Segment, format.Hint]],
    ) -> Damage | None:
        name = segment_name(sealed.number)
        if name not in names:
            return Damage(name, 0, "it is not there", f"versions {sealed.first} to {sealed.last} are lost")
        file = self.store.files.open(name)
        segment = Segment(sealed.number, file, 0, sealed.length)
        self.store.segments[sealed.number], self.store.sealed[sealed.number] = segment, sealed
        size = file.size()
        if problem := find_sealed_damage(sealed, None, size):
            return problem
        try:
            segment.salt = format.read_header(file.read(0, format.SEGMENT_HEADER.size), sealed.number)
            places = self.read_hint(sealed, names)
        except format.NewerFormatError as error:
            raise FormatVersionError(f"{name}: {error}") from error
        except UnreadableError as error:
            return Damage(name, 0, str(error), f"versions {sealed.first} to {sealed.last} are lost")
        if places is None:
            found = scan_segment(file.read(0, sealed.length), sealed.number)
            if problem := find_sealed_damage(sealed, found, size):
                return problem
            places = [place for frame in found.frames for place in frame.record_metadata]
            hint = format.Hint()
            for place in places:
                hint.add(place)
            unhinted.append((segment, hint))
        self.add_records(segment, places, best, where)
        segment.first, segment.last = sealed.first, sealed.last
        return None

    def read_hint(self, sealed: SealedSegment, names: Sequence[str]) -> list[RecordMetadata] | None:
        """What a hint says; None if it is missing or spoilt, and the segment has to be read whole."""
        if hint_name(sealed.number) not in names:
            return None
        file = self.store.files.open(hint_name(sealed.number))
        try:
            return format.read_hint(file.read(0, file.size()), sealed.number, sealed.length)
        except UnreadableError:
            return None
        finally:
            file.close()

    def scan_active(self, number: int, known: int) -> tuple[SegmentScan, RecoveryPlan]:
        name = segment_name(number)
        if name not in self.store.files.names():
            missing = Damage(name, 0, "it is not there", f"all versions after {known} are lost")
            return SegmentScan(number), RecoveryPlan(damage=[missing])
        file = self.store.files.open(name)
        self.store.segments[number] = Segment(number, file, 0, 0)
        try:
            found = scan_segment(file.read(0, file.size()), number)
        except format.NewerFormatError as error:
            raise FormatVersionError(f"{name}: {error}") from error
        return found, plan_recovery(found, known)

    def add_records(
        self,
        segment: Segment,
        places: Sequence[RecordMetadata],
        best: dict[bytes, int],
        where: dict[bytes, int | None],
    ) -> None:
        """Take in a segment's records: of one key's, that of the highest version counts."""
        number, seen = segment.number, best.get
        for place in places:
            if place.version >= seen(place.key, 0):
                best[place.key] = place.version
                size = place.size
                where[place.key] = pack_location(number, place.offset, size) if place.kind == PUT else None
            if place.version > segment.last:
                segment.last = place.version
            segment.first = min(segment.first or place.version, place.version)

    def resume_writing(self, manifest: Manifest, decided: RecoveryPlan) -> None:
        """Write on where the last process stopped, or in a new segment what it left unproven."""
        old = self.store.segments[manifest.active]
        if not decided.needs_new_segment:
            self.store.active = old
            if old.last:
                self.store._append_durable_mark()
            return
        # Danger: what is written again may have been acknowledged, as a mark is not synced. The manifest may
        # cut it off the old segment only once it is safe in the new one.
        segment = self.store._new_segment()
        durable = self.store.version
        for frame in decided.rewrite:
            self.rewrite_frame(segment, frame, old, durable)
        segment.file.sync()
        self.store._seal(old, segment)
        self.store._append_durable_mark()

    def rewrite_frame(self, segment: Segment, frame: Frame, old: Segment, durable: int) -> None:
        raw = [old.file.read(place.offset, place.size) for place in frame.record_metadata]
        records = [format.read_record(each, old.salt) for each in raw]
        data = format.pack_frame(records, frame.header.version, durable, segment.salt)
        segment.file.write(segment.length, data)
        self.store._index_frame(segment, data, frame.header.version)
        self.store.version = frame.header.version
