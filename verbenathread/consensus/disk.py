"""Durable storage of a replica in one data folder."""

import uuid
from collections.abc import Callable, Sequence
from pathlib import Path

from verbenathread.consensus.files import DiskFiles, Files
from verbenathread.consensus.folder import REPLACE_MEMBER, DataFolder
from verbenathread.consensus.segments import SegmentLog, saved_ballot
from verbenathread.consensus.storage import Ballot, SavedState
from verbenathread.exceptions import DiskFullError, StorageError
from verbenathread.schema.consensus_pb2 import (
    DiskRecord,
    LogEntry,
    LogSnapshot,
    StoreIdentity,
)

_IDENTITY_NAME = 'identity'
_SNAPSHOT_PREFIX = 'snapshot-'


class RecordStorage:
    """Storage on top of any :class:`Files`."""

    def __init__(self, files: Files) -> None:
        """Use ``files``; none is accessed before :meth:`load`."""
        self._folder = DataFolder(files)
        self._segments = SegmentLog(self._folder)

    async def load(self, cluster: str, node_id: str) -> SavedState:
        """Load the folder, or create a new store in an empty one."""
        while True:
            try:
                saved = await self._load(cluster, node_id)
            except DiskFullError as error:
                self._segments = SegmentLog(self._folder)
                await self._folder.wait_for_space(error)
                continue
            self._folder.space_found()
            return saved

    async def save_ballot(self, ballot: Ballot) -> None:
        """Save the term and the vote with one sync."""
        self._segments.replay.ballot = ballot
        await self._segments.append(DiskRecord(ballot=saved_ballot(ballot)))

    async def append(self, entries: Sequence[LogEntry]) -> None:
        """Append entries with one sync."""
        await self._segments.append(DiskRecord(entries=entries))

    async def compact(self, snapshot: LogSnapshot, keep_after: int) -> None:
        """Save a snapshot, start a segment and remove obsolete ones.

        Raises DiskFullError if there is no space; the log stays as it is.
        """
        await self._write_snapshot(snapshot)
        await self._segments.begin_segment()
        await self._segments.remove_oldest(keep_after)

    async def reset(self, snapshot: LogSnapshot) -> None:
        """Save a snapshot and start an empty log after it."""
        while True:
            try:
                await self._reset(snapshot)
            except DiskFullError as error:
                await self._folder.wait_for_space(error)
                continue
            self._folder.space_found()
            return

    def is_full(self) -> bool:
        """Return whether a write waits for space."""
        return self._folder.is_full

    def set_on_full(self, on_full: Callable[[], None]) -> None:
        """Call ``on_full`` whenever a write begins to wait for space."""
        self._folder.on_full = on_full

    def sync_count(self) -> int:
        """Return the number of syncs since the start."""
        return self._folder.sync_count

    def close(self) -> None:
        """Close the files."""
        self._folder.close()

    async def _reset(self, snapshot: LogSnapshot) -> None:
        await self._write_snapshot(snapshot)
        await self._segments.reset(snapshot.index, snapshot.term)

    async def _load(self, cluster: str, node_id: str) -> SavedState:
        self._folder.lock()
        names = self._folder.remove_temporary_files()
        snapshot = self._read_snapshot(names)
        await self._segments.read(names)
        if _IDENTITY_NAME not in names:
            await self._create_identity(cluster, node_id, snapshot)
        identity = self._check_identity(cluster, node_id)
        await self._align_log_with_snapshot(snapshot)
        replay = self._segments.replay
        saved = SavedState(
            store_id=identity.store_id,
            ballot=replay.ballot,
            base_index=replay.base_index,
            base_term=replay.base_term,
            entries=replay.entries,
            snapshot=snapshot,
        )
        # The replica keeps the entries; only the end of the log is needed here.
        replay.entries = []
        return saved

    async def _create_identity(
        self, cluster: str, node_id: str, snapshot: LogSnapshot | None
    ) -> None:
        if snapshot is not None or self._segments.replay.has_content():
            raise StorageError(
                f'{self._folder.path(_IDENTITY_NAME)} is missing although the '
                f'folder has a log. {REPLACE_MEMBER}'
            )
        if self._segments.is_empty():
            await self._segments.begin_segment()
        identity = StoreIdentity(
            cluster=cluster, node_id=node_id, store_id=uuid.uuid4().hex
        )
        await self._folder.write_record(
            _IDENTITY_NAME, identity.SerializeToString()
        )

    def _check_identity(self, cluster: str, node_id: str) -> StoreIdentity:
        identity = StoreIdentity.FromString(
            self._folder.read_record(_IDENTITY_NAME)
        )
        path = self._folder.path(_IDENTITY_NAME)
        if identity.cluster != cluster:
            raise StorageError(
                f'{path} belongs to cluster {identity.cluster}, not to '
                f'{cluster}; correct data_folder or cluster in the settings.'
            )
        if identity.node_id != node_id:
            raise StorageError(
                f'{path} belongs to node {identity.node_id}, not to '
                f'{node_id}; correct data_folder or id in the settings.'
            )
        if self._segments.is_empty():
            raise StorageError(
                f'All segments of the log beside {path} are missing. '
                f'{REPLACE_MEMBER}'
            )
        return identity

    async def _align_log_with_snapshot(
        self, snapshot: LogSnapshot | None
    ) -> None:
        """Reset a log that a crash left inconsistent with the snapshot."""
        replay = self._segments.replay
        index = 0 if snapshot is None else snapshot.index
        if replay.base_index > index:
            raise StorageError(
                f'{self._folder.path(_SNAPSHOT_PREFIX)}* of entry '
                f'{replay.base_index} or a later one is missing; the log '
                f'begins after that entry. {REPLACE_MEMBER}'
            )
        if snapshot is None:
            return
        if replay.term_at(snapshot.index) != snapshot.term:
            await self._segments.reset(snapshot.index, snapshot.term)

    def _read_snapshot(self, names: list[str]) -> LogSnapshot | None:
        found = [name for name in names if name.startswith(_SNAPSHOT_PREFIX)]
        if not found:
            return None
        return LogSnapshot.FromString(self._folder.read_record(found[-1]))

    async def _write_snapshot(self, snapshot: LogSnapshot) -> None:
        name = f'{_SNAPSHOT_PREFIX}{snapshot.index:016d}'
        await self._folder.write_record(name, snapshot.SerializeToString())
        for other in self._folder.names():
            if other.startswith(_SNAPSHOT_PREFIX) and other < name:
                self._folder.remove(other)


class FileStorage(RecordStorage):
    """Storage in one data folder on disk."""

    def __init__(self, data_folder: str | Path) -> None:
        """Use ``data_folder``, which is created if missing."""
        super().__init__(DiskFiles(Path(data_folder)))
