"""Before it is known whose a connection is, it gets nothing but a way in."""

from __future__ import annotations

import hiredis
import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpulley.tenants.authentication import MAX_FAILED_ATTEMPTS, ConnectionAuthenticator, Reply
from roadpulley.tenants.credentials import authenticate, create_credentials

CREDENTIALS, SECRET = create_credentials()
OTHER, OTHER_SECRET = create_credentials()
KNOWN = {"firm": CREDENTIALS, "other": OTHER}


def create_authenticator() -> ConnectionAuthenticator:
    return ConnectionAuthenticator(lambda name, secret: authenticate(KNOWN, name, secret, 0.0), "1.2")


def send_command(authenticator: ConnectionAuthenticator, *words: str) -> object:
    """The answer as a client library reads it; None where the gateway behind the door answers."""
    reply = authenticator.handle_command([word.encode("utf-8", "surrogateescape") for word in words])
    return None if reply is None else parse_reply(reply)


def parse_reply(reply: Reply) -> object:
    reader = hiredis.Reader()
    reader.feed(reply.content)
    parsed = reader.gets()
    assert reader.gets() is False, "more than one answer"
    return parsed


def test_a_stranger_is_let_ping_and_quit_and_nothing_else() -> None:
    authenticator = create_authenticator()
    assert (
        send_command(authenticator, "PING") == b"PONG"
        and send_command(authenticator, "ping", "x\r\ny") == b"x\r\ny"
    )
    for words in (
        ("API.READ", "a", "b", "c"),
        ("GET", "x"),
        ("CLIENT", "SETNAME", "x"),
        ("",),
        ("SELECT", "0"),
    ):
        assert str(send_command(authenticator, *words)).startswith("NOAUTH")
    assert authenticator.handle_command([]) == authenticator.handle_command([b"GET"])
    reply = authenticator.handle_command([b"QUIT"])
    assert reply is not None and reply.close and parse_reply(reply) == b"OK" and authenticator.tenant is None


def test_auth_opens_it_and_what_follows_is_the_gateway_s() -> None:
    authenticator = create_authenticator()
    assert send_command(authenticator, "AUTH", "firm", SECRET) == b"OK" and authenticator.tenant == "firm"
    assert send_command(authenticator, "API.READ", "a", "b", "c") is None
    assert send_command(authenticator, "AUTH", "firm", SECRET) == b"OK"
    assert (
        "another tenant's" in str(send_command(authenticator, "AUTH", "other", OTHER_SECRET))
        and authenticator.tenant == "firm"
    )


def test_hello_opens_it_too_and_says_what_a_client_library_asks_for() -> None:
    authenticator = create_authenticator()
    assert str(send_command(authenticator, "HELLO", "2")).startswith("NOAUTH HELLO must be called")
    assert (
        str(send_command(authenticator, "HELLO", "3", "AUTH", "firm", SECRET)).startswith("NOPROTO")
        and authenticator.tenant is None
    )
    parsed = send_command(authenticator, "hello", "2", "auth", "firm", SECRET, "SETNAME", "me")
    assert isinstance(parsed, list)
    assert dict(zip(parsed[::2], parsed[1::2], strict=True))[b"proto"] == 2 and authenticator.tenant == "firm"
    assert isinstance(send_command(authenticator, "HELLO"), list)


@pytest.mark.parametrize(
    ("words", "answer"),
    [
        (("AUTH", "firm"), "ERR wrong number of arguments for 'auth' command"),
        (("AUTH", "a", "b", "c"), "ERR wrong number of arguments for 'auth' command"),
        (("PING", "a", "b"), "ERR wrong number of arguments for 'ping' command"),
        (("HELLO", "2", "AUTH", "firm"), "ERR Syntax error in HELLO option 'AUTH'"),
        (("HELLO", "2", "a\r\n+OK\r\n"), "ERR Syntax error in HELLO option 'a??+OK??'"),
    ],
)
def test_what_is_said_wrongly_is_told(words: tuple[str, ...], answer: str) -> None:
    authenticator = create_authenticator()
    assert str(send_command(authenticator, *words)) == answer and authenticator.tenant is None


def test_wrong_secrets_end_the_connection_and_shut_nobody_out() -> None:
    for wrong in (
        ("AUTH", "firm", "x"),
        ("AUTH", "nobody", SECRET),
        ("HELLO", "2", "AUTH", "firm", OTHER_SECRET),
    ):
        authenticator = create_authenticator()
        closes = [
            reply.close
            for _ in range(MAX_FAILED_ATTEMPTS)
            if (reply := authenticator.handle_command([w.encode() for w in wrong]))
        ]
        assert closes == [False] * (MAX_FAILED_ATTEMPTS - 1) + [True] and authenticator.tenant is None
    assert (
        send_command(create_authenticator(), "AUTH", "firm", SECRET) == b"OK"
    )  # whoever guessed, the tenant itself still comes in


@given(st.lists(st.binary(max_size=40), max_size=6))
def test_nothing_that_is_said_opens_it_or_breaks_the_protocol(args: list[bytes]) -> None:
    for verb in ([], [b"AUTH"], [b"HELLO", b"2"], [b"HELLO", b"2", b"AUTH"], [b"PING"]):
        authenticator = create_authenticator()
        reply = authenticator.handle_command([*verb, *args])
        assert reply is not None and authenticator.tenant is None
        parse_reply(reply)
