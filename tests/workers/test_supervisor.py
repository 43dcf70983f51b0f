"""The supervisor's decisions, in virtual time."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from roadpulley.workers.supervisor import (
    Action,
    Drain,
    Finished,
    Kill,
    Limits,
    Refuse,
    Say,
    Start,
    State,
    Supervisor,
)

LIMITS = Limits()


def only(actions: list[Action], kind: type) -> list[Action]:
    return [a for a in actions if isinstance(a, kind)]


def up(count: int, now: float = 0.0) -> Supervisor:
    """All workers serve."""
    s = Supervisor(count)
    assert [a.slot for a in s.tick(now) if isinstance(a, Start)] == list(range(count))
    for number in range(count):
        s.served(now, number)
    return s


def beats(s: Supervisor, now: float) -> None:
    for slot in list(s.slots.values()):
        s.beat(now, slot.number, 0.0)


def pass_time(s: Supervisor, until: float) -> list[Action]:
    """Call it whenever it wants to be called, as the shell does, up to and with a time."""
    out: list[Action] = []
    while (due := s.next_at()) <= until:
        out += s.tick(due)
    return out + s.tick(until)


def test_a_worker_that_dies_is_started_again_and_later_each_time() -> None:
    s, now, waits = up(1), 100.0, []
    s.beat(now, 0, 0.0)
    for _ in range(12):
        s.ended(now, 0, "code 1")
        due = s.next_at()
        waits.append(round(due - now, 3))
        assert not only(s.tick(due - 0.01), Start) and only(s.tick(due), Start)
        now = due
    assert waits[:5] == [0.1, 0.2, 0.4, 0.8, 1.6] and waits[-1] == LIMITS.longest_wait_s


def test_having_served_steadily_its_waits_begin_anew() -> None:
    s = up(1)
    for _ in range(5):
        s.ended(1.0, 0, "code 1")
        s.tick(s.next_at())
    s.served(50.0, 0)
    for at in range(51, 62):
        s.beat(float(at), 0, 0.0)
    s.ended(62.0, 0, "code 1")
    assert s.next_at() == pytest.approx(62.1)


def test_a_worker_without_a_beat_is_killed_and_one_that_answers_nobody_too() -> None:
    s = up(2)
    assert not only(pass_time(s, 2.9), Kill)
    s.beat(2.9, 1, 0.0)
    assert not only(pass_time(s, 2.99), Kill)
    (kill,) = only(pass_time(s, 3.0), Kill)
    assert isinstance(kill, Kill) and kill.slot == 0 and "no beat" in kill.why
    assert not only(s.beat(3.1, 1, LIMITS.stuck_s + 0.1), Kill)
    (kill,) = only(s.beat(3.1 + LIMITS.beat_s, 1, LIMITS.stuck_s + 0.1 + LIMITS.beat_s), Kill)
    assert isinstance(kill, Kill) and kill.slot == 1 and "a request is open" in kill.why
    assert not only(pass_time(s, 20.0), Kill)  # once is enough


def test_a_worker_that_does_not_come_up_or_go_down_in_time_is_killed() -> None:
    s = Supervisor(1)
    s.tick(0.0)
    assert not only(pass_time(s, LIMITS.start_s - 0.01), Kill)
    assert only(pass_time(s, LIMITS.start_s), Kill)
    s = up(1)
    assert only(s.stop(1.0), Drain)
    assert not only(pass_time(s, 1.0 + LIMITS.drain_s - 0.01), Kill)
    assert only(pass_time(s, 1.0 + LIMITS.drain_s), Kill)
    assert only(s.ended(6.0, 0, "killed"), Finished)


@pytest.mark.parametrize("stopped_s", [LIMITS.hang_s, 2 * LIMITS.hang_s, 60.0])
def test_a_supervisor_that_was_not_run_reads_the_beats_before_it_judges(stopped_s: float) -> None:
    """What callers saw: all workers killed at once, and with them every request that was open.

    A supervisor that is not run for 3 s (a machine that is suspended, or has no time for it) finds every beat
    overdue as it wakes: its timer and the first beat that it reads are both handled before the other beats,
    which have come and lie unread. It killed all workers on the spot.
    """
    s = up(3)
    now = stopped_s
    out = s.tick(now)  # its timer
    for number in range(3):
        out += s.beat(now + 0.001 * number, number, 0.0)
    assert not only(out, Kill) and not only(pass_time(s, now + LIMITS.hang_s - 0.01), Kill)
    assert len(only(pass_time(s, now + LIMITS.hang_s + 0.01), Kill)) == 3  # now they do hang


def test_a_worker_that_was_not_run_ends_what_is_overdue_before_it_is_judged() -> None:
    """Its first beat may come before its timers have ended requests whose time has passed meanwhile."""
    s = up(1)
    assert not only(s.beat(6.0, 0, LIMITS.stuck_s + 1.0), Kill)
    assert not only(s.beat(6.25, 0, 0.1), Kill)
    assert not only(s.beat(6.5, 0, LIMITS.stuck_s + 1.0), Kill)  # not twice in a row


@pytest.mark.parametrize("state", [State.STARTING, State.DRAINING])
def test_a_start_or_end_that_lies_unread_is_not_overdue(state: State) -> None:
    s = Supervisor(1)
    s.tick(0.0)
    if state is State.DRAINING:
        s.served(0.0, 0)
        s.stop(0.0)
    out = s.tick(60.0)
    out += s.served(60.001, 0) if state is State.STARTING else s.ended(60.001, 0, "code 0")
    assert not only(out, Kill)


def test_a_replacement_takes_one_after_the_other_and_waits_for_each() -> None:
    s, order = up(3), []
    out = s.replace(1.0)
    for now in range(2, 8, 2):
        (drain,) = only(out, Drain)
        assert isinstance(drain, Drain)
        order.append(drain.slot)
        beats(s, float(now))
        assert not only(s.tick(float(now)), Drain)
        (start,) = only(s.ended(float(now), drain.slot, "code 0"), Start)
        assert start == Start(drain.slot, 2)
        beats(s, now + 1.0)
        out = s.served(now + 1.0, drain.slot)
    assert order == [0, 1, 2] and not only(out, Drain)
    assert {slot.version for slot in s.slots.values()} == {2}


def test_a_version_that_does_not_start_takes_down_one_worker_only() -> None:
    s, now = up(3), 1.0
    (drain,) = only(s.replace(now), Drain)
    assert isinstance(drain, Drain)
    out, said = s.ended(now, drain.slot, "code 0"), list[str]()
    for _ in range(LIMITS.give_up_after + 3):
        while s.slots[drain.slot].state is State.IDLE:  # its wait, in which the others go on
            beats(s, now)
            now = min(s.slots[drain.slot].due, now + 1.0)
            out += s.tick(now)
        assert only(out, Start) and not only(out, Drain)
        out = s.ended(now, drain.slot, "code 1")
        said += [a.words for a in out if isinstance(a, Say)]
    assert sum("not replaced further" in words for words in said) == 1
    assert sum(slot.state is State.SERVING for slot in s.slots.values()) == 2


def test_a_replacement_goes_on_when_the_worker_in_its_turn_is_not_wanted_any_more() -> None:
    s = up(2)
    (drain,) = only(s.replace(1.0), Drain)
    assert drain == Drain(0)
    s.resize(1.0, 1)
    s.ended(1.5, 1, "code 0")
    s.ended(1.5, 0, "code 0")
    assert s.served(2.0, 0) == [] and s.replacing is None
    s = up(2)
    s.replace(1.0)
    s.ended(1.5, 0, "code 0")
    s.served(1.6, 0)
    assert s.replacing == 1
    s.resize(1.7, 1)
    s.ended(1.8, 1, "code 0")
    assert s.replacing is None


def test_fewer_are_drained_and_more_are_started() -> None:
    s = up(2)
    out = s.resize(1.0, 4)
    assert [a.slot for a in out if isinstance(a, Start)] == [2, 3]
    for number in (2, 3):
        s.served(1.0, number)
    out = s.resize(2.0, 1)
    assert [a.slot for a in out if isinstance(a, Drain)] == [1, 2, 3]
    for number in (1, 2, 3):
        assert not only(s.ended(3.0, number, "code 0"), Start)
    assert list(s.slots) == [0]


def test_a_worker_wanted_again_while_it_drains_is_started_once_it_has_ended() -> None:
    s = up(2)
    s.resize(1.0, 1)
    s.resize(1.5, 2)
    assert only(s.ended(2.0, 1, "code 0"), Start) == [Start(1, 1)]


def test_clients_are_refused_once_the_last_that_accepted_has_closed_or_ended() -> None:
    s = up(2)
    s.replace(1.0)
    assert not only(s.closed(1.5, 0), Refuse)  # the other one accepts
    assert only(s.ended(2.0, 1, "code -9"), Refuse)
    assert not only(s.ended(2.5, 0, "code 0"), Refuse)  # once is enough
    s.served(3.0, 0)
    assert only(s.ended(4.0, 0, "code -9"), Refuse)


def test_nothing_starts_once_all_are_told_to_end() -> None:
    s = up(2)
    s.ended(1.0, 0, "code 1")
    out = s.stop(1.0)
    assert only(out, Drain) == [Drain(1)]
    assert not s.replace(1.5)
    out = s.ended(2.0, 1, "code 0")
    assert only(out, Finished) and not only(out, Start)


class Life(RuleBasedStateMachine):
    """Any order of events: no slot has two processes, and what is started or ended is so once."""

    def __init__(self) -> None:
        super().__init__()
        self.s, self.now = Supervisor(3), 0.0
        self.alive: set[int] = set()
        self.accept: set[int] = set()
        self.told: set[int] = set()
        self.take(self.s.tick(0.0))

    def take(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Start):
                assert action.slot not in self.alive, "two processes in one slot"
                assert not self.s.stopping
                self.alive.add(action.slot)
            elif isinstance(action, Drain | Kill):
                assert action.slot in self.alive, "nobody is there"
                self.told.add(action.slot)
            elif isinstance(action, Refuse):
                assert not self.accept, "somebody accepts"
            elif isinstance(action, Finished):
                assert not self.alive

    @rule(seconds=st.floats(0, 20))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.take(self.s.tick(self.now))

    @rule(number=st.integers(0, 5))
    def serves(self, number: int) -> None:
        if number in self.alive:
            self.accept.add(number)
            self.take(self.s.served(self.now, number))

    @rule(number=st.integers(0, 5))
    def closes(self, number: int) -> None:
        if number in self.accept:
            self.accept.discard(number)
            self.gone(self.s.closed(self.now, number))

    def gone(self, actions: list[Action]) -> None:
        """One that accepted does so no more."""
        assert bool(only(actions, Refuse)) == (not self.accept), "refused while somebody accepts, or not"
        self.take(actions)

    @rule(number=st.integers(0, 5), oldest=st.floats(0, 8))
    def beats(self, number: int, oldest: float) -> None:
        if number in self.alive:
            self.take(self.s.beat(self.now, number, oldest))

    @rule(number=st.integers(0, 5))
    def ends(self, number: int) -> None:
        if number in self.alive:
            self.alive.discard(number)
            self.told.discard(number)
            actions = self.s.ended(self.now, number, "code 1")
            if number in self.accept:
                self.accept.discard(number)
                return self.gone(actions)
            self.take(actions)

    @rule()
    def replaced(self) -> None:
        actions = self.s.replace(self.now)
        self.take(actions)
        for drain in only(actions, Drain):
            assert isinstance(drain, Drain)
            others = [x for x in self.s.slots.values() if x.number != drain.slot and not x.leaving]
            assert all(x.state is State.SERVING for x in others), "more than one is missing"

    @rule(count=st.integers(1, 6))
    def resized(self, count: int) -> None:
        self.take(self.s.resize(self.now, count))

    @precondition(lambda self: not self.s.stopping)
    @rule(chance=st.integers(0, 9))
    def stopped(self, chance: int) -> None:
        if not chance:
            self.take(self.s.stop(self.now))

    @invariant()
    def agrees(self) -> None:
        busy = {n for n, slot in self.s.slots.items() if slot.state is not State.IDLE}
        assert busy == self.alive
        assert self.s.replacing is None or self.s.replacing in self.s.slots


TestLife = Life.TestCase
TestLife.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
