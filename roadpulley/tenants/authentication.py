"""What a connection may say before it is known whose it is: AUTH, HELLO, PING, QUIT. Pure; one a connection.

Forms and words of errors are Redis's (RESP2), so that its client libraries show them as what they are.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

MOST_WRONG = 3  # secrets of one connection; then it is closed. By name, a stranger could lock a tenant out
ARITY = b"-ERR wrong number of arguments for '%b' command\r\n"
NOAUTH = b"-NOAUTH Authentication required.\r\n"
HELLO_FIRST = (
    b"-NOAUTH HELLO must be called with the client already authenticated, otherwise the HELLO <proto> AUTH "
    b"<user> <pass> option can be used to authenticate the client at the same time.\r\n"
)
WRONG = b"-WRONGPASS invalid username-password pair or user is disabled.\r\n"
NOPROTO = b"-NOPROTO unsupported protocol version\r\n"
ANOTHER = b"-ERR this connection is another tenant's: open a new one\r\n"
OK, PONG = b"+OK\r\n", b"+PONG\r\n"


@dataclass(frozen=True)
class Said:
    """The answer to one command, and what follows from it."""

    answer: bytes
    close: bool = False


class Door:
    """`fits` says whether a tenant's name and secret belong together, and the tenant is not suspended."""

    def __init__(self, fits: Callable[[str, str], bool], version: str = "") -> None:
        self.fits, self.version = fits, version
        self.tenant: str | None = None  # whose the connection is
        self.wrong = 0

    def hear(self, args: list[bytes]) -> Said | None:
        """Answer a command; None, once it is a tenant's, for one that its gateway has to answer."""
        verb = args[0].upper() if args else b""
        if verb == b"QUIT":
            return Said(OK, close=True)
        if verb == b"PING":
            return self._ping(args)
        if verb == b"AUTH":
            return self._auth(args[1:])
        if verb == b"HELLO":
            return self._hello(args[1:])
        return None if self.tenant is not None else Said(NOAUTH)

    def _ping(self, args: list[bytes]) -> Said:
        if len(args) > 2:
            return Said(ARITY % b"ping")
        return Said(bulk(args[1]) if len(args) == 2 else PONG)

    def _auth(self, args: list[bytes]) -> Said:
        if len(args) != 2:
            return Said(ARITY % b"auth")
        return self._try(*args) or Said(OK)

    def _try(self, name: bytes, secret: bytes) -> Said | None:
        """What is wrong with a name and a secret; None if they fit."""
        tenant = name.decode("utf-8", "surrogateescape")
        if not self.fits(tenant, secret.decode("utf-8", "surrogateescape")):
            self.wrong += 1
            return Said(WRONG, close=self.wrong >= MOST_WRONG)
        if self.tenant not in (None, tenant):
            # Danger: what is open on the connection is counted for the first one.
            return Said(ANOTHER)
        self.tenant = tenant
        return None

    def _hello(self, args: list[bytes]) -> Said:
        if args and args[0] != b"2":
            return Said(NOPROTO)
        rest = args[1:]
        while rest:
            option = rest[0].upper()
            if option == b"AUTH" and len(rest) >= 3:
                if problem := self._try(rest[1], rest[2]):
                    return problem
                rest = rest[3:]
            elif option == b"SETNAME" and len(rest) >= 2:
                rest = rest[2:]
            else:
                return Said(b"-ERR Syntax error in HELLO option '%b'\r\n" % printable(rest[0]))
        if self.tenant is None:
            return Said(HELLO_FIRST)
        pairs: tuple[bytes | int, ...] = (b"server", b"roadpulley", b"version", self.version.encode())
        pairs += (b"proto", 2, b"mode", b"standalone", b"role", b"master")
        said = b"".join(b":%d\r\n" % each if isinstance(each, int) else bulk(each) for each in pairs)
        return Said(b"*%d\r\n" % len(pairs) + said)


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def printable(raw: bytes) -> bytes:
    """What may stand in an error line: a stranger must not write lines of his own into it."""
    return bytes(c if 32 <= c < 127 else 63 for c in raw[:32])
