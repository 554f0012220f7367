"""HTTP headers between entry and agent, in request and WSGI spelling."""

__all__ = [
    "AGENT",
    "ATTEMPT",
    "CLAIM",
    "NUMBER",
    "REQUEST",
    "TOKEN",
    "environ_name",
]

REQUEST = "Wisteriawall-Request"
ATTEMPT = "Wisteriawall-Attempt"
NUMBER = "Wisteriawall-Config"
# Incarnation of the agent that a dispatch aims at.
AGENT = "Wisteriawall-Agent"
CLAIM = "Wisteriawall-Claim"
TOKEN = "Wisteriawall-Token"


def environ_name(header: str) -> str:
    """Return the WSGI name of a request header."""
    return "HTTP_" + header.upper().replace("-", "_")
