"""The `probe` work: it writes to a test register, to try out a fleet without a real task.

The register's protocol is lines over TCP:   claim DUTY FENCE OWNER    act DUTY FENCE WORDS    ->    ok | low
HIGHEST
"""

from __future__ import annotations

import os
import socket
import time

from .work import HeldDuty, StaleFenceError, WorkError

REGISTER_TIMEOUT_S = 2.0
MAX_LINE_BYTES = 256
# Set by tests: seconds between the check and the act, so that the process can be stopped in between.
PAUSE_ENV = "ROADPULLEY_PROBE_PAUSE_S"


class Probe:
    """Work that sends one act a round to the register at `address` (HOST:PORT)."""

    def __init__(self, name: str, address: str, owner_name: str, every_s: float) -> None:
        host, _, port = address.rpartition(":")
        self.name, self.register_address, self.owner_name, self.every_s = (
            name,
            (host, int(port)),
            owner_name,
            every_s,
        )
        self.act_count = 0
        self.pause_s = float(os.environ.get(PAUSE_ENV, "0"))

    def claim(self, fence: int, owner: str) -> int | None:
        """Claims the fence at the register. Raises WorkError if it can't be reached."""
        return self._send_line(f"claim {self.name} {fence} {owner}")

    def act(self, duty: HeldDuty) -> float | None:
        """Sends one act. Raises StaleFenceError, WorkError."""
        if not duty.is_still_held():
            return None
        self.act_count += 1
        time.sleep(self.pause_s)
        highest = self._send_line(f"act {self.name} {duty.fence} {self.owner_name}.{self.act_count}")
        if highest is not None:
            raise StaleFenceError(highest)
        return self.every_s

    def _send_line(self, line: str) -> int | None:
        try:
            with socket.create_connection(self.register_address, REGISTER_TIMEOUT_S) as sock:
                sock.sendall(line.encode() + b"\n")
                words = sock.makefile("rb").readline(MAX_LINE_BYTES).split()
        except OSError as error:
            raise WorkError(
                f"the register at {self.register_address[0]}:{self.register_address[1]}: {error}"
            ) from error
        if words == [b"ok"]:
            return None
        if len(words) == 2 and words[0] == b"low" and words[1].isdigit():
            return int(words[1])
        raise WorkError(f"the register answered {b' '.join(words)!r}")
