"""Tests of `wisteriawall.gateway.poll_log`."""

import pytest

from wisteriawall.gateway import poll_log
from wisteriawall.wire import control_client


def _step(replica: str, outcome: control_client.Outcome) -> control_client.Step:
    return control_client.Step(
        replica=replica, outcome=outcome, asked_ms=0, took_ms=600
    )


def _poll(
    began_ms: int,
    ms: int,
    replica: str = "c1",
    steps: tuple[control_client.Step, ...] = (),
) -> poll_log.Poll:
    return poll_log.Poll(
        replica=replica,
        steps=steps,
        began_ms=began_ms,
        ended_ms=began_ms + ms,
        table=7,
        table_age_ms=40,
    )


@pytest.mark.parametrize(
    ("second", "is_logged"),
    [
        pytest.param(_poll(350, 3), False, id="calm"),
        pytest.param(_poll(350, 1_200, ""), True, id="failed"),
        pytest.param(_poll(350, 600), True, id="slow"),
        pytest.param(_poll(1_350, 3), True, id="late"),
        pytest.param(_poll(350, 3, "c2"), True, id="another-replica"),
    ],
)
def test_poll_that_delays_a_table_is_logged(
    second: poll_log.Poll, is_logged: bool
) -> None:
    """Logs did not tell a poll that waited from one that found no leader."""
    log = poll_log.PollLog()
    assert log.note(_poll(0, 3)) is not None
    assert (log.note(second) is not None) is is_logged


def test_line_of_a_poll_names_each_replica_that_was_asked() -> None:
    line = poll_log.PollLog().note(
        _poll(
            0,
            1_200,
            "",
            (
                _step("c1", control_client.Outcome.NO_ANSWER),
                control_client.Step(
                    replica="c2",
                    outcome=control_client.Outcome.REDIRECTED,
                    asked_ms=600,
                    took_ms=2,
                    redirect="c1",
                ),
            ),
        )
    )
    assert line is not None
    assert line.inputs == {
        "replica": "",
        "ms": 1_200,
        "since_last_ms": 0,
        "table": 7,
        "table_age_ms": 40,
        "asked": [
            {
                "replica": "c1",
                "outcome": "no-answer",
                "asked_ms": 0,
                "ms": 600,
            },
            {
                "replica": "c2",
                "outcome": "redirected",
                "asked_ms": 600,
                "ms": 2,
                "redirect": "c1",
            },
        ],
        "more_asked": 0,
        "unlogged": 0,
    }


def test_polls_that_keep_failing_do_not_flood_the_log() -> None:
    steps = 100 * (_step("c1", control_client.Outcome.NO_ANSWER),)
    log = poll_log.PollLog()
    lines = [
        line
        for number in range(50)
        if (line := log.note(_poll(number * 100, 90, "", steps))) is not None
    ]
    assert len(lines) == 5
    assert lines[-1].inputs["unlogged"] == 9
    assert all(len(line.inputs["asked"]) == 12 for line in lines)  # type: ignore[arg-type]
