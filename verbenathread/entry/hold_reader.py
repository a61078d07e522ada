"""Reads over HTTP which attempts an engine holds memory for."""

from verbenathread.clock import Clock
from verbenathread.entry.connections import ConnectionPool
from verbenathread.entry.engine_errors import (
    EngineBrokenError,
    EngineNotRunError,
    EngineRejectedError,
)
from verbenathread.entry.engine_http import HttpEngineClient
from verbenathread.exceptions import UnavailableError
from verbenathread.scheduling.messages import EngineHold
from verbenathread.types import Millis, UpstreamRecord


class HttpHoldReader:
    """Reads ``/v1/holds`` of engines over its own connection pool."""

    def __init__(self, clock: Clock) -> None:
        """Create the pool; ``clock`` is used for the timeouts."""
        self._client = HttpEngineClient(ConnectionPool(clock), clock)

    def holds(
        self, record: UpstreamRecord, timeout: Millis
    ) -> tuple[EngineHold, ...]:
        """Return the attempts that the engine holds memory for.

        Raises :class:`UnavailableError` if they cannot be read in time.
        """
        try:
            holds = self._client.holds(record.address, timeout)
        except (
            EngineBrokenError,
            EngineNotRunError,
            EngineRejectedError,
        ) as error:
            raise UnavailableError(
                f'Could not read the holds of {record.upstream_id} ({error}):'
                + ' check that it is running and serves /v1/holds.'
            ) from error
        return tuple(
            EngineHold(
                attempt_id=hold.attempt_id,
                memory_tokens=hold.memory_tokens,
                # The engine does not separate prompt from output.
                prompt_tokens=hold.memory_tokens,
                output_tokens=0,
                entry_id=hold.owner.node_id,
            )
            for hold in holds
        )
