"""The command line with one fault more: at SIGUSR1 the main thread, and its event loop, stand still.

Other threads go on, as in a process whose loop is busy with something long; SIGSTOP stops all of them. Run as
`python -m roadpulley.testbed.stalling COMMAND ...`.
"""

from __future__ import annotations

import os
import signal
import sys
import time

SECONDS = "ROADPULLEY_STALL_S"


def stall(*_: object) -> None:
    time.sleep(float(os.environ.get(SECONDS, "3")))


if __name__ == "__main__":
    from roadpulley.cli import main

    signal.signal(signal.SIGUSR1, stall)
    sys.exit(main())
