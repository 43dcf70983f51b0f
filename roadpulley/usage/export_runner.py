"""Runs the exporter: leases, receipts and reasons in the store, documents to the sink over HTTP.

use/lease            {"holder", "fence", "until"}
use/receipt/NAME     {"key", "digest", "fence", "at"}: the sink has applied it
use/parked/NAME      {"why", "fence", "at"}: the sink has rejected it; an operator has to look at it

PUT {url}/{name}.csv            Idempotency-Key, Fence, Content-Digest (RFC 9530), Content-Type text/csv
200 {"key": ..., "digest": ...}           what the sink has applied under that key: hexadecimal SHA-256
409, Fence: 12                            the sink has received a higher fence: this one
"""

from __future__ import annotations

import base64
import json
import logging
from collections.abc import Callable
from dataclasses import asdict, dataclass
from hashlib import sha256

import httpx

from roadpulley.fences import StaleFenceError
from roadpulley.store import ConflictError, Write

from .exporter import (
    AcquireLease,
    Action,
    Document,
    Exporter,
    Finish,
    Lease,
    ParkDocument,
    PushDocument,
    Receipt,
    StaleFence,
    StoreReceipt,
    Wait,
)
from .ledger import UsageLedger
from .periods import BillingPeriods, encode_csv

log = logging.getLogger(__name__)

LEASE_KEY = b"use/lease"
MAX_RESPONSE_BYTES = 64 * 1024  # parsed as a receipt
FENCE_DIGITS_LIMIT = 17  # a fence in an answer with this many digits or more is ignored
MAX_REASON_CHARS = 200  # of a rejection, which are stored


@dataclass
class ExportResult:
    """Counts of documents: pushed and parked in this run, and remaining after it."""

    pushed: int = 0
    parked: int = 0
    remaining: int = 0


