"""Identity of a request that a caller sends again under another attempt id."""

import hashlib

__all__ = ["request_fingerprint"]

DIGEST_BYTES = 8


def request_fingerprint(
    *, method: str, host: str, target: str, account: str, body: bytes
) -> str:
    """Return the same hexadecimal digest for the same request.

    Every gateway computes the same one. `target` is path and query.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (method, host.lower(), target, account):
        encoded = field.encode("utf-8", "surrogateescape")
        digest.update(b"%d:" % len(encoded))
        digest.update(encoded)
    digest.update(body)
    return digest.hexdigest()
