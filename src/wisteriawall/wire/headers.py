"""Names of the HTTP headers that an entry and an agent exchange.

Agents repeat the request id and the attempt in the answers that they relay,
and name the attempt in their own refusals.
"""

__all__ = [
    "AGENT_INCARNATION",
    "ATTEMPT",
    "CLAIM_ID",
    "CONFIG_NUMBER",
    "REFUSED",
    "REQUEST_ID",
    "TOKEN",
    "attempt_key",
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
# Attempt that the agent itself refused, as `attempt_key` writes it. It differs
# from REQUEST_ID because older entries take an answer with that header for one
# of the upstream.
REFUSED = "Wisteriawall-Refused"


def attempt_key(request_id: str, attempt: int | str) -> str:
    """Return the text that identifies one attempt of one request."""
    return f"{request_id}/{attempt}"


def wsgi_environ_key(header: str) -> str:
    """Return the key of a request header in the WSGI environment."""
    return "HTTP_" + header.upper().replace("-", "_")
