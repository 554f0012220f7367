"""Configurations of a given size, and replicas that hold them, in memory."""

import hashlib
import random

import msgspec
from support import instant_disk

from wisteriawall.config import document
from wisteriawall.control import events
from wisteriawall.control import raft
from wisteriawall.control import replica_state

__all__ = ["configured_control", "make_document", "single_replica"]

START_MS = 1_000
STEP_MS = 50
ELECTED_MS = 3_000


def make_document(
    *, runners: int, accounts: int, services: int
) -> document.Document:
    """Return a valid configuration with these counts."""
    pieces = -(-runners // services)
    return document.Document(
        number=0,
        capacity_pieces=pieces * services,
        services={
            f"service-{n}": document.Service(
                kind=document.ServiceKind.MODEL,
                share_pieces=pieces,
                models=[f"model-{n}"],
            )
            for n in range(services)
        },
        runners={f"runner-{n}": _runner(n, services) for n in range(runners)},
        accounts={
            f"account-{n}": document.Account(
                token_digest=hashlib.sha256(b"%d" % n).hexdigest()
            )
            for n in range(accounts)
        },
    )


def _runner(number: int, services: int) -> document.Runner:
    return document.Runner(
        service=f"service-{number % services}",
        address=f"10.1.{number // 250}.{number % 250}:8090",
        feed=f"10.1.{number // 250}.{number % 250}:8091",
        zone=f"zone-{number % 8}",
        vm=f"vm-{number}",
    )


def single_replica() -> replica_state.ReplicaState:
    """Return the elected leader of a cluster of one replica."""
    control = replica_state.ReplicaState(
        raft=raft.Raft(replica="c1", peers=(), random=random.Random(1))
    )
    for now_ms in range(START_MS, ELECTED_MS, STEP_MS):
        list(instant_disk.reduce(control, events.Ticked(now_ms, now_ms)))
    return control


def configured_control(config: document.Document) -> replica_state.ReplicaState:
    """Return the leader of a cluster of one, with `config` applied."""
    control = single_replica()
    request = events.PatchRequest(
        patch_id="first",
        operator="capacity",
        base_number=0,
        change=msgspec.json.encode(config),
    )
    call = events.CallReceived(1, request, ELECTED_MS, ELECTED_MS)
    list(instant_disk.reduce(control, call))
    return control
