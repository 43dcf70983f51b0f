"""What a play is judged by beside the auditor's rules: its processes and their logs. Reads /proc."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path

PAGE_KB = 4
MAX_MEMORY_GROWTH_RATIO = 0.5
MAX_MEMORY_GROWTH_KB = 16 * 1024
MAX_MORE_DESCRIPTORS = 12  # a connection to the counter and to discovery, a timer, and some at rest
TRACEBACK = "Traceback (most recent call last)"


@dataclass(frozen=True)
class ProcessUse:
    """What one process holds: resident memory in KiB, and open descriptors."""

    memory_kb: int
    descriptors: int


def children_of(pid: int) -> list[int]:
    """The processes that it has started; none where it has ended."""
    try:
        return [int(each) for each in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]
    except OSError:
        return []


def use_of(pid: int) -> ProcessUse | None:
    """None where the process has ended."""
    try:
        resident = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        return ProcessUse(resident * PAGE_KB, len(list(Path(f"/proc/{pid}/fd").iterdir())))
    except (OSError, IndexError):
        return None


def use_of_gateway(pid: int) -> ProcessUse | None:
    """Of a process and its workers together."""
    found = [use for each in (pid, *children_of(pid)) if (use := use_of(each)) is not None]
    if not found:
        return None
    return ProcessUse(sum(use.memory_kb for use in found), sum(use.descriptors for use in found))


def descriptors_are_back(before: ProcessUse, after: ProcessUse) -> bool:
    return after.descriptors <= before.descriptors + MAX_MORE_DESCRIPTORS


def resource_faults(
    before: Mapping[str, ProcessUse], after: Mapping[str, ProcessUse | None]
) -> Iterable[str]:
    """What is wrong with the use of the gateways at the end, in words."""
    for name, first in before.items():
        last = after.get(name)
        if last is None:
            yield f"{name}: its process is gone at the end"
            continue
        allowed = first.memory_kb * (1 + MAX_MEMORY_GROWTH_RATIO) + MAX_MEMORY_GROWTH_KB
        if last.memory_kb > allowed:
            yield f"{name}: memory {last.memory_kb} KiB at the end, {first.memory_kb} at the start"
        if not descriptors_are_back(first, last):
            yield f"{name}: {last.descriptors} descriptors at the end, {first.descriptors} at the start"


def tracebacks(folder: Path) -> Iterable[str]:
    """Logs of the folder that hold a traceback, with the line that it ends with."""
    for log in sorted(folder.glob("*.log")):
        lines = log.read_text(errors="replace").splitlines()
        for number, line in enumerate(lines):
            if TRACEBACK in line:
                last = next((text for text in lines[number + 1 :] if text[:1].strip()), "")
                yield f"{log.name}: traceback, {last}"
