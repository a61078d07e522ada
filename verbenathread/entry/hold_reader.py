"""What engines hold, read over HTTP."""

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
    """Reads ``/v1/holds`` of an engine, over a pool of its own."""

    def __init__(self, clock: Clock) -> None:
        """Take the clock that bounds each call."""
        self._client = HttpEngineClient(ConnectionPool(clock), clock)

    def holds(
        self, record: UpstreamRecord, timeout: Millis
    ) -> tuple[EngineHold, ...]:
        """Return the attempts that it holds memory for.

        Raises :class:`UnavailableError` when it can't be read in time.
        """
        try:
            listed = self._client.holds(record.address, timeout)
        except (
            EngineBrokenError,
            EngineNotRunError,
            EngineRejectedError,
        ) as error:
            raise UnavailableError(
                f'{record.upstream_id} does not list what it holds ({error}):'
                + ' see whether it runs and serves /v1/holds.'
            ) from error
        return tuple(
            EngineHold(
                attempt_id=hold.attempt_id,
                memory_tokens=hold.memory_tokens,
                # The engine does not tell them apart.
                prompt_tokens=hold.memory_tokens,
                output_tokens=0,
                entry_id=hold.owner.node_id,
            )
            for hold in listed
        )
