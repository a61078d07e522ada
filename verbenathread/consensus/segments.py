"""Segment files that store the log, the term and the vote.

All share one sequence of records, so that each change costs one sync. Each
append is one record. If a crash tears the last one, no valid record can follow
it, so a valid record after an invalid one means damage.
"""

from verbenathread.consensus import records
from verbenathread.consensus.folder import REPLACE_MEMBER, DataFolder
from verbenathread.consensus.replay import Replay, Segment
from verbenathread.consensus.storage import Ballot
from verbenathread.exceptions import DiskFullError, StorageError
from verbenathread.observability.logs import get_logger
from verbenathread.schema.consensus_pb2 import (
    DiskRecord,
    SavedBallot,
    SegmentHead,
    SyncedMark,
)

_log = get_logger('consensus')

_SEGMENT_PREFIX = 'segment-'
_MARK_NAME = 'mark'
# Length at which a new segment is started.
_SEGMENT_ROTATION_BYTES = 0x1000000


class SegmentLog:
    """Appends records, and reads them back after a restart."""

    def __init__(self, folder: DataFolder) -> None:
        """Use ``folder``; no file is accessed before :meth:`read`."""
        self._folder = folder
        self._segments: list[Segment] = []
        # True from the start of an append until it is synced.
        self._append_pending = False
        self.replay = Replay()

    def is_empty(self) -> bool:
        """Return whether there are no segments."""
        return not self._segments

    async def read(self, names: list[str]) -> None:
        """Read every segment; truncate an append torn by a crash."""
        numbers = _segment_numbers(names)
        mark = self._read_mark(names)
        if numbers and mark.segment > numbers[-1]:
            raise self._damage_error(mark.segment, 0, 'the segment is missing')
        for number in numbers:
            if self._segments and number != self._segments[-1].number + 1:
                raise self._damage_error(
                    number - 1, 0, 'the segment is missing'
                )
            synced = mark.length if mark.segment == number else 0
            self._read_segment(number, synced, is_last=number == numbers[-1])
        if numbers:
            # The previous process may have left writes that are not yet synced.
            await self._folder.sync(_segment_name(numbers[-1]))

    async def append(self, record: DiskRecord) -> None:
        """Append one record with one sync."""
        if self._append_pending:
            raise StorageError(
                'An earlier append was interrupted, so the end of the log '
                'is unknown; start this replica again.'
            )
        self._append_pending = True
        await self._append(record)
        self._append_pending = False

    async def begin_segment(self) -> None:
        """Create a segment whose first record gives the end of the log."""
        number = 1
        if self._segments:
            number = self._segments[-1].number + 1
        replay = self.replay
        head = SegmentHead(
            base_index=replay.last_index, base_term=replay.last_term
        )
        record = DiskRecord(segment=head, ballot=saved_ballot(replay.ballot))
        packed = records.pack(record.SerializeToString(), number, 0)
        await self._folder.write_atomic(_segment_name(number), packed)
        self._segments.append(Segment(number, len(packed)))
        self._write_mark()

    async def reset(self, index: int, term: int) -> None:
        """Start an empty log after an index and remove older segments."""
        self.replay.reset(index, term)
        await self.begin_segment()
        for segment in self._segments[:-1]:
            segment.last_index = 0
        await self.remove_oldest(index)

    async def remove_oldest(self, keep_after: int) -> None:
        """Remove segments up to ``keep_after``, oldest first.

        Each removal is synced before the next one, so that a crash never
        leaves a gap between segments.
        """
        while len(self._segments) > 1:
            oldest = self._segments[0]
            if oldest.last_index > keep_after:
                return
            self._folder.remove(_segment_name(oldest.number))
            await self._folder.sync_folder()
            self._segments.pop(0)

    async def _append(self, record: DiskRecord) -> None:
        segment = self._segments[-1]
        name = _segment_name(segment.number)
        packed = records.pack(
            record.SerializeToString(), segment.number, segment.length
        )
        await self._write_record(segment, packed)
        await self._folder.sync(name)
        segment.length += len(packed)
        if record.entries:
            last = record.entries[-1]
            segment.last_index = max(segment.last_index, last.index)
            self.replay.set_end(last.index, last.term)
        try:
            self._write_mark()
            if segment.length >= _SEGMENT_ROTATION_BYTES:
                await self.begin_segment()
        except DiskFullError as error:
            # The record is durable; the next append tries again.
            _log.warning('The log was not rotated.', reason=str(error))

    async def _write_record(self, segment: Segment, packed: bytes) -> None:
        """Append a record, waiting while the disk is full."""
        name = _segment_name(segment.number)
        is_torn = False
        while True:
            try:
                if is_torn:
                    self._folder.truncate(name, segment.length)
                self._folder.append(name, packed)
            except DiskFullError as error:
                is_torn = True
                await self._folder.wait_for_space(error)
                continue
            self._folder.space_found()
            return

    def _read_segment(self, number: int, synced: int, *, is_last: bool) -> None:
        name = _segment_name(number)
        content = self._folder.read(name)
        found = records.scan(content, number)
        valid_length = found.valid_length
        if found.resync_offset >= 0:
            raise self._damage_error(
                number,
                valid_length,
                f'a valid record follows at offset {found.resync_offset}',
            )
        if valid_length < synced:
            raise self._damage_error(
                number, valid_length, f'{synced} bytes were synced'
            )
        if not found.payloads:
            raise self._damage_error(
                number, valid_length, 'its first record is invalid'
            )
        if valid_length < len(content):
            if not is_last:
                raise self._damage_error(
                    number, valid_length, 'a later segment follows'
                )
            # A crash tore the last append, which was never acknowledged.
            self._folder.truncate(name, valid_length)
        self._replay_records(Segment(number, valid_length), found.payloads)

    def _replay_records(self, segment: Segment, payloads: list[bytes]) -> None:
        self._segments.append(segment)
        for payload in payloads:
            if not self.replay.apply(DiskRecord.FromString(payload), segment):
                raise self._damage_error(
                    segment.number, 0, 'it lacks earlier entries of the log'
                )

    def _read_mark(self, names: list[str]) -> SyncedMark:
        mark = SyncedMark()
        if _MARK_NAME not in names:
            return mark
        payload = records.unpack(self._folder.read(_MARK_NAME), 0, 0)
        if payload is not None:
            mark.ParseFromString(payload)
        return mark

    def _write_mark(self) -> None:
        """Record the synced length.

        The mark itself is not synced, so it may be too low but never too high.
        """
        segment = self._segments[-1]
        mark = SyncedMark(segment=segment.number, length=segment.length)
        packed = records.pack(mark.SerializeToString(), 0, 0)
        self._folder.overwrite(_MARK_NAME, packed)

    def _damage_error(
        self, number: int, offset: int, reason: str
    ) -> StorageError:
        path = self._folder.path(_segment_name(number))
        return StorageError(
            f'{path} is damaged at offset {offset}: {reason}. {REPLACE_MEMBER}'
        )


def saved_ballot(ballot: Ballot) -> SavedBallot:
    """Return the on-disk form of a ballot."""
    return SavedBallot(term=ballot.term, vote=ballot.vote)


def _segment_numbers(names: list[str]) -> list[int]:
    numbers = []
    for name in names:
        if name.startswith(_SEGMENT_PREFIX):
            numbers.append(int(name.removeprefix(_SEGMENT_PREFIX)))
    return numbers


def _segment_name(number: int) -> str:
    return f'{_SEGMENT_PREFIX}{number:016d}'
