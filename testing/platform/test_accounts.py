"""Tests of client accounts at a gateway and a control replica."""

from collections.abc import Iterator
import http.client
import json
import logging
import pathlib
import socket
from typing import Any

import pytest
from support import platform_site as sites

from wisteriawall.control import shell as control_shell
from wisteriawall.demo import cluster
from wisteriawall.gateway import protocol
from wisteriawall.platform import headers
from wisteriawall.wire import raft_messages

SECRET = "k-secret-1"
REVOKE_MS = 1_500
TENANT = headers.TENANT.lower()
HEAD = (
    f"POST /read/ HTTP/1.1\r\nHost: {sites.HOST}\r\n{sites.ATTEMPT_ID}: a1\r\n"
)


def document(version: int, *keys: str) -> dict[str, Any]:
    """Return a table with one account of these keys, and a public route."""
    return sites.document(
        version,
        routes=[
            sites.route("/read/", "read_only", "shop"),
            sites.route("/open/", "read_only", "shop", public=True),
        ],
        tenants=[
            {"name": "acme", "api_keys": list(keys), "priority": 0},
            {"name": "ägir", "api_keys": ["ключ"]},
        ],
    )


@pytest.fixture
def strict_site(tmp_path: pathlib.Path) -> Iterator[sites.Site]:
    """Return a site with strict revocation, a runner and an account."""
    site = sites.Site(tmp_path, revoke_ms=REVOKE_MS)
    site.add_runner("i-1", "shop")
    site.publish_until_accepted(document(1, SECRET))
    sites.wait_until(lambda: site.gateway.is_ready, "a ready gateway")
    yield site
    site.close()


def status(site: sites.Site, key: str, path: str = "/read/") -> int:
    """Return the status of a request with a key."""
    return site.call(path, attempt="a1", Authorization=f"Token {key}").status


def await_status(site: sites.Site, key: str, expected: int) -> None:
    """Wait until a request with a key gets this status."""
    sites.wait_until(
        lambda: status(site, key) == expected, f"{expected} for {key}"
    )


def raw_status(site: sites.Site, head: str, *, timeout_s: float = 5.0) -> int:
    """Send a head without its body; return the status of the response."""
    host, _, port = site.gateway.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout_s) as connection:
        connection.sendall(head.encode("latin-1"))
        response = http.client.HTTPResponse(connection)
        response.begin()
        return response.status


@pytest.mark.parametrize(
    ("path", "authorization", "tenant"),
    [
        pytest.param("/read/", f"Token {SECRET}", "acme", id="key"),
        pytest.param("/read/", f"tOKEN  {SECRET} ", "acme", id="scheme"),
        pytest.param(
            "/read/",
            "Token ключ".encode().decode("latin-1"),
            "ägir".encode().decode("latin-1"),
            id="not-ascii",
        ),
        pytest.param("/open/", f"Token {SECRET}", "acme", id="public"),
        pytest.param("/open/", "Token k9", None, id="public-unknown"),
        pytest.param("/open/", "Basic k9", None, id="public-malformed"),
    ],
)
def test_runner_gets_the_account_and_no_key(
    strict_site: sites.Site, path: str, authorization: str, tenant: str | None
) -> None:
    answer = strict_site.call(
        path,
        attempt="a1",
        Authorization=authorization,
        **{"X-Wisteriawall-Tenant": "other", "x_wisteriawall_tenant": "other"},
    )
    assert answer.status == 200
    [(_, _, received, _)] = strict_site.runners[0].received
    # The stand-in decodes UTF-8.
    name = tenant and tenant.encode("latin-1").decode()
    assert received.get(TENANT) == name
    assert "x_wisteriawall_tenant" not in received
    assert "authorization" not in received


def test_everything_is_forwarded_without_accounts(site: sites.Site) -> None:
    runner = site.add_runner("i-1", "shop")
    site.start_serving()
    site.call(
        "/read/",
        attempt="a1",
        Authorization=f"Token {SECRET}",
        **{headers.TENANT: "own"},
    )
    [(_, _, received, _)] = runner.received
    assert received["authorization"] == f"Token {SECRET}"
    assert received[TENANT] == "own"


