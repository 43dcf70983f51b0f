"""Every history of two exporters, two documents, crashes at any step and a sink that loses answers.

States are walked breadth first, each once. An exporter stands before its next action, where it may crash; the
world does the action and tells it. A push that is out may arrive late, also after its sender's end; an answer
may be lost, a document be taken in half, a lease run out at any time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

import pytest

from roadpulley.usage import exporter
from roadpulley.usage.exporter import (
    AcquireLease,
    Document,
    Exporter,
    Finish,
    Lease,
    ParkDocument,
    PushDocument,
    Receipt,
    StoreReceipt,
    Wait,
)

DOCS = (Document("p0", "a" * 64), Document("p0.adjustment-1", "b" * 64))
CRASHES, RUNS_OUT, LOST, HALVES = 2, 2, 1, 1


@dataclass(frozen=True)
class Sink:
    fence: int = 0
    applied: tuple[tuple[str, str], ...] = ()  # key and what was applied under it, in order

    def take(self, document: Document, key: str, fence: int, half: bool) -> tuple[Sink, int, Receipt | None]:
        if fence < self.fence:
            return self, 409, None
        known = dict(self.applied).get(key)
        now = replace(self, fence=max(fence, self.fence))
        if half and known is None:  # it stops in the middle, and says so by the digest of what it has
            return now, 200, Receipt(key, "half")
        if known is None:
            now = replace(now, applied=(*now.applied, (key, document.digest)))
        return now, 200, Receipt(key, document.digest)


Actor = tuple[
    exporter.Action | None, Lease | None, tuple[Document, ...]
]  # its next action, lease, what is left


@dataclass(frozen=True)
class World:
    lease: Lease | None = None
    receipts: tuple[str, ...] = ()
    sink: Sink = Sink()
    actors: tuple[Actor, ...] = ((None, None, ()),) * 2
    flying: tuple[tuple[Document, str, int], ...] = ()  # pushes whose sender does not wait any more
    crashes: int = CRASHES
    outs: int = RUNS_OUT
    lost: int = LOST
    halves: int = HALVES
    now: int = 0


Key = Callable[[Document, int], str]


class Broken(AssertionError):
    pass


def left(world: World) -> list[Document]:
    return [d for d in DOCS if d.name not in world.receipts]


def steps(world: World, kind: type[Exporter], key: Key) -> Iterator[World]:
    for who, (action, lease, waiting) in enumerate(world.actors):
        actor = kind(f"x{who}", lease, 0, list(waiting))

        def after(base: World, action: exporter.Action, who: int = who, actor: Exporter = actor) -> World:
            """The actor's next action is known; Wait and Done bring it back to its beginning."""
            ready = None if isinstance(action, Wait | Finish) else action
            mine = (ready, actor.lease, tuple(actor.pending))
            return replace(base, actors=tuple(mine if n == who else a for n, a in enumerate(base.actors)))

        if action is not None and world.crashes:
            gone = (None, None, ())
            fallen = replace(
                world,
                crashes=world.crashes - 1,
                actors=tuple(gone if n == who else a for n, a in enumerate(world.actors)),
            )
            yield fallen
            if isinstance(action, PushDocument):  # it was on its way
                sent = (action.document, key(action.document, action.fence), action.fence)
                yield replace(fallen, flying=(*fallen.flying, sent))
        match action:
            case None:
                began = actor.start_round(world.now, world.lease, left(world))
                if not isinstance(began, Wait | Finish):
                    yield after(world, began)
            case AcquireLease(taken, over):
                fits = world.lease == over
                following = replace(world, lease=taken) if fits else world
                yield after(following, actor.on_lease_result(taken if fits else None, left(world)))
            case PushDocument(document, fence):
                for half in (False, True)[: 1 + bool(world.halves)]:
                    sink, status, receipt = world.sink.take(document, key(document, fence), fence, half)
                    came = replace(world, sink=sink, halves=world.halves - half)
                    actor.lease, actor.pending = lease, list(waiting)
                    yield after(came, actor.on_response(status, receipt))
                if world.lost:  # it arrived, and its answer did not; or it arrives later
                    actor.lease, actor.pending = lease, list(waiting)
                    again = actor.on_response(None, None)
                    sink, _, _ = world.sink.take(document, key(document, fence), fence, False)
                    yield after(replace(world, sink=sink, lost=world.lost - 1), again)
                    sent = (document, key(document, fence), fence)
                    yield after(replace(world, lost=world.lost - 1, flying=(*world.flying, sent)), again)
            case StoreReceipt(document, _, held):
                fits = world.lease == held
                names = (*world.receipts, document.name) if fits else world.receipts
                yield after(replace(world, receipts=names), actor.on_write_result(fits))
            case ParkDocument():
                raise Broken("parked, and the sink takes everything")
    for number, (document, sent_key, fence) in enumerate(world.flying):
        sink, _, _ = world.sink.take(document, sent_key, fence, False)
        yield replace(world, sink=sink, flying=world.flying[:number] + world.flying[number + 1 :])
    # Danger: a model in which a lease runs out only before its holder acts would never see two at work.
    if world.outs and world.lease is not None and world.now < world.lease.until:
        yield replace(world, outs=world.outs - 1, now=world.lease.until)


