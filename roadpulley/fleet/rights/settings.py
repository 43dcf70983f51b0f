"""Reads `[rights]` of `fleet.toml`: limits over all gateways together, and the timing of rights."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from roadpulley.checks import Table, ValidationError

from .messages import MAX_LIMIT_NAME_BYTES, Limit, Times

MAX_PARTITIONS = 64


@dataclass(frozen=True)
class RightsSettings:
    """`limits` are by plan; each customer of a plan has its own limit, `PLAN/CUSTOMER`."""

    partitions: int
    ceiling_ratio: float  # part of the hard ceilings that is spent by rights; the rest is split evenly
    times: Times
    limits: Mapping[str, Limit]

    @property
    def allocated_limits(self) -> dict[str, Limit]:
        """The part of each limit that allocators grant. The gateways split the rest without requesting it."""
        ratio = self.ceiling_ratio
        return {name: Limit(ratio * limit.rate, ratio * limit.burst) for name, limit in self.limits.items()}


def read_rights_settings(table: Table, drift: float) -> RightsSettings:
    """Raises ValidationError."""
    partitions = table.read_int("parts", 1, 1, MAX_PARTITIONS)
    ceiling_ratio = table.read_number("ceilings", 0.7, 0.01, 1.0)
    lease, answer = (
        table.read_number("lease_s", 1.0, 0.05, 60),
        table.read_number("answer_s", 0.05, 0.001, 10),
    )
    clear = table.read_number("clear_s", 0.0, 0.0, 60)
    try:
        times = Times(lease, drift, answer, clear=clear)
    except ValueError as error:
        problem, _, remedy = str(error).partition("; ")
        raise ValidationError(table.path_of("lease_s"), problem, remedy) from error
    limits = {
        name: read_limit(name, subtable) for name, subtable in read_subtables(table.read_table("limits"))
    }
    table.reject_unknown_keys()
    return RightsSettings(partitions, ceiling_ratio, times, limits)


def read_subtables(table: Table) -> list[tuple[str, Table]]:
    """The subtables of a table with their names."""
    return [(name, table.read_table(name)) for name in table.raw]


def read_limit(name: str, table: Table) -> Limit:
    """Raises ValidationError."""
    if not name or "/" in name or len(name.encode()) > MAX_LIMIT_NAME_BYTES // 2:
        raise ValidationError(
            table.path, f"is named {name!r}", f"give 1 to {MAX_LIMIT_NAME_BYTES // 2} bytes without '/'"
        )
    rate = table.read_number("rate", minimum=0, maximum=1e9)
    burst = table.read_number("burst", minimum=1e-3, maximum=1e9)
    table.reject_unknown_keys()
    return Limit(rate, burst)
