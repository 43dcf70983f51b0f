"""A billing sink for tests: applies each key once, and answers as it is told to."""

from __future__ import annotations

import hashlib
import json
import threading
import time
from collections import deque
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from types import TracebackType

from .server import LOCAL

# What may become of a push: applied and answered; refused before; applied and the answer lost; answered for
# half of it, and nothing applied; an answer that is none; late.
MOODS = ("well", "500", "lost", "half", "garbage", "late", "422")
LATE_S = 0.6


class Sink:
    """`applied`: by key, the name and bytes, in order; `moods`: of the next pushes, `well` after the last."""

    def __init__(self) -> None:
        self.applied: dict[str, tuple[str, bytes]] = {}
        self.moods: deque[str] = deque()
        self.fence, self.pushes, self.tokens = 0, 0, set[str]()
        self.fences: list[int] = []  # of each push that was looked into, in order
        self.lock = threading.Lock()
        sink = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_PUT(self) -> None:
                sink.take(self)

            def log_message(self, format: str, *args: object) -> None:
                return

        self.server = ThreadingHTTPServer((LOCAL, 0), Handler)
        self.server.daemon_threads = True
        self.url = f"http://{LOCAL}:{self.server.server_address[1]}"
        self.thread = threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True)

    def __enter__(self) -> Sink:
        self.thread.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, _: TracebackType | None
    ) -> None:
        self.server.shutdown()
        self.server.server_close()
        self.thread.join()

    def take(self, call: BaseHTTPRequestHandler) -> None:
        data = call.rfile.read(int(call.headers["Content-Length"]))
        key, fence = call.headers["Idempotency-Key"].strip('"'), int(call.headers["Fence"])
        with self.lock:
            self.pushes += 1
            self.tokens.add(call.headers.get("Authorization", ""))
            mood = self.moods.popleft() if self.moods else "well"
            if fence < self.fence:
                return self.answer(call, 409, b"a higher fence was seen", {"Fence": str(self.fence)})
            self.fence = fence
            self.fences.append(fence)
            if mood in ("500", "422"):
                return self.answer(call, int(mood), b"not now" if mood == "500" else b"no such customer")
            if mood == "half":
                return self.receipt(call, key, hashlib.sha256(data[: len(data) // 2]).hexdigest())
            digest = hashlib.sha256(self.applied.setdefault(key, (call.path, data))[1]).hexdigest()
        if mood == "lost":
            call.close_connection = True
            return None
        if mood == "garbage":
            return self.answer(call, 200, b"[1, 2")
        if mood == "late":
            time.sleep(LATE_S)
        return self.receipt(call, key, digest)

    def receipt(self, call: BaseHTTPRequestHandler, key: str, digest: str) -> None:
        self.answer(call, 200, json.dumps({"key": key, "digest": digest}).encode())

    def answer(
        self, call: BaseHTTPRequestHandler, status: int, body: bytes, headers: dict[str, str] | None = None
    ) -> None:
        try:
            call.send_response(status)
            for name, value in (headers or {}).items():
                call.send_header(name, value)
            call.send_header("Content-Length", str(len(body)))
            call.end_headers()
            call.wfile.write(body)
        except OSError:
            pass  # whoever asked has gone
