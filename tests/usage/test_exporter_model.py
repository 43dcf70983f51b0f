"""Explores every history of two exporters, two documents, crashes at any step and a sink that loses answers.

States are explored breadth first, each once. An exporter may crash before its next action. The world does the
action and passes the result to it. A push may arrive late, even after its sender has ended. An answer may be
lost, a document be applied in part, and a lease expire at any time.
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
MAX_CRASHES = 2
MAX_EXPIRIES = 2
MAX_LOST_ANSWERS = 1
MAX_PARTIAL_APPLIES = 1


@dataclass(frozen=True)
class Sink:
    fence: int = 0
    applied: tuple[tuple[str, str], ...] = ()  # key and what was applied under it, in order

    def take(self, document: Document, key: str, fence: int, half: bool) -> tuple[Sink, int, Receipt | None]:
        if fence < self.fence:
            return self, 409, None
        known = dict(self.applied).get(key)
        now = replace(self, fence=max(fence, self.fence))
        if half and known is None:  # the receipt has the digest of the part that was applied
            return now, 200, Receipt(key, "half")
        if known is None:
            now = replace(now, applied=(*now.applied, (key, document.digest)))
        return now, 200, Receipt(key, document.digest)


# Next action, lease, documents to push.
Actor = tuple[exporter.Action | None, Lease | None, tuple[Document, ...]]


@dataclass(frozen=True)
class World:
    lease: Lease | None = None
    receipts: tuple[str, ...] = ()
    sink: Sink = Sink()
    actors: tuple[Actor, ...] = ((None, None, ()),) * 2
    in_flight: tuple[tuple[Document, str, int], ...] = ()  # pushes whose sender no longer waits
    crashes: int = MAX_CRASHES
    expiries: int = MAX_EXPIRIES
    lost: int = MAX_LOST_ANSWERS
    partial_applies: int = MAX_PARTIAL_APPLIES
    now: int = 0


Key = Callable[[Document, int], str]


class InvariantError(AssertionError):
    pass


def list_remaining(world: World) -> list[Document]:
    return [d for d in DOCS if d.name not in world.receipts]


def steps(world: World, kind: type[Exporter], key: Key) -> Iterator[World]:
    for who, (action, lease, waiting) in enumerate(world.actors):
        actor = kind(f"x{who}", lease, 0, list(waiting))

        def after(base: World, action: exporter.Action, who: int = who, actor: Exporter = actor) -> World:
            """Stores the next action of the actor. After Wait and Finish it starts a new round."""
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
            if isinstance(action, PushDocument):  # the push was in flight
                sent = (action.document, key(action.document, action.fence), action.fence)
                yield replace(fallen, in_flight=(*fallen.in_flight, sent))
        match action:
            case None:
                began = actor.start_round(world.now, world.lease, list_remaining(world))
                if not isinstance(began, Wait | Finish):
                    yield after(world, began)
            case AcquireLease(taken, over):
                fits = world.lease == over
                following = replace(world, lease=taken) if fits else world
                yield after(following, actor.on_lease_result(taken if fits else None, list_remaining(world)))
            case PushDocument(document, fence):
                for half in (False, True)[: 1 + bool(world.partial_applies)]:
                    sink, status, receipt = world.sink.take(document, key(document, fence), fence, half)
                    came = replace(world, sink=sink, partial_applies=world.partial_applies - half)
                    actor.lease, actor.pending = lease, list(waiting)
                    yield after(came, actor.on_response(status, receipt))
                if world.lost:  # it arrived and its answer was lost, or it arrives later
                    actor.lease, actor.pending = lease, list(waiting)
                    again = actor.on_response(None, None)
                    sink, _, _ = world.sink.take(document, key(document, fence), fence, False)
                    yield after(replace(world, sink=sink, lost=world.lost - 1), again)
                    sent = (document, key(document, fence), fence)
                    yield after(
                        replace(world, lost=world.lost - 1, in_flight=(*world.in_flight, sent)), again
                    )
            case StoreReceipt(document, _, held):
                fits = world.lease == held
                names = (*world.receipts, document.name) if fits else world.receipts
                yield after(replace(world, receipts=names), actor.on_write_result(fits))
            case ParkDocument():
                raise InvariantError("parked, and the sink takes everything")
    for number, (document, sent_key, fence) in enumerate(world.in_flight):
        sink, _, _ = world.sink.take(document, sent_key, fence, False)
        yield replace(world, sink=sink, in_flight=world.in_flight[:number] + world.in_flight[number + 1 :])
    # A lease may expire at any time. If it could expire only before its holder acts, the model would never
    # have two exporters at work.
    if world.expiries and world.lease is not None and world.now < world.lease.until:
        yield replace(world, expiries=world.expiries - 1, now=world.lease.until)


def check(world: World) -> None:
    applied = [digest for _, digest in world.sink.applied]
    if len(applied) != len(set(applied)):
        raise InvariantError(f"a document was applied twice: {world.sink.applied}")
    known = dict(world.sink.applied)
    for document in DOCS:
        if document.name in world.receipts and document.digest not in known.values():
            raise InvariantError(f"{document.name} has a receipt, and the sink does not have it")
    if len(world.receipts) != len(set(world.receipts)):
        raise InvariantError("two receipts of one document")
    fences = [lease.fence for _, lease, _ in world.actors if lease is not None]
    if len(fences) != len(set(fences)):
        raise InvariantError("two exporters have one fence")


def explore(kind: type[Exporter] = Exporter, key: Key = lambda d, _: d.key) -> tuple[int, int]:
    """Returns the number of states, and of those in which all is exported. Raises InvariantError."""
    first = World()
    visited, queue, complete = {first}, deque([first]), 0
    while queue:
        world = queue.popleft()
        check(world)
        complete += not list_remaining(world)
        following = list(steps(world, kind, key))
        if list_remaining(world) and not following and world.expiries:
            raise InvariantError(f"stuck: {world}")
        for each in following:
            if each not in visited:
                visited.add(each)
                queue.append(each)
    return len(visited), complete


def test_no_history_loses_a_document_or_applies_it_twice() -> None:
    states, complete = explore()
    assert states > 5_000 and complete > 100, (states, complete)


class ExporterWithoutDigestCheck(Exporter):
    """Accepts any receipt."""

    def on_response(self, status: int | None, receipt: Receipt | None, reason: str = "") -> exporter.Action:
        document = self.pending[0]
        if receipt is not None:
            receipt = Receipt(document.key, document.digest)
        return super().on_response(status, receipt, reason)


class ExporterWithoutAnswerCheck(Exporter):
    """Writes a receipt without an answer."""

    def on_response(self, status: int | None, receipt: Receipt | None, reason: str = "") -> exporter.Action:
        document = self.pending[0]
        return super().on_response(200, Receipt(document.key, document.digest), reason)


class ExporterWithStaleDocuments(Exporter):
    """Uses the list of documents from before it had the lease."""

    def on_lease_result(self, written_lease: Lease | None, remaining: list[Document]) -> exporter.Action:
        return super().on_lease_result(written_lease, self.pending)


class ExporterWithReusedFence(Exporter):
    """Acquires a lease with the fence of the previous one."""

    def start_round(self, now: int, lease: Lease | None, remaining: list[Document]) -> exporter.Action:
        action = super().start_round(now, lease, remaining)
        if isinstance(action, AcquireLease) and lease is not None:
            return AcquireLease(replace(action.lease, fence=lease.fence), action.expected)
        return action


@pytest.mark.parametrize(
    ("kind", "key", "what"),
    [
        (ExporterWithoutDigestCheck, lambda d, _: d.key, "has a receipt, and the sink does not have it"),
        (ExporterWithoutAnswerCheck, lambda d, _: d.key, "has a receipt, and the sink does not have it"),
        (ExporterWithStaleDocuments, lambda d, _: d.key, "two receipts of one document"),
        (ExporterWithReusedFence, lambda d, _: d.key, "two exporters have one fence"),
        (Exporter, lambda d, fence: f"{d.name}:{fence}", "applied twice"),
    ],
)
def test_model_fails_without_each_safeguard(kind: type[Exporter], key: Key, what: str) -> None:
    with pytest.raises(InvariantError, match=what):
        explore(kind, key)


@pytest.mark.parametrize(
    ("status", "verdict"),
    [(200, "applied"), (201, "applied"), (409, "stale"), (400, "refused"), (422, "refused"), (500, "later"),
     (503, "later"), (429, "later"), (408, "later"), (302, "later"), (100, "later"), (None, "later")],
)  # fmt: skip
def test_classify_status(status: int | None, verdict: str) -> None:
    assert exporter.classify_status(status).value == verdict


def test_failures_back_off_and_a_rejected_document_is_parked_with_its_reason() -> None:
    x = Exporter("x", Lease("x", 3, 10**9), 0, list(DOCS))
    waits = [x.on_response(503, None) for _ in range(9)]
    assert [w.delay_ms for w in waits if isinstance(w, Wait)] == [500 * 2**n for n in range(7)] + [60_000] * 2
    assert x.on_response(422, None, "another payload") == ParkDocument(
        DOCS[0], "another payload", Lease("x", 3, 10**9)
    )
    assert x.on_write_result(True) == PushDocument(DOCS[1], 3)
    assert x.on_response(409, None) == Wait(exporter.LEASE_DURATION_MS) and x.lease is None
