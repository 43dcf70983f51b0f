"""Requests that are owed an answer, their attempts, and the wheel of times at which they are looked at."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from . import interface as api
from .guards import END_MS, harmless, may_repeat, repeat_until
from .load import Backend
from .quotas import Customer
from .records import Attempt, RequestRecord

WHEEL_MS = 4.0  # requests due within this share one timer: small beside any patience
TOLD_MS = 50.0  # how far apart the patience of two tries may be by the way here alone
RETRY_SHARE, RETRY_CALM, RETRY_STORE = 0.15, 0.6, 10.0  # extra attempts earned a request; when calm; the most


class Request(RequestRecord):
    """One request that is owed a final answer, and where its next attempt may go."""

    def __init__(
        self, event: api.RequestArrived, kind: api.RequestClass, c: Customer, now: float, gone: float
    ) -> None:
        super().__init__(event, kind, c.plan.name)
        self.customer, self.aim_at = c, min(event.expires, now + kind.latency_target)
        self.first_aim_at = self.aim_at - gone  # of its client's first try, as far as can be told
        self.ran: list[Attempt] = []  # attempts that may have run or are out, the earliest first

    def may_go(self, now: float, b: Backend) -> bool:
        """May this request's next attempt go to this backend, given what may have run?"""
        if b.entry.zone in self.shut or b.id in self.tried:
            return False
        first = next(iter(self.ran), None)
        return first is None or may_repeat(self.kind, first.backend.entry, first.sent_at, b.entry, now)


class Attempts:
    """All requests of this gateway and the attempts that are out; the budget of further ones."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.requests: dict[str, Request] = {}
        self.out: dict[tuple[str, int], Attempt] = {}  # the oldest first
        self.young: deque[Attempt] = deque()  # likewise, not yet known to be lost; some are over
        self.lost = 0  # attempts out that are
        self.wheel: dict[int, list[Request]] = {}  # requests to look at, by the tick of their timer
        self.retries = RETRY_STORE
        self.usual: dict[str, float] = {}  # patience of a first try, by class

    def gone(self, kind: api.RequestClass, left: float, repeat: bool) -> float:
        """How long ago the first try of a request began, as far as is told, whose client waits for `left` ms.

        Clients give a try up after a part of the class's deadline, or when all of it is over. So a marked
        retry that waits for another time than first tries do waits for that end.
        """
        if not repeat:
            self.usual[kind.name] = left
        usual = self.usual.get(kind.name, left)
        return max(0.0, kind.deadline - left) if repeat and abs(left - usual) > TOLD_MS else 0.0

    def send(self, now: float, request: Request, b: Backend, out: api.Actions) -> Attempt:
        b.out += 1
        request.customer.out += 1
        attempt = self.out[request.id, request.attempts] = Attempt(request, b, now)
        self.young.append(attempt)
        latest = repeat_until(request.kind, request.ran[0].sent_at) if request.ran else float("inf")
        out.append(api.Send(request.id, b.id, 0.0, request.attempts, latest))
        request.live.add(request.attempts)
        request.ran.append(attempt)
        request.tried.add(b.id)
        request.attempts += 1
        return attempt

    def ended(self, event: api.AttemptEnded) -> Attempt | None:
        attempt = self.out.pop((event.request, event.attempt), None)
        if attempt is not None:
            attempt.over, self.lost = True, self.lost - attempt.lost
            attempt.backend.out -= 1
            attempt.request.customer.out -= 1
            attempt.request.live.remove(event.attempt)
        return attempt

    def waiting(self, oldest: float) -> int:
        """Attempts out that wait for an answer: those sent before a time are lost and wait in no queue."""
        young = self.young
        while young and (young[0].over or young[0].sent_at <= oldest):
            attempt = young.popleft()
            if not attempt.over:
                attempt.lost, self.lost = True, self.lost + 1
        return len(self.out) - self.lost

    def watch(self, now: float, request: Request, at: float, out: api.Actions) -> None:
        request.check_at = min(at, request.expires - END_MS)
        tick = int(max(now, request.check_at) // WHEEL_MS) + 1
        if tick not in self.wheel:
            self.wheel[tick] = []
            out.append(api.SetTimer(tick * WHEEL_MS - now, f"w{tick}"))
        self.wheel[tick].append(request)

    def due(self, now: float, token: str) -> Iterator[Request]:
        """The requests to look at now, each judged as its turn comes: a look may end another's request."""
        tick = int(token[1:]) if token[1:].isdecimal() else -1
        for request in self.wheel.pop(tick, ()):
            if self.requests.get(request.id) is request and now >= request.check_at - 1:
                yield request

    def finish(self, request: Request, out: api.Actions, wait: float = 0.0) -> None:
        """The one final answer: a refusal only where a new try is known to do no harm, else a failure."""
        del self.requests[request.id]
        refusal = api.Refuse(request.id, min(wait, self.settings.max_retry_after))
        out.append(refusal if harmless(request.kind, bool(request.ran)) else api.Fail(request.id))
        self.cancel_all(request, out)

    def cancel_all(self, request: Request, out: api.Actions, but: int = -1) -> None:
        others = (number for number in request.live if number != but)
        out.extend(api.Cancel(request.id, number) for number in others if self.settings.can_cancel)
