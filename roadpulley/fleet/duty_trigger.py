"""Lets a command start work that is a duty of the fleet: the holder of the duty is asked to run it now."""

from __future__ import annotations

from roadpulley.checks import ValidationError

from .control import call_agent, list_instances
from .settings import FleetSettings


def trigger_duty(settings: FleetSettings, work: str) -> tuple[bool, str]:
    """Ask the holder to run the work now; returns whether it does, and a message for the operator.

    Only a holder on this machine can be asked. The command never does the work itself: it would run
    concurrently with the holder and without a fence. Raises ValidationError if no duty has this work.
    """
    names = [d.name for d in settings.duties.values() if d.work == work]
    if not names:
        raise ValidationError(
            "duties", f"none has work {work!r}", "add one, or take `fleet` out of the settings"
        )
    holder = ""
    for instance in list_instances(settings.control):
        try:
            answers = [call_agent(settings.control, instance, "run", duty=name) for name in names]
        except ValidationError:
            continue  # the instance ended and left its socket behind
        if any(answer["done"] for answer in answers):
            return True, f"{instance} does it now"
        holder = next((str(a["holder"]) for a in answers if a["holder"]), holder)
    where = f"{holder} holds it" if holder else "nobody on this machine knows who holds it"
    return False, f"{where}; its next round does it, and `roadpulley fleet duties` tells more"
