"""Control calls of `roadpulley fleet` to an instance on this machine.

Each call is one line of JSON each way over a Unix stream socket.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

from roadpulley.checks import ValidationError

from .unix_socket import SocketPath

MAX_LINE_BYTES = 64 * 1024
ANSWER_TIMEOUT_S = 5.0
MAX_PATH_BYTES = 100  # the limit of Unix sockets is 107

# Called with the name of a call and its arguments; returns the answer.
CallHandler = Callable[[str, dict[str, Any]], dict[str, Any]]


class ControlServer:
    """Answers control calls on the socket `NAME.sock` in `folder`."""

    def __init__(self, folder: Path, name: str, handler: CallHandler) -> None:
        self.path, self.call_handler = folder / f"{name}.sock", handler
        self.server: asyncio.Server | None = None
        self.socket_path = SocketPath(self.path)

    async def open(self) -> None:
        """Listen, and take the path over from an older process of this name.

        Raises OSError, and ValidationError if the path is too long for a socket.
        """
        if len(os.fsencode(self.path)) > MAX_PATH_BYTES:
            raise ValidationError(
                "control", f"{self.path} is too long for a socket", f"give at most {MAX_PATH_BYTES} bytes"
            )
        self.socket_path.remove_existing()
        self.server = await asyncio.start_unix_server(self._serve, str(self.path), limit=MAX_LINE_BYTES)
        self.socket_path.record_ownership()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                request = json.loads(await reader.readline())
                call, args = request["call"], request.get("args", {})
                writer.write(json.dumps(self.call_handler(call, args)).encode() + b"\n")
                await writer.drain()
        except (ValueError, KeyError, TypeError, OSError, TimeoutError):
            pass  # a malformed or slow call gets no answer
        finally:
            writer.close()

    async def close(self) -> None:
        """Stop listening; remove the socket unless a newer process took its path over."""
        if self.server is not None:
            self.server.close()
            self.socket_path.remove_if_owned()


def call_agent(folder: Path, name: str, call: str, **args: Any) -> dict[str, Any]:
    """Send a call to an instance and return its answer.

    Raises ValidationError if the instance does not run on this machine, does not answer, or reports an error.
    """
    path = folder / f"{name}.sock"
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(ANSWER_TIMEOUT_S)
        try:
            sock.connect(str(path))
            sock.sendall(json.dumps({"call": call, "args": args}).encode() + b"\n")
            answer = json.loads(sock.makefile("rb").readline())
        except (OSError, ValueError) as error:
            remedy = "start it with `roadpulley fleet agent`, or name another instance with --name"
            raise ValidationError(str(path), f"no instance answers there ({error})", remedy) from error
    if "error" in answer:
        raise ValidationError(call, str(answer["error"]), "use a command of the same version")
    return dict(answer)


def list_instances(folder: Path) -> list[str]:
    """Names of the instances that may run on this machine."""
    return sorted(path.stem for path in folder.glob("*.sock"))
