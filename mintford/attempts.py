"""Open requests, their attempts in flight, and the timer wheel that schedules checks of requests."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from . import interface as api
from .guards import EXPIRY_MARGIN_MS, can_repeat, get_repeat_deadline, is_refusal_safe
from .load import Backend
from .quotas import Customer
from .records import Attempt, RequestRecord

TIMER_TICK_MS = 4.0  # checks due within one tick share a timer; it is short compared with any timeout
MAX_TRANSIT_DIFFERENCE_MS = 50.0  # by which the waits of two tries may differ only because of the network
RETRY_TOKENS_PER_REQUEST = 0.15  # further attempts that each request adds to the retry budget
SPARE_RETRY_TOKENS_PER_REQUEST = 0.6  # the same while the backends have spare capacity
MAX_RETRY_TOKENS = 10.0


class Request(RequestRecord):
    """One request that needs a final answer, and the backends its next attempt may go to."""

    def __init__(
        self, event: api.RequestArrived, kind: api.RequestClass, record: Customer, now: float, elapsed: float
    ) -> None:
        """`elapsed`: estimated milliseconds since the client's first try of this request."""
        super().__init__(event, kind, record.plan.name)
        self.customer, self.target_at = record, min(event.expires, now + kind.latency_target)
        self.first_target_at = self.target_at - elapsed  # counted from the client's first try
        self.possibly_run: list[Attempt] = []  # attempts that may have run or are in flight, earliest first

    def can_send_to(self, now: float, target: Backend) -> bool:
        """Whether the next attempt may go to this backend, given the attempts that may have run."""
        if target.entry.zone in self.excluded_pools or target.id in self.tried_backends:
            return False
        first = next(iter(self.possibly_run), None)
        return first is None or can_repeat(self.kind, first.entry, first.sent_at, target.entry, now)


class Attempts:
    """All open requests of this gateway, its attempts in flight, and the budget of further attempts."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.requests: dict[str, Request] = {}
        self.in_flight: dict[tuple[str, int], Attempt] = {}  # oldest first
        self.not_yet_lost: deque[Attempt] = deque()  # oldest first; some of them have already ended
        self.lost_count = 0  # attempts in flight that count as lost
        self.timer_wheel: dict[int, list[Request]] = {}  # requests to check, by the tick of their timer
        self.retry_tokens = MAX_RETRY_TOKENS
        self.first_try_waits: dict[str, float] = {}  # how long clients wait at a first try, by class

    def estimate_elapsed(self, kind: api.RequestClass, remaining: float, is_repeat: bool) -> float:
        """Estimate the milliseconds since the first try of a request whose client waits `remaining` ms more.

        A client gives up a try after a fixed part of the class's deadline, or at the deadline itself. So a
        marked repeat whose wait differs from that of first tries lasts until the deadline.
        """
        if not is_repeat:
            self.first_try_waits[kind.name] = remaining
        usual = self.first_try_waits.get(kind.name, remaining)
        return (
            max(0.0, kind.deadline - remaining)
            if is_repeat and abs(remaining - usual) > MAX_TRANSIT_DIFFERENCE_MS
            else 0.0
        )

    def send(self, now: float, request: Request, target: Backend, out: api.Actions) -> Attempt:
        """Start the next attempt of a request and record it."""
        target.open_attempts += 1
        request.customer.open_attempts += 1
        attempt = self.in_flight[request.id, request.attempts] = Attempt(request, target, now)
        self.not_yet_lost.append(attempt)
        send_deadline = (
            get_repeat_deadline(request.kind, request.possibly_run[0].sent_at)
            if request.possibly_run
            else float("inf")
        )
        out.append(api.Send(request.id, target.id, 0.0, request.attempts, send_deadline))
        request.live_attempts.add(request.attempts)
        request.possibly_run.append(attempt)
        request.tried_backends.add(target.id)
        request.attempts += 1
        return attempt

    def remove_attempt(self, event: api.AttemptEnded) -> Attempt | None:
        """Remove an attempt that has ended. None if it is unknown."""
        attempt = self.in_flight.pop((event.request, event.attempt), None)
        if attempt is not None:
            attempt.has_ended, self.lost_count = True, self.lost_count - attempt.is_lost
            attempt.backend.open_attempts -= 1
            attempt.request.customer.open_attempts -= 1
            attempt.request.live_attempts.remove(event.attempt)
        return attempt

    def is_response_coming(self, request: Request) -> bool:
        """Whether the response of an attempt in flight has begun and comes, so that it is not overdue."""
        attempts = (self.in_flight[request.id, number] for number in request.live_attempts)
        return any(attempt.response_started and not attempt.response_stalled for attempt in attempts)

    def count_waiting(self, oldest: float) -> int:
        """Count the attempts that wait for an answer. Those sent before `oldest` are lost and in no queue."""
        queue = self.not_yet_lost
        while queue and (queue[0].has_ended or queue[0].sent_at <= oldest):
            attempt = queue.popleft()
            if not attempt.has_ended:
                attempt.is_lost, self.lost_count = True, self.lost_count + 1
        return len(self.in_flight) - self.lost_count

    def schedule_check(self, now: float, request: Request, at: float, out: api.Actions) -> None:
        """Schedule the next check of a request, shortly before its expiry at the latest."""
        request.check_at = min(at, request.expires - EXPIRY_MARGIN_MS)
        tick = int(max(now, request.check_at) // TIMER_TICK_MS) + 1
        if tick not in self.timer_wheel:
            self.timer_wheel[tick] = []
            out.append(api.SetTimer(tick * TIMER_TICK_MS - now, f"w{tick}"))
        self.timer_wheel[tick].append(request)

    def pop_due(self, now: float, token: str) -> Iterator[Request]:
        """Yield the requests to check now. Each is tested when its turn comes, as a check may end another."""
        tick = int(token[1:]) if token[1:].isdecimal() else -1
        for request in self.timer_wheel.pop(tick, ()):
            if self.requests.get(request.id) is request and now >= request.check_at - 1:
                yield request

    def finish(
        self, request: Request, reason: api.RefusalReason, out: api.Actions, wait: float = 0.0
    ) -> None:
        """Give the final answer: a refusal where a new try is known to do no harm, otherwise a failure."""
        del self.requests[request.id]
        if is_refusal_safe(request.kind, bool(request.possibly_run)):
            out.append(api.Refuse(request.id, min(wait, self.settings.max_retry_after), reason))
        else:
            out.append(api.Fail(request.id, reason))
        self.cancel_all(request, out)

    def cancel_all(self, request: Request, out: api.Actions, except_number: int = -1) -> None:
        """Cancel the attempts of a request that are in flight, where the deployment allows it."""
        others = (number for number in request.live_attempts if number != except_number)
        out.extend(api.Cancel(request.id, number) for number in others if self.settings.can_cancel)
