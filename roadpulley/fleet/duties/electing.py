"""The shell of changes to the voters: what this instance goes by, and the change that it makes, if it
does."""

from __future__ import annotations

import json
import threading
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import structlog

from roadpulley.checks import ValidationError
from roadpulley.fleet.clock import Clock

from .memory import replace
from .roll import DUTY, Change, Known, Roll, RollAsk, RollId, RollTaken, Step, first
from .terms import Times
from .work import Duty, WorkDone

log = structlog.get_logger("roadpulley.fleet.voters")

LOOK_S = 0.05


class RollFile:
    """Where it has a disk, an instance remembers its roll, and what it promised. Raises ValidationError for
    what
    is none."""

    def __init__(self, folder: Path | None, name: str, voters: Mapping[str, str]) -> None:
        self.path = folder / f"{name}.roll" if folder is not None else None
        self.known = Known(first(dict.fromkeys(voters, "")))  # where they are, the settings say
        if self.path is not None and self.path.exists():
            try:
                raw = json.loads(self.path.read_bytes())
                both = [{str(k): str(v) for k, v in raw[key].items()} for key in ("voters", "before")]
                roll = Roll(RollId(*map(int, raw["id"])), *both)
                self.known = Known(roll, int(raw["promised"]))
            except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
                right = "bring it back, or remove it where the settings name today's voters"
                raise ValidationError(str(self.path), f"can't be read ({error})", right) from error

    def go_by(self, known: Known) -> bool:
        """From now on, once it is on disk; gives whether it is.

        Danger: what is told to others and not kept can be broken after a restart; what is kept half, as a
        roll that is named and not voted by, would let two generations be granted at once.
        """
        if known is not self.known and self.path is not None:
            try:
                self._keep(self.path, known)
            except OSError as error:
                log.error("the voters cannot be remembered", path=str(self.path), why=str(error))
                return False
        self.known = known
        return True

    def _keep(self, path: Path, known: Known) -> None:
        roll = known.roll
        promised = known.promised
        data = {"id": list(roll.id), "voters": roll.voters, "before": roll.before, "promised": promised}
        path.parent.mkdir(parents=True, exist_ok=True)
        replace(path, json.dumps(data).encode())


@dataclass
class Wish:
    add: dict[str, str]
    remove: str


class Electing:
    """`send` takes a voter's name, its address and a body; `taken` is called with each new roll."""

    def __init__(
        self,
        file: RollFile,
        times: Times,
        clock: Clock,
        send: Callable[[str, str, Any], None],
        taken: Callable[[Roll], None],
    ) -> None:
        self.file, self.times, self.clock, self.send, self.taken = file, times, clock, send, taken
        self.wish: Wish | None = None
        self.change: Change | None = None
        self.result: dict[str, Any] = {}

    @property
    def roll(self) -> Roll:
        return self.file.known.roll

    # ---- datagrams ----

    def asked(self, ask: RollAsk) -> Roll | None:
        """None: nothing is said, as what would be promised could not be kept."""
        return self.roll if self.file.go_by(self.file.known.asked(ask)) else None

    def told(self, roll: Roll) -> RollTaken:
        before = self.roll
        if self.file.go_by(self.file.known.told(roll)) and self.roll is not before:
            log.info("voters", generation=roll.id.generation, fence=roll.id.fence, voters=sorted(roll.voters))
            self.taken(roll)
        return RollTaken(self.roll.id)

    def heard(self, voter: str, body: Roll | RollTaken) -> None:
        """What a voter answers to the change that is under way here."""
        if self.change is None:
            return
        now = self.clock.now()
        if isinstance(body, Roll):
            self.change.known(now, voter, body)
        else:
            self.change.took(now, voter, body.id)
        self.tick()

    # ---- one change ----

    def begin(self, fence: int) -> None:
        wish = self.wish
        if wish is not None:
            self.change = Change(self.clock.now(), self.times, self.roll, fence, wish.add, wish.remove)
            self.tick()

    def tick(self) -> None:
        change = self.change
        if change is None:
            return
        for name, address in change.tick(self.clock.now()).items():
            body = RollAsk(change.fence) if change.step is Step.READING else change.roll
            self.send(name, address, body)
        if change.step in (Step.DONE, Step.FAILED):
            self.end(change.step is Step.DONE, change.why)

    def end(self, done: bool, why: str) -> None:
        change, self.change, self.wish = self.change, None, None
        voters = change.roll.voters if change is not None and done else self.roll.voters
        self.result = {"step": "done" if done else "failed", "why": why, "voters": dict(voters)}
        if done and change is not None:
            self.result["id"] = list(change.roll.id)
            self.told(change.roll)

    def status(self) -> dict[str, Any]:
        if self.change is not None:
            return {"step": self.change.step.value, "why": "", **asdict(self.wish or Wish({}, ""))}
        return self.result or {"step": "waiting for the duty" if self.wish else "none", "why": ""}


class Electoral:
    """The work of the duty: to see one change through. It touches the voters, which go by the fence."""

    def __init__(self, electing: Electing, soon: Callable[[Callable[[], None]], None]) -> None:
        self.electing, self.soon = electing, soon
        self.name = DUTY

    def claim(self, fence: int, owner: str) -> int | None:
        return None

    def act(self, duty: Duty) -> float | None:
        over = threading.Event()

        begun = False

        def look() -> None:
            nonlocal begun
            if not begun:
                # Danger: what an earlier holding had begun was promised under a lower fence.
                begun, self.electing.change = True, None
            if self.electing.change is None and self.electing.wish is not None:
                self.electing.begin(duty.fence)
            self.electing.tick()
            if self.electing.wish is None:
                over.set()

        while duty.still_mine() and not over.is_set():
            self.soon(look)
            over.wait(LOOK_S)
        if over.is_set():
            raise WorkDone("the voters are changed, or stay as they are")
        return LOOK_S
