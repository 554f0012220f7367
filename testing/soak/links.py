"""`python -m soak.links`: the links between processes of the system.

They run in a process of their own, since the threads of callers and runners
would make the proxy's thread late. It reads the links from standard input, then
the cuts, and ends with it.
"""

import json
import os
import subprocess
import sys
from typing import Any
from typing import final

from soak import proxy as proxy_lib
from soak import records


@final
class Links:
    """Relays connections between the machines of a soak.

    Args:
        bytes_s: Bytes a second that fit through the link of each machine, 0
            for no limit.
        machine_by_source: Machines by the host from which their connections
            leave.
    """

    def __init__(
        self, bytes_s: int, machine_by_source: dict[str, str] | None = None
    ) -> None:
        self._bytes_s = bytes_s
        self._machine_by_source = machine_by_source or {}
        self._target_by_address_by_machine: dict[str, dict[str, str]] = {}
        self._process: subprocess.Popen[str] | None = None
        self.report = "no link was used"

    def add(self, machine: str, address: str, target: str) -> None:
        """Have connections to `address` go to `target`."""
        links = self._target_by_address_by_machine.setdefault(machine, {})
        links[address] = target

    def start(self) -> None:
        """Return once all addresses take connections."""
        self._process = subprocess.Popen(
            [sys.executable, "-m", "soak.links"],
            env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self._process.stdout is not None
        self._write(
            [
                self._bytes_s,
                self._target_by_address_by_machine,
                self._machine_by_source,
            ]
        )
        if not self._process.stdout.readline():
            raise AssertionError("the links did not start")

    def cut(self, pairs: list[tuple[str, str]], for_s: float) -> None:
        """Pass nothing on between pairs of machines for some seconds.

        Nothing is reset: what is sent meanwhile arrives afterwards.
        """
        self._write([pairs, for_s])

    @property
    def process_id(self) -> int:
        """Return the process that relays, 0 before the start."""
        return self._process.pid if self._process is not None else 0

    def _write(self, values: list[Any]) -> None:
        assert self._process is not None
        assert self._process.stdin is not None
        self._process.stdin.write(json.dumps(values) + "\n")
        self._process.stdin.flush()

    def close(self) -> None:
        """End all connections, and keep the report."""
        if self._process is not None:
            self.report, _ = self._process.communicate()


def _serve(
    bytes_s: int,
    target_by_address_by_machine: dict[str, dict[str, str]],
    machine_by_source: dict[str, str],
) -> None:
    proxy = proxy_lib.Proxy(
        seen=records.Records(), machine_by_source=machine_by_source
    )
    for machine, target_by_address in target_by_address_by_machine.items():
        rate = proxy_lib.Rate(bytes_s)
        for address, target in target_by_address.items():
            proxy.add(target, address=address, rate=rate, machine=machine)
    print("ready", flush=True)
    for line in sys.stdin:
        pairs, for_s = json.loads(line)
        proxy.cut({frozenset(pair) for pair in pairs}, for_s)
    print(proxy.report(), end="")


if __name__ == "__main__":
    _serve(*json.loads(sys.stdin.readline()))
