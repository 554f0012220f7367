"""Decides whether the key of a request lets it run now, and for which account.

With strict revocation a request that needs a key runs only while the routing
table is proved to be the newest lately: control confirmed it while it held its
lease. A key that a newer table removed is then out of use in time, also at a
gateway that is cut off from control or was paused. This needs nothing beyond
the regular polls of control.
"""

import dataclasses
from typing import TypeAlias
from typing import final

from wisteriawall.config import accounts as accounts_lib
from wisteriawall.config import route_table
from wisteriawall.gateway import protocol
from wisteriawall.gateway import refusals
from wisteriawall.gateway import state as state_lib
from wisteriawall.gateway import table_proof
from wisteriawall.web import refusal as refusal_lib

__all__ = ["Accepted", "Refused", "Verdict", "check", "check_head", "identify"]

# Part of the limit of revocation for which a proof holds. The rest covers the
# time between the last check and the arrival at the runner. Gateways that lack
# contact for less than 0.6 of the limit must not refuse.
PROOF_PART = 0.8


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Accepted:
    """The request may run for `account`, which is empty without one.

    `rank` goes before that of the route unless it is None. `hides_key` is set
    if the table has accounts. The request must not be sent at `valid_until_ms`
    or later, None for no limit.
    """

    account: str = ""
    rank: int | None = None
    hides_key: bool = False
    valid_until_ms: int | None = None


@final
@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """The request must not run now; `reason` is for the log."""

    refusal: refusal_lib.Refusal
    reason: str


Verdict: TypeAlias = Accepted | Refused


def check_head(
    gateway: state_lib.Gateway,
    *,
    host: str,
    path: str,
    key: protocol.ClientKey,
    now_ms: int,
) -> Refused | None:
    """Return why a request whose body is not read yet can't run.

    Returns None also if there is no table or no route, which the reducer
    decides on. May be called while another thread changes the state.
    """
    proved_ms = gateway.table_confirmed_ms
    index = gateway.route_index
    route = index.find(host, path) if index else None
    if index is None or route is None:
        return None
    verdict = _check(
        gateway, index, proved_ms, route=route, key=key, now_ms=now_ms
    )
    return verdict if isinstance(verdict, Refused) else None


def check(
    gateway: state_lib.Gateway,
    *,
    route: route_table.Route,
    key: protocol.ClientKey,
    now_ms: int,
) -> Verdict:
    """Return whether a request may run, by the table in use now."""
    assert gateway.route_index is not None
    return _check(
        gateway,
        gateway.route_index,
        gateway.table_confirmed_ms,
        route=route,
        key=key,
        now_ms=now_ms,
    )


def identify(
    gateway: state_lib.Gateway, request: state_lib.Request, now_ms: int
) -> Verdict:
    """Look up the account of a request and note it there.

    Called before each dispatch, as the table may have changed since the last.
    """
    verdict = check(
        gateway, route=request.route, key=request.head.key, now_ms=now_ms
    )
    if isinstance(verdict, Accepted):
        request.account = verdict.account
        request.account_rank = verdict.rank
    return verdict


def _check(
    gateway: state_lib.Gateway,
    index: route_table.RouteIndex,
    proved_ms: int,
    *,
    route: route_table.Route,
    key: protocol.ClientKey,
    now_ms: int,
) -> Verdict:
    """Return the verdict on a request.

    `index` is that of the table that was the newest at `proved_ms`, or of a
    newer one.
    """
    if index.account_by_digest is None:
        return Accepted()
    account = index.account_by_digest.get(key.digest)
    until_ms = _valid_until_ms(gateway, proved_ms)
    is_proved = proved_ms > 0 and (until_ms is None or now_ms < until_ms)
    if route.public and (account is None or not is_proved):
        # An account that can't be proved to have the key is not named.
        return Accepted(hides_key=True)
    if not is_proved:
        return Refused(refusals.TABLE_UNPROVED, "table-unproved")
    if account is not None:
        return _accept(account, until_ms)
    if table_proof.is_outdated(gateway, index.table):
        return Refused(refusals.OUTDATED_ACCOUNTS, "table-outdated")
    if not table_proof.is_confirmed(gateway, proved_ms, now_ms):
        return Refused(refusals.TABLE_UNPROVED, "table-unproved")
    return Refused(refusals.UNKNOWN_KEY, f"key-{key.kind.value}")


def _valid_until_ms(gateway: state_lib.Gateway, proved_ms: int) -> int | None:
    revoke_ms = gateway.tuning.revoke_ms
    if revoke_ms is None:
        return None
    return proved_ms + round(PROOF_PART * revoke_ms)


def _accept(account: accounts_lib.Account, until_ms: int | None) -> Accepted:
    return Accepted(
        account=account.name,
        rank=account.rank,
        hides_key=True,
        valid_until_ms=until_ms,
    )
