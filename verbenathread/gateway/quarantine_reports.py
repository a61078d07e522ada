"""Reports parts under which workers crash to the leader of the directory."""

import asyncio

from verbenathread.clock import seconds
from verbenathread.gateway.quarantine import Quarantine
from verbenathread.gateway.view import ClusterView
from verbenathread.observability.logs import get_logger
from verbenathread.rpc_channel import RPC_ERRORS, PeerChannel, call_within
from verbenathread.schema import directory_pb2 as messages
from verbenathread.schema.directory_grpc import DirectoryStub
from verbenathread.serving.crash_evidence import PartGroup
from verbenathread.types import Millis

_log = get_logger('gateway')

# How often groups that are not listed yet are reported, or looked at, as those
# that another gateway may report become due with time.
_INTERVAL: Millis = 500
_CALL_TIMEOUT: Millis = 1000


class QuarantineReports:
    """Reports what :class:`Quarantine` finds until it is listed."""

    def __init__(self, quarantine: Quarantine, view: ClusterView) -> None:
        """Report to the leader that updates ``view``."""
        self._quarantine = quarantine
        self._view = view
        self._found = asyncio.Event()
        quarantine.on_found = self._found.set

    async def run(self) -> None:
        """Report each group until the directory lists it."""
        while True:
            while self._quarantine.has_unlisted():
                groups = self._quarantine.unreported()
                if groups:
                    await self._report(groups)
                await asyncio.sleep(seconds(_INTERVAL))
            await self._found.wait()
            self._found.clear()

    async def _report(self, groups: list[PartGroup]) -> None:
        leader = self._view.leader
        if leader is None:
            return
        channel = PeerChannel(leader.host, leader.port)
        stub = DirectoryStub(channel)
        try:
            for group in groups:
                message = messages.PartGroup(parts=sorted(group))
                await call_within(  # noqa: WPS476 - one by one
                    stub.Quarantine(message), _CALL_TIMEOUT
                )
        except RPC_ERRORS as error:
            _log.warning(
                'Could not report parts that crash workers.',
                address=str(leader),
                reason=repr(error),
            )
        finally:
            channel.close()
