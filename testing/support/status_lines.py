"""Status lines of servers, and whether they are well-formed.

A status is three ASCII digits from 100 to 599. Clients must not be handed
600 to 999, which RFC 9110 calls invalid, and 101 needs an upgrade that no
request here asks for.
"""

import pytest

__all__ = ["FINAL", "MALFORMED"]

MALFORMED = [
    pytest.param(line, id=repr(line)[2:-1])
    for line in (
        # Each of these is a number to `int`.
        b"HTTP/1.1 2_00 OK",
        b"HTTP/1.1 20_0 OK",
        b"HTTP/1.1 +200 OK",
        b"HTTP/1.1 0200 OK",
        b"HTTP/1.1 00200 OK",
        b"HTTP/1.1 +2_0_0 OK",
        b"HTTP/1.1 5_03 Busy",
        b"HTTP/1.1 1_00 Continue",
        b"HTTP/1.1 +103 Hints",
        # Separated by what is a space to `str.split` only.
        b"HTTP/1.1\xa0200\xa0OK",
        b"HTTP/1.1 200\x85OK",
        b"HTTP/1.1\x0b200 OK",
        b"HTTP/1.1\x1c200 OK",
        b"HTTP/1.1 200\x0cOK",
        b"HTTP/1.1 101 Switching Protocols",
        b"HTTP/1.1 600 Six",
        b"HTTP/1.1 999 Last",
        # A version that is none.
        b"HTTP/1.x 200 OK",
        b"HTTP/1. 200 OK",
        b"HTTP/0.9 200 OK",
        # These were refused before.
        b"HTTP/1.1 000 Zero",
        b"HTTP/1.1 0 Zero",
        b"HTTP/1.1 099 Low",
        b"HTTP/1.1 1000 High",
        b"HTTP/1.1 -200 OK",
        b"HTTP/1.1 20 OK",
        b"HTTP/1.1 2000 OK",
        b"HTTP/1.1 2e2 OK",
        b"HTTP/1.1 0xc8 OK",
        b"HTTP/1.1 200. OK",
        b"HTTP/1.1 \xb2\xb2\xb2 OK",
        b"HTTP/1.1 ",
        b"HTTP/1.1",
    )
]
FINAL = [
    pytest.param(line, status, id=repr(line)[2:-1])
    for line, status in (
        (b"HTTP/1.1 200 OK", 200),
        (b"HTTP/1.0 200 OK", 200),
        (b"HTTP/1.1 200", 200),
        (b"HTTP/1.1 200 ", 200),
        (b"HTTP/1.1  200  Two spaces", 200),
        (b"HTTP/1.1\t200\tTab", 200),
        (b"HTTP/1.1 299 Unnamed", 299),
        (b"HTTP/1.1 404 \xa0caf\xe9", 404),
        (b"HTTP/1.1 599 Last", 599),
    )
]
