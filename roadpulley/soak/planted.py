"""A gateway with a mistake on purpose: `python -m roadpulley.soak.planted NAME`. The judge is tried by these.

Each mistake is one that was made or mended here, or that a rule forbids. It replaces one function of the
program before that is started; nothing of it is in the program itself.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

EVERY = 40  # of the requests that a mistake falls on, one


class Turn:
    """True once in so many calls."""

    def __init__(self) -> None:
        self.calls = 0

    def comes(self) -> bool:
        self.calls += 1
        return self.calls % EVERY == 0


def close_over_open_requests() -> None:
    """A connection is closed in a drain though a request is open on it."""
    from roadpulley.edges.close_reasons import CloseReason
    from roadpulley.edges.connection import ClientConnection

    def leave(self: ClientConnection) -> None:
        if self.server.draining:
            self.close(CloseReason.ROOM_NEEDED)

    ClientConnection.close_for_drain = leave  # type: ignore[method-assign]


def close_new_connections() -> None:
    """A drain closes new connections at once, without a look at what lies unread in their sockets."""
    from roadpulley.edges.close_reasons import CloseReason
    from roadpulley.edges.connection import ClientConnection

    close_for_drain = ClientConnection.close_for_drain

    def close_unread(self: ClientConnection) -> None:
        if self.server.draining and self in self.server.without_request:
            return self.close(CloseReason.ROOM_NEEDED)
        close_for_drain(self)

    ClientConnection.close_for_drain = close_unread  # type: ignore[method-assign]


def repeat_unsafe_requests() -> None:
    """A request that may not be repeated goes to another backend once the first has failed."""
    from mintford import attempts

    vars(attempts).update(can_repeat=lambda *_: True, get_repeat_deadline=lambda *_: float("inf"))


def ignore_drains() -> None:
    """Backends that drain are sent new requests."""
    from mintford import interface as api
    from mintford.records import BackendRecord
    from roadpulley.core.backends import Host

    update = BackendRecord.update

    def ready_anyway(self: BackendRecord, entry: api.BackendEntry) -> None:
        update(self, entry)
        self.ready = True

    BackendRecord.update = ready_anyway  # type: ignore[method-assign]
    Host.accepts_new_requests = lambda self, now: True  # type: ignore[method-assign]


def spend_ceilings_unseen() -> None:
    """What is sent on is not charged to the hard ceiling."""
    from mintford.ceilings import Ceiling

    Ceiling.take = lambda self, units, counted: None  # type: ignore[method-assign]


def answer_twice() -> None:
    """Now and then a value is written twice."""
    from roadpulley.edges.slots import Slot

    answer, turn = Slot.answer, Turn()

    def twice(self: Slot, reply: bytes) -> None:
        answer(self, reply * 2 if reply.startswith(b"$") and turn.comes() else reply)

    Slot.answer = twice  # type: ignore[method-assign]


def answer_with_another_value() -> None:
    """Now and then a request is answered with the value of the one before."""
    from roadpulley.core.driver import Driver

    finish, turn, last = Driver.finish, Turn(), [b""]

    def mixed_up(self: Driver, request: str, reply: bytes) -> None:
        if reply.startswith(b"$"):
            reply, last[0] = (last[0] if last[0] and turn.comes() else reply), reply
        finish(self, request, reply)

    Driver.finish = mixed_up  # type: ignore[method-assign]


def refuse_what_may_have_run() -> None:
    """A failure is worded as a refusal, which promises that nothing ran."""
    from mintford import attempts

    vars(attempts).update(is_refusal_safe=lambda *_: True)


def forget_requests() -> None:
    """Now and then a request has no answer at all."""
    from roadpulley.core.driver import Driver

    finish, turn = Driver.finish, Turn()

    def forget(self: Driver, request: str, reply: bytes) -> None:
        if not turn.comes():
            finish(self, request, reply)

    Driver.finish = forget  # type: ignore[method-assign]


def leak_descriptors() -> None:
    """Connections to backends are forgotten and not closed."""
    from roadpulley.core.connection import Connection

    kept: list[Any] = []
    close = Connection.close

    def leak(self: Connection) -> None:
        if not self.closed:
            kept.append(self.socket.dup())
        close(self)

    Connection.close = leak  # type: ignore[method-assign]


def stream_before_other_answers() -> None:
    """A long value is passed on as it comes, whatever commands stand behind it."""
    from roadpulley.edges.slots import Slot

    Slot.has_commands_behind = lambda self: False  # type: ignore[method-assign]


def set_timers_at_changes_of_state() -> None:
    """A reload moves the time of a drain, and no timer follows."""
    from functools import partial

    from roadpulley.operations.controller import LifecycleController
    from roadpulley.operations.lifecycle import DrainTimes, Event, Lifecycle

    scheduled: list[object] = []

    def schedule(self: LifecycleController) -> None:
        state = self.lifecycle.state
        if scheduled[-1:] == [state]:
            return
        scheduled.append(state)
        deadline = self.lifecycle.next_deadline()
        if deadline < float("inf"):
            self.timers.call_at(deadline, partial(self.dispatch_event, Event.TIMER_FIRED))

    def change(self: Lifecycle, drain_times: DrainTimes) -> None:
        self.drain_times = drain_times

    LifecycleController.schedule_timer = schedule  # type: ignore[method-assign]
    Lifecycle.change_drain_times = change  # type: ignore[method-assign]


def miss_resets() -> None:
    """The reader of a connection is called once after a reset, whatever lies unread before it."""
    from roadpulley.core.socket_watcher import SocketWatcher

    SocketWatcher._call_again = lambda self: None  # type: ignore[method-assign]


MISTAKES: dict[str, Callable[[], None]] = {
    "close-over-open-requests": close_over_open_requests,
    "close-new-connections": close_new_connections,
    "repeat-unsafe-requests": repeat_unsafe_requests,
    "ignore-drains": ignore_drains,
    "spend-ceilings-unseen": spend_ceilings_unseen,
    "answer-twice": answer_twice,
    "answer-with-another-value": answer_with_another_value,
    "refuse-what-may-have-run": refuse_what_may_have_run,
    "forget-requests": forget_requests,
    "leak-descriptors": leak_descriptors,
    "stream-before-other-answers": stream_before_other_answers,
    "set-timers-at-changes-of-state": set_timers_at_changes_of_state,
    "miss-resets": miss_resets,
}


if __name__ == "__main__":
    MISTAKES[sys.argv[1]]()
    from roadpulley.__main__ import main

    sys.exit(main())
