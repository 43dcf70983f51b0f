"""The ceiling holds over all gateways in virtual time, whatever faults the counter and gateways have."""

from __future__ import annotations

from dataclasses import dataclass, field

from helpers import Counter, World, entry
from hypothesis import example, given, settings
from hypothesis import strategies as st

from mintford import interface as api
from mintford.ceilings import MAX_SHARED_RATIO, SPLIT_QUOTA_RATIO, Ceiling, compute_shared_ratio
from mintford.quotas import EPOCH_MS, MIN_OUTAGE_MS

RATE = 10.0
BURST = 40.0
MAX_UNITS = 4.0
# The quota's burst is so large that only the ceiling refuses requests.
PLAN = api.Plan("firm", rate=4, burst=20_000, overage_cost=1, ceiling_rate=RATE, ceiling_burst=BURST)
MANY = [entry(n) for n in range(60)]
STARTED_AT_MS = 10_000.0
SHARED_BURST = MAX_SHARED_RATIO * BURST


def find_ceiling(world: World) -> tuple[Ceiling, float] | None:
    """The customer's ceiling and the seconds since its last refill; None if the gateway has no record."""
    record = world.gateway.quotas.customers.get("c")
    return (record.ceiling, (world.now - record.refilled_at) / 1000) if record else None


@dataclass
class Installation:
    """Gateways under a flood, one counter, and the exact store that must not be overdrawn."""

    size: int
    seed: int
    counter: Counter = field(default_factory=Counter)
    level: float = BURST
    shared_level: float = SHARED_BURST  # of an exact store with the shared part's rate and burst
    lowest: float = BURST
    sent: int = 0
    serial: int = 0

    def __post_init__(self) -> None:
        self.worlds = [self.gateway(n, STARTED_AT_MS) for n in range(self.size)]
        self.silent: set[int] = set()  # gateways whose calls are added but not answered
        self.endless: set[int] = set()  # gateways that never read the last epoch's final total
        self.at = self.worlds[0].now

    def gateway(self, n: int, now: float) -> World:
        terms = dict(plans=(PLAN,), max_request_units=MAX_UNITS, gateways=self.size, index=n)
        return World(MANY, seed=self.seed * 10 + n, now=now, **terms)  # type: ignore[arg-type]

    def play(self, n: int, actions: list[api.Action]) -> None:
        world, todo = self.worlds[n], list(actions)
        while todo:
            action = todo.pop(0)
            if isinstance(action, api.Send):
                self.spend(float(action.request.split(":")[1]))
                world.give(api.AttemptEnded(action.request, 0, action.backend, api.Outcome.OK, 1.0, True))
            elif isinstance(action, api.AddToCounter):
                reply = self.counter.reply(world.now, action)
                if n in self.silent or (n in self.endless and not action.amount):
                    reply = api.CounterReplied(action.name, api.Outcome.TIMED_OUT, 0.0)
                todo += world.give(reply)

    def spend(self, units: float) -> None:
        self.level, self.sent = self.level - units, self.sent + 1
        self.lowest = min(self.lowest, self.level)

    def ask(self, n: int, units: float) -> None:
        self.serial += 1
        world = self.worlds[n]
        request = f"{self.serial}:{units:g}"
        event = api.RequestArrived(request, "view", "firm", "c", world.now + 3000, units, self.size, 0)
        allowance = self.get_allowance(world)
        self.play(n, world.give(event))
        self.shared_level -= max(0.0, allowance - self.get_allowance(world))

    def pass_time(self, ms: float) -> None:
        for n, world in enumerate(self.worlds):
            self.play(n, world.pass_time(ms))
        self.level = min(BURST, self.level + ms / 1000 * RATE)
        self.shared_level = min(SHARED_BURST, self.shared_level + ms / 1000 * RATE * MAX_SHARED_RATIO)

    def restart(self, n: int) -> None:
        """Restart a gateway now, with nothing but its settings."""
        self.worlds[n] = self.gateway(n, self.worlds[n].now)

    def check_invariant(self) -> None:
        """The own parts and the shared part together hold no more than the exact store.

        See "The parts of a ceiling" in `docs/design/deployments.md`.
        """
        own_tokens = [self.get_own_tokens(world) for world in self.worlds]
        assert sum(own_tokens) + self.shared_level <= self.level + 1e-6, (own_tokens, self.shared_level)

    def get_own_tokens(self, world: World) -> float:
        if found := find_ceiling(world):
            ceiling, seconds = found
            return min(ceiling.own_burst, ceiling.own_tokens + seconds * ceiling.own_rate)
        own_ratio = (1 - MAX_SHARED_RATIO) / self.size
        gateway_share = world.gateway.quotas.gateway_share
        return gateway_share.compute_own_tokens(world.now, own_ratio * RATE, own_ratio * BURST)

    def get_allowance(self, world: World) -> float:
        """What the gateway may take of the shared part. Only taking lowers it."""
        if (found := find_ceiling(world)) is None:
            return SHARED_BURST
        ceiling, seconds = found
        return min(ceiling.shared_burst, ceiling.shared_allowance + seconds * ceiling.shared_rate)


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("flood"), st.integers(0, 3), st.integers(1, 40)),
        st.tuples(st.just("ask"), st.integers(0, 3), st.integers(1, 4)),
        st.tuples(st.just("pass"), st.sampled_from([1, 60, 700, 4_000, 16_000, 31_000]), st.just(0)),
        st.tuples(st.just("silent"), st.integers(0, 3), st.just(0)),
        st.tuples(st.just("connected"), st.integers(0, 3), st.just(0)),
        st.tuples(st.just("endless"), st.integers(0, 3), st.just(0)),
        st.tuples(st.just("restart"), st.integers(0, 3), st.just(0)),
    ),
    max_size=40,
)


