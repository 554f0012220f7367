"""Tests of the VM list's reader with a list on raw sockets."""

import queue

import pytest
from support import stuttering_server

from wisteriawall.control import membership
from wisteriawall.control import vm_list

WAIT_S = 20.0
LIST = stuttering_server.answer_bytes(b'[{"vm": "v1", "state": "leaving"}]')
EMPTY = stuttering_server.answer_bytes(b"[]")


@pytest.mark.parametrize(
    "answer_bytes",
    [
        pytest.param(b"HTTP/1.1 OK 200\r\n\r\n", id="bad-status-line"),
        pytest.param(
            stuttering_server.answer_bytes(b"[]", status="503 Busy"),
            id="error-with-a-list",
        ),
        pytest.param(
            stuttering_server.answer_bytes(b"[" * 100_000), id="deep-json"
        ),
        pytest.param(
            stuttering_server.answer_bytes(
                b"", "Location: http://[", status="302 Found"
            ),
            id="bad-location",
        ),
    ],
)
def test_bad_answer_is_skipped_and_the_next_one_is_read(
    monkeypatch: pytest.MonkeyPatch, answer_bytes: bytes
) -> None:
    monkeypatch.setattr(vm_list, "POLL_INTERVAL_S", 0.01)
    answers = [answer_bytes, answer_bytes, LIST]
    server = stuttering_server.StutteringServer(
        lambda _: answers.pop(0) if len(answers) > 1 else answers[0]
    )
    server.closes_after_answer = True
    delivered: queue.SimpleQueue[vm_list.VmStateByName] = queue.SimpleQueue()
    reader = vm_list.VmListReader(
        url=f"http://{server.address}/vms", deliver=delivered.put
    )
    reader.start()
    assert delivered.get(timeout=WAIT_S) == {"v1": membership.VmState.LEAVING}
    reader.stop()
    server.close()


def test_late_list_does_not_hide_a_newer_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(vm_list, "POLL_INTERVAL_S", 0.01)
    answers = [EMPTY, LIST]
    server = stuttering_server.StutteringServer(
        lambda _: answers.pop(0) if len(answers) > 1 else answers[0]
    )
    server.stutter = lambda previous: previous
    delivered: queue.SimpleQueue[vm_list.VmStateByName] = queue.SimpleQueue()
    reader = vm_list.VmListReader(
        url=f"http://{server.address}/vms", deliver=delivered.put
    )
    reader.start()
    lists = [delivered.get(timeout=WAIT_S) for _ in range(3)]
    reader.stop()
    server.close()
    assert [len(states) for states in lists] == [0, 1, 1]
