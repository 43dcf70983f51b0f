"""Why a client's connection is closed, and what may be unanswered on it then.

Commands without a written reply, and replies that are not written whole, are unanswered at a close.

| reason         | unanswered at the close          | allowed by                                      |
| -------------- | -------------------------------- | ----------------------------------------------- |
| CLIENT_LEFT    | anything                         | "A client that closes its connection has gone"  |
| REPLIES_UNREAD | anything                         | the client itself: it takes nothing for 5 s (in |
|                |                                  | a stream 30 s), or for longest while memory is  |
|                |                                  | short                                           |
| VALUE_BROKEN   | that value, and the commands     | "may begin to pass on a value and then fail";   |
|                | behind it                        | for those behind see docs/QUESTIONS.md          |
| OVERDUE        | anything                         | nothing: a fault of this program, ended by the  |
|                |                                  | overdue watch                                   |
| ROOM_NEEDED    | nothing: the connection is idle  | -                                               |
| LINGER_ENDED   | nothing: all replies are written | -                                               |

A connection that drains, is idle, sent QUIT or malformed input, or lives to the end of the process writes
all its replies before a lingering close. The counts of the last two reasons are therefore always 0. Commands
stand behind a broken value only if they were read before it began and it came for the whole of its hold.
"""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """Why a connection is closed. Operators read the values, in the names of metrics."""

    CLIENT_LEFT = "client_left"
    REPLIES_UNREAD = "replies_unread"
    VALUE_BROKEN = "value_broken"
    OVERDUE = "overdue"
    ROOM_NEEDED = "room_needed"
    LINGER_ENDED = "linger_ended"
