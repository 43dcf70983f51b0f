"""An embedded, durable, log-structured key-value store. See docs/design/store.md."""

from .errors import (
    ClosedError,
    ConflictError,
    DamagedError,
    FormatVersionError,
    LockedError,
    StoreError,
    StoreFailedError,
    WriteFailedError,
)
from .format import Record
from .parts import Options, StoreStats, Write
from .store import Snapshot, Store

__all__ = [
    "ClosedError",
    "ConflictError",
    "DamagedError",
    "StoreFailedError",
    "LockedError",
    "Options",
    "Record",
    "Snapshot",
    "StoreStats",
    "Store",
    "StoreError",
    "Write",
    "WriteFailedError",
    "FormatVersionError",
]
