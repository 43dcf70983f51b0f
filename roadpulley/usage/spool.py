"""The spool: a folder of batch files, written atomically by gateways and removed once in the ledger.

Each gateway writes its own files, and one process at a time collects them. File names sort by process and
number.
"""

from __future__ import annotations

import logging
import os
from pathlib import Path
from urllib.parse import quote

from roadpulley.checks import ValidationError

from . import batch_format
from .accumulator import Batch
from .ledger import UsageLedger

log = logging.getLogger(__name__)

SUFFIX = ".use"
PARTIAL_SUFFIX = ".part"
DAMAGED_SUFFIX = ".bad"


def write(folder: Path, batch: Batch) -> None:
    """Writes a batch durably.

    Raises OSError. The file may exist even then, and the same batch has to be written again.
    """
    target = folder / f"{quote(batch.gateway, safe='')}-{batch.process_id}-{batch.number:012d}{SUFFIX}"
    partial = target.with_suffix(PARTIAL_SUFFIX)
    with partial.open("wb") as file:
        file.write(batch_format.encode_batch(batch))
        file.flush()
        os.fsync(file.fileno())
    partial.replace(target)
    # Without this fsync a power failure may lose the file name after the gateway has discarded the batch.
    folder_fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(folder_fd)
    finally:
        os.close(folder_fd)


def collect(folder: Path, ledger: UsageLedger) -> tuple[int, int, int]:
    """Adds the files to the ledger. Returns how many were new, known already, and damaged.

    A file is removed once the store has its batch. A damaged file is renamed and never removed. A file that
    arrives before its predecessor is left for the next call. Raises StoreError, OSError.
    """
    added = known = damaged = 0
    for file in sorted(folder.glob(f"*{SUFFIX}")):
        try:
            batch = batch_format.decode_batch(file.read_bytes())
        except ValidationError as error:
            log.error("%s is set aside: %s", file.name, error)
            file.replace(file.with_suffix(DAMAGED_SUFFIX))
            damaged += 1
            continue
        try:
            result = ledger.ingest(batch)
        except ValidationError as error:
            log.warning("%s waits: %s", file.name, error)
            continue
        added, known = added + result.is_new, known + (not result.is_new)
        file.unlink()
    return added, known, damaged
