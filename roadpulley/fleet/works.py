"""The works that `fleet.toml` can name, made from their settings. Each is imported only where it is named."""

from __future__ import annotations

from roadpulley.checks import Bad

from .duties.work import Work
from .settings import DutySettings, FleetSettings


def works(settings: FleetSettings, name: str) -> dict[str, Work]:
    """Of the duties that this instance may hold. Raises Bad for settings of a work that can't be taken."""
    return {
        duty.name: make(duty, name)
        for duty in settings.duties.values()
        if not duty.among or name in duty.among
    }


def make(duty: DutySettings, name: str) -> Work:
    match duty.work:
        case "probe":
            from .duties.probe import Probe

            return Probe(duty.name, duty.address, name, duty.every_s)
        case _:
            raise Bad(f"duties.{duty.name}.work", f"is {duty.work!r}", "give a work that this version has")
