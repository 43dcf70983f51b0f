"""An embedded durable store: log, index, compaction, recovery. See docs/design/store.md."""

from .errors import Closed, Conflict, Damaged, Failed, Locked, StoreError, WriteFailed, WrongFormat
from .format import Record
from .parts import Options, Stat, Write
from .store import Snapshot, Store

__all__ = [
    "Closed",
    "Conflict",
    "Damaged",
    "Failed",
    "Locked",
    "Options",
    "Record",
    "Snapshot",
    "Stat",
    "Store",
    "StoreError",
    "Write",
    "WriteFailed",
    "WrongFormat",
]
