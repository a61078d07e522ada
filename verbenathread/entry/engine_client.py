"""What the entry asks of a model engine, whatever protocol it speaks.

:class:`EngineClient` is the one place to bring another engine interface in;
:mod:`verbenathread.entry.engine_http` speaks the one of docs/UPSTREAMS.md.
"""

import socket
from typing import NamedTuple, Protocol

from verbenathread.types import Address, Millis, NodeId


class Owner(NamedTuple):
    """The entry for which an engine holds memory."""

    node_id: NodeId
    incarnation: int


class GenerateRequest(NamedTuple):
    """One attempt at one request."""

    attempt_id: str
    request_id: str
    # JSON members that all attempts of the request share, without braces.
    shared_members: bytes
    max_tokens: int
    priority: int
    owner: Owner
    # KV cache in tokens that was reserved on the engine asked.
    memory_tokens: int
    # Engines that hold parts of the KV cache beside the one asked.
    group: tuple[str, ...]
    # Tokens that an earlier attempt produced, and their text.
    resume_position: int
    resume_text: str
    # Time in ms within which the answer is wanted.
    time_limit: Millis


class TokenChunk(NamedTuple):
    """Output tokens in the order of their positions."""

    # Position of the first token; the first of all is 0.
    position: int
    token_count: int
    text: str


class Finish(NamedTuple):
    """The terminator of an answer."""

    reason: str
    prompt_tokens: int
    # Tokens of the whole answer, resumed ones included.
    output_tokens: int


class Batch(NamedTuple):
    """What one read brought; ``finish`` is set in the last batch."""

    chunks: tuple[TokenChunk, ...]
    finish: Finish | None


class TokenStream(Protocol):
    """The answer to one :class:`GenerateOrder`."""

    def read(self, deadline: Millis) -> Batch:
        """Wait for the next pieces.

        Raises :class:`.EngineBrokenError` for a stream that is cut off, late,
        or names another attempt.
        """

    def unframed_socket(self) -> socket.socket | None:
        """Return the socket that :meth:`read_ready` reads, None without one.

        Asked once after a :meth:`read`; with None only :meth:`read` is used.
        """

    def read_nonblocking(self) -> Batch | None:
        """Return what has come, without waiting; None if nothing whole has.

        Raises as :meth:`read` does.
        """

    def interrupt(self) -> None:
        """Make a read that waits in another thread fail at once."""

    def close(self) -> None:
        """End the exchange; its connection is reused only if it is clean."""


class Hold(NamedTuple):
    """Memory that an engine holds."""

    attempt_id: str
    memory_tokens: int
    owner: Owner


class LoadReport(NamedTuple):
    """A numbered report of an engine's load; a lower number is older."""

    number: int
    running: int
    waiting: int
    memory_tokens_free: int
    memory_tokens: int
    # Prompt tokens that wait to be prefilled.
    prefill_backlog: int
    # Rates in tokens a second; 0 when the engine does not tell.
    prefill_rate: float
    decode_rate: float


class CacheEvent(NamedTuple):
    """A prefix that an engine stored or dropped."""

    number: int
    stored: bool
    prefix_hash: int
    tokens: int


class OrderState(NamedTuple):
    """What an engine was last ordered to be, as it reads back."""

    fencing: int
    models: tuple[str, ...]
    role: str


class EngineOrder(NamedTuple):
    """The wanted state of an engine."""

    fencing: int
    # load, unload, role or drain.
    action: str
    subject: str


class EngineClient(Protocol):
    """The engine interface; each call ends within its limit in ms.

    Every call raises :class:`.EngineNotRunError` or
    :class:`.EngineBrokenError`.
    """

    def generate(
        self, engine: Address, request: GenerateRequest, send_by: Millis
    ) -> TokenStream:
        """Send the order of an attempt, whole before ``reach_by``.

        Whether the engine took it comes with the first read.
        """

    def cancel(self, engine: Address, attempt_id: str, timeout: Millis) -> bool:
        """Cancel an attempt; return whether the engine still holds of it."""

    def holds(self, engine: Address, timeout: Millis) -> tuple[Hold, ...]:
        """Return what the engine holds."""

    def load(self, engine: Address, timeout: Millis) -> LoadReport:
        """Return the newest load report."""

    def cache_events(
        self, engine: Address, after: int, timeout: Millis
    ) -> tuple[CacheEvent, ...]:
        """Return the cache events numbered above ``after``."""

    def export_kv(self, engine: Address, kv_id: str, timeout: Millis) -> bytes:
        """Return the exported KV cache of an attempt."""

    def import_kv(
        self, engine: Address, kv_id: str, content: bytes, timeout: Millis
    ) -> None:
        """Import an exported KV cache."""

    def read_orders(self, engine: Address, timeout: Millis) -> OrderState:
        """Return what the engine was last ordered to be."""

    def order(
        self, engine: Address, order: EngineOrder, timeout: Millis
    ) -> OrderState:
        """Give an order; raises ``EngineRejectedError`` if it is fenced."""
