"""Reads `deploy/fleet.toml`: the instances, the voters, the times of leases, and the duties.

All instances share one file. A command line option says which of them a process is.
"""

from __future__ import annotations

import ipaddress
import re
import stat
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from roadpulley.checks import Table, ValidationError, read_toml

from .counts.service import ReplicationSettings, read_replication_settings
from .duties.terms import LeaseTimes
from .duties.voter_config import MAX_VOTERS
from .members.messages import SwimParameters
from .orders.settings import OrderSettings, read_order_settings
from .orders.work import DUTY as ORDERS_DUTY
from .peers.envelope import MAX_KEY_BYTES, MIN_KEY_BYTES
from .rights.settings import RightsSettings, read_rights_settings
from .rights.work import DUTY as RIGHTS_DUTY_PREFIX
from .verdicts.service import read_verdict_settings
from .verdicts.state_machine import VerdictSettings

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]{0,31}")
MAX_DUTIES = 512  # each is a bit of a membership claim, which has to fit into a datagram with others
WORK_KINDS = ("probe", "usage-push", "usage-close", "plans-publish", "store-care")


@dataclass(frozen=True)
class DutySettings:
    """One duty.

    `among`: the instances that may hold it, empty for all; `prefer`: the preferred ones, in order.
    """

    name: str
    work: str
    settings: Path | None  # the settings file of the work
    address: str  # HOST:PORT of the register of a probe
    every_s: float
    prefer: tuple[str, ...]
    among: tuple[str, ...]


@dataclass(frozen=True)
class FleetSettings:
    """The contents of `fleet.toml`: `others` are the instances that don't vote."""

    installation: str
    key: bytes | None = field(repr=False)
    control: Path  # folder of the control sockets, which `roadpulley fleet` connects to
    state: Path | None  # folder in which voters store the used fences
    voters: Mapping[str, str]
    others: Mapping[str, str]
    seeds: tuple[str, ...]
    times: LeaseTimes
    members: SwimParameters
    duties: Mapping[str, DutySettings]
    # A duty is handed over once another instance has been the better choice for this long.
    hand_over_delay_s: float
    counts: ReplicationSettings | None = None  # replicated counters, in place of a counter server
    rights: RightsSettings | None = None  # rights to spend of the limits that hold over all gateways
    orders: OrderSettings | None = None  # operators' orders, which all instances follow
    verdicts: VerdictSettings | None = None  # health of backends, from the observations of all instances

    @property
    def known_addresses(self) -> dict[str, str]:
        """Addresses of all named instances, by name."""
        return {**self.voters, **self.others}


def read_settings(path: Path) -> FleetSettings:
    """Reads `fleet.toml`, with paths relative to it. Raises ValidationError with the file and the key."""

    def read(raw: dict[str, Any]) -> FleetSettings:
        return parse_fleet_settings(Table(raw), path.parent)

    return read_toml(path, read)


def parse_fleet_settings(table: Table, folder: Path) -> FleetSettings:
    """The settings in `table`; paths are relative to `folder`. Raises ValidationError with the key."""
    installation = check_name(table.read_text("installation"), "installation")
    key = read_key(table.read_text("key", ""), folder)
    control, state = table.read_text("control"), table.read_text("state", "")
    seeds = table.read_value("seeds", [], "give a list of addresses")
    if not isinstance(seeds, list):
        raise ValidationError("seeds", f"is {seeds!r}", "give a list of addresses, as 127.0.0.1:7401")
    voters = read_addresses(table.read_table("voters"), key)
    others = read_addresses(table.read_table("others"), key)
    if len(voters) < 3 or len(voters) % 2 == 0 or len(voters) > MAX_VOTERS:
        # An even number tolerates no more failures than the odd number below it; one voter tolerates none.
        hint = f"name an odd number from 3 to {MAX_VOTERS}: three tolerate the loss of one, five of two"
        raise ValidationError("voters", f"are {len(voters)}", hint)
    check_distinct_addresses(voters, others)
    times = read_lease_times(table.read_table("lease"))
    rights = read_rights_settings(table.read_table("rights"), times.drift) if table.has("rights") else None
    orders = read_order_settings(table.read_table("orders"), times.drift) if table.has("orders") else None
    found = FleetSettings(
        installation,
        key,
        folder / control,
        folder / state if state else None,
        voters,
        others,
        tuple(check_address(s, f"seeds[{n}]", key) for n, s in enumerate(seeds)),
        times,
        read_swim_parameters(table.read_table("members")),
        {
            **read_duties(table.read_table("duties"), folder, {*voters, *others}),
            **define_internal_duties(rights, orders),
        },
        table.read_number("settle_s", 10.0, 0.1, 3600),
        read_replication_settings(table.read_table("counts")) if table.has("counts") else None,
        rights,
        orders,
        read_verdict_settings(table.read_table("verdicts")) if table.has("verdicts") else None,
    )
    table.reject_unknown_keys()
    return found


