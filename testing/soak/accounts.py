"""Client accounts of the configurations, and checks of keys and usage."""

import collections
from collections.abc import Iterator
import json
import random
from typing import Any

from soak import records

REVOKE_MS = 3_000
SCHEME = "Token "
AUTHORIZATION = "Authorization"
TENANT = "X-Wisteriawall-Tenant"
# Keys that every configuration has, by account.
STEADY_KEYS = {"key-of-north": "north", "key-of-south": "south"}
# Keys that are removed and given back; one shares its account with a steady
# key.
CHANGING_KEYS = {
    "key-of-east-1": "east",
    "key-of-east-2": "east",
    "key-of-south-2": "south",
}
# Key of the hostile clients, whose requests the checks do not know.
HOSTILE_KEY, HOSTILE_ACCOUNT = "key-of-hostile", "hostile"
ACCOUNT_BY_KEY = STEADY_KEYS | CHANGING_KEYS | {HOSTILE_KEY: HOSTILE_ACCOUNT}
UNKNOWN_KEYS = ("key-of-nobody", "")
# Requests of this route need no key.
PUBLIC_PREFIX = "/split/"
# Shares of the requests with a changing key, and with an unknown or no key.
CHANGING_SHARE = 0.3
UNKNOWN_SHARE = 0.05
# Share of the requests that name an account themselves.
SPOOFED_SHARE = 0.1
UNKNOWN_KEY_STATUS = 401
# What a killed gateway counted since its last poll of control is lost: 0.35 s,
# and 0.6 s more if that poll failed (docs/design/duties.md).
LOSABLE_S = 0.95
USAGE_WINDOW_S = 1.0


def document(withdrawn: set[str]) -> list[dict[str, Any]]:
    """Return the accounts without the keys that are withdrawn."""
    keys_by_account: dict[str, list[str]] = {}
    for key, account in ACCOUNT_BY_KEY.items():
        keys = keys_by_account.setdefault(account, [])
        if key not in withdrawn:
            keys.append(key)
    return [
        {"name": account, "api_keys": keys}
        for account, keys in keys_by_account.items()
    ]


def keys(document: dict[str, Any]) -> frozenset[str]:
    """Return the keys of a configuration."""
    return frozenset(
        key for tenant in document["tenants"] for key in tenant["api_keys"]
    )


def draw_headers(chance: random.Random) -> dict[str, str]:
    """Return the headers of a caller that concern its account."""
    kind = chance.random()
    if kind < UNKNOWN_SHARE:
        key = chance.choice(UNKNOWN_KEYS)
    elif kind < UNKNOWN_SHARE + CHANGING_SHARE:
        key = chance.choice(list(CHANGING_KEYS))
    else:
        key = chance.choice(list(STEADY_KEYS))
    header_by_name = {AUTHORIZATION: SCHEME + key} if key else {}
    if chance.random() < SPOOFED_SHARE:
        # Only the system sets this; a caller's own value has no effect.
        header_by_name[TENANT] = "spoofed"
    return header_by_name


def key_of(call: records.Call) -> str:
    """Return the key that a call was sent with, empty without one."""
    return call.header_by_name.get(AUTHORIZATION, "").removeprefix(SCHEME)


def _is_public(call: records.Call) -> bool:
    return call.target.startswith(PUBLIC_PREFIX)


def find_refused(seen: records.Records) -> Iterator[tuple[records.Call, str]]:
    """Yield calls with 401 though every configuration allows them."""
    for call in seen.calls:
        is_refused = (
            call.status == UNKNOWN_KEY_STATUS
            and records.SEAL not in call.answer_header_by_name
        )
        if is_refused and (key_of(call) in STEADY_KEYS or _is_public(call)):
            yield call, "401 for what every configuration allows"


