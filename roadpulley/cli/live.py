"""What `roadpulley dev` shows while it runs: a table on a terminal, plain lines elsewhere."""

from __future__ import annotations

import asyncio
import sys
import time
from typing import TYPE_CHECKING, Any

from roadpulley.testbed.scenario import Scenario
from roadpulley.testbed.stats import OUTCOMES, Row, Stats

if TYPE_CHECKING:
    from roadpulley.testbed.installation import Installation, Outcome

LINE_S = 1.0
FRAME_S = 0.25
EVENTS = 8  # that the table shows


class View:
    """Nothing is shown; the events go to standard error."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.stats = Stats()
        self.started = False
        self.since = time.monotonic()

    def begin(self, world: Installation) -> None:
        self.stats, self.started, self.since = world.stats, True, time.monotonic()

    @property
    def passed(self) -> float:
        return time.monotonic() - self.since

    def event(self, words: str) -> None:
        print(f"{self.passed:6.1f} s  {words}", file=sys.stderr, flush=True)

    async def tick(self) -> None:
        return

    def close(self) -> None:
        return

    def summary(self, outcome: Outcome) -> None:
        return


class Lines(View):
    """One line a second, and one for each event."""

    def begin(self, world: Installation) -> None:
        super().begin(world)
        s = self.scenario
        print(
            f"{s.name}: {s.gateways} gateways, {s.nodes} nodes, {s.load.rate:g} requests a second for "
            f"{s.seconds:g} s, seed {s.seed}",
            flush=True,
        )

    def event(self, words: str) -> None:
        print(f"{self.passed:6.1f} s  {words}", flush=True)

    async def tick(self) -> None:
        while True:
            await asyncio.sleep(LINE_S)
            print(f"{self.passed:6.1f} s  {in_words(self.stats.all)}", flush=True)

    def summary(self, outcome: Outcome) -> None:
        for (kind, plan), row in sorted(outcome.stats.rows.items()):
            print(f"{kind:<13} {plan:<11} {in_words(row)}")
        print(f"{'all':<25} {in_words(outcome.stats.all)}")
        for line in outcome.verdict.lines():
            print(line)
        print("every rule held" if outcome.verdict.ok else "A RULE BROKE", flush=True)


class Screen(Lines):
    """A table that is drawn again in place."""

    def __init__(self, scenario: Scenario) -> None:
        super().__init__(scenario)
        from rich.live import Live

        self.events: list[str] = []
        self.live = Live(self.draw(), refresh_per_second=4, transient=True)

    def begin(self, world: Installation) -> None:
        View.begin(self, world)
        self.live.start()

    def event(self, words: str) -> None:
        self.events.append(f"{self.passed:6.1f} s  {words}")

    async def tick(self) -> None:
        while True:
            self.live.update(self.draw())
            await asyncio.sleep(FRAME_S)

    def close(self) -> None:
        self.live.stop()

    def summary(self, outcome: Outcome) -> None:
        for line in self.events:
            print(line)
        super().summary(outcome)

    def draw(self) -> Any:
        from rich.console import Group
        from rich.table import Table
        from rich.text import Text

        s = self.scenario
        table = Table(
            title=f"{s.name}: {s.gateways} gateways, {s.nodes} nodes, {self.passed:.0f} of {s.seconds:g} s"
        )
        for name in ("class", "plan"):
            table.add_column(name)
        for name in ("asked", *OUTCOMES, "p50 ms", "p99 ms"):
            table.add_column(name, justify="right")
        for (kind, plan), row in sorted(self.stats.rows.items()):
            table.add_row(kind, plan, *cells(row))
        table.add_section()
        table.add_row("all", "", *cells(self.stats.all))
        return Group(table, Text("\n".join(self.events[-EVENTS:])))


def cells(row: Row) -> list[str]:
    counts = [str(row.asked), *(str(row.ends[how]) for how in OUTCOMES)]
    return [*counts, f"{row.served.quantile(0.5):.0f}", f"{row.served.quantile(0.99):.0f}"]


def in_words(row: Row) -> str:
    parts = [f"asked {row.asked:>6}", *(f"{how} {row.ends[how]:>5}" for how in OUTCOMES)]
    return "  ".join(
        [*parts, f"p50 {row.served.quantile(0.5):>5.0f} p99 {row.served.quantile(0.99):>5.0f} ms"]
    )


def make_view(scenario: Scenario, quiet: bool, plain: bool) -> View:
    if quiet:
        return View(scenario)
    if not plain and sys.stdout.isatty():
        try:
            return Screen(scenario)
        except ImportError:
            pass  # without the extra `dev`: lines
    return Lines(scenario)