@settings(max_examples=120, deadline=None)
@given(st.integers(2, 4), st.integers(0, 99), STEPS)
@example(2, 0, [("flood", 0, 18), ("restart", 0, 0), ("flood", 0, 11), ("flood", 1, 12)])
@example(2, 0, [("flood", 0, 27), ("flood", 1, 12), ("restart", 0, 0), ("flood", 0, 2)])
def test_ceiling_is_never_overdrawn(size: int, seed: int, steps: list[tuple[str, int, int]]) -> None:
    """Gateways are flooded, lose the counter and restart, and epochs end in between."""
    site = Installation(size, seed)
    for n in range(size):
        site.ask(n, 1.0)  # all gateways follow the number and have their parts
    site.pass_time(6_000)
    for what, which, amount in steps:
        n = which % size
        if what == "flood":
            for _ in range(amount):
                site.ask(n, 1.0)
        elif what == "ask":
            site.ask(n, float(amount))
        elif what == "pass":
            site.pass_time(which)
        elif what == "restart":
            site.restart(n)
        elif what == "endless":
            site.endless.add(n)
        else:
            (site.silent.add if what == "silent" else site.silent.discard)(n)
            site.endless.discard(n)
        assert site.lowest >= -1e-6, (what, n)
        site.check_invariant()


def test_single_active_gateway_gets_its_own_and_the_shared_part() -> None:
    site = Installation(4, 1)
    site.pass_time(60_000)
    for _ in range(200):
        site.ask(0, 1.0)
    alone = BURST * (MAX_SHARED_RATIO + (1 - MAX_SHARED_RATIO) / 4)
    assert alone - 2 <= site.sent <= alone
    before = site.sent
    for _ in range(100):
        site.pass_time(200)
        for _ in range(4):
            site.ask(0, 1.0)
    assert site.sent - before > 0.95 * 20 * RATE * (MAX_SHARED_RATIO + (1 - MAX_SHARED_RATIO) / 4)


def test_spending_at_the_end_of_an_epoch_is_never_missed() -> None:
    site = Installation(2, 1)
    for n in range(2):
        site.ask(n, 1.0)
    site.pass_time(EPOCH_MS - 500 - site.worlds[0].now % EPOCH_MS)
    for n in (1, 0):
        site.ask(n, 1.0)
    for _ in range(60):
        site.ask(1, 1.0)
    site.endless.add(0)
    site.pass_time(600)
    for _ in range(60):
        site.ask(0, 1.0)
    assert site.lowest >= -1e-6


