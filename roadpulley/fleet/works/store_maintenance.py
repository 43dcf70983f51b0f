"""The `store-care` work for a store on shared disks: makes copies, removes old ones, compacts the store."""

from __future__ import annotations

import logging
import re
import shutil
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from roadpulley.checks import Table, ValidationError, read_toml
from roadpulley.fleet.duties.registers import FileRegister
from roadpulley.fleet.duties.work import HeldDuty, WorkError
from roadpulley.store import LockedError, Store, StoreError
from roadpulley.store.backup import backup
from roadpulley.store.files import DiskFiles

log = logging.getLogger(__name__)

COPY_NAME_PATTERN = re.compile(r"\d{8}T\d{6}\.\d{6}Z-\d+")
TIMESTAMP_FORMAT = "%Y%m%dT%H%M%S.%fZ"


@dataclass(frozen=True)
class MaintenanceSettings:
    """`max_copies`: the number of newest copies that remain; `copy_interval_s`: seconds between copies."""

    store: Path
    copies: Path
    max_copies: int
    copy_interval_s: float


def read_maintenance_settings(path: Path) -> MaintenanceSettings:
    """Reads the settings; paths are relative to the file. Raises ValidationError with file and key."""

    def read(raw: dict[str, Any]) -> MaintenanceSettings:
        table = Table(raw)
        store, copies = table.read_text("store"), table.read_text("copies")
        max_copies, copy_interval_s = (
            table.read_int("keep", 7, 1, 10_000),
            table.read_number("copy_s", 86_400.0, 0.1),
        )
        table.reject_unknown_keys()
        return MaintenanceSettings(path.parent / store, path.parent / copies, max_copies, copy_interval_s)

    return read_toml(path, read)


class StoreMaintenance:
    """Maintains one store. Register: a file next to the copies. The name of a copy ends with its fence."""

    def __init__(self, name: str, settings: MaintenanceSettings) -> None:
        self.name, self.settings = name, settings
        self.register = FileRegister(settings.copies / "FENCE")

    def claim(self, fence: int, owner: str) -> int | None:
        """Claims the fence at the file register. Raises WorkError."""
        with convert_errors("the copies"):
            return self.register.claim(fence, owner)

    def act(self, duty: HeldDuty) -> float | None:
        """Makes a copy if one is due, then compacts. Raises StaleFenceError, WorkError."""
        with convert_errors("the store or its copies"):
            if (
                time.time() - self.newest_copy_time_s() >= self.settings.copy_interval_s
                and duty.is_still_held()
            ):
                self.make_copy(duty)
            if duty.is_still_held():
                self.compact_store()
        return None

    def list_copies(self) -> list[Path]:
        """Complete copies, oldest first."""
        found = self.settings.copies.iterdir() if self.settings.copies.exists() else iter(())
        return sorted(p for p in found if COPY_NAME_PATTERN.fullmatch(p.name))

    def newest_copy_time_s(self) -> float:
        """Wall clock time of the newest copy; 0 without one."""
        copies = self.list_copies()
        if not copies:
            return 0.0
        at = datetime.strptime(copies[-1].name.partition("-")[0], TIMESTAMP_FORMAT)
        return at.replace(tzinfo=UTC).timestamp()

    def make_copy(self, duty: HeldDuty) -> None:
        """Copies to a partial folder, renames it under the fence, and removes old and partial copies."""
        name = f"{datetime.now(UTC).strftime(TIMESTAMP_FORMAT)}-{duty.fence}"
        partial_path = self.settings.copies / f"part-{duty.fence}"
        shutil.rmtree(partial_path, ignore_errors=True)
        version = backup(DiskFiles(self.settings.store), DiskFiles(partial_path))
        with self.register.guard(duty.fence):
            partial_path.rename(self.settings.copies / name)
            for old_copy in self.list_copies()[: -self.settings.max_copies]:
                shutil.rmtree(old_copy)
            for partial_copy in self.settings.copies.glob("part-*"):
                shutil.rmtree(partial_copy, ignore_errors=True)
        log.info("%s: copy %s at version %d", self.name, name, version)

    def compact_store(self) -> None:
        """Compacts the store if that is worthwhile and no other process has it open."""
        try:
            with Store.open(self.settings.store) as store:
                if store.should_compact():
                    store.compact()
        except LockedError:
            return  # the process that has it open compacts it


@contextmanager
def convert_errors(resource: str) -> Iterator[None]:
    """Raises errors of the store and of files as WorkError."""
    try:
        yield
    except (StoreError, ValidationError, OSError) as error:
        raise WorkError(f"{resource}: {error}") from error
