"""Late load reports corrected with own dispatches."""

import hypothesis
from hypothesis import strategies as st

from wisteriawall.policy import load_view
from wisteriawall.wire import fleet


def _report(sequence, tokens=0, streams=0):
    return fleet.LoadReport("runner", 1, sequence, tokens, streams, 10)


def test_own_dispatches_outlive_a_report_that_does_not_know_them():
    view = load_view.LoadView()
    view.dispatched("r1", runner="runner", prefill_tokens=500, now_ms=10)
    assert view.report(_report(1), now_ms=20)
    assert view.waiting_tokens("runner") == 500
    view.started("r1")
    assert view.waiting_tokens("runner") == 0
    assert view.streams("runner") == 1


def test_an_older_report_changes_nothing():
    view = load_view.LoadView()
    assert view.report(_report(5, tokens=70), now_ms=10)
    assert not view.report(_report(4, tokens=9_000), now_ms=20)
    assert view.waiting_tokens("runner") == 70


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["send", "start", "finish", "report"]),
        st.integers(0, 5),
    ),
    max_size=60,
)


@hypothesis.given(EVENTS)
def test_load_is_never_below_own_work_and_returns_to_zero(events):
    view = load_view.LoadView()
    tokens_by_id: dict[str, int] = {}
    streams = set()
    for now_ms, (event, number) in enumerate(events):
        name = f"r{number}"
        match event:
            case "send":
                view.dispatched(
                    name, runner="runner", prefill_tokens=100, now_ms=now_ms
                )
                tokens_by_id[name] = 100
                streams.add(name)
            case "start":
                view.started(name)
                tokens_by_id.pop(name, None)
            case "finish":
                view.finished(name)
                tokens_by_id.pop(name, None)
                streams.discard(name)
            case _:
                view.report(_report(now_ms), now_ms=now_ms)
        assert view.waiting_tokens("runner") >= sum(tokens_by_id.values())
        assert view.own_streams("runner") == len(streams)
    for name in streams:
        view.finished(name)
    view.report(_report(1_000), now_ms=1_000)
    assert view.waiting_tokens("runner") == view.streams("runner") == 0