def check_name(text: str, path: str) -> str:
    """The name of an instance or duty, if it is valid. Raises ValidationError."""
    if not NAME_PATTERN.fullmatch(text):
        raise ValidationError(
            path, f"is {text!r}", "give 1 to 32 of a-z, 0-9, '.' and '-', a letter or digit first"
        )
    return text


def read_key(text: str, folder: Path) -> bytes | None:
    """The key that signs datagrams; None without a file name. Raises ValidationError."""
    if not text:
        return None
    path = folder / text
    try:
        found = path.read_bytes()
        mode = path.stat().st_mode
    except OSError as error:
        hint = "name a file that this process may read, made by `openssl rand 32`"
        raise ValidationError("key", f"{path} can't be read ({error.strerror})", hint) from error
    if not MIN_KEY_BYTES <= len(found) <= MAX_KEY_BYTES:
        hint = f"give {MIN_KEY_BYTES} to {MAX_KEY_BYTES}, such as `openssl rand 32` makes"
        raise ValidationError("key", f"{path} has {len(found)} bytes", hint)
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise ValidationError("key", f"{path} may be read by others", "only its owner may read it: chmod 600")
    return found


def check_address(text: object, path: str, key: bytes | None) -> str:
    """HOST:PORT with an IPv4 address, as names aren't resolved here. Raises ValidationError."""
    hint = "give an address of one machine with its port, as 127.0.0.1:7401"
    if not isinstance(text, str):
        raise ValidationError(path, f"is {text!r}", hint)
    host, _, port = text.rpartition(":")
    try:
        ip = ipaddress.IPv4Address(host)
    except ValueError as error:
        raise ValidationError(path, f"is {text!r}", hint) from error
    if not port.isdecimal() or not 1 <= int(port) <= 65535:
        raise ValidationError(path, f"is {text!r}", "give a port from 1 to 65535")
    if ip.is_unspecified or ip.is_multicast or ip.is_reserved:
        raise ValidationError(path, f"is {text!r}, which is not the address of one machine", hint)
    if key is None and not ip.is_loopback:
        raise ValidationError(
            path, f"is {text!r} and there is no key", "name a key file, or use 127.0.0.0/8 only"
        )
    return f"{ip}:{int(port)}"


def read_addresses(table: Table, key: bytes | None) -> dict[str, str]:
    """Addresses by instance name. Raises ValidationError."""
    found = {}
    for name in table.raw:
        found[check_name(name, table.path_of(name))] = check_address(
            table.read_value(name, ..., ""), table.path_of(name), key
        )
    return found


def check_distinct_addresses(voters: Mapping[str, str], others: Mapping[str, str]) -> None:
    """Raises ValidationError if two instances share a name or an address."""
    names_by_address: dict[str, str] = {}
    for part, table in (("voters", voters), ("others", others)):
        for name, address in table.items():
            if part == "others" and name in voters:
                raise ValidationError(f"others.{name}", "is a voter too", "name each instance once")
            if address in names_by_address:
                # One process with two of three votes would be a majority alone.
                raise ValidationError(
                    f"{part}.{name}",
                    f"is at {address}, as {names_by_address[address]} is",
                    "give each its own address",
                )
            names_by_address[address] = name


