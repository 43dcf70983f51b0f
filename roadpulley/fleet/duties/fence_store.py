"""A voter's record on disk of the fences that may have been used.

Promises and grants aren't stored: the voter doesn't vote for some time after a start instead. Numbers are
reserved in blocks, so that one write covers many holdings. Without a state folder, or with an empty one, the
first number is the wall clock's milliseconds: holdings are much rarer than milliseconds, so it is above all
earlier numbers unless the clock stepped back. In that case the registers reject it, and the next ballot is
above the highest fence that they report.
"""

from __future__ import annotations

import json
import os
from pathlib import Path

from roadpulley.checks import ValidationError

RESERVED_BLOCK = 1_000  # fences reserved by one write


class FenceStore:
    """Reserves fences of one voter: all below `reserved_until` may have been promised."""

    def __init__(self, folder: Path | None, name: str, wall_ms: int) -> None:
        """Raises ValidationError for an unreadable file: the voter might promise used fences."""
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
            hint = "remove it: the wall clock and the registers give the next number"
            raise ValidationError(str(path), f"can't be read ({error})", hint) from error
        if not isinstance(found, int) or isinstance(found, bool) or found < 0:
            raise ValidationError(
                str(path), f"says {found!r}", "remove it: the wall clock and the registers give the next"
            )
        return found

    def reserve(self, number: int) -> None:
        """Writes a new reservation before a number beyond the current one is promised.

        Raises OSError; the number must not be promised then. A number that was promised without a reservation
        could be promised again after a restart.
        """
        if number < self.reserved_until:
            return
        end = number + RESERVED_BLOCK
        if self.path is not None:
            write_atomically(self.path, json.dumps({"used": end}).encode())
        self.reserved_until = end


def write_atomically(path: Path, data: bytes) -> None:
    """Replaces the file durably and atomically. Raises OSError, and the file is unchanged then."""
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
