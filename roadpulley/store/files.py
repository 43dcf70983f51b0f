"""The file layer: every operating system call of the store, behind interfaces that tests can replace."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol


class File(Protocol):
    """An open file. Every method may raise OSError."""

    def read(self, offset: int, length: int) -> bytes:
        """Read `length` bytes, fewer only at the end of the file."""

    def write(self, offset: int, data: bytes) -> None:
        """Write all of `data`. After an error any part of it may have been written."""

    def size(self) -> int: ...
    def sync(self) -> None: ...
    def truncate(self, length: int) -> None: ...
    def close(self) -> None: ...


class Files(Protocol):
    """A folder of files. Every method may raise OSError."""

    def make(self) -> None:
        """Create the folder if it does not exist."""

    def names(self) -> list[str]: ...

    def open(self, name: str, create: bool = False) -> File:
        """Open a file for reading and writing. With `create` the file must not exist yet."""

    def rename(self, old: str, new: str) -> None: ...
    def unlink(self, name: str) -> None: ...

    def sync_folder(self) -> None:
        """Make created, renamed and removed directory entries durable."""

    def lock(self) -> bool:
        """Try to lock the folder for this process. Return whether it succeeded."""

    def unlock(self) -> None: ...


class DiskFile:
    """A file on a real disk."""

    def __init__(self, path: Path, create: bool) -> None:
        flags = os.O_RDWR | os.O_CLOEXEC | (os.O_CREAT | os.O_EXCL if create else 0)
        self.fd = os.open(path, flags, 0o600)

    def read(self, offset: int, length: int) -> bytes:
        data = os.pread(self.fd, length, offset)
        if len(data) == length or not data:
            return data
        parts = [data]
        while data and (have := sum(map(len, parts))) < length:
            data = os.pread(self.fd, length - have, offset + have)
            parts.append(data)
        return b"".join(parts)

    def write(self, offset: int, data: bytes) -> None:
        rest = memoryview(data)
        while rest:  # a nearly full disk may accept only a part; Python itself retries after EINTR
            done = os.pwrite(self.fd, rest, offset)
            rest, offset = rest[done:], offset + done

    def size(self) -> int:
        return os.fstat(self.fd).st_size

    def sync(self) -> None:
        os.fsync(self.fd)

    def truncate(self, length: int) -> None:
        os.ftruncate(self.fd, length)

    def close(self) -> None:
        os.close(self.fd)


class DiskFiles:
    """A folder on a real disk."""

    def __init__(self, folder: Path | str) -> None:
        self.folder = Path(folder)
        self.lock_fd: int | None = None

    def make(self) -> None:
        if not self.folder.is_dir():
            self.folder.mkdir(mode=0o700)
            self._sync(self.folder.parent)

    def names(self) -> list[str]:
        return sorted(os.listdir(self.folder))

    def open(self, name: str, create: bool = False) -> DiskFile:
        return DiskFile(self.folder / name, create)

    def rename(self, old: str, new: str) -> None:
        os.rename(self.folder / old, self.folder / new)

    def unlink(self, name: str) -> None:
        os.unlink(self.folder / name)

    def sync_folder(self) -> None:
        self._sync(self.folder)

    @staticmethod
    def _sync(folder: Path) -> None:
        fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def lock(self) -> bool:
        fd = os.open(self.folder / "LOCK", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            return False
        self.lock_fd = fd
        return True

    def unlock(self) -> None:
        if self.lock_fd is not None:
            # Closing releases the lock. The file stays, because another process may have it open.
            os.close(self.lock_fd)
            self.lock_fd = None
