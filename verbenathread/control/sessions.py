"""Sessions of nodes: reports come in, newer branches of the tree go out."""

import asyncio
import contextlib
from typing import Protocol

from verbenathread.clock import seconds
from verbenathread.control.nodes import NodeTable
from verbenathread.control.tree import BranchTree
from verbenathread.observability.logs import get_logger
from verbenathread.schema import control_pb2
from verbenathread.types import Millis

# An update that no report names is sent again after this long, in ms.
RESEND_INTERVAL: Millis = 1000
# The node hears from control at least this often, in ms.
KEEPALIVE_INTERVAL: Millis = 3000
# A session without a report for this long is closed, in ms.
SESSION_TIMEOUT: Millis = 15_000

_log = get_logger('control')


class SessionStream(Protocol):
    """One session, as grpclib offers it to a server."""

    async def recv_message(self) -> control_pb2.NodeReport | None:
        """Return the next report, or None once the node closed."""

    async def send_message(self, message: control_pb2.TreeUpdate) -> None:
        """Send one update."""


class Sessions:
    """Serves the sessions of one control process, leader or not."""

    def __init__(self, tree: BranchTree, nodes: NodeTable) -> None:
        """Send what ``tree`` holds and tell ``nodes`` of reports."""
        self._tree = tree
        self._nodes = nodes
        self._leader = ''
        self._session_by_number: dict[int, Session] = {}
        self._opened = 0

    def __len__(self) -> int:
        """Return how many sessions are open."""
        return len(self._session_by_number)

    def wake(self, leader: str) -> None:
        """Let every session look for what is newer."""
        self._leader = leader
        for session in self._session_by_number.values():
            session.wake()

    def update_for(self, revision: int) -> control_pb2.TreeUpdate | None:
        """Return what a node at ``revision`` lacks; never an older one."""
        newest = self._tree.revision()
        if revision >= newest:
            return None
        delta = self._tree.delta(revision)
        return control_pb2.TreeUpdate(
            revision=newest,
            whole=revision == 0,
            branches=delta.branches,
            removed_paths=delta.removed_paths,
            leader=self._leader,
        )

    def keepalive_for(self, revision: int) -> control_pb2.TreeUpdate:
        """Return an update that only shows that control is there."""
        return control_pb2.TreeUpdate(revision=revision, leader=self._leader)

    async def serve(
        self, first: control_pb2.NodeReport, stream: SessionStream
    ) -> None:
        """Serve one node until it closes or falls silent."""
        self._opened += 1
        number = self._opened
        session = Session(self, first.revision)
        self._session_by_number[number] = session
        self._nodes.record_report(first)
        _log.info('A session opened.', node=first.node_id)
        with contextlib.ExitStack() as closing:
            closing.callback(self._close, number, first.node_id)
            sender = asyncio.create_task(session.send(stream))
            closing.callback(sender.cancel)
            receiver = asyncio.create_task(
                self._receive(session, first, stream)
            )
            closing.callback(receiver.cancel)
            await asyncio.wait(
                (sender, receiver), return_when=asyncio.FIRST_COMPLETED
            )

    def _close(self, number: int, node_id: str) -> None:
        self._session_by_number.pop(number)
        _log.info('A session closed.', node=node_id)

    async def _receive(
        self,
        session: 'Session',
        first: control_pb2.NodeReport,
        stream: SessionStream,
    ) -> None:
        while True:
            try:
                report = await asyncio.wait_for(
                    stream.recv_message(), seconds(SESSION_TIMEOUT)
                )
            except TimeoutError:
                return
            if report is None or report.node_id != first.node_id:
                return
            self._nodes.record_report(report)
            session.record_revision(report.revision)


class Session:
    """What one node runs and what it was sent."""

    def __init__(self, sessions: Sessions, revision: int) -> None:
        """Start at the revision that the node's first report names."""
        self._sessions = sessions
        self._revision = revision
        self._changed = asyncio.Event()

    def wake(self) -> None:
        """Let the sender look for what is newer."""
        self._changed.set()

    def record_revision(self, revision: int) -> None:
        """Take the revision that the node reports to run."""
        if revision > self._revision:
            self._revision = revision
            self._changed.set()

    async def send(self, stream: SessionStream) -> None:
        """Send what is newer, again and again until a report names it."""
        while True:
            self._changed.clear()
            update = self._sessions.update_for(self._revision)
            limit = KEEPALIVE_INTERVAL if update is None else RESEND_INTERVAL
            await stream.send_message(
                update or self._sessions.keepalive_for(self._revision)
            )
            await self._wait_to_send(limit, sent=update)

    async def _wait_to_send(
        self, limit: Millis, *, sent: control_pb2.TreeUpdate | None
    ) -> None:
        """Wait until something newer stands, or it is time to resend."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds(limit)
        while True:
            try:
                await asyncio.wait_for(
                    self._changed.wait(), max(0, end - loop.time())
                )
            except TimeoutError:
                return
            self._changed.clear()
            update = self._sessions.update_for(self._revision)
            if update is None and sent is not None:
                # The node has it: the next word is a keepalive, in its time.
                sent = None
                end = loop.time() + seconds(KEEPALIVE_INTERVAL)
            if update is not None and update != sent:
                return
