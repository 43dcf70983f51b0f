"""Adapter between the simulator and `mintford.rules`, by JSON lines on standard input and output.

It makes no decisions. A line holds a batch of events for several gateways, and its answer their actions.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from . import interface as api
from .reading import read_settings
from .rules import Gateway


class WireError(Exception):
    """The input does not have the format of the simulator's wire."""


def read_entry(raw: list[Any]) -> api.BackendEntry:
    """Read a backend from its array in a backend list."""
    zone, cell, started, state, _weight, backend = raw[:6]
    return api.BackendEntry(
        backend=int(backend),
        zone=str(zone or ""),
        cell=int(cell or 0),
        started=float(started or 0),
        state=api.BackendState(state),
    )


def read_list(scope: str, _revision: Any, entries: Any, *_: Any) -> api.Event:
    """Read a backend list."""
    return api.BackendsChanged(api.ListScope(scope), tuple(read_entry(e) for e in entries or ()))


def read_request(
    request: str,
    name: str,
    plan: Any,
    customer: Any,
    expires: float,
    units: Any,
    spread: Any,
    first: Any,
    bits: Any = 0,
    *_: Any,
) -> api.Event:
    """Read a new request. The value 2 in `bits` marks a repeat."""
    return api.RequestArrived(
        read_text(request),
        read_text(name),
        str(plan or ""),
        str(customer or ""),
        float(expires),
        float(units or 0),
        int(spread or 1),
        int(first or 0),
        bool(int(bits or 0) & 2),
    )


def read_ended(
    request: str,
    settled_units: Any,
    elapsed: Any,
    outcome: str,
    finished: Any,
    attempt: int,
    backend: int,
    *_: Any,
) -> api.Event:
    """Read the end of an attempt."""
    return api.AttemptEnded(
        read_text(request),
        int(attempt),
        int(backend),
        api.Outcome(outcome),
        float(elapsed or 0),
        bool(finished),
        float(settled_units or 0),
    )


def read_response_started(request: str, attempt: int, backend: int, *_: Any) -> api.Event:
    """Read the start of a response."""
    return api.ResponseStarted(read_text(request), int(attempt), int(backend))


def read_counter_reply(total: Any, _elapsed: Any, outcome: str, name: str, *_: Any) -> api.Event:
    """Read a reply of the counter."""
    return api.CounterReplied(read_text(name), api.Outcome(outcome), float(total or 0))


def read_text(value: Any) -> str:
    """Return a string as it is. Raises WireError for any other value."""
    if not isinstance(value, str):
        raise WireError(f"expected text, got {value!r}")
    return value


READERS: dict[str, Callable[..., api.Event | None]] = {
    "backendsChanged": read_list,
    "jobIn": read_request,
    "ended": read_ended,
    "underWay": read_response_started,
    "lapsed": lambda request, *_: api.RequestAbandoned(read_text(request)),
    "ledgerReply": read_counter_reply,
    "wakeup": lambda token, *_: api.TimerFired(read_text(token)),
    "whisper": lambda sender, payload, *_: api.PeerMessageReceived(int(sender), bytes.fromhex(payload)),
    "health": lambda *_: None,
}


def write_action(action: api.Action) -> list[Any]:
    """Return an action as the simulator's array. Raises ValueError for an action the wire doesn't have."""
    match action:
        case api.Send(request, backend, timeout):
            return ["callOut", request, timeout, backend]
        case api.Cancel(request, attempt):
            return ["cancel", request, attempt]
        case api.Refuse(request, retry_after, _):
            return ["bounce", request, retry_after]
        case api.Fail(request, _):
            return ["dropRequest", request]
        case api.SetTimer(delay, token):
            return ["sleep", delay, token]
        case api.AddToCounter(name, amount, expire_in):
            return ["incr", name, expire_in, amount]
        case api.SubscribeBackends(enable):
            return ["follow", enable]
        case api.SendHandover() | api.SpendRights():
            raise ValueError("the simulator runs a gateway as one process without handovers or rights")


class Host:
    """The gateways of this process, one for each instance that is created and has not exited."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}

    def process_batch(self, line: str) -> str:
        """Process a line of events and return the line of actions. Raises WireError."""
        try:
            message = json.loads(line)
            now = float(message["moment"])
            groups = [
                {"gatewayId": g["gatewayId"], "out": self.process_group(now, g)} for g in message["groups"]
            ]
        except (ValueError, KeyError, TypeError, AttributeError, IndexError) as error:
            raise WireError(f"{type(error).__name__}: {error}") from error
        return json.dumps({"groups": [g for g in groups if g["out"]]}, separators=(",", ":"))

    def process_group(self, now: float, group: dict[str, Any]) -> list[list[Any]]:
        """Process the events of one gateway and return its actions."""
        instance = int(group["gatewayId"])
        out: list[list[Any]] = []
        for name, *values in group["arrivals"]:
            if name == "create":
                seed, setup = values[:2]
                self.gateways[instance] = Gateway(read_settings(setup), int(seed))
                continue
            if instance not in self.gateways:
                raise WireError(f"event {name!r} for unknown instance {instance}")
            if name == "exit":
                del self.gateways[instance]
                out.clear()
                continue
            if name not in READERS:
                raise WireError(f"unknown event {name!r}")
            event = READERS[name](*values)
            if event is not None:
                out += [write_action(a) for a in self.gateways[instance].handle(now, event)]
        return out


def main(lines: TextIO = sys.stdin, replies: TextIO = sys.stdout) -> int:
    """Answer lines until the input ends. Return 2, as the exit status, on bad input."""
    host = Host()
    for line in lines:
        if not line.strip():
            continue
        try:
            reply = host.process_batch(line)
        except WireError as error:
            print("mintford.wirehost: bad input: " + " ".join(str(error).split()), file=sys.stderr)
            return 2
        replies.write(reply + "\n")
        replies.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
