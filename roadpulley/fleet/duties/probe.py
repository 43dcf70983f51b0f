"""A duty that only shows who holds it: for trying a fleet out before anything real rests on it.

Its register speaks lines over TCP:   claim DUTY FENCE OWNER    act DUTY FENCE WORDS    ->    ok | low HIGHEST
"""

from __future__ import annotations

import os
import socket
import time

from .work import HeldDuty, StaleFenceError, WorkError

REGISTER_TIMEOUT_S = 2.0
MAX_LINE_BYTES = 256
PAUSE_ENV = "ROADPULLEY_PROBE_PAUSE_S"  # of the testbed: between check and act, where a stop does most harm


class Probe:
    def __init__(self, name: str, address: str, who: str, every_s: float) -> None:
        host, _, port = address.rpartition(":")
        self.name, self.at, self.who, self.every_s = name, (host, int(port)), who, every_s
        self.acts = 0
        self.pause_s = float(os.environ.get(PAUSE_ENV, "0"))

    def claim(self, fence: int, owner: str) -> int | None:
        return self._ask(f"claim {self.name} {fence} {owner}")

    def act(self, duty: HeldDuty) -> float | None:
        if not duty.is_still_held():
            return None
        self.acts += 1
        time.sleep(self.pause_s)
        highest = self._ask(f"act {self.name} {duty.fence} {self.who}.{self.acts}")
        if highest is not None:
            raise StaleFenceError(highest)
        return self.every_s

    def _ask(self, line: str) -> int | None:
        try:
            with socket.create_connection(self.at, REGISTER_TIMEOUT_S) as sock:
                sock.sendall(line.encode() + b"\n")
                words = sock.makefile("rb").readline(MAX_LINE_BYTES).split()
        except OSError as error:
            raise WorkError(f"the register at {self.at[0]}:{self.at[1]}: {error}") from error
        if words == [b"ok"]:
            return None
        if len(words) == 2 and words[0] == b"low" and words[1].isdigit():
            return int(words[1])
        raise WorkError(f"the register answered {b' '.join(words)!r}")
