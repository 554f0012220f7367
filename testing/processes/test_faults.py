"""Tests of killed and restarted processes, and of concurrent patches."""

from collections import Counter
import threading

import msgspec
from support import process_cluster
import urllib3


def test_entry_refuses_as_not_run_until_majority_is_back(
    cluster: process_cluster.ProcessCluster,
) -> None:
    cluster.start_all(engines=1, plains=1, entries=1)
    for name in process_cluster.REPLICAS[:2]:
        cluster.kill(name)
    answers: list[urllib3.BaseHTTPResponse] = []

    def is_refused() -> bool:
        answers.append(cluster.post_completion("e0", tokens=1))
        return answers[-1].status != 200

    process_cluster.wait_until(is_refused, "the lease to expire")
    refusal = msgspec.json.decode(answers[-1].data)
    assert refusal["run"] == "not_run"
    assert "Retry-After" in answers[-1].headers
    payment = cluster.post_payment("e0", "cut-off")
    assert msgspec.json.decode(payment.data)["run"] == "not_run"
    assert cluster.run_count("plain-0", "cut-off") == 0
    for name in process_cluster.REPLICAS[:2]:
        cluster.start_control(name)
    cluster.wait_until_ready("e0")

    def is_paid() -> bool:
        answer = cluster.post_payment("e0", "cut-off")
        if answer.status == 200:
            return True
        # The agent may not have renewed its own lease yet.
        assert msgspec.json.decode(answer.data)["run"] == "not_run"
        return False

    process_cluster.wait_until(is_paid, "the payment")
    assert cluster.run_count("plain-0", "cut-off") == 1


def test_one_of_concurrent_patches_wins_and_survives_restart(
    cluster: process_cluster.ProcessCluster,
) -> None:
    cluster.start_all(engines=1, plains=1, entries=0)
    statuses: Counter[int] = Counter()

    def race(number: int) -> None:
        change = {"services": {"model": {"deadline_ms": 1_000 + number}}}
        response = cluster.patch_configuration(
            1,
            change,
            patch_id=f"race-{number}",
            at=process_cluster.REPLICAS[number % 3],
        )
        statuses[response.status] += 1

    threads = [threading.Thread(target=race, args=(n,)) for n in range(9)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert statuses == {200: 1, 412: 8}
    expected = cluster.read_resource("/v1/config")
    for name in process_cluster.REPLICAS:
        cluster.kill(name)
    for name in process_cluster.REPLICAS:
        cluster.start_control(name)
    # A restarted replica answers 503 until it has received a message of the
    # new leader, which may take longer for one replica than for the others.
    for name in process_cluster.REPLICAS:
        process_cluster.wait_until(
            lambda at=name: cluster.is_answering("/v1/config", at=at),
            f"an answer of {name}",
        )
        assert cluster.read_resource("/v1/config", at=name) == expected


def test_payment_runs_at_most_once_when_agent_is_killed(
    cluster: process_cluster.ProcessCluster,
) -> None:
    cluster.start_all(engines=1, plains=2, entries=1)
    for number in range(6):
        key = f"pay-{number}"
        killer = threading.Thread(target=cluster.kill, args=("agent/plain-0",))
        killer.start()
        first_answer = cluster.post_payment("e0", key)
        killer.join()
        cluster.start_agent("plain-0")
        second_answer = cluster.post_payment("e0", key)
        runs = sum(cluster.run_count(f"plain-{n}", key) for n in range(2))
        assert runs <= 1
        if first_answer.status == 200:
            assert (second_answer.status, second_answer.data) == (
                200,
                first_answer.data,
            )
            assert runs == 1
        elif msgspec.json.decode(first_answer.data)["run"] == "not_run":
            assert runs == (1 if second_answer.status == 200 else 0)


class LoadGenerator:
    """Threads that send completions to entries while these are ready.

    `answer_count_by_entry` counts complete, correct answers. `failures` lists
    every other outcome, except refusals as not run and refused connections.
    """

    def __init__(
        self, cluster: process_cluster.ProcessCluster, entries: list[str]
    ) -> None:
        """Request the expected answer once; create one thread per entry."""
        self.answer_count_by_entry: Counter[str] = Counter()
        self.failures: list[str] = []
        self._cluster = cluster
        self._expected = _token_texts(
            cluster.post_completion(entries[0], tokens=60).data
        )
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(entry,))
            for entry in entries
        ]

    def start(self) -> None:
        """Start all threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop sending and wait for the answers in progress."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, entry: str) -> None:
        while not self._stopping.is_set():
            if not self._cluster.is_ready(entry):
                continue
            try:
                self._check_answer(
                    entry, self._cluster.post_completion(entry, tokens=60)
                )
            except urllib3.exceptions.HTTPError as error:
                self.failures.append(repr(error))

    def _check_answer(
        self, entry: str, answer: urllib3.BaseHTTPResponse
    ) -> None:
        if answer.status == 200 and _token_texts(answer.data) == self._expected:
            self.answer_count_by_entry[entry] += 1
        elif not _was_not_run(answer):
            self.failures.append(f"{answer.status}: {answer.data[-200:]!r}")


def test_rolling_restart_under_load_loses_no_answer(
    cluster: process_cluster.ProcessCluster,
) -> None:
    cluster.start_all(engines=3, plains=2, entries=2)
    load_generator = LoadGenerator(cluster, ["e0", "e1", "e0", "e1"])
    load_generator.start()
    for runner in ("model-0", "model-1", "model-2"):
        assert cluster.terminate(f"agent/{runner}") == 0
        cluster.start_agent(runner)
    for name in process_cluster.REPLICAS:
        assert cluster.terminate(name) == 0
        cluster.start_control(name)
    for entry in ("e0", "e1"):
        assert cluster.terminate(f"entry/{entry}") == 0
        cluster.start_entry(entry)
        cluster.wait_until_ready(entry)
    load_generator.stop()
    assert load_generator.failures == []
    assert (
        min(
            load_generator.answer_count_by_entry["e0"],
            load_generator.answer_count_by_entry["e1"],
        )
        > 0
    )


def _token_texts(data: bytes) -> list[str]:
    """Return the token texts of a streamed answer, none if it is incomplete."""
    events = data.split(b"\n\n")
    if events[-2:] != [b"data: [DONE]", b""]:
        return []
    chunks = (
        msgspec.json.decode(event.removeprefix(b"data: "))
        for event in events[:-2]
    )
    return [chunk["choices"][0]["text"] for chunk in chunks]


def _was_not_run(answer: urllib3.BaseHTTPResponse) -> bool:
    """Return whether the entry was down, or refused the request as not run."""
    if answer.status == 0:
        return True
    return bool(
        answer.status == 503
        and msgspec.json.decode(answer.data)["run"] == "not_run"
    )
