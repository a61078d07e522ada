"""The protocol-independent client interface to model engines.

Implement :class:`EngineClient` to support another engine protocol;
:mod:`verbenathread.entry.engine_http` implements the one of docs/UPSTREAMS.md.
"""

import socket
from typing import NamedTuple, Protocol

from verbenathread.types import Address, Millis, NodeId


class Owner(NamedTuple):
    """The incarnation of an entry for which an engine holds memory."""

    node_id: NodeId
    incarnation: int


class GenerateRequest(NamedTuple):
    """The request of one attempt."""

    attempt_id: str
    request_id: str
    # JSON members shared by all attempts of the request, without braces.
    shared_members: bytes
    max_tokens: int
    priority: int
    owner: Owner
    # KV cache reserved on the addressed engine, in tokens.
    memory_tokens: int
    # Other engines that hold parts of the KV cache.
    group: tuple[str, ...]
    # Number of tokens that earlier attempts produced, and their text.
    resume_position: int
    resume_text: str
    # Time in ms that is left for the whole answer.
    time_limit: Millis


class TokenChunk(NamedTuple):
    """Consecutive output tokens."""

    # Position of the chunk's first token in the answer, counted from 0.
    position: int
    token_count: int
    text: str


class Finish(NamedTuple):
    """The final record of an answer."""

    reason: str
    prompt_tokens: int
    # Tokens of the whole answer, including those of earlier attempts.
    output_tokens: int


class Batch(NamedTuple):
    """The result of one read; only the last batch has a ``finish``."""

    chunks: tuple[TokenChunk, ...]
    finish: Finish | None


class TokenStream(Protocol):
    """The streamed answer to one :class:`GenerateRequest`."""

    def read(self, deadline: Millis) -> Batch:
        """Wait for the next chunks.

        Raises :class:`.EngineBrokenError` if the stream is cut off, misses
        the deadline or names another attempt.
        """

    def unframed_socket(self) -> socket.socket | None:
        """Return the socket that :meth:`read_nonblocking` reads, if any.

        Called after :meth:`read`; if None, only :meth:`read` may be used.
        """

    def read_nonblocking(self) -> Batch | None:
        """Return available chunks, or None if no complete record arrived.

        Raises the same errors as :meth:`read`.
        """

    def interrupt(self) -> None:
        """Make a read that is blocked in another thread fail at once."""

    def close(self) -> None:
        """Close the stream; reuse its connection only after a clean end."""


class Hold(NamedTuple):
    """Memory that an engine holds for an attempt."""

    attempt_id: str
    memory_tokens: int
    owner: Owner


class LoadReport(NamedTuple):
    """An engine's load; reports with lower numbers are older."""

    number: int
    running: int
    waiting: int
    memory_tokens_free: int
    memory_tokens: int
    # Prompt tokens waiting for prefill.
    prefill_backlog: int
    # Rates in tokens per second; 0 if the engine does not report them.
    prefill_rate: float
    decode_rate: float


class CacheEvent(NamedTuple):
    """A prefix that an engine added to its cache or evicted from it."""

    number: int
    stored: bool
    prefix_hash: int
    tokens: int


class OrderState(NamedTuple):
    """The last ordered state of an engine, as the engine reports it."""

    # Fencing number of the last order that the engine accepted.
    fencing: int
    models: tuple[str, ...]
    role: str


class EngineOrder(NamedTuple):
    """An order that changes the state of an engine."""

    # Grows with each order; an engine that checks it rejects older orders.
    fencing: int
    # One of load, unload, role and drain.
    action: str
    subject: str


class EngineClient(Protocol):
    """A client of engines; each call ends within its timeout.

    Every call may raise the errors in
    :mod:`verbenathread.entry.engine_errors`.
    """

    def generate(
        self, engine: Address, request: GenerateRequest, send_by: Millis
    ) -> TokenStream:
        """Send the whole request of an attempt before ``send_by``.

        The first read of the stream shows whether the engine accepted it.
        """

    def cancel(self, engine: Address, attempt_id: str, timeout: Millis) -> bool:
        """Cancel an attempt; return whether it still holds memory."""

    def holds(self, engine: Address, timeout: Millis) -> tuple[Hold, ...]:
        """Return the memory that the engine holds, by attempt."""

    def load(self, engine: Address, timeout: Millis) -> LoadReport:
        """Return the latest load report."""

    def cache_events(
        self, engine: Address, after: int, timeout: Millis
    ) -> tuple[CacheEvent, ...]:
        """Return the cache events with numbers above ``after``."""

    def export_kv(self, engine: Address, kv_id: str, timeout: Millis) -> bytes:
        """Return the exported KV cache of an attempt."""

    def import_kv(
        self, engine: Address, kv_id: str, content: bytes, timeout: Millis
    ) -> None:
        """Import an exported KV cache."""

    def read_orders(self, engine: Address, timeout: Millis) -> OrderState:
        """Return the last ordered state of the engine."""

    def order(
        self, engine: Address, order: EngineOrder, timeout: Millis
    ) -> OrderState:
        """Send an order; raise ``EngineRejectedError`` if it is outdated."""
