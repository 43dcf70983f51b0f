"""The plan catalog: which terms are effective for which customer, and from when.

The module is pure: callers write a version to the store before they apply it to the catalog.

A version never changes once it is effective, so usage can be billed by the terms under which it occurred. A
plan is a list of versions, each with a start time. The effective version is the one with the latest start
that has passed; of two with the same start, it is the one with the higher number. A customer has the plan
that its requests name or one that is assigned to it, plus overrides of single terms. Assignments and
overrides are versions too. A version that is not effective yet can be cancelled.

Times are milliseconds since 1970, by the clock of the caller.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any, TypeVar

from roadpulley.checks import ValidationError

from .terms import TERM_NAMES, Terms

# A start further ahead than this is more likely an error in the unit of time.
MAX_AHEAD_MS = 400 * 24 * 3_600_000
# A start at most this far in the past means now, because clocks differ and commands take time.
START_TOLERANCE_MS = 1_000
MAX_VERSIONS = 10_000  # per plan or customer


class VersionConflictError(Exception):
    """Another process wrote a version first (as with HTTP 412). Nothing was changed."""

    def __init__(self, subject: str, number: int) -> None:
        super().__init__(f"{subject} is at version {number} by now; look at it again and repeat")
        self.number = number


@dataclass(frozen=True)
class PlanVersion:
    """One version of the terms of a plan."""

    plan: str
    number: int  # 1, 2, ..., in the order of creation
    effective_from: int
    terms: Terms
    made_at: int
    note: str = ""
    cancelled_at: int = 0  # time of cancellation; 0: not cancelled

    @property
    def subject(self) -> str:
        return f"plan {self.plan}"


@dataclass(frozen=True)
class CustomerVersion:
    """An assignment of a plan to a customer, or an override of single terms.

    `assigned_plan` is the plan's name, "" for the plan that the requests name, and None for an override.
    """

    customer: str
    number: int
    effective_from: int
    until: int  # end of an override; 0: no end
    made_at: int
    assigned_plan: str | None = None
    changes: tuple[tuple[str, float | int | str], ...] = ()  # names and values of the overridden terms
    note: str = ""
    cancelled_at: int = 0

    @property
    def subject(self) -> str:
        return f"customer {self.customer}"


Version = PlanVersion | CustomerVersion
V = TypeVar("V", PlanVersion, CustomerVersion)


@dataclass(frozen=True)
class EffectiveTerms:
    """The terms of a customer at a time, with the version numbers for billing; 0: no version."""

    plan: str
    version: int
    override: int
    terms: Terms | None  # None: the plan is not in the catalog, and the deployment's settings apply


@dataclass
class PlanCatalog:
    """All versions of plans and customers, in memory."""

    plans: dict[str, list[PlanVersion]] = field(default_factory=dict)
    customers: dict[str, list[CustomerVersion]] = field(default_factory=dict)

    # ---- stored versions ----

    def apply(self, version: Version) -> None:
        """Add a version that is in the store. It replaces a version with the same number."""
        rows: list[PlanVersion] | list[CustomerVersion]
        if isinstance(version, PlanVersion):
            rows = self.plans.setdefault(version.plan, [])
        else:
            rows = self.customers.setdefault(version.customer, [])
        if version.number <= len(rows):
            rows[version.number - 1] = version  # type: ignore[assignment]
        else:
            rows.append(version)  # type: ignore[arg-type]

    # ---- commands: each returns the version that the caller writes and then applies ----

    def schedule(
        self,
        now: int,
        plan: str,
        terms: Terms,
        at: int | None = None,
        expect: int | None = None,
        note: str = "",
    ) -> PlanVersion:
        """Create a version of a plan with new terms, effective from `at`, by default from now.

        Raises ValidationError and VersionConflictError.
        """
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
        """Assign a plan to a customer; "" selects the plan that its requests name.

        Raises ValidationError and VersionConflictError.
        """
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
        """Override single terms for one customer. Empty `changes` end the previous override.

        Raises ValidationError and VersionConflictError.
        """
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
        """Cancel a version that is not effective yet.

        Raises ValidationError for an effective one: usage is billed by it, and only a new version ends it.
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
        """Return a version by its number. Raises ValidationError for an unknown one."""
        if not 1 <= number <= len(rows):
            raise ValidationError(subject, f"has no version {number}", f"give one from 1 to {len(rows)}")
        return rows[number - 1]

    def _get_next_number(self, subject: str, last: int, expect: int | None) -> int:
        if expect is not None and expect != last:
            raise VersionConflictError(subject, last)
        if last >= MAX_VERSIONS:
            raise ValidationError(subject, f"has {last} versions", "that is the most; give it another name")
        return last + 1

    # ---- queries ----

    def get_version_at(self, plan: str, at: int) -> PlanVersion | None:
        """Return the version of a plan that is effective at a time."""
        started = [v for v in get_active_versions(self.plans.get(plan, [])) if v.effective_from <= at]
        return max(started, key=lambda v: (v.effective_from, v.number), default=None)

    def get_effective_terms(self, customer: str, named: str, at: int) -> EffectiveTerms:
        """Return the terms at a time of a customer whose requests name the plan `named`."""
        started = [v for v in get_active_versions(self.customers.get(customer, [])) if v.effective_from <= at]
        latest = sorted(started, key=lambda v: (v.effective_from, v.number), reverse=True)
        plan = next((v.assigned_plan for v in latest if v.assigned_plan is not None), "") or named
        override = next((v for v in latest if v.assigned_plan is None and not 0 < v.until <= at), None)
        if override is not None and not override.changes:
            override = None  # an override without terms ends the previous one
        version = self.get_version_at(plan, at)
        terms = version.terms if version else None
        if override is not None and terms is not None:
            changed: dict[str, Any] = dict(override.changes)
            terms = replace(terms, **changed)
        return EffectiveTerms(
            plan, version.number if version else 0, override.number if override else 0, terms
        )

    def get_change_times(self, customer: str, since: int) -> list[int]:
        """Return the times after `since` at which the terms of a customer may change."""
        rows = get_active_versions(self.customers.get(customer, []))
        plans = {v.assigned_plan for v in rows if v.assigned_plan}
        times = {t for v in rows for t in (v.effective_from, v.until)}
        times |= {v.effective_from for p in plans for v in get_active_versions(self.plans.get(p, []))}
        return sorted(t for t in times if t > since)


def get_active_versions(rows: list[V]) -> list[V]:
    """Return the versions that are not cancelled."""
    return [v for v in rows if not v.cancelled_at]


def resolve_start_ms(now: int, at: int | None) -> int:
    """Return the start time of a new version, `now` by default.

    Raises ValidationError for a start in the past, because usage since then may be billed already.
    """
    if at is None:
        return now
    if not now - START_TOLERANCE_MS <= at <= now + MAX_AHEAD_MS:
        right = "give a time from now on, at most 400 days ahead"
        raise ValidationError("from", f"is {(at - now) / 1000:+,.0f} s from now", right)
    return max(now, at)