def test_fallen_total_or_restarted_counter_leaves_the_shared_part_empty() -> None:
    site = Installation(2, 1)
    site.pass_time(10_000)
    for n in (0, 1, 0):
        site.ask(n, 9.0)
    site.counter.numbers.clear()
    site.pass_time(1_000)
    quotas = site.worlds[0].gateway.quotas
    site.ask(0, 9.0)
    assert quotas.counter_lost_at == site.worlds[0].now
    assert quotas.customers["c"].ceiling.shared_tokens <= 0
    other = Installation(2, 2)
    other.pass_time(10_000)
    other.counter.fails = api.Outcome.TIMED_OUT
    for _ in range(2):  # the counter is down for a while and restarts empty
        other.ask(0, 1.0)
        other.pass_time(MIN_OUTAGE_MS)
    other.counter.fails = None
    other.ask(0, 1.0)
    assert other.worlds[0].gateway.quotas.customers["c"].ceiling.shared_tokens <= 0


def test_crowded_counter_is_not_mistaken_for_one_that_lost_its_numbers() -> None:
    site = Installation(2, 2)
    site.pass_time(10_000)
    for fails in (api.Outcome.FULL, api.Outcome.FULL, None, api.Outcome.FULL, api.Outcome.TIMED_OUT, None):
        site.counter.fails = fails
        site.ask(0, 1.0)
        site.pass_time(MIN_OUTAGE_MS / 3)
    quotas = site.worlds[0].gateway.quotas
    assert quotas.counter_lost_at < 0 and quotas.customers["c"].ceiling.shared_tokens > 0


def test_restarted_counter_gives_a_gateway_no_unit_twice() -> None:
    site = Installation(2, 1)
    site.pass_time(60_000)
    for _ in range(80):
        site.ask(0, 1.0)
    site.counter.numbers.clear()
    before = site.sent
    for _ in range(80):
        site.ask(0, 1.0)
    assert site.sent - before == 0


def test_shared_part_is_bounded_by_totals_and_by_own_spending() -> None:
    ceiling = Ceiling(PLAN, 0.5, True, 0.0, 1.0)
    assert not ceiling.can_pay(1, True), "no total has shown any units yet"
    ceiling.estimate_shared_tokens(spent=3, last_epoch_spent=0, seconds=1)
    pool = BURST * MAX_SHARED_RATIO
    assert (
        ceiling.shared_tokens == pool - 3
        and ceiling.can_pay(pool - 3, True)
        and not ceiling.can_pay(1, False)
    )
    ceiling.take(2, True)
    ceiling.estimate_shared_tokens(spent=0, last_epoch_spent=0, seconds=1)
    assert ceiling.shared_tokens == pool - 2, "a total that lacks own spending does not return it"
    ceiling.estimate_shared_tokens(spent=0, last_epoch_spent=100, seconds=1)
    assert ceiling.shared_tokens == RATE * MAX_SHARED_RATIO, (
        "all units of the last epoch may have been spent at its end"
    )
    ceiling.subtract_peer_spending(-5)
    assert ceiling.shared_tokens == RATE * MAX_SHARED_RATIO, "a settlement returns nothing to a ceiling"
    ceiling.subtract_peer_spending(1)
    ceiling.refill(0.1)
    assert ceiling.shared_tokens == RATE * MAX_SHARED_RATIO - 1 + 0.1 * RATE * MAX_SHARED_RATIO
    ceiling.reset_shared_tokens()
    assert not ceiling.can_pay(1, True)


def test_split_part_alone_carries_the_quota() -> None:
    def plan(times: float) -> api.Plan:
        return api.Plan("p", rate=10, burst=10, ceiling_rate=10 * times, ceiling_burst=10 * times)

    assert (
        compute_shared_ratio(plan(3), 0.5, 1) == MAX_SHARED_RATIO
        and compute_shared_ratio(plan(1.2), 0.5, 1) == 0
    )
    for times in (1.3, 1.6, 2.0, 2.5):
        assert (1 - compute_shared_ratio(plan(times), 0.5, 1)) * times >= SPLIT_QUOTA_RATIO - 1e-9
    assert compute_shared_ratio(plan(3), 1 / 30, 1) == 0, "nothing is shared among many gateways"
