"""The care of a store that several machines see: a copy now and then, old copies removed, room given back."""

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
from roadpulley.store import Locked, Store, StoreError
from roadpulley.store.backup import backup
from roadpulley.store.files import DiskFiles

log = logging.getLogger(__name__)

COPY = re.compile(r"\d{8}T\d{6}\.\d{6}Z-\d+")
STAMP = "%Y%m%dT%H%M%S.%fZ"


@dataclass(frozen=True)
class MaintenanceSettings:
    """`keep`: copies, the newest; `copy_s`: seconds from one to the next at the least."""

    store: Path
    copies: Path
    keep: int
    copy_s: float


def read_maintenance_settings(path: Path) -> MaintenanceSettings:
    """Paths are relative to the file. Raises ValidationError with the file and the key."""

    def read(raw: dict[str, Any]) -> MaintenanceSettings:
        table = Table(raw)
        store, copies = table.read_text("store"), table.read_text("copies")
        keep, every = table.read_int("keep", 7, 1, 10_000), table.read_number("copy_s", 86_400.0, 0.1)
        table.reject_unknown_keys()
        return MaintenanceSettings(path.parent / store, path.parent / copies, keep, every)

    return read_toml(path, read)


class StoreMaintenance:
    """Its register: a fence in the folder of the copies. A copy's name holds the fence it was made under."""

    def __init__(self, name: str, settings: MaintenanceSettings) -> None:
        self.name, self.settings = name, settings
        self.register = FileRegister(settings.copies / "FENCE")

    def claim(self, fence: int, owner: str) -> int | None:
        with failing("the copies"):
            return self.register.claim(fence, owner)

    def act(self, duty: HeldDuty) -> float | None:
        with failing("the store or its copies"):
            if time.time() - self.newest() >= self.settings.copy_s and duty.is_still_held():
                self.copy(duty)
            if duty.is_still_held():
                self.compact()
        return None

    def copies(self) -> list[Path]:
        """Whole ones, oldest first."""
        found = self.settings.copies.iterdir() if self.settings.copies.exists() else iter(())
        return sorted(p for p in found if COPY.fullmatch(p.name))

    def newest(self) -> float:
        copies = self.copies()
        if not copies:
            return 0.0
        at = datetime.strptime(copies[-1].name.partition("-")[0], STAMP)
        return at.replace(tzinfo=UTC).timestamp()

    def copy(self, duty: HeldDuty) -> None:
        """Into a part of its own, which takes its name under the fence; what a stopped holder left is
        removed."""
        name = f"{datetime.now(UTC).strftime(STAMP)}-{duty.fence}"
        part = self.settings.copies / f"part-{duty.fence}"
        shutil.rmtree(part, ignore_errors=True)
        version = backup(DiskFiles(self.settings.store), DiskFiles(part))
        with self.register.guard(duty.fence):
            part.rename(self.settings.copies / name)
            for old in self.copies()[: -self.settings.keep]:
                shutil.rmtree(old)
            for left in self.settings.copies.glob("part-*"):
                shutil.rmtree(left, ignore_errors=True)
        log.info("%s: copy %s at version %d", self.name, name, version)

    def compact(self) -> None:
        try:
            with Store.open(self.settings.store) as store:
                if store.worth_compacting():
                    store.compact()
        except Locked:
            return  # whoever has it open does it


@contextmanager
def failing(what: str) -> Iterator[None]:
    try:
        yield
    except (StoreError, ValidationError, OSError) as error:
        raise WorkError(f"{what}: {error}") from error
