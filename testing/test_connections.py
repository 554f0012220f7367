"""Check of how each module that uses connections matches its answers.

An answer that is matched to a request only by its position on a connection may
be a late one to another request.
"""

import ast
import pathlib

PACKAGE = pathlib.Path(__file__).parents[1] / "src" / "wisteriawall"
# Attributes that open connections or read from them.
CONNECTION_NAMES = frozenset(
    {
        "ConnectionPool",
        "HTTPConnection",
        "HTTPConnectionPool",
        "HTTPSConnection",
        "HTTPSConnectionPool",
        "PoolManager",
        "ProxyManager",
        "Req0",
        "RunnerConnection",
        "create_connection",
        "makefile",
        "open_connection",
        "recv",
        "recv_into",
        "recvfrom",
        "urllib3.request",
        "urlopen",
    }
)
# A new module belongs here with the reason why a late answer does no harm. Use
# `wire.http_call` where one connection for each call is good enough.
REASON_BY_MODULE = {
    "agent/proxy.py": "one connection for each attempt",
    "demo/check.py": "client of the demo, not part of a deployment",
    "demo/cluster.py": "client of the demo, not part of a deployment",
    "entry/agent_client.py": "gives its pool to entry/attempt.py",
    "entry/attempt.py": "answers and refusals name the attempt",
    "gateway/peers.py": "datagrams without answers",
    "gateway/run.py": "answers name the attempt",
    "gateway/shell.py": "gives its pool to gateway/run.py",
    "standin/engine.py": "stand-in; the content of the answer is not used",
    "standin/engine_orders.py": "stand-in; the answer is not used",
    "web/connection_pool.py": "opens connections for its users",
    "web/http_exchange.py": "its users say how an answer names its request",
    "web/runner_connection.py": "skips responses that name another request",
    "web/connection_loop.py": "server side",
    "web/server_connection.py": "server side",
    "wire/http_call.py": "one connection for each call",
    "wire/transport.py": "NNG gives each request an id",
}


def _uses_connections(path: pathlib.Path) -> bool:
    attributes = (
        node
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Attribute)
    )
    return any(
        not CONNECTION_NAMES.isdisjoint((node.attr, ast.unparse(node)))
        for node in attributes
    )


def test_each_module_that_uses_connections_is_listed_with_its_reason() -> None:
    modules = {
        path.relative_to(PACKAGE).as_posix()
        for path in PACKAGE.rglob("*.py")
        if _uses_connections(path)
    }
    assert modules == set(REASON_BY_MODULE)
