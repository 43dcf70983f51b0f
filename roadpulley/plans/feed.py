"""The feed that gateways follow: all current and scheduled terms in one document.

    {"format": 1, "seq": 7, "fence": 12, "made_at": 1796135433513,
     "plans":     {"basic": [[from, version, {terms}], ...]},
     "customers": {"00000000b4d65521": [[from, plan, version, override, {terms} or null], ...]}}

Each list is in the order of time, and its first entry is effective already. A gateway moves from one entry to
the next by its own clock, so a change takes effect everywhere at its time without a message. `null` terms
mean that the customer has the plan that its requests name, from `plans` or the deployment's settings. `fence`
is the fence of the fleet's duty that published the document; it is 0 or missing if a command published it.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from roadpulley.checks import Table, ValidationError, format_value

from .catalog import PlanCatalog
from .reservations import MICRO
from .terms import Terms, read_terms, terms_to_dict, validate_customer_id, validate_plan_name

FORMAT = 1
MAX_DOCUMENT_BYTES = 64 * 2**20  # about 300,000 customers with terms of their own
MAX_TIME_MS = 2**53


@dataclass(frozen=True, slots=True)
class Entry:
    """Terms from a time on. `terms` is None for a customer with the plan that its requests name."""

    effective_from: int
    plan: str
    version: int
    override: int
    terms: Terms | None


@dataclass(frozen=True)
class Document:
    """A feed document. A later one has a higher `seq`."""

    seq: int
    made_at: int
    plans: dict[str, tuple[Entry, ...]]
    customers: dict[str, tuple[Entry, ...]]
    fence: int = 0


# ---- encoding ----


# Returns a customer's reservations on top of its plan, as (start, end, rate in millionths per second).
OnTopRates = Callable[[str], list[tuple[int, int, int]]]


def no_on_top_rates(customer: str) -> list[tuple[int, int, int]]:
    """Return no rates: the default without reservations."""
    return []


def build_document(
    catalog: PlanCatalog, now: int, seq: int, get_on_top_rates: OnTopRates = no_on_top_rates, fence: int = 0
) -> Document:
    """Build the document of all current and scheduled terms.

    `get_on_top_rates` returns the reservations on top of a plan. They raise a customer's rate for their span.
    """
    plans = {}
    for name, rows in catalog.plans.items():
        times = [
            now,
            *sorted({v.effective_from for v in rows if v.effective_from > now and not v.cancelled_at}),
        ]
        if entries := build_timeline(times, lambda at, name=name: get_plan_entry(catalog, name, at)):
            plans[name] = entries
    customers = {}
    for customer in catalog.customers:
        extra = get_on_top_rates(customer)
        change_times = sorted(
            {*catalog.get_change_times(customer, 0), *(t for start, end, _ in extra for t in (start, end))}
        )
        times = [max((t for t in change_times if t <= now), default=0), *(t for t in change_times if t > now)]
        entries = build_timeline(
            times, lambda at, customer=customer, extra=extra: get_customer_entry(catalog, customer, at, extra)
        )
        if any(e.terms is not None for e in entries):
            customers[customer] = entries
    return Document(seq, now, plans, customers, fence)


def build_timeline(times: list[int], entry: Any) -> tuple[Entry, ...]:
    """Return the entries at these times, without those that change nothing."""
    out: list[Entry] = []
    for at in times:
        current: Entry | None = entry(at)
        same = out and current is not None and (out[-1].plan, out[-1].terms) == (current.plan, current.terms)
        if current is not None and not (same and out[-1].version == current.version):
            out.append(current)
    return tuple(out)


def get_plan_entry(catalog: PlanCatalog, name: str, at: int) -> Entry | None:
    """Return the entry of a plan, None if no version is effective yet."""
    version = catalog.get_version_at(name, at)
    return Entry(max(version.effective_from, 0), name, version.number, 0, version.terms) if version else None


def get_customer_entry(
    catalog: PlanCatalog, customer: str, at: int, extra: list[tuple[int, int, int]]
) -> Entry:
    """Return a customer's entry. It has terms if the assigned plan is in the catalog."""
    assigned, terms = catalog.get_effective_terms(customer, "", at), None
    if assigned.terms is not None:
        more = sum(rate for start, end, rate in extra if start <= at < end) / MICRO
        terms = replace(assigned.terms, rate=assigned.terms.rate + more)
    return Entry(at, assigned.plan, assigned.version, assigned.override, terms)


