"""Pushing documents to a billing sink: at least once from here, once as the receiver sees it. Pure.

What is sealed goes in order, one document at a time. Four things make repeats harmless and losses impossible:

    the key       the same for every try of a document, from its name and digest: the sink applies it once
    the receipt   tells the digest of what the sink has applied; only one that fits ends a document
    the fence     a number that grows with each lease; the sink refuses a lower one than it has seen
    the lease     taken by a conditional write to the store, so that no two exporters have one fence

A document counts as exported once its receipt is in the store, and its receipt is written only after it came.
A crash anywhere leaves either no receipt, and the document is pushed again under its key, or all of it.
Source: Idempotency-Key as in draft-ietf-httpapi-idempotency-key-header; fencing after Kleppmann, "How to do
distributed locking".
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

LEASE_DURATION_MS = 30_000  # longer than a push may take with its answer
RENEW_MS = 10_000  # before its end
FIRST_WAIT_MS, LONGEST_WAIT_MS = 500, 60_000  # doubled with each failure in a row
KEY_DIGITS = 16  # of the digest, in a key


@dataclass(frozen=True, slots=True)
class Document:
    """A sealed file. `digest` is the SHA-256 of its bytes."""

    name: str
    digest: str

    @property
    def key(self) -> str:
        return f"{self.name}:{self.digest[:KEY_DIGITS]}"


@dataclass(frozen=True, slots=True)
class Lease:
    """Of the one that may push. `fence` is never used twice."""

    holder: str
    fence: int
    until: int


@dataclass(frozen=True, slots=True)
class Receipt:
    """What the sink says that it has applied under a key."""

    key: str
    digest: str


class ResponseClass(Enum):
    """Of an answer of the sink, by its status (RFC 9110, section 15)."""

    APPLIED = "applied"  # 2xx, with a receipt
    STALE = "stale"  # 409: a higher fence has been seen
    REFUSED = "refused"  # another 4xx: this document will never be taken as it is
    LATER = "later"  # 5xx, 429, 408, a time-out, a broken connection, an answer that is none


def classify_status(status: int | None) -> ResponseClass:
    """None: no answer came."""
    if status is None or status >= 500 or status in (408, 425, 429) or status < 200:
        return ResponseClass.LATER
    if status < 300:
        return ResponseClass.APPLIED
    return (
        ResponseClass.STALE
        if status == 409
        else ResponseClass.REFUSED
        if status >= 400
        else ResponseClass.LATER
    )


# ---- actions ----


@dataclass(frozen=True, slots=True)
class AcquireLease:
    """Write this lease, if the one in the store is still `over`; then call `leased` with whether it was."""

    lease: Lease
    over: Lease | None


@dataclass(frozen=True, slots=True)
class PushDocument:
    """Send it with its key and fence; then call `answered`."""

    document: Document
    fence: int


@dataclass(frozen=True, slots=True)
class StoreReceipt:
    """Write the receipt, if the lease in the store is still ours; then call `kept` with whether it was."""

    document: Document
    receipt: Receipt
    lease: Lease


@dataclass(frozen=True, slots=True)
class ParkDocument:
    """The sink will not take it: write why, if the lease is ours, for people to look at; then call `kept`."""

    document: Document
    why: str
    lease: Lease


@dataclass(frozen=True, slots=True)
class Wait:
    """Call `begin` again after so many milliseconds."""

    ms: int


@dataclass(frozen=True, slots=True)
class StaleFence:
    """Under a fence that was given from outside, and is not above `highest`: stop, and tell who gave it."""

    highest: int


@dataclass(frozen=True, slots=True)
class Finish:
    """Nothing is left to push."""


Action = AcquireLease | PushDocument | StoreReceipt | ParkDocument | Wait | StaleFence | Finish


@dataclass
class Exporter:
    """One run of an exporter. All that has to last is in the store; this may be lost at any step."""

    holder: str
    lease: Lease | None = None
    failures: int = 0
    pending: list[Document] = field(default_factory=list)
    fence: int | None = (
        None  # of a holding of the fleet's: then nobody else may push, and no lease is waited for
    )

    def start_round(self, now: int, lease: Lease | None, left: list[Document]) -> Action:
        """`lease`: the one in the store; `left`: documents with neither receipt nor reason, in order."""
        self.pending = list(left)
        if not left:
            return Finish()
        if self.fence is not None:
            return self._begin_held(now, lease, self.fence)
        mine = self.lease is not None and lease == self.lease
        if mine and lease is not None and now < lease.until - RENEW_MS:
            return self._push()
        if lease is not None and not mine and now < lease.until:
            return Wait(lease.until - now)
        # Danger: its own lease that ran out may have been followed by another's, whose fence is higher; a new
        # one always has a new fence, also for the same holder.
        self.lease = None
        fence = lease.fence + 1 if lease else 1
        return AcquireLease(Lease(self.holder, fence, now + LEASE_DURATION_MS), lease)

    def _begin_held(self, now: int, lease: Lease | None, fence: int) -> Action:
        """Danger: a lease of the time before the fleet may still run. Its fence is lower, and the sink
        refuses it."""
        if lease is not None and lease.fence > fence:
            return StaleFence(lease.fence)
        if lease is not None and (lease.holder, lease.fence) == (self.holder, fence):
            self.lease = lease
            return self._push()
        return AcquireLease(Lease(self.holder, fence, now + LEASE_DURATION_MS), lease)

    def on_lease_result(self, taken: Lease | None, left: list[Document]) -> Action:
        """The lease that was written, None if another exporter was first; and what is left since then.

        Danger: between `begin` and the write the one before may have kept a receipt under its old lease. What
        is left is read again under the new one, under which nobody else can.
        """
        self.lease, self.pending = taken, list(left)
        if not left:
            return Finish()
        return self._push() if taken else Wait(FIRST_WAIT_MS)

    def on_response(
        self, status: int | None, receipt: Receipt | None, why: str = "", highest: int = 0
    ) -> Action:
        """The sink's answer to the push that is out; `highest`: the fence that it says it has seen."""
        document, verdict = self.pending[0], classify_status(status)
        assert self.lease is not None
        if verdict is ResponseClass.APPLIED:
            # Danger: a sink that took half of it, or that answers for something else, has not applied it.
            if receipt is not None and (receipt.key, receipt.digest) == (document.key, document.digest):
                self.failures = 0
                return StoreReceipt(document, receipt, self.lease)
            verdict = ResponseClass.LATER
        if verdict is ResponseClass.REFUSED:
            return ParkDocument(document, why or f"the sink answered {status}", self.lease)
        if verdict is ResponseClass.STALE:
            self.lease = None  # somebody else pushes
            return StaleFence(max(highest, self.fence)) if self.fence is not None else Wait(LEASE_DURATION_MS)
        self.failures += 1
        return Wait(min(LONGEST_WAIT_MS, FIRST_WAIT_MS * 2 ** min(self.failures - 1, 20)))

    def on_write_result(self, written: bool) -> Action:
        """Whether the receipt, or why it is parked, was written under our lease."""
        if not written:
            self.lease = None
            return Wait(LEASE_DURATION_MS)
        del self.pending[0]
        return self._push() if self.pending else Finish()

    def _push(self) -> Action:
        assert self.lease is not None
        return PushDocument(self.pending[0], self.lease.fence)
