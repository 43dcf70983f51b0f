"""Creates the works that `fleet.toml` names. Each work is imported only if it is used."""

from __future__ import annotations

from roadpulley.checks import ValidationError
from roadpulley.fleet.duties.work import Work
from roadpulley.fleet.settings import DutySettings, FleetSettings


def create_works(settings: FleetSettings, name: str) -> dict[str, Work]:
    """Creates the works of the duties that this instance may hold.

    Raises ValidationError for settings of a work that can't be taken.
    """
    return {
        duty.name: create_work(duty, name)
        for duty in settings.duties.values()
        if not duty.among or name in duty.among
    }


def create_work(duty: DutySettings, name: str) -> Work:
    """Creates the work of a duty. Raises ValidationError for bad settings or a missing package."""
    try:
        return create_work_of_kind(duty, name)
    except ImportError as error:
        hint = "install roadpulley[fleet]"
        raise ValidationError(
            f"duties.{duty.name}.work", f"is {duty.work!r}, and {error.name} is missing", hint
        ) from error


def create_work_of_kind(duty: DutySettings, name: str) -> Work:
    """Creates the work of a duty. Raises ValidationError for bad settings, ImportError for a package."""
    if duty.work == "probe":
        from roadpulley.fleet.duties.probe import Probe

        return Probe(duty.name, duty.address, name, duty.every_s)
    if duty.work == "rights":
        from roadpulley.fleet.rights.work import DUTY, AllocatorWork

        return AllocatorWork(int(duty.name.removeprefix(DUTY)))
    if duty.work == "orders":
        from roadpulley.fleet.orders.work import PublisherWork

        return PublisherWork()
    assert duty.settings is not None
    if duty.work in ("usage-push", "usage-close"):
        from roadpulley.usage.settings import read_settings

        from . import usage

        work_class = usage.BillingPusher if duty.work == "usage-push" else usage.PeriodCloser
        return work_class(duty.name, read_settings(duty.settings))
    if duty.work == "plans-publish":
        from roadpulley.plans.settings import read_settings as read_plans

        from .plans import PlanPublisher

        return PlanPublisher(duty.name, read_plans(duty.settings))
    from .store_maintenance import StoreMaintenance, read_maintenance_settings

    return StoreMaintenance(duty.name, read_maintenance_settings(duty.settings))