def dump(doc: Document) -> bytes:
    """Encode a document as JSON."""

    def entry(e: Entry) -> list[Any]:
        return [e.effective_from, e.plan, e.version, e.override, terms_to_dict(e.terms) if e.terms else None]

    raw = {
        "format": FORMAT,
        "seq": doc.seq,
        **({"fence": doc.fence} if doc.fence else {}),  # older followers reject this key
        "made_at": doc.made_at,
        "plans": {name: [entry(e) for e in rows] for name, rows in sorted(doc.plans.items())},
        "customers": {name: [entry(e) for e in rows] for name, rows in sorted(doc.customers.items())},
    }
    return json.dumps(raw, separators=(",", ":")).encode()


# ---- decoding ----


def load(data: bytes) -> Document:
    """Decode a whole document. Raises ValidationError with the place; no part of it may be used then."""
    if len(data) > MAX_DOCUMENT_BYTES:
        raise ValidationError(
            "", f"has {len(data):,} bytes", f"give a feed of at most {MAX_DOCUMENT_BYTES:,}"
        )
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise ValidationError("", "is no JSON", "publish the feed again") from error
    table = Table(raw)
    if table.read_int("format") != FORMAT:
        raise ValidationError(
            "format", f"is {format_value(raw['format'])}", f"this program reads format {FORMAT}"
        )
    seq, made = table.read_int("seq", maximum=MAX_TIME_MS), table.read_int("made_at", maximum=MAX_TIME_MS)
    fence = table.read_int("fence", 0, maximum=MAX_TIME_MS)
    plans, customers = table.read_table("plans"), table.read_table("customers")
    table.reject_unknown_keys()
    return Document(
        seq,
        made,
        {
            validate_plan_name(name, plans.path_of(name)): read_entries(plans, name, False)
            for name in plans.raw
        },
        {
            validate_customer_id(name, customers.path_of(name)): read_entries(customers, name, True)
            for name in customers.raw
        },
        fence,
    )


def read_entries(table: Table, name: str, allow_null_terms: bool) -> tuple[Entry, ...]:
    """Read the entries of one plan or customer. Raises ValidationError."""
    path, value = table.path_of(name), table.raw[name]
    if not isinstance(value, list) or not value:
        raise ValidationError(path, f"is {format_value(value)}", "give a list of entries")
    out: list[Entry] = []
    for number, each in enumerate(value):
        at = f"{path}[{number}]"
        if not isinstance(each, list) or len(each) != 5:
            raise ValidationError(
                at, f"is {format_value(each)}", "give [from, plan, version, override, terms]"
            )
        table = Table(dict(zip(("from", "plan", "version", "override", "terms"), each, strict=True)), at)
        start, plan = table.read_int("from", maximum=MAX_TIME_MS), table.read_text("plan", "")
        if out and start <= out[-1].effective_from:
            raise ValidationError(f"{at}.from", f"is {start}", "give entries in the order of time")
        if each[4] is None and not allow_null_terms:
            raise ValidationError(f"{at}.terms", "is missing", "give the plan's terms")
        terms = None if each[4] is None else read_complete_terms(table.read_table("terms"))
        out.append(Entry(start, plan, table.read_int("version"), table.read_int("override"), terms))
    return tuple(out)


def read_complete_terms(table: Table) -> Terms:
    """Read terms of which none may be missing. Raises ValidationError."""
    terms = read_terms(table, whole=True)
    table.reject_unknown_keys()
    return terms
