"""Snapshot transfer to members that need entries no longer in the log.

Follows Raft (Ongaro and Ousterhout 2014, section 7).
"""

import zlib
from typing import NamedTuple

from verbenathread.consensus import members as membership
from verbenathread.consensus.applier import Applier
from verbenathread.consensus.follower import Follower
from verbenathread.consensus.state import Progress, ReplicaState
from verbenathread.consensus.transport import Transport
from verbenathread.observability.logs import get_logger
from verbenathread.schema.consensus_pb2 import (
    Envelope,
    InstallReply,
    InstallRequest,
    LogSnapshot,
)

_log = get_logger('consensus')

# Timeout of a snapshot chunk, in election timeouts. A member may need longer
# than one election timeout to sync the snapshot.
_INSTALL_ELECTION_TIMEOUTS = 5


class SentSnapshot(NamedTuple):
    """Index of a sent snapshot and the last reply to it."""

    snapshot_index: int
    reply: InstallReply


class SnapshotSender:
    """Sends the leader's state in chunks."""

    def __init__(
        self, state: ReplicaState, transport: Transport, applier: Applier
    ) -> None:
        """Take snapshots from ``applier``."""
        self._state = state
        self._transport = transport
        self._applier = applier

    async def send(self, progress: Progress, head: Envelope) -> SentSnapshot:
        """Send a current snapshot until it is installed or refused."""
        snapshot = self._applier.make_snapshot()
        image = snapshot.SerializeToString()
        checksum = zlib.crc32(image)
        _log.info(
            'Sending a snapshot.',
            member=progress.member.node_id,
            index=snapshot.index,
        )
        settings = self._state.settings
        offset = 0
        sending = True
        while sending:
            request = InstallRequest(
                head=head,
                index=snapshot.index,
                term=snapshot.term,
                offset=offset,
                chunk=image[offset : offset + settings.chunk_bytes],
                total=len(image),
                checksum=checksum,
            )
            reply = await self._transport.install(
                membership.peer_of(progress.member),
                request,
                settings.election_timeout * _INSTALL_ELECTION_TIMEOUTS,
            )
            sending = not reply.installed and reply.offset > offset
            offset = reply.offset
        return SentSnapshot(snapshot.index, reply)


class SnapshotReceiver:
    """Assembles the chunks of a snapshot and installs it."""

    def __init__(
        self, state: ReplicaState, follower: Follower, applier: Applier
    ) -> None:
        """Restore into ``applier``."""
        self._state = state
        self._follower = follower
        self._applier = applier
        # Identifies the snapshot that the received chunks belong to.
        self._key: tuple[str, int, int, int] = ('', 0, 0, 0)
        self._received = bytearray()

    async def install(self, request: InstallRequest) -> InstallReply:
        """Receive one chunk; install the snapshot after the last one."""
        state = self._state
        if not self._follower.accepts(request.head):
            return InstallReply(head=state.envelope())
        async with state.lock:
            if not await self._follower.follow_sender(request.head):
                return InstallReply(head=state.envelope())
            self._add_chunk(request)
            installed = False
            if len(self._received) == request.total:
                installed = await self._complete(request)
        return InstallReply(
            head=state.envelope(),
            offset=len(self._received),
            installed=installed,
        )

    def _add_chunk(self, request: InstallRequest) -> None:
        head = request.head
        key = (head.sender, head.term, request.index, request.checksum)
        if key != self._key:
            self._key = key
            self._received.clear()
        if request.offset == len(self._received):
            self._received.extend(request.chunk)

    async def _complete(self, request: InstallRequest) -> bool:
        image = bytes(self._received)
        self._key = ('', 0, 0, 0)
        if zlib.crc32(image) != request.checksum:
            _log.error('A received snapshot is damaged; it will be sent again.')
            self._received.clear()
            return False
        await self._install_snapshot(LogSnapshot.FromString(image))
        return True

    async def _install_snapshot(self, snapshot: LogSnapshot) -> None:
        state = self._state
        if snapshot.index <= state.commit_index:
            # The local state already includes the snapshot.
            return
        if state.log.term_at(snapshot.index) == snapshot.term:
            state.commit_to(snapshot.index)
            return
        await state.storage.reset(snapshot)
        state.log.reset(snapshot)
        self._applier.restore(snapshot)
        state.commit_to(snapshot.index)
        _log.info('A snapshot was installed.', index=snapshot.index)
