"""Forms that leave a process: messages between processes, stored records and what operators' tools read.

Other builds read them, so a renamed class or attribute must not change them. No form names a Python class.
"""

from __future__ import annotations

import dataclasses
import importlib
import json
import pkgutil
from collections.abc import Iterator
from enum import Enum
from pathlib import Path
from types import ModuleType
from typing import Any

import msgspec

import mintford
import roadpulley
from mintford import interface as api
from roadpulley.fleet.duties import reconfiguration
from roadpulley.fleet.members.messages import MemberState
from roadpulley.operations import handover
from roadpulley.plans import catalog, records, reservations, terms
from roadpulley.store.format import Manifest, SealedSegment
from roadpulley.testbed import ledger
from roadpulley.usage import exporter, periods

RECORDED = Path(__file__).with_name("outer_forms.json")


def modules() -> Iterator[ModuleType]:
    for package in (mintford, roadpulley):
        for found in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
            if not found.name.endswith("__main__"):
                yield importlib.import_module(found.name)


def classes(base: type) -> list[type]:
    """Subclasses of `base` in the program, each once."""
    found = {}
    for module in modules():
        for value in vars(module).values():
            is_class = isinstance(value, type) and issubclass(value, base) and value is not base
            if is_class and value.__module__ == module.__name__:
                found[value] = None
    return list(found)


def form(kind: Any) -> str:
    """A msgspec type as it is written, without the names of classes."""
    if isinstance(kind, msgspec.inspect.StructType):
        parts = [form(f.type) if kind.array_like else f"{f.encode_name}: {form(f.type)}" for f in kind.fields]
        optional = sum(not f.required for f in kind.fields)
        shape = "array" if kind.array_like else "object"
        return f"{shape} {kind.tag or '-'} ({', '.join(parts)}; {optional} optional)"
    if isinstance(kind, msgspec.inspect.EnumType):
        return f"enum {sorted(map(str, (member.value for member in kind.cls)))}"
    if isinstance(kind, msgspec.inspect.NamedTupleType):
        return f"tuple ({', '.join(form(f.type) for f in kind.fields)})"
    name = type(kind).__name__.removesuffix("Type")
    inner = []
    for field in dataclasses.fields(kind) if dataclasses.is_dataclass(kind) else ():
        inner.append((field.name, getattr(kind, field.name)))
    if not inner:
        inner = [(n, getattr(kind, n)) for n in getattr(kind, "__struct_fields__", ())]
    shown = []
    for field_name, value in inner:
        if isinstance(value, msgspec.inspect.Type):
            shown.append(form(value))
        elif isinstance(value, tuple) and value and all(isinstance(v, msgspec.inspect.Type) for v in value):
            shown.extend(sorted(form(v) for v in value) if name == "Union" else [form(v) for v in value])
        elif isinstance(value, (int, float, str)) and field_name != "cls":
            shown.append(f"{field_name}={value}")
    return f"{name}[{', '.join(shown)}]" if shown else name


def messages() -> list[str]:
    return sorted(form(msgspec.inspect.type_info(kind)) for kind in classes(msgspec.Struct))


def enum_values() -> list[list[str]]:
    return sorted([str(member.value) for member in kind] for kind in classes(Enum))


def estate() -> api.HandoverState:
    """One of everything that a process hands to its successor."""
    held = api.CustomerSnapshot(
        "customer", "plan", 3, dict.fromkeys(api.LEASE_FIELDS, 1.5), 2.0, 3.0, 4.0, 5.0
    )
    return api.HandoverState(1.0, (held,), (api.BackendSnapshot(7, 9.0, {"slow": (0.5, 8.0)}),), 10.0, 11.0)


def keys(value: Any) -> Any:
    """The keys of a JSON value, nested, in place of its other values."""
    if isinstance(value, dict):
        return {key: keys(inner) for key, inner in sorted(value.items())}
    if isinstance(value, list):
        return [keys(inner) for inner in value]
    return type(value).__name__


def plan_records() -> list[Any]:
    """A plan's version, a customer's of both kinds, and a reservation, as the store holds them."""
    plan = catalog.PlanVersion("basic", 1, 0, terms.Terms(), 5, "note", 0)
    assigned = catalog.CustomerVersion("customer", 1, 0, 0, 5, "basic", (), "", 0)
    changed = catalog.CustomerVersion("customer", 2, 0, 9, 5, None, (("rate", 2.0),), "", 0)
    reservation = reservations.Reservation("r1", "customer", 7, 10, 20)
    versions = [keys(json.loads(records.dump(v))) for v in (plan, assigned, changed)]
    return [*versions, keys(json.loads(records.dump_reservation(reservation)))]


def ledger_form() -> dict[str, Any]:
    """The fields of the testbed's records; `roadpulley dev --ledger` writes them."""
    lists = {name: sorted(f.name for f in dataclasses.fields(kind)) for name, kind in ledger.KINDS.items()}
    return {"records": lists, "file": keys(ledger.Ledger().to_json())}


def attributes(*kinds: type) -> list[list[str]]:
    """Of dataclasses that are written whole under the names of their attributes."""
    return [[f.name for f in dataclasses.fields(kind)] for kind in kinds]  # type: ignore[arg-type]


def forms() -> dict[str, Any]:
    """All forms, as they are recorded."""
    return {
        "messages": messages(),
        "enum values": enum_values(),
        "hand-over": keys(json.loads(handover.encode_message("gives", "gateway", estate()))),
        "states of members": [state.name for state in MemberState],
        "change of voters": keys(
            dataclasses.asdict(reconfiguration.ChangeRequest({"a": "127.0.0.1:1"}, "b"))
        ),
        "plans": plan_records(),
        "manifest": keys(
            json.loads(Manifest((SealedSegment(1, 2, 3, 4),), 5, 6, 7).pack().partition(b"\n")[2])
        ),
        "usage": attributes(periods.Period, exporter.Lease, exporter.Receipt),
        "ledger": ledger_form(),
    }


def test_forms_that_leave_a_process_are_those_that_other_builds_read() -> None:
    recorded = json.loads(RECORDED.read_text())
    found = forms()
    for part, expected in recorded.items():
        assert found[part] == expected, part
