"""A fence beside files that a duty writes: for what is no store and refuses nothing by itself."""

from __future__ import annotations

import fcntl
import json
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from roadpulley.fences import StaleFenceError

from .work import WorkError


class FileRegister:
    """{"fence", "owner"} in a file, under a lock of the kernel's that ends with the process that has it."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def claim(self, fence: int, owner: str) -> int | None:
        """Take it up. None: it is; else the highest that was before. Raises WorkError, OSError."""
        with self._locked() as fd:
            highest, before = self._read(fd)
            if (fence, owner) == (highest, before):
                return None
            if fence <= highest:
                return highest
            data = json.dumps({"fence": fence, "owner": owner}).encode()
            os.pwrite(fd, data.ljust(256), 0)  # in one piece, and never shorter than what stood there
            os.fsync(fd)
        return None

    @contextmanager
    def guard(self, fence: int) -> Iterator[None]:
        """For one act: while it lasts nobody takes up another. Raises StaleFenceError, WorkError, OSError.

        Danger: without the lock the act could come after another's claim, which nothing would refuse then.
        """
        with self._locked() as fd:
            highest, _ = self._read(fd)
            if highest != fence:
                raise StaleFenceError(highest)
            yield

    @contextmanager
    def _locked(self) -> Iterator[int]:
        self.path.parent.mkdir(parents=True, exist_ok=True)
        fd = os.open(self.path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            try:
                fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError as error:
                raise WorkError(f"{self.path}: another process acts there") from error
            yield fd
        finally:
            os.close(fd)

    def _read(self, fd: int) -> tuple[int, str]:
        data = os.pread(fd, 4096, 0)
        if not data.strip():
            return 0, ""
        try:
            raw = json.loads(data)
            return int(raw["fence"]), str(raw["owner"])
        except (ValueError, KeyError, TypeError) as error:
            raise WorkError(f"{self.path} holds no fence: remove it if nothing acts there") from error
