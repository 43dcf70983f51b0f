"""Pushes documents to a billing sink: delivered at least once, applied exactly once. Pure.

Sealed documents are pushed in order, one at a time. Four things make repeats harmless and losses impossible:

    the key       made from a document's name and digest, the same for every try: the sink applies it once
    the receipt   states the digest of what the sink has applied; only a matching one completes a document
    the fence     a number that grows with each lease; the sink rejects one below the highest it received
    the lease     taken by a conditional write to the store, so that no two exporters have the same fence

A document counts as exported once its receipt is in the store, which is written only after the sink sent it.
After a crash there is either no receipt, and the document is pushed again under its key, or a complete one.
Source: Idempotency-Key as in draft-ietf-httpapi-idempotency-key-header; fencing after Kleppmann, "How to do
distributed locking".
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

LEASE_DURATION_MS = 30_000  # longer than a push with its answer may take
RENEWAL_MARGIN_MS = 10_000  # a lease is renewed this long before its end
MIN_BACKOFF_MS = 500  # doubled with each consecutive failure
MAX_BACKOFF_MS = 60_000
KEY_DIGEST_DIGITS = 16  # hexadecimal digits of the digest in an idempotency key


@dataclass(frozen=True, slots=True)
class Document:
    """A sealed file. `digest` is the SHA-256 of its bytes, in hexadecimal."""

    name: str
    digest: str

    @property
    def key(self) -> str:
        """The idempotency key."""
        return f"{self.name}:{self.digest[:KEY_DIGEST_DIGITS]}"


@dataclass(frozen=True, slots=True)
class Lease:
    """Permits its holder to push, until a time in milliseconds. No two leases have the same `fence`."""

    holder: str
    fence: int
    until: int


@dataclass(frozen=True, slots=True)
class Receipt:
    """The sink's statement of the digest that it has applied under a key."""

    key: str
    digest: str


class ResponseClass(Enum):
    """The meaning of an answer of the sink, by its status (RFC 9110, section 15)."""

    APPLIED = "applied"  # 2xx, with a receipt
    STALE_FENCE = "stale"  # 409: the sink has received a higher fence
    REJECTED = "refused"  # another 4xx: the sink will never accept this document as it is
    RETRYABLE = "later"  # 5xx, 408, 425, 429, 1xx, 3xx, a timeout, a broken connection


def classify_status(status: int | None) -> ResponseClass:
    """Classifies an answer; `status` is None if there was none."""
    if status is None or status >= 500 or status in (408, 425, 429) or status < 200:
        return ResponseClass.RETRYABLE
    if status < 300:
        return ResponseClass.APPLIED
    return (
        ResponseClass.STALE_FENCE
        if status == 409
        else ResponseClass.REJECTED
        if status >= 400
        else ResponseClass.RETRYABLE
    )


# ---- actions ----


@dataclass(frozen=True, slots=True)
class AcquireLease:
    """Write `lease` if the store still has `expected`, then call `on_lease_result` with the lease or None."""

    lease: Lease
    expected: Lease | None


@dataclass(frozen=True, slots=True)
class PushDocument:
    """Send the document with its key and fence, then call `on_response`."""

    document: Document
    fence: int


@dataclass(frozen=True, slots=True)
class StoreReceipt:
    """Write the receipt if the store still has `lease`, then call `on_write_result` with whether it was."""

    document: Document
    receipt: Receipt
    lease: Lease


@dataclass(frozen=True, slots=True)
class ParkDocument:
    """Record why the sink rejected the document, if the store still has `lease`, then call `on_write_result`.

    An operator has to look at parked documents.
    """

    document: Document
    reason: str
    lease: Lease


@dataclass(frozen=True, slots=True)
class Wait:
    """Call `start_round` again after `delay_ms`."""

    delay_ms: int


@dataclass(frozen=True, slots=True)
class StaleFence:
    """Stop: the fence, which was given from outside, is not above `highest_fence`. The caller reports it."""

    highest_fence: int


@dataclass(frozen=True, slots=True)
class Finish:
    """Stop: no document remains to be pushed."""