class ExportRunner:
    """Does the actions of an `Exporter`. `sleep` waits for milliseconds and returns whether to continue."""

    def __init__(
        self,
        ledger: UsageLedger,
        client: httpx.Client,
        holder: str,
        now: Callable[[], int],
        sleep: Callable[[int], bool],
        fence: int | None = None,
        is_still_held: Callable[[], bool] = lambda: True,
    ) -> None:
        """`fence` is that of a held duty. `is_still_held` is called before each push."""
        self.ledger, self.store, self.client, self.now, self.sleep = ledger, ledger.store, client, now, sleep
        self.exporter, self.is_still_held = Exporter(holder, fence=fence), is_still_held
        self.result = ExportResult()
        self.files: dict[str, tuple[Document, bytes]] = {}

    def run(self) -> ExportResult:
        """Runs until all is pushed or parked, `sleep` returns False, or the duty is no longer held.

        Raises ValidationError, StoreError, StaleFenceError.
        """
        self.files = self.load_documents()  # sealed, and unchanged while this process has the store open
        action: Action = self._begin()
        while not isinstance(action, Finish):
            if isinstance(action, Wait):
                if not self.sleep(action.delay_ms):
                    break
                action = self._begin()
            elif isinstance(action, StaleFence):
                raise StaleFenceError(action.highest_fence)
            elif isinstance(action, PushDocument) and not self.is_still_held():
                break
            else:
                action = self._do(action)
        self.result.remaining = len(self.list_remaining())
        return self.result

    # ---- reads of the store ----

    def load_documents(self) -> dict[str, tuple[Document, bytes]]:
        """Returns all sealed files with their bytes by name, in the order of their periods."""
        documents: dict[str, tuple[Document, bytes]] = {}
        periods = BillingPeriods(self.ledger)
        for period in periods.list_all():
            files = [(period.name, encode_csv(periods.read_lines(period)))]
            files += [
                (f"{period.name}.adjustment-{adjustment.number}", encode_csv(adjustment.lines))
                for adjustment in periods.list_adjustments(period)
            ]
            for name, data in files:
                documents[name] = Document(name, sha256(data).hexdigest()), data
        return documents

    def list_remaining(self) -> list[Document]:
        """Returns the documents that have no receipt and are not parked."""
        prefixes = (b"use/receipt/", b"use/parked/")
        return [
            document
            for name, (document, _) in self.files.items()
            if not any(self.store.get(prefix + name.encode()) for prefix in prefixes)
        ]

    def read_lease(self) -> tuple[Lease | None, int]:
        """Returns the lease in the store and the version of its record, 0 if there is none."""
        record = self.store.entry(LEASE_KEY)
        return (Lease(**json.loads(record.value)), record.version) if record else (None, 0)

    # ---- actions ----

    def _begin(self) -> Action:
        return self.exporter.start_round(self.now(), self.read_lease()[0], self.list_remaining())

    def _do(self, action: Action) -> Action:
        match action:
            case AcquireLease(lease, expected):
                current, version = self.read_lease()
                was_acquired = current == expected and self._write(
                    Write(LEASE_KEY, encode_json(asdict(lease)), expect=version)
                )
                return self.exporter.on_lease_result(lease if was_acquired else None, self.list_remaining())
            case PushDocument(document, fence):
                return self.exporter.on_response(*self._push(document, fence))
            case StoreReceipt(document, receipt, lease):
                value = {**asdict(receipt), "fence": lease.fence, "at": self.now()}
                was_written = self._write_under_lease(lease, b"use/receipt/" + document.name.encode(), value)
                self.result.pushed += was_written
                return self.exporter.on_write_result(was_written)
            case ParkDocument(document, reason, lease):
                log.error("%s is parked: %s", document.name, reason)
                value = {"why": reason, "fence": lease.fence, "at": self.now()}
                was_written = self._write_under_lease(lease, b"use/parked/" + document.name.encode(), value)
                self.result.parked += was_written
                return self.exporter.on_write_result(was_written)
            case _:
                raise AssertionError(action)

    def _write_under_lease(self, lease: Lease, key: bytes, value: object) -> bool:
        """Writes in one batch with the lease, which fails if another exporter has replaced the lease."""
        current, version = self.read_lease()
        lease_write = Write(LEASE_KEY, encode_json(asdict(lease)), expect=version)
        return current == lease and self._write(lease_write, Write(key, encode_json(value), expect=0))

    def _write(self, *writes: Write) -> bool:
        try:
            self.store.batch(writes)
        except ConflictError:
            return False
        return True

    def _push(self, document: Document, fence: int) -> tuple[int | None, Receipt | None, str, int]:
        data = self.files[document.name][1]
        digest = base64.b64encode(bytes.fromhex(document.digest)).decode()
        headers = {
            "Idempotency-Key": f'"{document.key}"',
            "Fence": str(fence),
            "Content-Digest": f"sha-256=:{digest}:",
            "Content-Type": "text/csv; charset=utf-8",
        }
        try:
            answer = self.client.put(f"/{document.name}.csv", content=data, headers=headers)
        except httpx.HTTPError as error:
            log.warning("%s: %s", document.name, error)
            return None, None, str(error), 0
        fence_text = answer.headers.get("Fence", "")
        highest_fence = (
            int(fence_text) if fence_text.isdecimal() and len(fence_text) < FENCE_DIGITS_LIMIT else 0
        )
        return (
            answer.status_code,
            parse_receipt(answer.content),
            answer.text[:MAX_REASON_CHARS],
            highest_fence,
        )


def parse_receipt(data: bytes) -> Receipt | None:
    """Returns None if `data` is not a receipt."""
    try:
        raw = json.loads(data[:MAX_RESPONSE_BYTES])
    except (ValueError, RecursionError):
        return None
    if not isinstance(raw, dict) or not all(isinstance(raw.get(k), str) for k in ("key", "digest")):
        return None
    return Receipt(raw["key"], raw["digest"])


def encode_json(value: object) -> bytes:
    """Returns compact JSON with sorted keys."""
    return json.dumps(value, separators=(",", ":"), sort_keys=True).encode()
