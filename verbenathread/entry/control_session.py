"""Session of a node with a control process.

The node sends its reports and receives updates of the shared settings.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable, Sequence

import grpclib
from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.exceptions import StreamTerminatedError

from verbenathread.clock import seconds
from verbenathread.entry.background_task import BackgroundTask
from verbenathread.entry.settings_store import SettingsStore
from verbenathread.observability.logs import get_logger
from verbenathread.rpc_channel import PeerChannel
from verbenathread.schema import control_grpc, control_pb2
from verbenathread.types import Address

# A report is sent this often, and at once after an update.
_REPORT_INTERVAL_MS = 1000
_INITIAL_BACKOFF_MS = 50
_MAX_BACKOFF_MS = 2000
# Control sends a message every few seconds; without one for this long, another
# control process is tried.
_RECEIVE_TIMEOUT_MS = 8000
# The connection is closed if a ping gets no reply within the timeout.
_PING_INTERVAL_S = 3.0
_PING_TIMEOUT_S = 3.0

RPC_ERRORS = (
    grpclib.GRPCError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
    asyncio.TimeoutError,
)

_SessionStream = grpclib.client.Stream[
    control_pb2.NodeReport, control_pb2.TreeUpdate
]

_log = get_logger('session')


def control_channel(address: Address) -> Channel:
    """Return a channel that detects an unresponsive control process."""
    config = Configuration(
        _keepalive_time=_PING_INTERVAL_S,
        _keepalive_timeout=_PING_TIMEOUT_S,
        _keepalive_permit_without_calls=False,
        _http2_max_pings_without_data=0,
    )
    return PeerChannel(address.host, address.port, config=config)


class ControlSession:
    """Keeps a session with one control process at a time."""

    def __init__(
        self,
        addresses: Sequence[Address],
        settings_store: SettingsStore,
        report: Callable[[], control_pb2.NodeReport],
        rng: random.Random,
    ) -> None:
        """Send what ``report`` returns; apply updates to the store."""
        self._addresses = tuple(addresses)
        self._settings_store = settings_store
        self._report = report
        self._rng = rng
        self._report_due = asyncio.Event()
        # Whether the current session received any update.
        self._received = False

    def report_soon(self) -> None:
        """Send the next report now instead of after the interval."""
        self._report_due.set()

    async def run(self) -> None:
        """Keep a session with one of the addresses until cancelled."""
        backoff = _INITIAL_BACKOFF_MS
        position = self._rng.randrange(len(self._addresses))
        while True:
            address = self._addresses[position % len(self._addresses)]
            position += 1
            self._received = False
            await self._run_session(address)
            if self._received:
                backoff = _INITIAL_BACKOFF_MS
            jitter = self._rng.uniform(0.5, 1)
            await asyncio.sleep(seconds(int(backoff * jitter)))
            backoff = min(backoff * 2, _MAX_BACKOFF_MS)

    async def _run_session(self, address: Address) -> None:
        """Run one session until it ends."""
        channel = control_channel(address)
        stub = control_grpc.ControlStub(channel)
        try:
            async with stub.Session.open() as stream:
                await stream.send_message(self._report())
                await self._apply_updates(stream)
        except RPC_ERRORS as error:
            _log.info(
                'Control session ended.',
                control=str(address),
                why=str(error),
            )
        finally:
            channel.close()

    async def _apply_updates(self, stream: _SessionStream) -> None:
        async with BackgroundTask(self._send_reports(stream)):
            while True:
                async with asyncio.timeout(seconds(_RECEIVE_TIMEOUT_MS)):
                    update = await stream.recv_message()
                if update is None:
                    raise ConnectionResetError('control closed the session')
                self._received = True
                if self._settings_store.apply(update):
                    self._report_due.set()

    async def _send_reports(self, stream: _SessionStream) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds(_REPORT_INTERVAL_MS)):
                    await self._report_due.wait()
            self._report_due.clear()
            await stream.send_message(self._report())
