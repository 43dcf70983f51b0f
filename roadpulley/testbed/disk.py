"""A disk in memory that fails as disks do, and whose every state after a crash can be had.
 It keeps a log of all that was asked of it. `crashed(n, chance)` gives a new disk as it may stand if the
power went after the first `n` entries, under the rules of POSIX: what was synced is there; of what was not,
any part may be, in any order: writes lost, kept, or torn at any byte, names made, changed or removed or
not. What a failed sync left behind may be lost for good, whatever syncs succeed later.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Op:
    """One entry of the log. `at` is an offset or a length, `inode` 0 where the folder itself is meant."""

    what: str  # write, truncate, sync, sync-failed, create, rename, unlink, sync-folder, or a test's own word
    inode: int = 0
    at: int = 0
    data: bytes = b""
    name: str = ""
    new_name: str = ""


@dataclass
class Chance:
    """What of the unsynced part is kept; each question is asked once for each entry.

    `kept` says whether an entry is, `torn` how many of a write's bytes are.
    """

    kept: Callable[[Op], bool]
    torn: Callable[[Op], int] = lambda op: len(op.data)

    @classmethod
    def drawn(cls, seed: object) -> Chance:
        rng = random.Random(str(seed))
        share = rng.choice((0.2, 0.5, 0.8))

        def torn(op: Op) -> int:
            return rng.randint(0, len(op.data)) if rng.random() < 0.4 else len(op.data)

        return cls(lambda op: rng.random() < share, torn)


NOTHING = Chance(lambda op: False)
ALL = Chance(lambda op: True)
Fault = Callable[
    [Op], OSError | int | None
]  # an error; or, for a write, after how many bytes the disk is full


class MemoryFile:
    """One open file of a MemoryDisk."""

    def __init__(self, disk: MemoryDisk, inode: int) -> None:
        self.disk, self.inode, self.open = disk, inode, True

    @property
    def content(self) -> bytearray:
        if not self.open:
            raise OSError(errno.EBADF, "closed")
        return self.disk.content[self.inode]

    def read(self, offset: int, length: int) -> bytes:
        return bytes(self.content[offset : offset + length])

    def write(self, offset: int, data: bytes) -> None:
        content, op = self.content, Op("write", self.inode, offset, bytes(data))
        full = self.disk.ask(op)
        if full is not None:
            op = Op("write", self.inode, offset, bytes(data[:full]))
        apply(content, op, len(op.data))
        self.disk.log.append(op)
        if full is not None:
            raise OSError(errno.ENOSPC, "No space left on device")

    def size(self) -> int:
        return len(self.content)

    def sync(self) -> None:
        assert self.open
        try:
            self.disk.ask(Op("sync", self.inode))
        except OSError:
            self.disk.log.append(Op("sync-failed", self.inode))
            raise
        self.disk.log.append(Op("sync", self.inode))

    def truncate(self, length: int) -> None:
        op = Op("truncate", self.inode, length)
        self.disk.ask(op)
        apply(self.content, op, 0)
        self.disk.log.append(op)

    def close(self) -> None:
        assert self.open, "closed twice"
        self.open = False


def apply(content: bytearray, op: Op, length: int) -> None:
    """Do a write, of which so many bytes arrive, or a truncation."""
    if op.what == "truncate":
        del content[op.at :]
        content.extend(bytes(op.at - len(content)))
    elif length:
        if len(content) < op.at:
            content.extend(bytes(op.at - len(content)))
        content[op.at : op.at + length] = op.data[:length]


@dataclass
class MemoryDisk:
    """One folder. `fault` is asked before each call that changes anything, or syncs."""

    content: dict[int, bytearray] = field(default_factory=dict)  # by inode, as running programs see it
    entries: dict[str, int] = field(default_factory=dict)
    fault: Fault = lambda op: None
    log: list[Op] = field(default_factory=list)
    locked: bool = False

    def __post_init__(self) -> None:
        self.first = ({i: bytes(c) for i, c in self.content.items()}, dict(self.entries))  # all synced
        self.last_inode = max(self.content, default=0)

    def ask(self, op: Op) -> int | None:
        got = self.fault(op)
        if isinstance(got, OSError):
            raise got
        return got

    def do(self, op: Op) -> None:
        self.ask(op)
        rename(self.entries, op)
        self.log.append(op)

    def say(self, word: str, at: int = 0) -> None:
        """A test's own entry: what was acknowledged by then, say."""
        self.log.append(Op(word, at=at))

    # ---- what the store asks ----

    def make(self) -> None:
        return

    def names(self) -> list[str]:
        return sorted(self.entries)

    def open(self, name: str, create: bool = False) -> MemoryFile:
        if create:
            if name in self.entries:
                raise FileExistsError(errno.EEXIST, "File exists", name)
            self.last_inode += 1
            self.content[self.last_inode] = bytearray()
            self.do(Op("create", self.last_inode, name=name))
        if name not in self.entries:
            raise FileNotFoundError(errno.ENOENT, "No such file", name)
        return MemoryFile(self, self.entries[name])

    def rename(self, old: str, new: str) -> None:
        self.do(Op("rename", self.entries[old], name=old, new_name=new))

    def unlink(self, name: str) -> None:
        if name not in self.entries:
            raise FileNotFoundError(errno.ENOENT, "No such file", name)
        self.do(Op("unlink", self.entries[name], name=name))

    def sync_folder(self) -> None:
        self.do(Op("sync-folder"))

    def lock(self) -> bool:
        was, self.locked = self.locked, True
        return not was

    def unlock(self) -> None:
        self.locked = False

    # ---- what may be left ----

    def crashed(self, count: int, chance: Chance) -> MemoryDisk:
        """A disk as it may stand after a crash, once the first `count` entries of the log were done."""
        contents = {inode: bytearray(content) for inode, content in self.first[0].items()}
        entries = dict(self.first[1])
        unsynced: dict[int, list[Op]] = {}
        doubtful: dict[int, list[Op]] = {}  # a sync of them failed
        folder: list[Op] = []
        for op in self.log[:count]:
            if op.what in ("write", "truncate"):
                unsynced.setdefault(op.inode, []).append(op)
            elif op.what == "sync":
                settle(contents.setdefault(op.inode, bytearray()), unsynced.pop(op.inode, []), ALL)
            elif op.what == "sync-failed":
                doubtful.setdefault(op.inode, []).extend(unsynced.pop(op.inode, []))
            elif op.what in ("create", "rename", "unlink"):
                folder.append(op)
            elif op.what == "sync-folder":
                for each in folder:
                    rename(entries, each)
                folder.clear()
        for each in folder:
            if chance.kept(each):
                rename(entries, each)
        for pending in (doubtful, unsynced):
            for inode, ops in pending.items():
                settle(contents.setdefault(inode, bytearray()), ops, chance)
        for inode in entries.values():
            contents.setdefault(inode, bytearray())
        return MemoryDisk({i: contents[i] for i in entries.values()}, entries)

    def copy(self) -> MemoryDisk:
        """As it is now, all of it synced."""
        return MemoryDisk({i: bytearray(self.content[i]) for i in self.entries.values()}, dict(self.entries))


def rename(entries: dict[str, int], op: Op) -> None:
    """Do a change of the folder; one that depends on another that was lost still ends with its own name."""
    if op.what == "create":
        entries[op.name] = op.inode
    elif op.what == "rename":
        if entries.get(op.name) == op.inode:
            del entries[op.name]
        entries[op.new_name] = op.inode
    elif op.what == "unlink" and entries.get(op.name) == op.inode:
        del entries[op.name]


def settle(content: bytearray, ops: list[Op], chance: Chance) -> None:
    for op in ops:
        if chance.kept(op):
            apply(content, op, min(len(op.data), chance.torn(op)))
