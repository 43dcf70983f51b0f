"""Opens a store: loads its files, applies the recovery plan and prepares the store for writing."""

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
    """Loads one store from its folder, which is locked already."""

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
        missing_hints: list[tuple[Segment, format.Hint]] = []
        for sealed in manifest.sealed:
            problem = self.load_sealed(sealed, names, best, where, missing_hints)
            if problem is not None:
                damage.append(problem)
        self.store.sealed_version = manifest.version
        found, active_plan = self.scan_active(manifest.active, manifest.version)
        damage += active_plan.damage
        if damage:
            raise DamagedError(damage)
        for name in find_orphaned_files(names, manifest):
            self.store.files.unlink(name)
        for unhinted, hint in missing_hints:
            self.store._write_hint(unhinted.number, unhinted.length, hint)
        self.store.recovery_plan = active_plan
        segment = self.store.segments[manifest.active]
        segment.salt, segment.length = found.salt, active_plan.keep_bytes
        kept_frames = [frame for frame in found.frames if frame.end <= active_plan.keep_bytes]
        for frame in kept_frames:
            self.add_records(segment, frame.record_metadata, best, where)
            for place in frame.record_metadata:
                segment.hint.add(place)
        self.store.version = max(manifest.version, segment.last)
        self.store.index = Index((key, location) for key, location in where.items() if location is not None)
        for _, location in self.store.index.locations.items():
            number, _, size = unpack_location(location)
            self.store.segments[number].live_bytes += size
        self.resume_writing(manifest, active_plan)

    def may_hold_data(self, name: str) -> bool:
        """Return whether a segment without a manifest may hold acknowledged data."""
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
            lost = "the list of live segments is lost; see `roadpulley store repair --dry-run`"
            raise DamagedError([Damage(MANIFEST, 0, str(error), lost)]) from error
        finally:
            file.close()

    def create_store(self) -> None:
        for name in self.store.files.names():
            if name.endswith((".seg", ".hint", ".tmp")):
                self.store.files.unlink(name)  # left by an interrupted creation
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
        missing_hints: list[tuple[Segment, format.Hint]],
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
            missing_hints.append((segment, hint))
        self.add_records(segment, places, best, where)
        segment.first, segment.last = sealed.first, sealed.last
        return None

    def read_hint(self, sealed: SealedSegment, names: Sequence[str]) -> list[RecordMetadata] | None:
        """Read a hint file. Return None if it is missing or invalid and the whole segment has to be read."""
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
        """Merge a segment's records into `best` and `where`. The highest version of a key wins."""
        number, get_version = segment.number, best.get
        for place in places:
            if place.version >= get_version(place.key, 0):
                best[place.key] = place.version
                size = place.size
                where[place.key] = pack_location(number, place.offset, size) if place.kind == PUT else None
            if place.version > segment.last:
                segment.last = place.version
            segment.first = min(segment.first or place.version, place.version)

    def resume_writing(self, manifest: Manifest, active_plan: RecoveryPlan) -> None:
        """Continue in the active segment, or move its frames not proven durable to a new one."""
        old = self.store.segments[manifest.active]
        if not active_plan.needs_new_segment:
            self.store.active = old
            if old.last:
                self.store._append_durable_mark()
            return
        # The rewritten frames may have been acknowledged, because marks are not synced. They must be durable
        # in the new segment before the manifest cuts them from the old one, or a crash would lose them.
        segment = self.store._new_segment()
        durable = self.store.version
        for frame in active_plan.rewrite:
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
