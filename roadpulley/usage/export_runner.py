"""The exporter's shell: leases, receipts and reasons in the store, documents to the sink over HTTP.

use/lease            {"holder", "fence", "until"}
use/receipt/NAME     {"key", "digest", "fence", "at"}: the sink has it
use/parked/NAME      {"why", "fence", "at"}: the sink will not take it; people look at it

PUT {url}/{name}.csv            Idempotency-Key, Fence, Content-Digest (RFC 9530), Content-Type text/csv
200 {"key": ..., "digest": ...}           what the sink has applied under that key: hexadecimal SHA-256
409, Fence: 12                            a higher fence has been seen: this one
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

LEASE = b"use/lease"
MOST_ANSWER = 64 * 1024  # bytes of an answer that are read
MOST_DIGITS = 17  # of a fence that is believed
WHY = 200  # characters of a refusal that are kept


@dataclass
class ExportResult:
    pushed: int = 0
    parked: int = 0
    remaining: int = 0


class ExportRunner:
    """`sleep` waits so many milliseconds and gives whether to go on."""

    def __init__(
        self,
        ledger: UsageLedger,
        client: httpx.Client,
        holder: str,
        now: Callable[[], int],
        sleep: Callable[[int], bool],
        fence: int | None = None,
        still_mine: Callable[[], bool] = lambda: True,
    ) -> None:
        """`fence`: of a duty that is held, which `still_mine` is asked about before each push."""
        self.ledger, self.store, self.client, self.now, self.sleep = ledger, ledger.store, client, now, sleep
        self.exporter, self.still_mine = Exporter(holder, fence=fence), still_mine
        self.result = ExportResult()
        self.files: dict[str, tuple[Document, bytes]] = {}

    def run(self) -> ExportResult:
        """Until all is pushed or parked, or `sleep` says to stop.

        Raises ValidationError, StoreError, StaleFenceError.
        """
        self.files = self.documents()  # sealed: they change no more while this has the store
        action: Action = self._begin()
        while not isinstance(action, Finish):
            if isinstance(action, Wait):
                if not self.sleep(action.ms):
                    break
                action = self._begin()
            elif isinstance(action, StaleFence):
                raise StaleFenceError(action.highest)
            elif isinstance(action, PushDocument) and not self.still_mine():
                break
            else:
                action = self._do(action)
        self.result.remaining = len(self.left())
        return self.result

    # ---- what is in the store ----

    def documents(self) -> dict[str, tuple[Document, bytes]]:
        """All sealed files, in the order of their periods."""
        found: dict[str, tuple[Document, bytes]] = {}
        periods = BillingPeriods(self.ledger)
        for period in periods.list_all():
            files = [(period.name, encode_csv(periods.read_lines(period)))]
            files += [
                (f"{period.name}.adjustment-{a.number}", encode_csv(a.lines))
                for a in periods.list_adjustments(period)
            ]
            for name, data in files:
                found[name] = Document(name, sha256(data).hexdigest()), data
        return found

    def left(self) -> list[Document]:
        ended = (b"use/receipt/", b"use/parked/")
        return [
            document
            for name, (document, _) in self.files.items()
            if not any(self.store.get(prefix + name.encode()) for prefix in ended)
        ]

    def lease(self) -> tuple[Lease | None, int]:
        """And the version of its record, 0 where there is none."""
        record = self.store.entry(LEASE)
        return (Lease(**json.loads(record.value)), record.version) if record else (None, 0)

    # ---- actions ----

    def _begin(self) -> Action:
        return self.exporter.start_round(self.now(), self.lease()[0], self.left())

    def _do(self, action: Action) -> Action:
        match action:
            case AcquireLease(lease, over):
                known, version = self.lease()
                taken = known == over and self._write(Write(LEASE, dump(asdict(lease)), expect=version))
                return self.exporter.on_lease_result(lease if taken else None, self.left())
            case PushDocument(document, fence):
                return self.exporter.on_response(*self._push(document, fence))
            case StoreReceipt(document, receipt, lease):
                value = {**asdict(receipt), "fence": lease.fence, "at": self.now()}
                kept = self._under(lease, b"use/receipt/" + document.name.encode(), value)
                self.result.pushed += kept
                return self.exporter.on_write_result(kept)
            case ParkDocument(document, why, lease):
                log.error("%s is parked: %s", document.name, why)
                value = {"why": why, "fence": lease.fence, "at": self.now()}
                kept = self._under(lease, b"use/parked/" + document.name.encode(), value)
                self.result.parked += kept
                return self.exporter.on_write_result(kept)
            case _:
                raise AssertionError(action)

    def _under(self, lease: Lease, key: bytes, value: object) -> bool:
        """Write under our lease: in one batch with it, which fails if it is another's by now."""
        known, version = self.lease()
        same = Write(LEASE, dump(asdict(lease)), expect=version)
        return known == lease and self._write(same, Write(key, dump(value), expect=0))

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
        seen = answer.headers.get("Fence", "")
        highest = int(seen) if seen.isdecimal() and len(seen) < MOST_DIGITS else 0
        return answer.status_code, parse_receipt(answer.content), answer.text[:WHY], highest


def parse_receipt(data: bytes) -> Receipt | None:
    """None for what is no receipt."""
    try:
        raw = json.loads(data[:MOST_ANSWER])
    except (ValueError, RecursionError):
        return None
    if not isinstance(raw, dict) or not all(isinstance(raw.get(k), str) for k in ("key", "digest")):
        return None
    return Receipt(raw["key"], raw["digest"])


def dump(value: object) -> bytes:
    return json.dumps(value, separators=(",", ":"), sort_keys=True).encode()
