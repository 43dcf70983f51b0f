"""Copies a store while another process writes to it.

The active segment is only appended to, and sealed segments never change. So the manifest, the segments it
names and the present content of the active one form a consistent state: all batches up to some version. If
compaction removes one of the segments meanwhile, the copy starts over with the new manifest. The copy may end
in a torn write, which opening it truncates as after a crash.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from .care import Progress, read_file
from .errors import DamagedError, StoreError
from .files import File, Files
from .format import Manifest, UnreadableError, segment_name
from .parts import MANIFEST
from .recovery import Damage
from .store import Store

COPY_CHUNK_BYTES = 4 * 1024 * 1024
# Attempts at a copy, each of which a concurrent compaction may invalidate.
MAX_ATTEMPTS = 20


class NotEmptyError(StoreError):
    """The target folder of a backup is not empty."""


class SegmentRemovedError(Exception):
    """Compaction removed a segment during the copy."""


def backup(source: Files, target: Files, progress: Progress = lambda done, of: None) -> int:
    """Copy a store into an empty folder, verify the copy and return its last version.

    Raises NotEmptyError, DamagedError, FormatVersionError, OSError.
    """
    target.make()
    if [name for name in target.names() if name != "LOCK"]:
        raise NotEmptyError("the folder for the copy is not empty: name a new one")
    for _ in range(MAX_ATTEMPTS):
        try:
            copy_segments(source, target, progress)
            break
        except SegmentRemovedError:
            for name in target.names():
                if name != "LOCK":
                    target.unlink(name)
    else:
        raise StoreError(f"compaction removed segments during the copy {MAX_ATTEMPTS} times: try again")
    with Store.open(target) as store:
        for _ in store.scan():
            pass  # reading verifies the checksum of each value
        return store.version


def copy_segments(source: Files, target: Files, progress: Progress) -> None:
    """Copy the manifest and its segments. Raises SegmentRemovedError, DamagedError, OSError."""
    raw = read_file(source, MANIFEST)
    try:
        manifest = Manifest.read(raw)
    except (UnreadableError, ValueError, KeyError, TypeError) as error:
        raise DamagedError([Damage(MANIFEST, 0, str(error), "nothing was copied")]) from error
    opened: list[tuple[str, File, int]] = []
    try:
        for number, length in [*((s.number, s.length) for s in manifest.sealed), (manifest.active, None)]:
            try:
                file = source.open(segment_name(number))
            except FileNotFoundError as error:
                if read_file(source, MANIFEST) == raw:
                    what = f"versions up to {manifest.version} may be lost"
                    raise DamagedError([Damage(segment_name(number), 0, "it is not there", what)]) from error
                raise SegmentRemovedError from error
            opened.append((segment_name(number), file, file.size() if length is None else length))
        total, done = sum(length for _, _, length in opened), 0
        for name, file, length in opened:
            copy_file(name, file, length, target, partial(report_progress, progress, done, total))
            done += length
    finally:
        for _, file, _ in opened:
            file.close()
    write_file(target, MANIFEST, raw)
    target.sync_folder()


def report_progress(progress: Progress, before: int, total: int, done: int) -> None:
    """Report progress over all files, given the bytes of one."""
    progress(before + done, total)


def copy_file(name: str, file: File, length: int, target: Files, on_progress: Callable[[int], None]) -> None:
    """Copy the first `length` bytes of a file and sync the copy."""
    output_file = target.open(name, create=True)
    try:
        for offset in range(0, length, COPY_CHUNK_BYTES):
            output_file.write(offset, file.read(offset, min(COPY_CHUNK_BYTES, length - offset)))
            on_progress(min(offset + COPY_CHUNK_BYTES, length))
        output_file.sync()
    finally:
        output_file.close()


def write_file(target: Files, name: str, data: bytes) -> None:
    """Create a file with the given content and sync it."""
    output_file = target.open(name, create=True)
    try:
        output_file.write(0, data)
        output_file.sync()
    finally:
        output_file.close()
