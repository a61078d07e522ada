"""Session of a node with any control process: reports up, settings down."""

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

# A report goes up this often, and at once after an update.
_REPORT_MS = 1000
_FIRST_BACKOFF_MS = 50
_LONGEST_BACKOFF_MS = 2000
# Control sends something every few seconds; after this silence another
# process is tried.
_SILENCE_MS = 8000
# A control process that answers no ping for this long is given up.
_PING_EVERY_S = 3.0
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
    """Return a channel that notices a control process that went silent."""
    config = Configuration(
        _keepalive_time=_PING_EVERY_S,
        _keepalive_timeout=_PING_TIMEOUT_S,
        _keepalive_permit_without_calls=False,
        _http2_max_pings_without_data=0,
    )
    return PeerChannel(address.host, address.port, config=config)


class ControlSession:
    """One task that holds a session with one control process at a time."""

    def __init__(
        self,
        addresses: Sequence[Address],
        settings_store: SettingsStore,
        report: Callable[[], control_pb2.NodeReport],
        rng: random.Random,
    ) -> None:
        """``report`` tells who the node is and what it runs."""
        self._addresses = tuple(addresses)
        self._settings_store = settings_store
        self._report = report
        self._rng = rng
        self._due = asyncio.Event()
        # Whether the present session brought anything.
        self._heard = False

    def report_soon(self) -> None:
        """Send a report now instead of at its time."""
        self._due.set()

    async def run(self) -> None:
        """Hold a session, with any control process, until cancelled."""
        backoff = _FIRST_BACKOFF_MS
        position = self._rng.randrange(len(self._addresses))
        while True:
            address = self._addresses[position % len(self._addresses)]
            position += 1
            self._heard = False
            await self._hold(address)
            if self._heard:
                backoff = _FIRST_BACKOFF_MS
            jitter = self._rng.uniform(0.5, 1)
            await asyncio.sleep(seconds(int(backoff * jitter)))
            backoff = min(backoff * 2, _LONGEST_BACKOFF_MS)

    async def _hold(self, address: Address) -> None:
        """Hold one session to its end."""
        channel = control_channel(address)
        stub = control_grpc.ControlStub(channel)
        try:
            async with stub.Session.open() as stream:
                await stream.send_message(self._report())
                await self._follow(stream)
        except RPC_ERRORS as error:
            _log.info(
                'A session with control ended.',
                control=str(address),
                why=str(error),
            )
        finally:
            channel.close()

    async def _follow(self, stream: _SessionStream) -> None:
        async with BackgroundTask(self._send_reports(stream)):
            while True:
                async with asyncio.timeout(seconds(_SILENCE_MS)):
                    update = await stream.recv_message()
                if update is None:
                    raise ConnectionResetError('control closed the session')
                self._heard = True
                if self._settings_store.apply(update):
                    self._due.set()

    async def _send_reports(self, stream: _SessionStream) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds(_REPORT_MS)):
                    await self._due.wait()
            self._due.clear()
            await stream.send_message(self._report())
