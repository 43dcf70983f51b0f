"""A connection can only authenticate, ping and quit before its tenant is known."""

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
    """Return the reply as a client library parses it; None if the gateway has to answer."""
    reply = authenticator.handle_command([word.encode("utf-8", "surrogateescape") for word in words])
    return None if reply is None else parse_reply(reply)


def parse_reply(reply: Reply) -> object:
    reader = hiredis.Reader()
    reader.feed(reply.content)
    parsed = reader.gets()
    assert reader.gets() is False, "more than one answer"
    return parsed


def test_unauthenticated_connection_may_only_ping_and_quit() -> None:
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


def test_auth_succeeds_and_the_gateway_answers_later_commands() -> None:
    authenticator = create_authenticator()
    assert send_command(authenticator, "AUTH", "firm", SECRET) == b"OK" and authenticator.tenant == "firm"
    assert send_command(authenticator, "API.READ", "a", "b", "c") is None
    assert send_command(authenticator, "AUTH", "firm", SECRET) == b"OK"
    assert (
        "another tenant's" in str(send_command(authenticator, "AUTH", "other", OTHER_SECRET))
        and authenticator.tenant == "firm"
    )


def test_hello_authenticates_and_returns_server_properties() -> None:
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
def test_malformed_command_gets_an_error(words: tuple[str, ...], answer: str) -> None:
    authenticator = create_authenticator()
    assert str(send_command(authenticator, *words)) == answer and authenticator.tenant is None


def test_wrong_secrets_close_the_connection_and_lock_no_tenant_out() -> None:
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
    )  # the tenant itself can still authenticate


@given(st.lists(st.binary(max_size=40), max_size=6))
def test_arbitrary_arguments_neither_authenticate_nor_break_the_protocol(args: list[bytes]) -> None:
    for verb in ([], [b"AUTH"], [b"HELLO", b"2"], [b"HELLO", b"2", b"AUTH"], [b"PING"]):
        authenticator = create_authenticator()
        reply = authenticator.handle_command([*verb, *args])
        assert reply is not None and authenticator.tenant is None
        parse_reply(reply)
