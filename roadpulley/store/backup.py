"""A copy of a store while another process writes to it.
 Segments are only ever written at their end, and sealed ones never: the manifest, the segments that it
names and what the last of them holds by now are one state, all batches up to some moment. If compaction
removes one of them meanwhile, the copy begins anew with the manifest of then. The end of the last segment
may be torn; opening the copy cuts it as after a crash.
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
MAX_ATTEMPTS = 20  # that compaction may get in the way of


class NotEmptyError(StoreError):
    """There is something in the folder that was to be written to."""


class SegmentRemovedError(Exception):
    """A segment was compacted away."""


def backup(source: Files, target: Files, progress: Progress = lambda done, of: None) -> int:
    """Copy a store into an empty folder, and open the copy; gives the last version in it.

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
        raise StoreError(f"segments were compacted away under the copy {MAX_ATTEMPTS} times: try again")
    with Store.open(target) as store:
        for _ in store.scan():
            pass  # each value is checked as it is read
        return store.version


def copy_segments(source: Files, target: Files, progress: Progress) -> None:
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
    progress(before + done, total)


def copy_file(name: str, file: File, length: int, target: Files, said: Callable[[int], None]) -> None:
    made = target.open(name, create=True)
    try:
        for at in range(0, length, COPY_CHUNK_BYTES):
            made.write(at, file.read(at, min(COPY_CHUNK_BYTES, length - at)))
            said(min(at + COPY_CHUNK_BYTES, length))
        made.sync()
    finally:
        made.close()


def write_file(target: Files, name: str, data: bytes) -> None:
    made = target.open(name, create=True)
    try:
        made.write(0, data)
        made.sync()
    finally:
        made.close()
