"""Authentication of a connection: AUTH, HELLO, PING and QUIT. Pure; one instance per connection.

Replies have the form and the error texts of Redis (RESP2), so that its client libraries recognise them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

# Per connection, which is then closed. With a limit per tenant, anybody could lock a tenant out.
MAX_FAILED_ATTEMPTS = 3
WRONG_ARITY_ERROR = b"-ERR wrong number of arguments for '%b' command\r\n"
NOAUTH_ERROR = b"-NOAUTH Authentication required.\r\n"
HELLO_NOAUTH_ERROR = (
    b"-NOAUTH HELLO must be called with the client already authenticated, otherwise the HELLO <proto> AUTH "
    b"<user> <pass> option can be used to authenticate the client at the same time.\r\n"
)
WRONGPASS_ERROR = b"-WRONGPASS invalid username-password pair or user is disabled.\r\n"
NOPROTO_ERROR = b"-NOPROTO unsupported protocol version\r\n"
OTHER_TENANT_ERROR = b"-ERR this connection is another tenant's: open a new one\r\n"
OK_REPLY = b"+OK\r\n"
PONG_REPLY = b"+PONG\r\n"


@dataclass(frozen=True)
class Reply:
    """Reply to one command, and whether the connection is closed after it."""

    content: bytes
    close: bool = False


class ConnectionAuthenticator:
    """Authenticates one connection as that of a tenant.

    `verify` returns whether a secret is valid for the name of a tenant that is not suspended.
    """

    def __init__(self, verify: Callable[[str, str], bool], version: str = "") -> None:
        self.verify, self.version = verify, version
        self.tenant: str | None = None  # None until the connection is authenticated
        self.failed_attempts = 0

    def handle_command(self, args: list[bytes]) -> Reply | None:
        """Return the reply to a command.

        Returns None for a command of an authenticated connection that the gateway has to answer.
        """
        command = args[0].upper() if args else b""
        if command == b"QUIT":
            return Reply(OK_REPLY, close=True)
        if command == b"PING":
            return self._handle_ping(args)
        if command == b"AUTH":
            return self._handle_auth(args[1:])
        if command == b"HELLO":
            return self._handle_hello(args[1:])
        return None if self.tenant is not None else Reply(NOAUTH_ERROR)

    def _handle_ping(self, args: list[bytes]) -> Reply:
        if len(args) > 2:
            return Reply(WRONG_ARITY_ERROR % b"ping")
        return Reply(encode_bulk_string(args[1]) if len(args) == 2 else PONG_REPLY)

    def _handle_auth(self, args: list[bytes]) -> Reply:
        if len(args) != 2:
            return Reply(WRONG_ARITY_ERROR % b"auth")
        return self._authenticate(*args) or Reply(OK_REPLY)

    def _authenticate(self, name: bytes, secret: bytes) -> Reply | None:
        """Authenticate the connection; return the error, or None on success."""
        tenant = name.decode("utf-8", "surrogateescape")
        if not self.verify(tenant, secret.decode("utf-8", "surrogateescape")):
            self.failed_attempts += 1
            return Reply(WRONGPASS_ERROR, close=self.failed_attempts >= MAX_FAILED_ATTEMPTS)
        if self.tenant not in (None, tenant):
            # Open requests of the connection are counted for the first tenant. A change of tenant would
            # attribute them to the wrong one.
            return Reply(OTHER_TENANT_ERROR)
        self.tenant = tenant
        return None

    def _handle_hello(self, args: list[bytes]) -> Reply:
        if args and args[0] != b"2":
            return Reply(NOPROTO_ERROR)
        options = args[1:]
        while options:
            option = options[0].upper()
            if option == b"AUTH" and len(options) >= 3:
                if problem := self._authenticate(options[1], options[2]):
                    return problem
                options = options[3:]
            elif option == b"SETNAME" and len(options) >= 2:
                options = options[2:]
            else:
                return Reply(b"-ERR Syntax error in HELLO option '%b'\r\n" % replace_unprintable(options[0]))
        if self.tenant is None:
            return Reply(HELLO_NOAUTH_ERROR)
        fields: tuple[bytes | int, ...] = (b"server", b"roadpulley", b"version", self.version.encode())
        fields += (b"proto", 2, b"mode", b"standalone", b"role", b"master")
        items = b"".join(
            b":%d\r\n" % each if isinstance(each, int) else encode_bulk_string(each) for each in fields
        )
        return Reply(b"*%d\r\n" % len(fields) + items)


def encode_bulk_string(value: bytes) -> bytes:
    """Encode a RESP bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def replace_unprintable(raw: bytes) -> bytes:
    """Return at most 32 bytes that are safe in an error line.

    Line breaks from the client would otherwise add forged lines to the reply.
    """
    return bytes(c if 32 <= c < 127 else 63 for c in raw[:32])
