"""Policies that the benchmark compares: ours, ablations and baselines."""

import dataclasses
import enum
from typing import final

__all__ = [
    "ABLATIONS",
    "BASELINES",
    "NO_LIMITS",
    "OURS",
    "Admission",
    "QueueOrder",
    "RoleAssignment",
    "Routing",
    "Variant",
]


@final
class RoleAssignment(enum.StrEnum):
    """How the roles of the engines are assigned."""

    PLANNED = "planned"
    ALL_MIXED = "all-mixed"
    STATIC_SPLIT = "static-split"
    REACTIVE = "reactive"


@final
class Routing(enum.StrEnum):
    """How the runner of a request is selected."""

    COST = "cost"
    LEAST_LOADED = "least-loaded"
    BEST_OF_TWO = "best-of-two"
    RANDOM = "random"


@final
class Admission(enum.StrEnum):
    """Whether entries limit the requests in flight and queue the others."""

    LIMITED = "limited"
    NONE = "none"


@final
class QueueOrder(enum.StrEnum):
    """Order in which an engine starts its waiting jobs.

    `arrival` is arrival at the engine, `elapsed` arrival at the entry.
    """

    ARRIVAL = "arrival"
    ELAPSED = "elapsed"
    DEADLINE = "deadline"


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Variant:
    """A complete policy.

    `prefill_share` is the share of prefill engines at the start; only the
    static and reactive role assignments use it.
    """

    roles: RoleAssignment
    routing: Routing
    admission: Admission = Admission.LIMITED
    order: QueueOrder = QueueOrder.ARRIVAL
    prefill_share: float = 0.4

    @property
    def name(self) -> str:
        """Name of the policy in reports."""
        parts = [str(self.roles), str(self.routing)]
        if self.admission is Admission.NONE:
            parts.append("no-limits")
        if self.roles is RoleAssignment.STATIC_SPLIT:
            parts.append(f"{self.prefill_share:.0%}")
        if self.order is not QueueOrder.ARRIVAL:
            parts.append(f"order-{self.order}")
        return " ".join(parts)


OURS = Variant(
    roles=RoleAssignment.PLANNED,
    routing=Routing.COST,
    order=QueueOrder.DEADLINE,
)
BASELINES = (
    *(
        Variant(
            roles=RoleAssignment.STATIC_SPLIT,
            routing=Routing.LEAST_LOADED,
            prefill_share=share,
        )
        for share in (0.2, 0.4, 0.6, 0.8)
    ),
    Variant(roles=RoleAssignment.ALL_MIXED, routing=Routing.LEAST_LOADED),
    Variant(roles=RoleAssignment.REACTIVE, routing=Routing.LEAST_LOADED),
    Variant(roles=RoleAssignment.ALL_MIXED, routing=Routing.RANDOM),
    Variant(roles=RoleAssignment.ALL_MIXED, routing=Routing.BEST_OF_TWO),
)
ABLATIONS = (
    dataclasses.replace(OURS, roles=RoleAssignment.ALL_MIXED),
    dataclasses.replace(OURS, roles=RoleAssignment.STATIC_SPLIT),
    dataclasses.replace(OURS, roles=RoleAssignment.REACTIVE),
    dataclasses.replace(OURS, order=QueueOrder.ARRIVAL),
    dataclasses.replace(OURS, order=QueueOrder.ELAPSED),
)
NO_LIMITS = (
    Variant(
        roles=RoleAssignment.STATIC_SPLIT,
        routing=Routing.LEAST_LOADED,
        admission=Admission.NONE,
    ),
    Variant(
        roles=RoleAssignment.ALL_MIXED,
        routing=Routing.LEAST_LOADED,
        admission=Admission.NONE,
    ),
    Variant(
        roles=RoleAssignment.REACTIVE,
        routing=Routing.LEAST_LOADED,
        admission=Admission.NONE,
    ),
)
