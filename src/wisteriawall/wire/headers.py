"""Names of the HTTP headers that an entry and an agent exchange.

Agents repeat the request id and the attempt in their answers.
"""

__all__ = [
    "AGENT_INCARNATION",
    "ATTEMPT",
    "CLAIM_ID",
    "CONFIG_NUMBER",
    "REQUEST_ID",
    "TOKEN",
    "wsgi_environ_key",
]

# Chosen by the entry.
REQUEST_ID = "Wisteriawall-Request"
# Number of this attempt to run the request.
ATTEMPT = "Wisteriawall-Attempt"
# Configuration number under which the entry dispatched the request.
CONFIG_NUMBER = "Wisteriawall-Config"
# Incarnation of the agent that the request is meant for; may be absent.
AGENT_INCARNATION = "Wisteriawall-Agent"
# Claim of a non-repeatable request, 0 for other requests.
CLAIM_ID = "Wisteriawall-Claim"
# Secret by which the agent authenticates the entry.
TOKEN = "Wisteriawall-Token"


def wsgi_environ_key(header: str) -> str:
    """Return the key of a request header in the WSGI environment."""
    return "HTTP_" + header.upper().replace("-", "_")
