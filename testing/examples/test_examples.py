"""Checks that the configurations in examples/ are valid."""

import pathlib

import pytest

from wisteriawall.config import document
from wisteriawall.config import patch

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


@pytest.mark.parametrize(
    ("name", "runners_by_service"),
    [
        pytest.param(
            "ritrattini.json", {"briefs": 5, "shop": 3}, id="ritrattini"
        ),
        pytest.param(
            "obiectiv.json", {"juror": 9, "competition": 3}, id="obiectiv"
        ),
    ],
)
def test_example_is_valid_and_of_its_users_size(
    name: str, runners_by_service: dict[str, int]
) -> None:
    result = patch.apply_patch(
        current=document.empty(), change=(EXAMPLES / name).read_bytes()
    )
    for service, count in runners_by_service.items():
        runners = [r for r in result.runners.values() if r.service == service]
        assert len(runners) == count
        assert {r.zone for r in runners} == {
            r.zone for r in result.runners.values()
        }
