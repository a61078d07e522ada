"""Sessions of nodes: receives reports and sends changes of the tree."""

import asyncio
import contextlib
from typing import Protocol

from verbenathread.clock import seconds
from verbenathread.control.nodes import NodeTable
from verbenathread.control.tree import BranchTree
from verbenathread.observability.logs import get_logger
from verbenathread.rpc_channel import call_within
from verbenathread.schema import control_pb2
from verbenathread.types import Millis

# An update that no report confirms is resent after this time, in ms.
RESEND_INTERVAL: Millis = 1000
# A node receives a message from control at least this often, in ms.
KEEPALIVE_INTERVAL: Millis = 3000
# A session without a report for this time is closed, in ms.
SESSION_TIMEOUT: Millis = 15_000

_log = get_logger('control')


class SessionStream(Protocol):
    """The server side of one session, as implemented by grpclib."""

    async def recv_message(self) -> control_pb2.NodeReport | None:
        """Return the next report, or None after the node closed."""

    async def send_message(self, message: control_pb2.TreeUpdate) -> None:
        """Send one update."""


class Sessions:
    """Serves the sessions of one control process, leader or follower."""

    def __init__(self, tree: BranchTree, nodes: NodeTable) -> None:
        """Send the branches of ``tree`` and record reports in ``nodes``."""
        self._tree = tree
        self._nodes = nodes
        self._leader = ''
        self._session_by_number: dict[int, Session] = {}
        self._opened = 0

    def __len__(self) -> int:
        """Return how many sessions are open."""
        return len(self._session_by_number)

    def wake(self, leader: str) -> None:
        """Let every session check for a newer revision."""
        self._leader = leader
        for session in self._session_by_number.values():
            session.wake()

    def update_for(self, revision: int) -> control_pb2.TreeUpdate | None:
        """Return the changes after ``revision``, or None if there are none.

        A process that is behind the node sends it no older revision.
        """
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
        """Return an update without changes that keeps the session alive."""
        return control_pb2.TreeUpdate(revision=revision, leader=self._leader)

    async def serve(
        self, first: control_pb2.NodeReport, stream: SessionStream
    ) -> None:
        """Serve one node until it closes or its reports time out."""
        self._opened += 1
        number = self._opened
        session = Session(self, first.revision)
        self._session_by_number[number] = session
        self._nodes.record_report(first)
        _log.info('Session opened.', node=first.node_id)
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
        _log.info('Session closed.', node=node_id)

    async def _receive(
        self,
        session: 'Session',
        first: control_pb2.NodeReport,
        stream: SessionStream,
    ) -> None:
        while True:
            try:
                report = await call_within(
                    stream.recv_message(), SESSION_TIMEOUT
                )
            except TimeoutError:
                return
            if report is None or report.node_id != first.node_id:
                return
            self._nodes.record_report(report)
            session.record_revision(report.revision)


class Session:
    """The revision that one node runs and the updates sent to it."""

    def __init__(self, sessions: Sessions, revision: int) -> None:
        """Start at the revision of the first report."""
        self._sessions = sessions
        self._revision = revision
        self._changed = asyncio.Event()

    def wake(self) -> None:
        """Let the sender check for a newer revision."""
        self._changed.set()

    def record_revision(self, revision: int) -> None:
        """Record the revision that the node reports."""
        if revision > self._revision:
            self._revision = revision
            self._changed.set()

    async def send(self, stream: SessionStream) -> None:
        """Send updates, and resend each until a report confirms it."""
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
        """Wait until there is a newer update or the time limit is over."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds(limit)
        while True:
            try:
                async with asyncio.timeout_at(end):
                    await self._changed.wait()
            except TimeoutError:
                return
            self._changed.clear()
            update = self._sessions.update_for(self._revision)
            if update is None and sent is not None:
                # The node confirmed the update; a keepalive is due next.
                sent = None
                end = loop.time() + seconds(KEEPALIVE_INTERVAL)
            if update is not None and update != sent:
                return
