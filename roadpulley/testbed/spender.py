"""A process that spends rights of a limit beside an instance of the fleet, and writes down every wish.

    python -m roadpulley.testbed.spender SOCKET LIMIT RATE UNITS WITHIN SEED

Without a rate it wishes when it gets SIGUSR1, and has its units given out at SIGUSR2; the line `ready` says
that it can act on these: it has its handlers, and the settings of the instance. One line a wish on standard
output: when its end was known (for one that is paid, the look at the clock that let it), the limit, its
units, 1 if it was paid, after how many seconds.
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
from roadpulley.fleet.rights.messages import Welcome

LONGEST_GAP_S = 5.0
HOLD_RETRY_S = 0.05
READY = b"ready\n"


class Spending:
    def __init__(self, purses: RightsClient, limit: str, units: float, within: float) -> None:
        self.purses, self.limit, self.units, self.within = purses, limit, units, within
        self.wants_to_hold = False

    def wish(self) -> None:
        self.wants_to_hold = False
        began = self.purses.clock.unscaled_now()
        plan, _, customer = self.limit.partition("/")
        self.purses.spend(plan, customer, self.units, self.within, partial(self.done, began))

    def hold(self) -> None:
        """Have so much given out, and keep it until it is given up or a wish comes."""
        self.wants_to_hold = True
        self.request_held_units()

    def request_held_units(self) -> None:
        """Request the units, again after a refusal: the allocator may be new, or the limit not full yet."""
        holder = self.purses.holder_state
        now = self.purses.clock.now()
        if not self.wants_to_hold or holder is None or holder.can_spend(now, self.limit, self.units):
            return
        if request := holder.prepare_request(now, self.limit):
            self.purses.line.send(request)
        asyncio.get_running_loop().call_later(HOLD_RETRY_S, self.request_held_units)

    def done(self, began: float, paid: bool) -> None:
        clock = self.purses.clock
        at = self.purses.spent_at / clock.rate if paid else clock.unscaled_now()
        line = f"{at:.6f} {self.limit} {self.units:g} {int(paid)} {clock.unscaled_now() - began:.6f}\n"
        os.write(sys.stdout.fileno(), line.encode())  # one call: a kill leaves whole lines


async def run(socket: Path, limit: str, rate: float, units: float, within: float, seed: int) -> None:
    rng, line = random.Random(seed), AgentLink(socket)
    purses = RightsClient(line)
    welcomed = asyncio.Event()
    line.listeners.append(lambda message: welcomed.set() if isinstance(message, Welcome) else None)
    await line.open()
    spending = Spending(purses, limit, units, within)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, spending.wish)
    loop.add_signal_handler(signal.SIGUSR2, spending.hold)
    if not rate:
        await welcomed.wait()
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
