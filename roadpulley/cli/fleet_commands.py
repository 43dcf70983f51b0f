"""The commands of `roadpulley fleet`, on click."""

from __future__ import annotations

import json
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click

from roadpulley.checks import ValidationError
from roadpulley.fleet.control import call_agent, list_instances
from roadpulley.fleet.settings import FleetSettings, read_settings

from .fleet import SETTINGS, WORDS, agent

FILE = click.Path(path_type=Path)
AS_JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object on standard output.")
CHANGE_S = 20.0  # for a change, beside the time that voters are silent
NAME = click.option("--name", help="Which instance of this machine to ask; the first that runs.")


class Judged(click.Group):
    """What is wrong with the settings, or can't be reached, is one line and exit code 2."""

    def invoke(self, context: click.Context) -> Any:
        try:
            return super().invoke(context)
        except (ValidationError, OSError) as error:
            click.echo(f"roadpulley fleet: {error}", err=True)
            return 2


@click.group("fleet", cls=Judged, short_help=WORDS)
@click.option("--settings", type=FILE, default=SETTINGS, show_default=True, help="What all instances share.")
@click.pass_context
def group(context: click.Context, settings: Path) -> None:
    """Instances that know each other, and the duties that one of them holds at a time."""
    context.obj = settings


@group.command("agent")
@click.option("--name", required=True, help="Which instance of the settings this process is.")
@click.pass_obj
def run_agent(settings: Path, name: str) -> int:
    """Run one instance, where no gateway runs beside it."""
    return agent(settings, name)


@group.command()
@click.pass_obj
def check(settings: Path) -> int:
    """Judge the settings: every complaint names the file, the key and what would be right."""
    from roadpulley.fleet.works import create_works

    found = read_settings(settings)
    for name in found.known_addresses:
        create_works(found, name)
    times = found.times
    click.echo(
        f"{settings}: {len(found.voters)} voters, {len(found.others)} others, {len(found.duties)} duties; "
        f"signed: {'yes' if found.key else 'no, on this machine only'}"
    )
    click.echo(
        f"a holder acts for at most {times.hold_duration:.2f} s after it asked "
        f"and renews every {times.renewal_interval:.2f} s; "
        f"nobody holds a duty for at most {times.lease + 1:.1f} s after its holder died; "
        f"a voter keeps silent for {times.silence:g} s after its start"
    )
    return 0


@group.command()
@NAME
@AS_JSON
@click.pass_obj
def members(settings: Path, name: str | None, as_json: bool) -> int:
    """Who is there, as one instance sees it."""
    found = answer(settings, name, "members")
    if as_json:
        click.echo(json.dumps(found))
        return 0
    columns = ("name", "boot", "state", "for_s", "address", "votes")
    click.echo(table(columns, found["members"]))
    click.echo(seen_from(found))
    dropped = found["datagrams"]["dropped"]
    if dropped:
        click.echo("dropped datagrams: " + ", ".join(f"{n} {cause}" for cause, n in sorted(dropped.items())))
    return 0


@group.command()
@NAME
@AS_JSON
@click.pass_obj
def duties(settings: Path, name: str | None, as_json: bool) -> int:
    """Who holds what, since when, under which fence, for how long still."""
    found = answer(settings, name, "duties")
    if as_json:
        click.echo(json.dumps(found))
        return 0
    columns = ("duty", "holder", "since_s", "fence", "left_s", "state", "known", "first_choice", "last")
    click.echo(table(columns, found["duties"]))
    click.echo(seen_from(found))
    return 0


@group.command()
@NAME
@AS_JSON
@click.pass_obj
def limits(settings: Path, name: str | None, as_json: bool) -> int:
    """Who gives out the rights of which limits; of those given out by this instance, what is left."""
    found = answer(settings, name, "limits")
    if as_json:
        click.echo(json.dumps(found))
        return 0
    if "parts" not in found:
        raise ValidationError(f"{settings}: rights", "is missing", "name the limits in [rights.limits.NAME]")
    click.echo(table(("part", "fence", "given_out_by", "waits_s"), found["parts"]))
    click.echo(table(("limit", "rate", "burst", "left", "out", "holders"), found["limits"]))
    click.echo(f"{found['beside']} processes spend beside it. {seen_from(found)}")
    return 0


@group.command()
@NAME
@AS_JSON
@click.pass_obj
def verdicts(settings: Path, name: str | None, as_json: bool) -> int:
    """Which backends the fleet finds failing, and who says so."""
    found = answer(settings, name, "verdicts")
    if as_json:
        click.echo(json.dumps(found))
        return 0
    click.echo(table(("backend", "level", "age_ms", "failed"), found["verdicts"]))
    if found["most_of_its_own_fails"]:
        click.echo("Most of what this instance uses fails: it tells nothing, the fault is likely here.")
    click.echo(seen_from(found))
    return 0


