"""Requests that are owed an answer, their attempts, and the wheel of times at which they are looked at."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from . import interface as api
from .guards import EXPIRY_MARGIN_MS, can_repeat, get_repeat_deadline, is_refusal_safe
from .load import Backend
from .quotas import Customer
from .records import Attempt, RequestRecord

TIMER_TICK_MS = 4.0  # requests due within this share one timer: small beside any patience
MAX_TRANSIT_DIFFERENCE_MS = 50.0  # how far apart the patience of two tries may be by the way here alone
RETRY_TOKENS_PER_REQUEST, SPARE_RETRY_TOKENS_PER_REQUEST, MAX_RETRY_TOKENS = (
    0.15,
    0.6,
    10.0,
)  # extra attempts earned a request; when calm; the most


class Request(RequestRecord):
    """One request that is owed a final answer, and where its next attempt may go."""

    def __init__(
        self, event: api.RequestArrived, kind: api.RequestClass, c: Customer, now: float, gone: float
    ) -> None:
        super().__init__(event, kind, c.plan.name)
        self.customer, self.target_at = c, min(event.expires, now + kind.latency_target)
        self.first_target_at = self.target_at - gone  # of its client's first try, as far as can be told
        self.possibly_run: list[Attempt] = []  # attempts that may have run or are out, the earliest first

    def can_send_to(self, now: float, b: Backend) -> bool:
        """May this request's next attempt go to this backend, given what may have run?"""
        if b.entry.zone in self.excluded_pools or b.id in self.tried_backends:
            return False
        first = next(iter(self.possibly_run), None)
        return first is None or can_repeat(self.kind, first.backend.entry, first.sent_at, b.entry, now)


class Attempts:
    """All requests of this gateway and the attempts that are out; the budget of further ones."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.requests: dict[str, Request] = {}
        self.in_flight: dict[tuple[str, int], Attempt] = {}  # the oldest first
        self.not_yet_lost: deque[Attempt] = deque()  # likewise, not yet known to be lost; some are over
        self.lost_count = 0  # attempts out that are
        self.timer_wheel: dict[int, list[Request]] = {}  # requests to look at, by the tick of their timer
        self.retry_tokens = MAX_RETRY_TOKENS
        self.first_try_waits: dict[str, float] = {}  # patience of a first try, by class

    def estimate_elapsed(self, kind: api.RequestClass, left: float, repeat: bool) -> float:
        """How long ago the first try of a request began, as far as is told, whose client waits for `left` ms.

        Clients give a try up after a part of the class's deadline, or when all of it is over. So a marked
        retry that waits for another time than first tries do waits for that end.
        """
        if not repeat:
            self.first_try_waits[kind.name] = left
        usual = self.first_try_waits.get(kind.name, left)
        return (
            max(0.0, kind.deadline - left)
            if repeat and abs(left - usual) > MAX_TRANSIT_DIFFERENCE_MS
            else 0.0
        )

    def send(self, now: float, request: Request, b: Backend, out: api.Actions) -> Attempt:
        b.open_attempts += 1
        request.customer.open_attempts += 1
        attempt = self.in_flight[request.id, request.attempts] = Attempt(request, b, now)
        self.not_yet_lost.append(attempt)
        latest = (
            get_repeat_deadline(request.kind, request.possibly_run[0].sent_at)
            if request.possibly_run
            else float("inf")
        )
        out.append(api.Send(request.id, b.id, 0.0, request.attempts, latest))
        request.live_attempts.add(request.attempts)
        request.possibly_run.append(attempt)
        request.tried_backends.add(b.id)
        request.attempts += 1
        return attempt

    def remove_attempt(self, event: api.AttemptEnded) -> Attempt | None:
        attempt = self.in_flight.pop((event.request, event.attempt), None)
        if attempt is not None:
            attempt.has_ended, self.lost_count = True, self.lost_count - attempt.is_lost
            attempt.backend.open_attempts -= 1
            attempt.request.customer.open_attempts -= 1
            attempt.request.live_attempts.remove(event.attempt)
        return attempt

    def count_waiting(self, oldest: float) -> int:
        """Attempts out that wait for an answer: those sent before a time are lost and wait in no queue."""
        young = self.not_yet_lost
        while young and (young[0].has_ended or young[0].sent_at <= oldest):
            attempt = young.popleft()
            if not attempt.has_ended:
                attempt.is_lost, self.lost_count = True, self.lost_count + 1
        return len(self.in_flight) - self.lost_count

    def schedule_check(self, now: float, request: Request, at: float, out: api.Actions) -> None:
        request.check_at = min(at, request.expires - EXPIRY_MARGIN_MS)
        tick = int(max(now, request.check_at) // TIMER_TICK_MS) + 1
        if tick not in self.timer_wheel:
            self.timer_wheel[tick] = []
            out.append(api.SetTimer(tick * TIMER_TICK_MS - now, f"w{tick}"))
        self.timer_wheel[tick].append(request)

    def pop_due(self, now: float, token: str) -> Iterator[Request]:
        """The requests to look at now, each judged as its turn comes: a look may end another's request."""
        tick = int(token[1:]) if token[1:].isdecimal() else -1
        for request in self.timer_wheel.pop(tick, ()):
            if self.requests.get(request.id) is request and now >= request.check_at - 1:
                yield request

    def finish(self, request: Request, out: api.Actions, wait: float = 0.0) -> None:
        """The one final answer: a refusal only where a new try is known to do no harm, else a failure."""
        del self.requests[request.id]
        refusal = api.Refuse(request.id, min(wait, self.settings.max_retry_after))
        out.append(
            refusal if is_refusal_safe(request.kind, bool(request.possibly_run)) else api.Fail(request.id)
        )
        self.cancel_all(request, out)

    def cancel_all(self, request: Request, out: api.Actions, but: int = -1) -> None:
        others = (number for number in request.live_attempts if number != but)
        out.extend(api.Cancel(request.id, number) for number in others if self.settings.can_cancel)
