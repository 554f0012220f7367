"""Fixtures for tests of the HTTP server on real sockets."""

from collections.abc import Iterator
import contextlib

import pytest
from support import http_harness


@pytest.fixture
def harness() -> Iterator[http_harness.Harness]:
    """Return a harness without servers."""
    with contextlib.ExitStack() as stack:
        yield http_harness.Harness(stack)
