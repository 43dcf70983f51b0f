"""The node's queue, cores, warm-up and fall, in virtual time."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpulley.testbed.node_machine import Change, Job, NodeMachine, Seen, State, draw_work
from roadpulley.testbed.scenario import NodeKind

KIND = NodeKind(cores=2, slots=4, queue=2, thrash=0.0, work_ms=100)


def machine(kind: NodeKind = KIND, warm: bool = True) -> NodeMachine:
    return NodeMachine(kind, 0.0, warm)


def job(work: float = 100.0, expires: float = 1e9) -> Job:
    return Job(None, work, expires)


def ends(m: NodeMachine, until: float = 10_000.0) -> list[tuple[float, Job]]:
    """Play on to a time, as the shell's timer does; gives each end with its time."""
    done: list[tuple[float, Job]] = []
    while (due := m.next_at()) is not None and due <= until:
        done += [(m.now, j) for j in m.advance(max(due, m.now)).done]
    m.advance(until)
    return done


def test_as_many_as_there_are_cores_run_at_full_speed_and_more_share_them() -> None:
    m = machine()
    jobs = [job() for _ in range(2)]
    for each in jobs:
        m.arrive(0, each)
    assert [at for at, _ in ends(m, 500)] == pytest.approx([100, 100])
    m = machine()
    for each in [job() for _ in range(4)]:
        m.arrive(0, each)
    assert [at for at, _ in ends(m, 500)] == pytest.approx([200] * 4)


def test_past_the_slots_they_wait_and_past_the_room_they_are_turned_away() -> None:
    m = machine()
    changes = [m.arrive(0, job()) for _ in range(7)]
    assert [len(c.begun) for c in changes] == [1, 1, 1, 1, 0, 0, 0]
    assert [len(c.turned_away) for c in changes] == [0, 0, 0, 0, 0, 0, 1]
    finished = ends(m)
    assert len(finished) == 6 and finished[-1][0] == pytest.approx(300)


def test_what_is_expired_when_its_turn_comes_never_runs() -> None:
    m = machine()
    for _ in range(4):
        m.arrive(0, job())
    late = job(expires=150)
    m.arrive(0, late)
    change = m.advance(200.0)
    assert late in change.turned_away and late.begun_at is None


@pytest.mark.parametrize(
    ("cancel", "stops"), [("none", (False, False)), ("queued", (False, True)), ("all", (True, True))]
)
def test_what_stops_when_its_connection_ends(cancel: str, stops: tuple[bool, bool]) -> None:
    m = machine(NodeKind(cores=2, slots=1, queue=5, cancel=cancel, thrash=0.0))
    running, waiting = job(), job()
    m.arrive(0, running)
    m.arrive(0, waiting)
    m.leave(10, waiting)
    m.leave(10, running)
    ended = [j for _, j in ends(m)]
    assert (running not in ended, waiting not in ended) == stops


def test_a_cold_node_warms_evenly_and_works_that_much_slower() -> None:
    m = machine(NodeKind(cores=1, cold_from=0.2, warm_s=10, thrash=0.0), warm=False)
    assert [m.warmth(t) for t in (0, 5_000, 10_000, 99_000)] == pytest.approx([0.2, 0.6, 1.0, 1.0])
    m.arrive(0, job(100))
    ((at, _),) = ends(m)
    assert 300 < at < 500  # at a fifth of the speed it would take 500


