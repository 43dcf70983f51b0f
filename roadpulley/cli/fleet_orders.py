"""What operators order of the whole fleet: `roadpulley fleet orders|limit|block|shed|keep-off|lift`."""

from __future__ import annotations

import getpass
import json
import re
import time
from pathlib import Path
from typing import Any

import click

from roadpulley.checks import ValidationError
from roadpulley.fleet.control import call_agent
from roadpulley.fleet.orders.messages import (
    MAX_AUTHOR_BYTES,
    MAX_DURATION_S,
    SCOPES_BY_KIND,
    Order,
    validate_order,
)
from roadpulley.fleet.settings import read_settings

from .fleet_commands import AS_JSON, NAME, answer, seen_from, table
from .fleet_commands import group as group

WAIT_S = 25.0  # for an outcome: longer than an instance tries
LOOK_S = 0.05
UNITS = {"s": 1, "m": 60, "h": 3600, "d": 86_400}
LIMIT_SCOPES = SCOPES_BY_KIND["rate"]
FOR = click.option("--for", "lasts", metavar="TIME", default="", help="As 30s, 10m, 2h; for good without it.")
WHY = click.option("--why", default="", help="One line for those who wonder; listed with the order.")


def seconds(text: str) -> float:
    """Raises ValidationError."""
    found = re.fullmatch(r"(\d+(?:\.\d+)?)([smhd])", text)
    length = float(found[1]) * UNITS[found[2]] if found else 0.0
    if not 0 < length <= MAX_DURATION_S:
        raise ValidationError(
            "--for", f"is {text!r}", "give a time such as 30s, 10m or 2h, of a year at most"
        )
    return length


def give(settings: Path, name: str | None, order: Order, lasts: str, lift: bool = False) -> int:
    """Have an order given or lifted, and wait until it is acknowledged. Raises ValidationError."""
    ends = int((time.time() + seconds(lasts)) * 1000) if lasts else 0
    who = getpass.getuser()[:MAX_AUTHOR_BYTES]
    fields = {key: getattr(order, key) for key in order.__struct_fields__}
    order = Order(**(fields | {"ends_ms": ends, "who": who}))
    if not lift and (wrong := validate_order(order)):
        raise ValidationError("the order", *wrong.split("; ", 1))
    found = read_settings(settings)
    instance = name or str(answer(settings, None, "members")["instance"])
    values = [getattr(order, key) for key in order.__struct_fields__]
    status = call_agent(found.control, instance, "order", order=values, lift=lift)
    end, said = time.monotonic() + WAIT_S, ""
    while status["step"] == "waiting" and time.monotonic() < end:
        if status["why"] != said:
            said = status["why"]
            click.echo(f"waiting {said}", err=True)
        time.sleep(LOOK_S)
        status = call_agent(found.control, instance, "order-status", ticket=status["ticket"])
    if status["step"] != "done":
        click.echo(f"{status['step']}: {status['why']}", err=True)
        return 1
    holds = found.orders.follower_settings.holds if found.orders else 0.0
    done, book = "lifted" if lift else "ordered", ".".join(map(str, status["id"]))
    click.echo(
        f"{done}, book {book}: every instance that is reached follows within a second; one that is cut off "
        f"takes the book before for the newest for {holds:g} s at most"
    )
    return 0


@group.command()
@NAME
@AS_JSON
@click.pass_obj
def orders(settings: Path, name: str | None, as_json: bool) -> int:
    """What is ordered, by whom, for how long still; and how many instances go by it."""
    found = answer(settings, name, "orders")
    if as_json:
        click.echo(json.dumps(found))
        return 0
    click.echo(table(("order", "of", "what", "left_s", "who", "why"), found["orders"]))
    click.echo(f"book {found['id'][0]}.{found['id'][1]}, {age(found)}. {seen_from(found)}")
    if publishes := found.get("publishes"):
        waits = f", waits for {publishes['waits_for']}" if publishes["waits_for"] else ""
        click.echo(
            f"This instance publishes orders ({publishes['step']}{waits}): "
            f"{publishes['follow_it']} of {publishes['polled_lately']} that ask go by the newest."
        )
    return 0


def age(found: dict[str, Any]) -> str:
    if found["known"] == "newest":
        return f"the newest as of {found['age_s']} s ago"
    held = "its orders are kept" if found["cut_off"] == "keep" else "its orders are let go"
    return f"no publisher heard lately: {held}"


@group.command()
@click.argument("scope", type=click.Choice(LIMIT_SCOPES))
@click.argument("subject")
@click.option("--rate", type=float, help="Requests a second, over the whole fleet.")
@click.option("--burst", type=float, help="Requests at once beyond the rate; the default is one second's.")
@click.option("--open", "most", type=int, help="Requests open at once, over the whole fleet.")
@FOR
@WHY
@NAME
@click.pass_obj
def limit(
    settings: Path,
    scope: str,
    subject: str,
    rate: float | None,
    burst: float | None,
    most: int | None,
    lasts: str,
    why: str,
    name: str | None,
) -> int:
    """Let no more through of a class, customer, plan or pool (a zone of backends) than that."""
    if (rate is None) == (most is None):
        given = "neither" if rate is None else "both"
        raise ValidationError("limit", f"has {given} --rate and --open", "give one of them")
    if most is not None:
        order = Order("open", scope, subject, most=most, why=why)
    else:
        assert rate is not None
        order = Order("rate", scope, subject, rate, max(1.0, rate) if burst is None else burst, why=why)
    return give(settings, name, order, lasts)


@group.command()
@click.argument("customer")
@FOR
@WHY
@NAME
@click.pass_obj
def block(settings: Path, customer: str, lasts: str, why: str, name: str | None) -> int:
    """Refuse all requests of a customer."""
    return give(settings, name, Order("block", "customer", customer, why=why), lasts)


@group.command()
@click.argument("request_class", metavar="CLASS")
@FOR
@WHY
@NAME
@click.pass_obj
def shed(settings: Path, request_class: str, lasts: str, why: str, name: str | None) -> int:
    """Refuse all requests of a class."""
    return give(settings, name, Order("shed", "class", request_class, why=why), lasts)


@group.command("keep-off")
@click.argument("backend")
@FOR
@WHY
@NAME
@click.pass_obj
def keep_off(settings: Path, backend: str, lasts: str, why: str, name: str | None) -> int:
    """Send nothing to a backend while any other is there; BACKEND is its host in discovery's list."""
    return give(settings, name, Order("keep-off", "backend", backend, why=why), lasts)


@group.command()
@click.argument("order", type=click.Choice(list(SCOPES_BY_KIND)))
@click.argument("scope")
@click.argument("subject")
@NAME
@click.pass_obj
def lift(settings: Path, order: str, scope: str, subject: str, name: str | None) -> int:
    """Take an order back, named as `orders` lists it: `lift rate class view`."""
    return give(settings, name, Order(order, scope, subject), "", lift=True)


@group.command("orders-recover")
@NAME
@click.pass_obj
def recover(settings: Path, name: str | None) -> int:
    """Publish without the voters that are waited for, after others lost their memory.

    What only those knew is lost. Called at the instance that publishes.
    """
    found = answer(settings, name, "orders-force")
    words = "goes on with the newest book that is known" if found["done"] else "does not publish orders"
    click.echo(f"{found['instance']} {words}")
    return 0 if found["done"] else 1
