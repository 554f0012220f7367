"""Tests of header fields that come in several lines."""

import io

import pytest

from wisteriawall.web import field_reader


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        pytest.param(
            [b"X-Parts: a:1", b"x-parts: b:2,c:3"],
            {b"X-Parts": b"a:1, b:2,c:3"},
            id="repeated",
        ),
        pytest.param(
            [b"X-Parts: a", b"X-Other: b", b"X-Parts: c"],
            {b"X-Parts": b"a, c", b"X-Other": b"b"},
            id="another-between",
        ),
        pytest.param(
            [b"Cookie: a=1", b"Cookie: b=2"],
            {b"Cookie": b"a=1; b=2"},
            id="cookies",
        ),
        pytest.param(
            [b"Accept: a", b"Accept: b", b"Accept: c"],
            {b"Accept": b"a, b, c"},
            id="three-lines",
        ),
        pytest.param(
            [b"X-Parts: a,", b" b", b"\tc"],
            {b"X-Parts": b"a, b c"},
            id="continued",
        ),
        pytest.param(
            [b"X-Parts: a", b"X-Parts: "], {b"X-Parts": b"a, "}, id="empty"
        ),
        pytest.param([b"X-Time: 1:2"], {b"X-Time": b"1:2"}, id="colon"),
        pytest.param([], {}, id="none"),
    ],
)
def test_no_line_of_a_repeated_field_is_dropped(
    lines: list[bytes], expected: dict[bytes, bytes]
) -> None:
    """A runner got a prompt without its first parts."""
    head = b"".join(line + b"\r\n" for line in [*lines, b""])
    assert field_reader.FieldReader()(io.BytesIO(head)) == expected


@pytest.mark.parametrize(
    "head",
    [
        pytest.param(b"Host: a\r\nHost: b\r\n\r\n", id="two-hosts"),
        pytest.param(b" a\r\n\r\n", id="continues-nothing"),
        pytest.param(b"Host\r\n\r\n", id="no-colon"),
        pytest.param(b"Host: a\n\r\n", id="line-feed"),
        pytest.param(b"Host: a\r\n", id="cut"),
    ],
)
def test_malformed_fields_are_rejected(head: bytes) -> None:
    with pytest.raises(ValueError, match=r"expected|continues"):
        field_reader.FieldReader()(io.BytesIO(head))