def test_an_overdriven_cold_node_falls_and_a_warm_one_does_not() -> None:
    kind = NodeKind(cores=1, cold_from=0.2, warm_s=10, queue=100, thrash=0.0, work_ms=100)
    budget = 2.0 * 0.2 * 1_000 + 4 * 100  # multiple x capacity x window, and chance
    cold, warm = machine(kind, warm=False), machine(kind)
    fell = [cold.arrive(0, job(100)).fell for _ in range(10)]
    assert fell == [False] * int(budget // 100) + [True] + [False] * (9 - int(budget // 100))
    assert cold.state is State.FALLEN and cold.arrive(1, job()).begun == []
    assert not any(warm.arrive(0, job(100)).fell for _ in range(20))


def test_work_that_comes_slowly_does_not_fell_a_cold_node() -> None:
    kind = NodeKind(cores=1, cold_from=0.2, warm_s=100, queue=100, thrash=0.0, work_ms=100)
    m = machine(kind, warm=False)
    assert not any(m.arrive(n * 150.0, job(50)).fell for n in range(100))


def test_held_past_its_measure_it_loses_speed() -> None:
    calm = machine(NodeKind(cores=2, slots=8, thrash=0.5, thrash_at=4))
    full = machine(NodeKind(cores=2, slots=8, thrash=0.5, thrash_at=4))
    for _ in range(4):
        calm.arrive(0, job())
    for _ in range(8):
        full.arrive(0, job())
    assert ends(calm)[-1][0] == pytest.approx(200)
    assert ends(full)[-1][0] == pytest.approx(800)  # 400 without the loss


def test_a_drain_finishes_what_is_in_and_turns_the_rest_away() -> None:
    m = machine()
    inside = job()
    m.arrive(0, inside)
    m.state = State.DRAINING
    assert len(m.arrive(10, job()).turned_away) == 1
    assert [j for _, j in ends(m)] == [inside]


def test_a_hung_node_stands_still_and_goes_on_where_it_was() -> None:
    m = machine()
    m.arrive(0, job())
    m.hang(50, True)
    behind = job()
    assert not m.arrive(60, behind).begun
    assert m.next_at() is None and not m.advance(5_000).done
    assert m.hang(5_000, False).begun == [behind]
    assert ends(m)[0][0] == pytest.approx(5_050)


def test_a_slowed_node_takes_that_many_times_as_long() -> None:
    m = machine()
    m.slowness = 4.0
    m.arrive(0, job())
    assert ends(m)[0][0] == pytest.approx(400)


def test_a_key_is_new_once_in_its_window() -> None:
    seen = Seen(1_000)
    assert [seen.first("k", t) for t in (0, 500, 1_000, 1_001, 1_500)] == [True, False, False, True, False]
    assert seen.first("other", 500)


def test_work_has_the_mean_asked_for() -> None:
    rng = random.Random(3)
    drawn = [draw_work(rng, KIND) for _ in range(4_000)]
    assert 90 < sum(drawn) / len(drawn) < 110
    assert draw_work(rng, NodeKind(work_cv=0.0, work_ms=7)) == 7


STEP = st.tuples(st.sampled_from(["arrive", "leave", "wait", "hang", "wake"]), st.integers(1, 300))


@given(
    st.lists(STEP, max_size=60),
    st.sampled_from(["none", "queued", "all"]),
    st.booleans(),
    st.integers(1, 4),
)
def test_every_job_ends_once_at_most_and_none_is_forgotten(
    steps: list[tuple[str, int]], cancel: str, warm: bool, slots: int
) -> None:
    kind = NodeKind(cores=2, slots=slots, queue=3, cancel=cancel, cold_from=0.9, warm_s=1, work_ms=100)
    m, now = machine(kind, warm), 0.0
    jobs: list[Job] = []
    left: list[Job] = []
    fates: dict[int, list[str]] = {}

    def note(change: Change) -> None:
        for name in ("begun", "done", "turned_away"):
            for each in getattr(change, name):
                fates.setdefault(id(each), []).append(name)

    for what, amount in steps:
        if what == "arrive":
            jobs.append(job(amount, now + 500))
            note(m.arrive(now, jobs[-1]))
        elif what == "leave" and jobs:
            left.append(jobs[amount % len(jobs)])
            note(m.leave(now, left[-1]))
        elif what in ("hang", "wake"):
            note(m.hang(now, what == "hang"))
        else:
            now += amount
            note(m.advance(now))
        assert m.live <= slots and len(m.waiting) <= kind.queue + slots
    note(m.hang(now, False))
    note(m.advance(now + 1e6))
    if m.state is State.FALLEN:
        return
    for each in jobs:
        fate = fates.get(id(each), [])
        assert fate in (["begun", "done"], ["turned_away"], ["begun"], [])
        if each not in left:
            assert fate in (["begun", "done"], ["turned_away"])
