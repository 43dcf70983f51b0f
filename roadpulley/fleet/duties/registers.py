"""A fencing register in a file: for resources that can't check fences themselves, such as plain files."""

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
    """The highest fence and its owner as JSON, under an flock, which the kernel releases with its process."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def claim(self, fence: int, owner: str) -> int | None:
        """Claims the fence; returns None, or the highest fence if this one is too low.

        Raises WorkError, OSError.
        """
        with self._locked() as fd:
            highest, before = self._read(fd)
            if (fence, owner) == (highest, before):
                return None
            if fence <= highest:
                return highest
            data = json.dumps({"fence": fence, "owner": owner}).encode()
            os.pwrite(
                fd, data.ljust(256), 0
            )  # one write of a fixed size, so that no rest of longer content remains
            os.fsync(fd)
        return None

    @contextmanager
    def guard(self, fence: int) -> Iterator[None]:
        """Locks the register for one act, so that no other fence is claimed meanwhile.

        Without the lock the act could follow another process's claim, and nothing would reject it. Raises
        StaleFenceError, WorkError, OSError.
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
                raise WorkError(f"{self.path}: another process has locked it") from error
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