Action = AcquireLease | PushDocument | StoreReceipt | ParkDocument | Wait | StaleFence | Finish


@dataclass
class Exporter:
    """The state of one exporter run. It may be lost at any step: all durable state is in the store."""

    holder: str
    lease: Lease | None = None
    consecutive_failures: int = 0
    pending: list[Document] = field(default_factory=list)
    # The fence of a duty that this instance of the fleet holds. No other instance may push then, so that this
    # run doesn't wait for the end of another lease.
    fence: int | None = None

    def start_round(self, now: int, lease: Lease | None, remaining: list[Document]) -> Action:
        """Returns the next action, from the `lease` in the store and the documents to push, in order.

        `remaining` are the documents that have no receipt and are not parked.
        """
        self.pending = list(remaining)
        if not remaining:
            return Finish()
        if self.fence is not None:
            return self._start_with_fence(now, lease, self.fence)
        is_own_lease = self.lease is not None and lease == self.lease
        if is_own_lease and lease is not None and now < lease.until - RENEWAL_MARGIN_MS:
            return self._push_next()
        if lease is not None and not is_own_lease and now < lease.until:
            return Wait(lease.until - now)
        # If the lease of this exporter has expired, another one may have pushed since, with a higher fence.
        # A new lease therefore always has a new fence, even for the same holder.
        self.lease = None
        fence = lease.fence + 1 if lease else 1
        return AcquireLease(Lease(self.holder, fence, now + LEASE_DURATION_MS), lease)

    def _start_with_fence(self, now: int, lease: Lease | None, fence: int) -> Action:
        """Starts with the fence of a duty.

        A lease from before the fleet was in use may still be valid. The new lease replaces it at once: the
        old fence is lower, so the sink rejects the pushes of the old lease.
        """
        if lease is not None and lease.fence > fence:
            return StaleFence(lease.fence)
        if lease is not None and (lease.holder, lease.fence) == (self.holder, fence):
            self.lease = lease
            return self._push_next()
        return AcquireLease(Lease(self.holder, fence, now + LEASE_DURATION_MS), lease)

    def on_lease_result(self, written_lease: Lease | None, remaining: list[Document]) -> Action:
        """Continues with the lease that was written, or None if another exporter was first.

        Between `start_round` and the write, the previous holder may have written a receipt under its
        old lease. `remaining` is therefore read again under the new lease, when no other exporter can write
        receipts. Without this a document could get two receipts.
        """
        self.lease, self.pending = written_lease, list(remaining)
        if not remaining:
            return Finish()
        return self._push_next() if written_lease else Wait(MIN_BACKOFF_MS)

    def on_response(
        self, status: int | None, receipt: Receipt | None, reason: str = "", highest_fence: int = 0
    ) -> Action:
        """Handles the answer to the current push. `highest_fence` is the highest that the sink states."""
        document, response_class = self.pending[0], classify_status(status)
        assert self.lease is not None
        if response_class is ResponseClass.APPLIED:
            # If the receipt is for a part of the document or for another one, the sink has not applied it.
            if receipt is not None and (receipt.key, receipt.digest) == (document.key, document.digest):
                self.consecutive_failures = 0
                return StoreReceipt(document, receipt, self.lease)
            response_class = ResponseClass.RETRYABLE
        if response_class is ResponseClass.REJECTED:
            return ParkDocument(document, reason or f"the sink answered {status}", self.lease)
        if response_class is ResponseClass.STALE_FENCE:
            self.lease = None  # another exporter pushes
            return (
                StaleFence(max(highest_fence, self.fence))
                if self.fence is not None
                else Wait(LEASE_DURATION_MS)
            )
        self.consecutive_failures += 1
        return Wait(min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** min(self.consecutive_failures - 1, 20)))

    def on_write_result(self, was_written: bool) -> Action:
        """Continues after the receipt or the reason was written, or was not as the lease was lost."""
        if not was_written:
            self.lease = None
            return Wait(LEASE_DURATION_MS)
        del self.pending[0]
        return self._push_next() if self.pending else Finish()

    def _push_next(self) -> Action:
        assert self.lease is not None
        return PushDocument(self.pending[0], self.lease.fence)
