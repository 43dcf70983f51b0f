"""Before it is known whose a connection is, it gets nothing but a way in."""

from __future__ import annotations

import hiredis
import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpulley.tenants.authentication import MOST_WRONG, Door, Said
from roadpulley.tenants.credentials import authenticate, first

CREDENTIALS, SECRET = first()
OTHER, OTHER_SECRET = first()
KNOWN = {"firm": CREDENTIALS, "other": OTHER}


def door() -> Door:
    return Door(lambda name, secret: authenticate(KNOWN, name, secret, 0.0), "1.2")


def say(at: Door, *words: str) -> object:
    """The answer as a client library reads it; None where the gateway behind the door answers."""
    said = at.hear([word.encode("utf-8", "surrogateescape") for word in words])
    return None if said is None else read(said)


def read(said: Said) -> object:
    reader = hiredis.Reader()
    reader.feed(said.answer)
    got = reader.gets()
    assert reader.gets() is False, "more than one answer"
    return got


def test_a_stranger_is_let_ping_and_quit_and_nothing_else() -> None:
    at = door()
    assert say(at, "PING") == b"PONG" and say(at, "ping", "x\r\ny") == b"x\r\ny"
    for words in (
        ("API.READ", "a", "b", "c"),
        ("GET", "x"),
        ("CLIENT", "SETNAME", "x"),
        ("",),
        ("SELECT", "0"),
    ):
        assert str(say(at, *words)).startswith("NOAUTH")
    assert at.hear([]) == at.hear([b"GET"])
    said = at.hear([b"QUIT"])
    assert said is not None and said.close and read(said) == b"OK" and at.tenant is None


def test_auth_opens_it_and_what_follows_is_the_gateway_s() -> None:
    at = door()
    assert say(at, "AUTH", "firm", SECRET) == b"OK" and at.tenant == "firm"
    assert say(at, "API.READ", "a", "b", "c") is None
    assert say(at, "AUTH", "firm", SECRET) == b"OK"
    assert "another tenant's" in str(say(at, "AUTH", "other", OTHER_SECRET)) and at.tenant == "firm"


def test_hello_opens_it_too_and_says_what_a_client_library_asks_for() -> None:
    at = door()
    assert str(say(at, "HELLO", "2")).startswith("NOAUTH HELLO must be called")
    assert str(say(at, "HELLO", "3", "AUTH", "firm", SECRET)).startswith("NOPROTO") and at.tenant is None
    got = say(at, "hello", "2", "auth", "firm", SECRET, "SETNAME", "me")
    assert isinstance(got, list)
    assert dict(zip(got[::2], got[1::2], strict=True))[b"proto"] == 2 and at.tenant == "firm"
    assert isinstance(say(at, "HELLO"), list)


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
    at = door()
    assert str(say(at, *words)) == answer and at.tenant is None


def test_wrong_secrets_end_the_connection_and_shut_nobody_out() -> None:
    for wrong in (
        ("AUTH", "firm", "x"),
        ("AUTH", "nobody", SECRET),
        ("HELLO", "2", "AUTH", "firm", OTHER_SECRET),
    ):
        at = door()
        closes = [said.close for _ in range(MOST_WRONG) if (said := at.hear([w.encode() for w in wrong]))]
        assert closes == [False] * (MOST_WRONG - 1) + [True] and at.tenant is None
    assert say(door(), "AUTH", "firm", SECRET) == b"OK"  # whoever guessed, the tenant itself still comes in


@given(st.lists(st.binary(max_size=40), max_size=6))
def test_nothing_that_is_said_opens_it_or_breaks_the_protocol(args: list[bytes]) -> None:
    for verb in ([], [b"AUTH"], [b"HELLO", b"2"], [b"HELLO", b"2", b"AUTH"], [b"PING"]):
        at = door()
        said = at.hear([*verb, *args])
        assert said is not None and at.tenant is None
        read(said)
