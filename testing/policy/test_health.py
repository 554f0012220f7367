"""Tests of the ejection and probing of runners."""

from wisteriawall.policy import health as health_lib


def _record_failure(health, runner, request_id, *, sent_ms, now_ms, runners=4):
    health.failed(
        runner, request_id, sent_ms=sent_ms, now_ms=now_ms, runners=runners
    )


def _health_with_ejected_runner():
    health = health_lib.Health()
    for i in range(3):
        _record_failure(health, "a", f"r{i}", sent_ms=0, now_ms=10)
    assert health.state_of("a") is health_lib.State.EJECTED
    return health


def test_success_between_failures_prevents_ejection():
    health = health_lib.Health()
    for i in range(10):
        _record_failure(health, "a", f"r{i}", sent_ms=0, now_ms=i)
        health.succeeded("a", f"s{i}")
    assert health.may_send("a", now_ms=20)


def test_ejected_runner_gets_one_probe_at_a_time():
    health = _health_with_ejected_runner()
    assert not health.may_send("a", now_ms=1_009)
    for number in range(3):
        assert health.may_send("a", now_ms=1_010)
        health.dispatched("a", f"p{number}")
        assert not health.may_send("a", now_ms=1_010)
        health.succeeded("a", f"p{number}")
    assert health.state_of("a") is health_lib.State.HEALTHY


def test_failed_probe_doubles_the_ejection():
    health = _health_with_ejected_runner()
    assert health.may_send("a", now_ms=1_010)
    health.dispatched("a", "p")
    _record_failure(health, "a", "p", sent_ms=1_010, now_ms=1_100)
    assert not health.may_send("a", now_ms=3_099)
    assert health.may_send("a", now_ms=3_100)


def test_attempts_sent_before_the_ejection_do_not_change_the_state():
    health = _health_with_ejected_runner()
    health.succeeded("a", "sent before")
    _record_failure(health, "a", "also before", sent_ms=0, now_ms=500)
    assert health.state_of("a") is health_lib.State.EJECTED
    assert health.may_send("a", now_ms=1_010)
    health.dispatched("a", "p")
    for number in range(3):
        health.succeeded("a", f"old{number}")
    assert not health.may_send("a", now_ms=1_010)
    _record_failure(health, "a", "still before", sent_ms=5, now_ms=1_020)
    assert health.state_of("a") is health_lib.State.PROBING


def test_at_most_half_of_the_runners_are_ejected():
    health = health_lib.Health()
    for runner in "abcd":
        for i in range(9):
            _record_failure(
                health, runner, f"{runner}{i}", sent_ms=0, now_ms=10
            )
    available = [r for r in "abcd" if health.may_send(r, now_ms=11)]
    assert len(available) == 2