def read_lease_times(table: Table) -> LeaseTimes:
    """Reads [lease]. Raises ValidationError, also for times that leave a holder no time."""
    times = {
        "lease": table.read_number("seconds", 4.0, 0.2, 3600),
        "silence": table.read_number("silence_s", 0.0, 0.0, 3600),
        "drift": table.read_number("drift", 0.02, 0.0, 0.25),
        "margin": table.read_number("margin_s", 0.2, 0.0, 60),
        "answer": table.read_number("answer_s", 0.25, 0.01, 60),
        "claim": table.read_number("claim_s", 5.0, 0.1, 600),
    }
    table.reject_unknown_keys()
    try:
        return LeaseTimes(**times)
    except ValueError as error:
        problem, _, hint = str(error).partition("; ")
        raise ValidationError(table.path_of("seconds"), problem, hint) from error


def read_swim_parameters(table: Table) -> SwimParameters:
    """Reads [members]. Raises ValidationError."""
    period = table.read_number("period_s", 0.5, 0.02, 60)
    answer = table.read_number("answer_s", period * 0.4, 0.005, 60)
    table.reject_unknown_keys()
    if answer * 2.2 > period:
        hint = f"leave time for an indirect probe within a period: at most {period / 2.2:.3f}"
        raise ValidationError(table.path_of("answer_s"), f"is {answer:g}", hint)
    return SwimParameters(period=period, answer=answer, exchange=period * 10)


def read_duties(table: Table, folder: Path, known: set[str]) -> dict[str, DutySettings]:
    """Reads [duties]; `known`: names of all instances. Raises ValidationError."""
    found = {}
    for name in table.raw:
        entry = table.read_table(check_name(name, table.path_of(name)))
        if name.startswith("fleet."):
            raise ValidationError(
                entry.path,
                "is reserved for internal duties",
                "choose a name that doesn't begin with 'fleet.'",
            )
        work = entry.read_text("work", choices=WORK_KINDS)
        settings, address = entry.read_text("settings", ""), entry.read_text("address", "")
        if work == "probe" and not address:
            raise ValidationError(
                entry.path_of("address"), "is missing", "name the register that the probe acts on"
            )
        if work != "probe" and not settings:
            raise ValidationError(
                entry.path_of("settings"), "is missing", f"name the file with the settings of {work}"
            )
        every_s = entry.read_number("every_s", 60.0, 0.005, 86_400)
        prefer = read_instance_names(entry, "prefer", known)
        among = read_instance_names(entry, "among", known)
        if among and (ineligible := [n for n in prefer if n not in among]):
            raise ValidationError(
                entry.path_of("prefer"),
                f"names {ineligible[0]}",
                "it may not hold this duty: add it to among",
            )
        entry.reject_unknown_keys()
        found[name] = DutySettings(
            name, work, folder / settings if settings else None, address, every_s, prefer, among
        )
    if len(found) > MAX_DUTIES:
        raise ValidationError(table.path, f"are {len(found)}", f"name at most {MAX_DUTIES}")
    return found


def define_internal_duties(
    rights: RightsSettings | None, orders: OrderSettings | None
) -> dict[str, DutySettings]:
    """Duties that aren't in the settings file: one for each partition of the limits, and one for orders."""
    works = {
        f"{RIGHTS_DUTY_PREFIX}{part}": "rights"
        for part in range(rights.partitions if rights is not None else 0)
    }
    works |= {ORDERS_DUTY: "orders"} if orders is not None else {}
    return {name: DutySettings(name, work, None, "", 60.0, (), ()) for name, work in works.items()}


def read_instance_names(table: Table, key: str, known: set[str]) -> tuple[str, ...]:
    """A list of names of known instances; empty without the key. Raises ValidationError."""
    if not table.has(key):
        return ()
    names = table.read_texts(key)
    for name in names:
        if name not in known:
            hint = f"name instances of [voters] and [others]: {', '.join(sorted(known))}"
            raise ValidationError(table.path_of(key), f"names {name!r}", hint)
    return names
