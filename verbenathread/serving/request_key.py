"""Identifies requests that are the same, whoever takes them."""

import functools
import hashlib
from collections.abc import Sequence

from verbenathread.http1.messages import Request

_PREFIX = 'request:'
_DIGEST_BYTES = 16
_LENGTH_BYTES = 8


class RequestIdentity:
    """What one request has in common with others.

    ``shared_parts`` are the parts of its prompt that other prompts may have.
    """

    def __init__(
        self, request: Request, account: str, shared_parts: Sequence[str]
    ) -> None:
        """Identify ``request`` of a client account; empty if it has none."""
        self._request = request
        self._account = account
        self.shared_parts = frozenset(shared_parts)

    @functools.cached_property
    def key(self) -> str:
        """Return a digest of what makes requests the same.

        That is the account, method, host, target, shared parts and body. The
        key names the request in notices and logs, which must not hold bodies.
        """
        request = self._request
        digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        for field in (
            self._account.encode(),
            request.method,
            request.value_by_name.get(b'host', b''),
            request.target,
            ','.join(sorted(self.shared_parts)).encode(),
            request.body,
        ):
            digest.update(len(field).to_bytes(_LENGTH_BYTES))
            digest.update(field)
        return f'{_PREFIX}{digest.hexdigest()}'

    @property
    def parts(self) -> frozenset[str]:
        """Return the shared parts and, as one more part, the request."""
        return self.shared_parts | {self.key}

    def has_all(self, parts: frozenset[str]) -> bool:
        """Return whether the request has all of ``parts``."""
        others = parts - self.shared_parts
        # The key is computed only if nothing but a request is left.
        return all(map(is_request_key, others)) and others <= self.parts


def is_request_key(part: str) -> bool:
    """Return whether a part stands for a whole request."""
    return part.startswith(_PREFIX)
