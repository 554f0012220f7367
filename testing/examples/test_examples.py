"""Tests of the configurations in examples/."""

import pathlib

import pytest

from wisteriawall.config import document
from wisteriawall.config import patch

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


@pytest.mark.parametrize(
    ("file_name", "runners_by_service"),
    [
        pytest.param(
            "ritrattini.json", {"briefs": 5, "shop": 3}, id="ritrattini"
        ),
        pytest.param(
            "obiectiv.json", {"juror": 9, "competition": 3}, id="obiectiv"
        ),
    ],
)
def test_example_is_valid_with_each_service_in_every_zone(
    file_name: str, runners_by_service: dict[str, int]
) -> None:
    document_with_example = patch.apply_patch(
        current=document.empty(), change=(EXAMPLES / file_name).read_bytes()
    )
    for service, runner_count in runners_by_service.items():
        runners = [
            runner
            for runner in document_with_example.runners.values()
            if runner.service == service
        ]
        assert len(runners) == runner_count
        assert {runner.zone for runner in runners} == {
            runner.zone for runner in document_with_example.runners.values()
        }
