"""Fixtures for tests of the platform adapter."""

from collections.abc import Iterator
import pathlib

import pytest
from support import platform_site


@pytest.fixture
def site(tmp_path: pathlib.Path) -> Iterator[platform_site.Site]:
    """Return a running site without runners or a routing table."""
    running = platform_site.Site(tmp_path)
    yield running
    running.close()