@pytest.mark.parametrize(
    "lines",
    [
        pytest.param([], id="missing"),
        pytest.param(["Authorization: Token k9"], id="unknown"),
        pytest.param(["Authorization: Token "], id="empty"),
        pytest.param([f"Authorization: {SECRET}"], id="no-scheme"),
        pytest.param([f"Authorization: Bearer {SECRET}"], id="other-scheme"),
        pytest.param([f"Authorization: Token {SECRET}"] * 2, id="repeated"),
        pytest.param(
            ["Authorization: Token k9", f"Authorization: Token {SECRET}"],
            id="two-keys",
        ),
        pytest.param(
            ["Authorization: Token k9", f" Token {SECRET}"], id="continued"
        ),
        pytest.param([f"X-Authorization: Token {SECRET}"], id="other-header"),
    ],
)
def test_request_without_a_key_is_refused_before_its_body(
    strict_site: sites.Site, lines: list[str]
) -> None:
    """A caller without a key made the gateway hold its body."""
    head = HEAD + "".join(f"{line}\r\n" for line in lines)
    head += "Content-Length: 4000000\r\n\r\nx"
    assert raw_status(strict_site, head, timeout_s=2.0) == 401
    assert not strict_site.runners[0].received


def test_no_log_line_holds_a_key(
    strict_site: sites.Site, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.DEBUG)
    for path in ("/read/", "/open/", "/none/"):
        status(strict_site, SECRET, path)
        status(strict_site, SECRET + "9", path)
    raw_status(strict_site, f"{HEAD}Authorization: Token {SECRET}\rx\r\n\r\n")
    shared = document(2, SECRET)
    shared["tenants"].append({"name": "b", "api_keys": [SECRET, ""]})
    refused = strict_site.publish(shared)
    assert refused.status == 400
    strict_site.stopped = True
    strict_site.gateway.stop()
    logged = caplog.text.encode() + strict_site.log_path.read_bytes()
    assert b"tenants[2].api_keys[1]" in logged
    assert SECRET.encode() not in logged + refused.data


def test_types_of_a_request_show_no_key() -> None:
    """They may be shown by an error."""
    head = headers.PlatformDialect().parse_request_head(
        {headers.ATTEMPT_ID: "a1", "Authorization": f"Token {SECRET}"}
    )
    assert head.key.kind is protocol.KeyKind.GIVEN
    assert SECRET not in repr(head)


def test_withdrawn_key_is_out_of_use_and_works_again_once_restored(
    strict_site: sites.Site,
) -> None:
    site = strict_site
    assert status(site, SECRET) == 200
    site.publish_until_accepted(document(2, "k2"))
    await_status(site, SECRET, 401)
    assert status(site, "k2") == 200
    site.publish_until_accepted(document(3, SECRET))
    await_status(site, SECRET, 200)
    body = json.dumps(document(3, SECRET)).encode()
    assert site.read_table().data == body


def test_gateway_cut_off_from_control_serves_public_routes_only(
    strict_site: sites.Site,
) -> None:
    """Control may have withdrawn the key meanwhile."""
    site = strict_site
    assert status(site, SECRET) == 200
    site.control.stop()
    await_status(site, SECRET, 503)
    assert status(site, "k9") == 503
    assert status(site, SECRET, "/open/") == 200


def test_withdrawn_key_is_not_in_use_after_all_have_started_again(
    strict_site: sites.Site, tmp_path: pathlib.Path
) -> None:
    """The store still has the table with the key, under a later change."""
    site = strict_site
    site.publish_until_accepted(document(2, "k2"))
    site.stopped = True
    site.gateway.stop()
    site.control.stop()
    rpc, peer = site._rpc_address, cluster.unused_loopback_address()
    restarted = control_shell.ControlShell(
        replica="c1",
        peer_address_by_replica={"c1": peer},
        rpc_address=rpc,
        folder=tmp_path / "c1",
        key=sites.KEY,
        incarnation=2,
        bootstrap=True,
        founders=(raft_messages.Member("c1", peer, rpc),),
    )
    gateway = site.add_gateway("g2")
    restarted.start()
    site.gateway = gateway
    seen = set()

    def is_decided() -> bool:
        seen.add(status(site, SECRET))
        return 401 in seen

    sites.wait_until(is_decided, "the table")
    gateway.stop()
    restarted.stop()
    assert seen <= {401, 503}
