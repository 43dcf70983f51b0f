"""A process that spends rights of a limit beside an instance of the fleet, and writes down every wish.

    python -m roadpulley.testbed.spender SOCKET LIMIT RATE UNITS WITHIN SEED

Without a rate it wishes when it gets SIGUSR1, and has its units given out at SIGUSR2; the line `ready` says
that it hears these. One line a wish on standard output: when its end was known (for one that is paid, the
look at the clock that let it), the limit, its units, 1 if it was paid, after how many seconds.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from functools import partial
from pathlib import Path

import uvloop

from roadpulley.fleet.agent_link import AgentLink
from roadpulley.fleet.rights.client import RightsClient

LONGEST_GAP_S = 5.0
READY = b"ready\n"


class Spending:
    def __init__(self, purses: RightsClient, limit: str, units: float, within: float) -> None:
        self.purses, self.limit, self.units, self.within = purses, limit, units, within

    def wish(self) -> None:
        began = self.purses.clock.unscaled_now()
        plan, _, customer = self.limit.partition("/")
        self.purses.spend(plan, customer, self.units, self.within, partial(self.done, began))

    def hold(self) -> None:
        """Have so much given out, and keep it until it is given up or a wish comes."""
        if self.purses.try_spend(self.limit, self.units):
            self.done(self.purses.clock.unscaled_now(), True)  # it was there already

    def done(self, began: float, paid: bool) -> None:
        clock = self.purses.clock
        at = self.purses.spent_at / clock.rate if paid else clock.unscaled_now()
        line = f"{at:.6f} {self.limit} {self.units:g} {int(paid)} {clock.unscaled_now() - began:.6f}\n"
        os.write(sys.stdout.fileno(), line.encode())  # one call: a kill leaves whole lines


async def run(socket: Path, limit: str, rate: float, units: float, within: float, seed: int) -> None:
    rng, line = random.Random(seed), AgentLink(socket)
    purses = RightsClient(line)
    await line.open()
    spending = Spending(purses, limit, units, within)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, spending.wish)
    loop.add_signal_handler(signal.SIGUSR2, spending.hold)
    os.write(sys.stdout.fileno(), READY)
    due = loop.time()
    while not rate:
        await asyncio.sleep(LONGEST_GAP_S)
    while True:
        due = max(due + rng.expovariate(rate), loop.time() - LONGEST_GAP_S)
        await asyncio.sleep(max(0.0, due - loop.time()))
        spending.wish()


def main(args: list[str]) -> int:
    socket, limit, rate, units, within, seed = args
    uvloop.run(run(Path(socket), limit, float(rate), float(units), float(within), int(seed)))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
