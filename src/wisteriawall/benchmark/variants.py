"""Policies that a benchmark compares: ours, ablations and baselines."""

import dataclasses
import enum
from typing import final

__all__ = [
    "ABLATIONS",
    "BASELINES",
    "OURS",
    "PLAIN",
    "Admission",
    "Order",
    "Roles",
    "Routing",
    "Variant",
]


@final
class Roles(enum.StrEnum):
    """Who sets the engines' roles."""

    PLANNED = "planned"
    MIXED = "all-mixed"
    STATIC = "static-split"
    REACTIVE = "reactive"


@final
class Routing(enum.StrEnum):
    """How a runner is chosen."""

    COST = "cost"
    LEAST = "least-loaded"
    TWO = "best-of-two"
    RANDOM = "random"


@final
class Admission(enum.StrEnum):
    """Whether requests wait at the entry under limits."""

    LIMITED = "limited"
    NONE = "none"


@final
class Order(enum.StrEnum):
    """Order in which an engine takes what waits for it."""

    ARRIVAL = "arrival"
    ELAPSED = "elapsed"
    DEADLINE = "deadline"


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Variant:
    """One whole policy."""

    roles: Roles
    routing: Routing
    admission: Admission = Admission.LIMITED
    order: Order = Order.ARRIVAL
    prefill_share: float = 0.4

    @property
    def name(self) -> str:
        """Return a name for tables."""
        parts = [str(self.roles), str(self.routing)]
        if self.admission is Admission.NONE:
            parts.append("no-limits")
        if self.roles is Roles.STATIC:
            parts.append(f"{self.prefill_share:.0%}")
        if self.order is not Order.ARRIVAL:
            parts.append(f"order-{self.order}")
        return " ".join(parts)


OURS = Variant(roles=Roles.PLANNED, routing=Routing.COST, order=Order.DEADLINE)
BASELINES = (
    *(
        Variant(roles=Roles.STATIC, routing=Routing.LEAST, prefill_share=share)
        for share in (0.2, 0.4, 0.6, 0.8)
    ),
    Variant(roles=Roles.MIXED, routing=Routing.LEAST),
    Variant(roles=Roles.REACTIVE, routing=Routing.LEAST),
    Variant(roles=Roles.MIXED, routing=Routing.RANDOM),
    Variant(roles=Roles.MIXED, routing=Routing.TWO),
)
ABLATIONS = (
    dataclasses.replace(OURS, roles=Roles.MIXED),
    dataclasses.replace(OURS, roles=Roles.STATIC),
    dataclasses.replace(OURS, roles=Roles.REACTIVE),
    dataclasses.replace(OURS, order=Order.ARRIVAL),
    dataclasses.replace(OURS, order=Order.ELAPSED),
)
PLAIN = (
    Variant(
        roles=Roles.STATIC,
        routing=Routing.LEAST,
        admission=Admission.NONE,
    ),
    Variant(
        roles=Roles.MIXED,
        routing=Routing.LEAST,
        admission=Admission.NONE,
    ),
    Variant(
        roles=Roles.REACTIVE,
        routing=Routing.LEAST,
        admission=Admission.NONE,
    ),
)