def check(world: World) -> None:
    applied = [digest for _, digest in world.sink.applied]
    if len(applied) != len(set(applied)):
        raise Broken(f"a document was applied twice: {world.sink.applied}")
    known = dict(world.sink.applied)
    for document in DOCS:
        if document.name in world.receipts and document.digest not in known.values():
            raise Broken(f"{document.name} has a receipt, and the sink does not have it")
    if len(world.receipts) != len(set(world.receipts)):
        raise Broken("two receipts of one document")
    fences = [lease.fence for _, lease, _ in world.actors if lease is not None]
    if len(fences) != len(set(fences)):
        raise Broken("two exporters have one fence")


def walk(kind: type[Exporter] = Exporter, key: Key = lambda d, _: d.key) -> tuple[int, int]:
    """How many states there are, and in how many all is exported. Raises Broken."""
    first = World()
    seen, todo, whole = {first}, deque([first]), 0
    while todo:
        world = todo.popleft()
        check(world)
        whole += not left(world)
        following = list(steps(world, kind, key))
        if left(world) and not following and world.outs:
            raise Broken(f"stuck: {world}")
        for each in following:
            if each not in seen:
                seen.add(each)
                todo.append(each)
    return len(seen), whole


def test_no_history_loses_or_repeats_a_document() -> None:
    states, whole = walk()
    assert states > 5_000 and whole > 100, (states, whole)


class NoDigest(Exporter):
    """Takes any receipt."""

    def on_response(self, status: int | None, receipt: Receipt | None, reason: str = "") -> exporter.Action:
        document = self.pending[0]
        if receipt is not None:
            receipt = Receipt(document.key, document.digest)
        return super().on_response(status, receipt, reason)


class Hasty(Exporter):
    """Keeps a receipt for an answer that did not come."""

    def on_response(self, status: int | None, receipt: Receipt | None, reason: str = "") -> exporter.Action:
        document = self.pending[0]
        return super().on_response(200, Receipt(document.key, document.digest), reason)


class OldList(Exporter):
    """Goes by what was left before it had the lease."""

    def on_lease_result(self, written_lease: Lease | None, remaining: list[Document]) -> exporter.Action:
        return super().on_lease_result(written_lease, self.pending)


class SameFence(Exporter):
    """Takes over with the fence of the one before."""

    def start_round(self, now: int, lease: Lease | None, remaining: list[Document]) -> exporter.Action:
        action = super().start_round(now, lease, remaining)
        if isinstance(action, AcquireLease) and lease is not None:
            return AcquireLease(replace(action.lease, fence=lease.fence), action.expected)
        return action


@pytest.mark.parametrize(
    ("kind", "key", "what"),
    [
        (NoDigest, lambda d, _: d.key, "has a receipt, and the sink does not have it"),
        (Hasty, lambda d, _: d.key, "has a receipt, and the sink does not have it"),
        (OldList, lambda d, _: d.key, "two receipts of one document"),
        (SameFence, lambda d, _: d.key, "two exporters have one fence"),
        (Exporter, lambda d, fence: f"{d.name}:{fence}", "applied twice"),
    ],
)
def test_each_safeguard_is_missed_when_it_is_gone(kind: type[Exporter], key: Key, what: str) -> None:
    with pytest.raises(Broken, match=what):
        walk(kind, key)


@pytest.mark.parametrize(
    ("status", "verdict"),
    [(200, "applied"), (201, "applied"), (409, "stale"), (400, "refused"), (422, "refused"), (500, "later"),
     (503, "later"), (429, "later"), (408, "later"), (302, "later"), (100, "later"), (None, "later")],
)  # fmt: skip
def test_answers_are_judged_by_their_status(status: int | None, verdict: str) -> None:
    assert exporter.classify_status(status).value == verdict


def test_failures_wait_ever_longer_and_a_refusal_is_parked_with_its_reason() -> None:
    x = Exporter("x", Lease("x", 3, 10**9), 0, list(DOCS))
    waits = [x.on_response(503, None) for _ in range(9)]
    assert [w.delay_ms for w in waits if isinstance(w, Wait)] == [500 * 2**n for n in range(7)] + [60_000] * 2
    assert x.on_response(422, None, "another payload") == ParkDocument(
        DOCS[0], "another payload", Lease("x", 3, 10**9)
    )
    assert x.on_write_result(True) == PushDocument(DOCS[1], 3)
    assert x.on_response(409, None) == Wait(exporter.LEASE_DURATION_MS) and x.lease is None
