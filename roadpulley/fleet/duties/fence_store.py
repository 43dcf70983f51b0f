"""What a voter remembers on disk, where it has one: below which number every fence may have been used.

Not promises, not grants: for those it keeps silent after a start. Numbers are set aside in blocks, so that
the disk is written once for many holdings. Without a disk, or with an empty one, the wall clock gives the
number: holdings are far fewer than milliseconds pass, so it is above all earlier ones unless the clock
stepped back meanwhile. Then the registers refuse it, and the next is taken above what they have seen.
"""

from __future__ import annotations

import json
import os
from pathlib import Path

from roadpulley.checks import ValidationError

RESERVED_BLOCK = 1_000


class FenceStore:
    def __init__(self, folder: Path | None, name: str, wall_ms: int) -> None:
        """Raises ValidationError for a file that is none of ours: to vote with less than was used would be a
        lie.
        """
        self.path = folder / f"{name}.fences" if folder is not None else None
        self.floor = wall_ms
        if self.path is not None:
            self.path.parent.mkdir(parents=True, exist_ok=True)
            if self.path.exists():
                self.floor = self._read(self.path)
        self.reserved_until = self.floor
        self.reserve(self.floor)

    @staticmethod
    def _read(path: Path) -> int:
        try:
            found = json.loads(path.read_bytes())["used"]
        except (OSError, ValueError, KeyError, TypeError) as error:
            right = "remove it: the wall clock and the registers give the next number"
            raise ValidationError(str(path), f"can't be read ({error})", right) from error
        if not isinstance(found, int) or isinstance(found, bool) or found < 0:
            raise ValidationError(
                str(path), f"says {found!r}", "remove it: the wall clock and the registers give the next"
            )
        return found

    def reserve(self, number: int) -> None:
        """On disk before a number beyond the block is promised. Raises OSError, and nothing is promised.

        Danger: a number that was promised and not set aside could be promised again after a restart.
        """
        if number < self.reserved_until:
            return
        upto = number + RESERVED_BLOCK
        if self.path is not None:
            write_atomically(self.path, json.dumps({"used": upto}).encode())
        self.reserved_until = upto


def write_atomically(path: Path, data: bytes) -> None:
    """Whole and on disk, or as it was. Raises OSError."""
    part = path.with_name(path.name + ".part")
    with part.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    part.replace(path)
    fd = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
