"""The book of plans: which terms hold for whom, from when. Pure; what is written goes to the store first.

Nothing in it is ever changed, so that use can be billed by the terms it was used under. A plan is a row of
versions, each with the time from which it holds; at a time the one holds that began last, of two that begin
together the one made later. A customer has the plan that its requests name, or one assigned to it, under
overrides of single terms; both are versions of their own. What has not begun yet can be called off.

Times are milliseconds since 1970, by the clock of whoever asks.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any, TypeVar

from roadpulley.checks import ValidationError

from .terms import TERM_NAMES, Terms

MAX_AHEAD_MS = 400 * 24 * 3_600_000  # further ahead a time is more likely seconds taken for milliseconds
START_TOLERANCE_MS = (
    1_000  # a time that has just passed means now: clocks are apart, and commands take their time
)
MAX_VERSIONS = 10_000  # of one plan or customer


class VersionConflictError(Exception):
    """Somebody else made a version first (HTTP 412). Nothing was changed."""

    def __init__(self, subject: str, number: int) -> None:
        super().__init__(f"{subject} is at version {number} by now; look at it again and repeat")
        self.number = number


@dataclass(frozen=True)
class PlanVersion:
    plan: str
    number: int  # 1, 2, ...: in the order in which they were made
    effective_from: int
    terms: Terms
    made_at: int
    note: str = ""
    cancelled_at: int = 0  # when; 0: it stands

    @property
    def subject(self) -> str:
        return f"plan {self.plan}"


@dataclass(frozen=True)
class CustomerVersion:
    """An assignment (`assigns`: the plan, or "" for the one its requests name) or an override of terms."""

    customer: str
    number: int
    effective_from: int
    until: int  # of an override; 0: without end
    made_at: int
    assigned_plan: str | None = None
    changes: tuple[tuple[str, float | int | str], ...] = ()  # by name of the term
    note: str = ""
    cancelled_at: int = 0

    @property
    def subject(self) -> str:
        return f"customer {self.customer}"


Version = PlanVersion | CustomerVersion
V = TypeVar("V", PlanVersion, CustomerVersion)


@dataclass(frozen=True)
class EffectiveTerms:
    """What holds for a customer at a time, by the versions that use is billed under; 0: none."""

    plan: str
    version: int
    override: int
    terms: Terms | None  # None: the plan is not in the book, and the deployment's own settings hold


@dataclass
class PlanCatalog:
    plans: dict[str, list[PlanVersion]] = field(default_factory=dict)
    customers: dict[str, list[CustomerVersion]] = field(default_factory=dict)

    # ---- what was written ----

    def apply(self, version: Version) -> None:
        """A version from the store, or one just written to it; one with a known number replaces that."""
        rows: list[PlanVersion] | list[CustomerVersion]
        if isinstance(version, PlanVersion):
            rows = self.plans.setdefault(version.plan, [])
        else:
            rows = self.customers.setdefault(version.customer, [])
        if version.number <= len(rows):
            rows[version.number - 1] = version  # type: ignore[assignment]
        else:
            rows.append(version)  # type: ignore[arg-type]

    # ---- commands: each gives the version that is to be written and then taken ----

    def schedule(
        self,
        now: int,
        plan: str,
        terms: Terms,
        at: int | None = None,
        expect: int | None = None,
        note: str = "",
    ) -> PlanVersion:
        """New terms of a plan, from now on or from a time. Raises ValidationError and Stale."""
        rows = self.plans.get(plan, [])
        number = self._get_next_number(f"plan {plan}", len(rows), expect)
        return PlanVersion(plan, number, resolve_start_ms(now, at), terms.validate(), now, note)

    def assign(
        self,
        now: int,
        customer: str,
        plan: str,
        at: int | None = None,
        expect: int | None = None,
        note: str = "",
    ) -> CustomerVersion:
        """Another plan for a customer; "": the one that its requests name."""
        start = resolve_start_ms(now, at)
        if plan and not any(v.effective_from <= start for v in get_active_versions(self.plans.get(plan, []))):
            raise ValidationError(
                "plan", f"{plan!r} does not hold at that time", f"give one of {', '.join(sorted(self.plans))}"
            )
        number = self._get_next_number(f"customer {customer}", len(self.customers.get(customer, [])), expect)
        return CustomerVersion(customer, number, start, 0, now, assigned_plan=plan, note=note)

    def override(
        self,
        now: int,
        customer: str,
        changes: dict[str, float | int | str],
        at: int | None = None,
        until: int = 0,
        expect: int | None = None,
        note: str = "",
    ) -> CustomerVersion:
        """Single terms of one customer's own; with none of them, what was overridden ends."""
        start = resolve_start_ms(now, at)
        if until and until <= start:
            raise ValidationError(
                "until", f"is {until}, and it begins at {start}", "give a later time, or none"
            )
        if changes and not self.get_effective_terms(customer, "", start).terms:
            right = "assign one first, so that it is known what is overridden"
            raise ValidationError(f"customer {customer}", "has no plan assigned at that time", right)
        for name in changes:
            if name not in TERM_NAMES:
                raise ValidationError(
                    f"override.{name}", "is no term", f"the terms are {', '.join(TERM_NAMES)}"
                )
        number = self._get_next_number(f"customer {customer}", len(self.customers.get(customer, [])), expect)
        listed = tuple(sorted(changes.items()))
        return CustomerVersion(customer, number, start, until, now, changes=listed, note=note)

    def cancel_version(self, now: int, version: Version) -> Version:
        """One that has not begun.

        Raises ValidationError: what has begun is billed by, and only a new version ends it.
        """
        if version.cancelled_at:
            raise ValidationError(
                version.subject, f"version {version.number} is called off already", "nothing is to be done"
            )
        if version.effective_from <= now:
            right = "make a new version that holds from now"
            raise ValidationError(version.subject, f"version {version.number} has begun", right)
        return replace(version, cancelled_at=now)

    def get_version(
        self, rows: list[PlanVersion] | list[CustomerVersion], number: int, subject: str
    ) -> Version:
        if not 1 <= number <= len(rows):
            raise ValidationError(subject, f"has no version {number}", f"give one from 1 to {len(rows)}")
        return rows[number - 1]

    def _get_next_number(self, subject: str, last: int, expect: int | None) -> int:
        if expect is not None and expect != last:
            raise VersionConflictError(subject, last)
        if last >= MAX_VERSIONS:
            raise ValidationError(subject, f"has {last} versions", "that is the most; give it another name")
        return last + 1

    # ---- questions ----

    def get_version_at(self, plan: str, at: int) -> PlanVersion | None:
        held = [v for v in get_active_versions(self.plans.get(plan, [])) if v.effective_from <= at]
        return max(held, key=lambda v: (v.effective_from, v.number), default=None)

    def get_effective_terms(self, customer: str, named: str, at: int) -> EffectiveTerms:
        """What holds for a customer whose requests name this plan."""
        held = [v for v in get_active_versions(self.customers.get(customer, [])) if v.effective_from <= at]
        latest = sorted(held, key=lambda v: (v.effective_from, v.number), reverse=True)
        plan = next((v.assigned_plan for v in latest if v.assigned_plan is not None), "") or named
        override = next((v for v in latest if v.assigned_plan is None and not 0 < v.until <= at), None)
        if override is not None and not override.changes:
            override = None  # what was overridden ends there
        version = self.get_version_at(plan, at)
        terms = version.terms if version else None
        if override is not None and terms is not None:
            changed: dict[str, Any] = dict(override.changes)
            terms = replace(terms, **changed)
        return EffectiveTerms(
            plan, version.number if version else 0, override.number if override else 0, terms
        )

    def get_change_times(self, customer: str, since: int) -> list[int]:
        """When what holds for a customer may change, after a time."""
        rows = get_active_versions(self.customers.get(customer, []))
        plans = {v.assigned_plan for v in rows if v.assigned_plan}
        times = {t for v in rows for t in (v.effective_from, v.until)}
        times |= {v.effective_from for p in plans for v in get_active_versions(self.plans.get(p, []))}
        return sorted(t for t in times if t > since)


def get_active_versions(rows: list[V]) -> list[V]:
    return [v for v in rows if not v.cancelled_at]


def resolve_start_ms(now: int, at: int | None) -> int:
    """The time from which something holds.

    Raises ValidationError for one that has passed: its use may be billed.
    """
    if at is None:
        return now
    if not now - START_TOLERANCE_MS <= at <= now + MAX_AHEAD_MS:
        right = "give a time from now on, at most 400 days ahead"
        raise ValidationError("from", f"is {(at - now) / 1000:+,.0f} s from now", right)
    return max(now, at)