@group.command("hand-over")
@click.argument("duty")
@NAME
@AS_JSON
@click.pass_obj
def hand_over(settings: Path, duty: str, name: str | None, as_json: bool) -> int:
    """Have the instance of this machine that holds a duty let another take it."""
    found = read_settings(settings)
    if duty not in found.duties:
        raise ValidationError(
            "DUTY", f"{duty!r} is none", f"the duties are: {', '.join(sorted(found.duties)) or 'none'}"
        )
    for instance in [name] if name else list_instances(found.control):
        result = call_agent(found.control, instance, "hand-over", duty=duty)
        if result["done"]:
            click.echo(json.dumps(result) if as_json else f"{instance} hands {duty} over")
            return 0
    click.echo(
        json.dumps({"done": False, "duty": duty}) if as_json else f"{duty} is not held on this machine"
    )
    return 1


@group.group(invoke_without_command=True)
@NAME
@AS_JSON
@click.pass_context
def voters(context: click.Context, name: str | None, as_json: bool) -> int:
    """Who votes, which of them this instance sees, and which keep silent after a start."""
    if context.invoked_subcommand is not None:
        return 0
    found = answer(context.obj, name, "voters")
    if as_json:
        click.echo(json.dumps(found))
        return 0
    click.echo(table(("name", "address", "boot", "seen", "silent_s"), found["voters"]))
    click.echo(f"{found['majority']} of {len(found['voters'])} are a majority. {seen_from(found)}")
    return 0


@voters.command("add")
@click.argument("voter")
@click.argument("address", default="")
@NAME
@click.pass_obj
def add_voter(settings: Path, voter: str, address: str, name: str | None) -> int:
    """Let one more instance vote; ADDRESS where the settings don't say it."""
    return change(settings, name, {voter: address}, "")


@voters.command("remove")
@click.argument("voter")
@NAME
@click.pass_obj
def remove_voter(settings: Path, voter: str, name: str | None) -> int:
    """Let an instance vote no more. End it only then."""
    return change(settings, name, {}, voter)


@voters.command("replace")
@click.argument("old")
@click.argument("new")
@click.argument("address", default="")
@NAME
@click.pass_obj
def replace_voter(settings: Path, old: str, new: str, address: str, name: str | None) -> int:
    """Let one instance vote in another's place: first one less votes, then one more.

    The other way round, where the old one is gone, a majority of one voter more would need all that are left.
    """
    return change(settings, name, {}, old) or change(settings, name, {new: address}, "")


def change(settings: Path, name: str | None, add: dict[str, str], remove: str) -> int:
    """Ask for one change, and wait for its end."""
    found = read_settings(settings)
    instance = name or str(answer(settings, None, "voters")["instance"])
    call_agent(found.control, instance, "change", add=add, remove=remove)
    end, said = time.monotonic() + CHANGE_S + 3 * found.times.silence, ""
    while time.monotonic() < end:
        status = call_agent(found.control, instance, "change-status")
        if status["step"] != said:
            said = status["step"]
            click.echo(f"{said}: {status['why']}" if status["why"] else said)
        if said == "done":
            click.echo("In every instance's settings from now on:\n[voters]")
            for voter, address in sorted(status["voters"].items()):
                click.echo(f'{voter} = "{address or found.known_addresses[voter]}"')
            return 0
        if said == "failed":
            return 1
        time.sleep(0.05)
    click.echo("not done yet, and it goes on: `roadpulley fleet voters` tells", err=True)
    return 1


def answer(settings: Path, name: str | None, call: str) -> dict[str, Any]:
    """Of the instance that is named, or the first of this machine that answers. Raises ValidationError."""
    found: FleetSettings = read_settings(settings)
    if name:
        return call_agent(found.control, name, call)
    names = list_instances(found.control)
    for each in names:
        try:
            return call_agent(found.control, each, call)
        except ValidationError:
            continue
    raise ValidationError(
        str(found.control), "no instance answers there", "start one with `roadpulley fleet agent`"
    )


def seen_from(found: dict[str, Any]) -> str:
    words = f"Seen from {found['instance']}."
    if found["unseen"]:
        words += f" It can't see {', '.join(found['unseen'])}."
    for problem in found.get("problems", {}).values():
        words += f" {problem}."
    return words


def table(columns: Sequence[str], rows: list[dict[str, Any]]) -> str:
    cells = [list(columns), *([text(row.get(c, "")) for c in columns] for row in rows)]
    widths = [max(len(row[n]) for row in cells) for n in range(len(columns))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    )


def text(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