def arrival_faults(
    seen: records.Records, call: records.Call, arrival: records.Arrival
) -> Iterator[str]:
    """Yield what is wrong with the account of a request at a runner."""
    configured = [p for p in seen.publications if p.keys is not None]
    if not configured:
        return
    for name, value in arrival.header_by_name.items():
        if any(key in value for key in (*ACCOUNT_BY_KEY, UNKNOWN_KEYS[0])):
            yield f"the runner sees a key in the header {name}"
    key, account = key_of(call), arrival.header_by_name.get(TENANT.lower(), "")
    expected = ACCOUNT_BY_KEY.get(key, "")
    # On a public route an account is named only if its key is proved.
    allowed = {expected, ""} if _is_public(call) else {expected}
    if account not in allowed:
        yield f"the runner sees the account {account!r}, not {expected!r}"
    is_keyed_run = arrival.has_run and not _is_public(call)
    if is_keyed_run and _is_out_of_use(seen, call, arrival.at_s):
        yield (
            f"run for the key {key!r}, which no configuration has that was in"
            f" force less than {REVOKE_MS} ms before the request was sent"
        )


def _is_out_of_use(
    seen: records.Records, call: records.Call, at_s: float
) -> bool:
    """Return whether no gateway may run a call at this time for its key.

    A configuration may be in force until `REVOKE_MS` after the acknowledgement
    of a later one, and from when it was first sent.
    """
    latest_s = call.started_s - REVOKE_MS / 1_000
    obeyed = max(
        (
            p.version
            for p in seen.publications
            if p.acknowledged_s and p.acknowledged_s < latest_s
        ),
        default=0,
    )
    key = key_of(call)
    return not any(
        key in (p.keys or ())
        for p in seen.publications
        if p.version >= obeyed and p.sent_s < at_s
    )


def describe_keys(seen: records.Records) -> str:
    """Return how calls ended whose keys had been removed for long enough."""
    removed = [
        call
        for call in seen.calls
        if key_of(call) in CHANGING_KEYS
        and not _is_public(call)
        and _is_out_of_use(seen, call, call.ended_s)
    ]
    counts = collections.Counter(call.status for call in removed)
    text = ", ".join(f"{n} with {status}" for status, n in counts.most_common())
    return f"{len(removed)} calls, {text}"


def describe_usage(seen: records.Records, wall_offset_s: float) -> str:
    """Return the reported usage beside what runners began in that time.

    A run counts once its answer begins, which is certain only of runs that were
    answered soundly: the report may have any number from those to all runs.
    Windows that are not reported at the end of the soak are left out.
    """
    reports = {
        report["window_id"]: report["counts"]
        for call, is_taken in seen.duty_calls
        if is_taken
        for report in [json.loads(call.body)]
    }
    if not reports:
        return "no report"
    reported: collections.Counter[str] = collections.Counter()
    for counts in reports.values():
        reported.update(counts)
    del reported[HOSTILE_ACCOUNT]
    gateway_by_key = {call.key: call.gateway for call in seen.calls}
    killed_s_by_gateway = collections.defaultdict(list)
    for incident in seen.incidents:
        if incident.change in (records.Change.KILL, records.Change.GRACE_KILL):
            killed_s_by_gateway[incident.name].append(incident.at_s)
    began: collections.Counter[str] = collections.Counter()
    answered: collections.Counter[str] = collections.Counter()
    losable = 0
    for arrival in seen.arrivals:
        account = arrival.header_by_name.get(TENANT.lower())
        window = int((arrival.at_s + wall_offset_s) // USAGE_WINDOW_S)
        if not account or not arrival.has_run or window not in reports:
            continue
        began[account] += 1
        if (
            arrival.ending is not records.RunEnding.ANSWERED
            or arrival.preceded_by
        ):
            continue
        answered[account] += 1
        gateway = gateway_by_key.get((arrival.attempt, arrival.target), "")
        losable += any(
            0 <= killed_s - arrival.at_s < LOSABLE_S
            for killed_s in killed_s_by_gateway[gateway]
        )
    text = ", ".join(
        f"{account} {reported[account]} of {answered[account]} to"
        f" {began[account]}"
        for account in sorted(reported | began)
    )
    missing = answered.total() - losable - reported.total()
    surplus = reported.total() - began.total()
    return (
        f"{text} in {len(reports)} windows, {losable} losable with killed"
        f" gateways, {max(0, missing)} more missing, {max(0, surplus)} too many"
    )
