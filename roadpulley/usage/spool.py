"""The way of batches from gateways to the books: files in a folder, written whole, removed once taken in.

Each gateway writes its own; one process at a time takes them in. A file's name sorts by process and number.
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

SUFFIX, PART, BAD = ".use", ".part", ".bad"


def write(folder: Path, batch: Batch) -> None:
    """On disk for sure when this returns. Raises OSError: there or not, it is to be written again."""
    name = folder / f"{quote(batch.gateway, safe='')}-{batch.process_id}-{batch.number:012d}{SUFFIX}"
    part = name.with_suffix(PART)
    with part.open("wb") as file:
        file.write(batch_format.encode_batch(batch))
        file.flush()
        os.fsync(file.fileno())
    part.replace(name)
    # Danger: without this a loss of power may take the name, and the gateway has forgotten the batch.
    at = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(at)
    finally:
        os.close(at)


def collect(folder: Path, books: UsageLedger) -> tuple[int, int, int]:
    """Take in what is there; gives batches that were new, known already, and that can't be read.

    A file goes once the store has it. What can't be read is set aside under another name, never removed. One
    that comes before its predecessor waits for the next time.
    """
    new = known = bad = 0
    for file in sorted(folder.glob(f"*{SUFFIX}")):
        try:
            batch = batch_format.decode_batch(file.read_bytes())
        except ValidationError as error:
            log.error("%s is set aside: %s", file.name, error)
            file.replace(file.with_suffix(BAD))
            bad += 1
            continue
        try:
            taken = books.ingest(batch)
        except ValidationError as error:
            log.warning("%s waits: %s", file.name, error)
            continue
        new, known = new + taken.is_new, known + (not taken.is_new)
        file.unlink()
    return new, known, bad
