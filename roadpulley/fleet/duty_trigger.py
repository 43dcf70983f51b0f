"""How a command has something done that is a duty of the fleet: it asks the holder, and does nothing
itself."""

from __future__ import annotations

from roadpulley.checks import ValidationError

from .control import call_agent, list_instances
from .settings import FleetSettings


def trigger_duty(settings: FleetSettings, work: str) -> tuple[bool, str]:
    """Whether the holder runs on this machine and begins a round now, in words. Raises ValidationError.

    Danger: a command that did it itself, beside the holder, would be a second one under no fence.
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
            continue  # it has ended, and its socket is left
        if any(answer["done"] for answer in answers):
            return True, f"{instance} does it now"
        holder = next((str(a["holder"]) for a in answers if a["holder"]), holder)
    where = f"{holder} holds it" if holder else "nobody on this machine knows who holds it"
    return False, f"{where}; its next round does it, and `roadpulley fleet duties` tells more"
