"""Hashes of bearer tokens and service keys; files contain only hashes."""

import hashlib
import hmac


def hash_token(token: str) -> str:
    """Returns the hash of a token or key, as files contain it."""
    return hashlib.sha256(token.encode()).hexdigest()


def is_token_known(token: str, hashes: tuple[str, ...]) -> bool:
    """Checks in constant time whether a token's hash is in a list."""
    token_hash = hash_token(token)
    return any([hmac.compare_digest(token_hash, known) for known in hashes])
