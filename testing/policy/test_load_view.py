"""Tests of the correction of late load reports by own dispatches."""

import hypothesis
from hypothesis import strategies as st

from wisteriawall.policy import load_view
from wisteriawall.wire import fleet


def _report(sequence, tokens=0, streams=0):
    return fleet.LoadReport("runner", 1, sequence, tokens, streams, 10)


def test_report_does_not_hide_unreported_own_dispatches():
    view = load_view.LoadView()
    view.dispatched("r1", runner="runner", prefill_tokens=500, now_ms=10)
    assert view.apply_report(_report(1), now_ms=20)
    assert view.waiting_tokens("runner") == 500
    view.started("r1")
    assert view.waiting_tokens("runner") == 0
    assert view.streams("runner") == 1


def test_older_report_is_ignored():
    view = load_view.LoadView()
    assert view.apply_report(_report(5, tokens=70), now_ms=10)
    assert not view.apply_report(_report(4, tokens=9_000), now_ms=20)
    assert view.waiting_tokens("runner") == 70


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["send", "start", "finish", "report"]),
        st.integers(0, 5),
    ),
    max_size=60,
)


@hypothesis.given(EVENTS)
def test_load_is_never_below_own_dispatches_and_returns_to_zero(events):
    view = load_view.LoadView()
    unstarted_tokens_by_id: dict[str, int] = {}
    streams = set()
    for now_ms, (event, number) in enumerate(events):
        request_id = f"r{number}"
        match event:
            case "send":
                view.dispatched(
                    request_id,
                    runner="runner",
                    prefill_tokens=100,
                    now_ms=now_ms,
                )
                unstarted_tokens_by_id[request_id] = 100
                streams.add(request_id)
            case "start":
                view.started(request_id)
                unstarted_tokens_by_id.pop(request_id, None)
            case "finish":
                view.finished(request_id)
                unstarted_tokens_by_id.pop(request_id, None)
                streams.discard(request_id)
            case _:
                view.apply_report(_report(now_ms), now_ms=now_ms)
        assert view.waiting_tokens("runner") >= sum(
            unstarted_tokens_by_id.values()
        )
        assert view.own_streams("runner") == len(streams)
    for request_id in streams:
        view.finished(request_id)
    view.apply_report(_report(1_000), now_ms=1_000)
    assert view.waiting_tokens("runner") == view.streams("runner") == 0
