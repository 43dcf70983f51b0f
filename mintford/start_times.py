"""Since when a backend counts as cold, where the clock of this machine may be wrong.

Discovery tells when a backend started, in Unix time. A gateway whose machine's clock is ahead would take a
backend that has just started for warm, and one whose clock is behind would compute a negative age. What a
gateway knows by itself is when it first saw that start:

| what is seen                                         | the backend counts as started                  |
| ---------------------------------------------------- | ---------------------------------------------- |
| no start time                                        | long ago                                       |
| a start in the future                                | now: no age is negative                        |
| a new start after the first whole list, that seems   | now: it was not there before, and nothing else |
| to be older than the time to warm up                 | tells its age                                  |
| in the first lists, the newest starts of all, if few | now: they may be as new as they are            |
| anything else                                        | when discovery says                            |

Each of these ends one warm-up time after it was seen, so a wrong guess costs a part of the load of a few
backends for that long. What remains: a clock that is ahead by less than the warm-up time makes a backend look
warmer by that much; one that is ahead at the start hides new backends that are over a quarter of the list.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .load import Backend

# Of the ready backends. If more than these share the newest start times, much of the fleet started together,
# and to spare them all would leave too few.
MAX_SPARED_RATIO = 0.25


def set_cold_since(backend: Backend, now: float, warmup_time: float, is_first_list: bool) -> None:
    """Set since when a backend counts as cold, at the first sight of its start time."""
    age = now - backend.started
    if backend.started <= 0:
        backend.cold_since = 0.0
    elif age < 0 or (age >= warmup_time and not is_first_list):
        backend.cold_since = now
    else:
        backend.cold_since = backend.started


def spare_newest(backends: Iterable[Backend], now: float, warmup_time: float) -> None:
    """Treat the newest backends of the first list as just started, if they are few and seem to be warm."""
    ready = [backend for backend in backends if backend.ready]
    newest = max((backend.started for backend in ready), default=0.0)
    if newest <= 0 or now - newest < warmup_time:
        return  # none tells its start, or one is cold anyway and the clock seems to be right
    spared = [backend for backend in ready if backend.started > newest - warmup_time]
    if len(spared) <= MAX_SPARED_RATIO * len(ready):
        for backend in spared:
            backend.cold_since = now
