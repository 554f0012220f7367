"""Names of the HTTP headers that an entry and an agent exchange.

Agents and engines repeat the request id and the attempt in their answers.
"""

__all__ = [
    "AGENT",
    "ATTEMPT",
    "CLAIM",
    "NUMBER",
    "REQUEST",
    "TOKEN",
    "environ_name",
]

# Request id, chosen by the entry.
REQUEST = "Wisteriawall-Request"
# Number of this attempt to run the request.
ATTEMPT = "Wisteriawall-Attempt"
# Configuration number under which the entry dispatched the request.
NUMBER = "Wisteriawall-Config"
# Incarnation of the agent that the request is meant for; may be absent.
AGENT = "Wisteriawall-Agent"
# Id of the claim of a non-repeatable request, 0 for other requests.
CLAIM = "Wisteriawall-Claim"
# Secret by which the agent authenticates the entry.
TOKEN = "Wisteriawall-Token"


def environ_name(header: str) -> str:
    """Return the key of a request header in the WSGI environment."""
    return "HTTP_" + header.upper().replace("-", "_")
