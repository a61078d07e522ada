"""Data folder with atomic file creation and a count of syncs."""

import asyncio
import errno
from collections.abc import Callable
from typing import TypeVar

from verbenathread.clock import seconds
from verbenathread.consensus import records
from verbenathread.consensus.files import Files
from verbenathread.exceptions import DiskFullError, StorageError
from verbenathread.observability.logs import get_logger
from verbenathread.types import Millis

_log = get_logger('consensus')

_FULL_ERRORS = frozenset((errno.ENOSPC, errno.EDQUOT))
# How often a write to a full disk is tried again.
_FULL_RETRY_INTERVAL: Millis = 100

TEMPORARY_SUFFIX = '.tmp'
REPLACE_MEMBER = (
    'Keep the folder for inspection, give this node an empty one with '
    '"join = yes" (for a directory process, "bootstrap = no"), and replace the '
    'member in the group.'
)


_Result = TypeVar('_Result')


class DataFolder:
    """Files of one replica; errors name the file and the remedy."""

    def __init__(self, files: Files) -> None:
        """Use ``files``."""
        self._files = files
        self.sync_count = 0
        # A write waits for space; ``on_full`` is called when the wait begins.
        self.is_full = False
        self.on_full: Callable[[], None] | None = None

    def lock(self) -> None:
        """Lock the folder against other processes."""
        self._wrap_errors('', self._files.lock)

    def close(self) -> None:
        """Close the files."""
        self._files.close()

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return self._wrap_errors('', self._files.names)

    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""
        return self._wrap_errors(name, lambda: self._files.read(name))

    def append(self, name: str, content: bytes) -> None:
        """Append to a file."""
        self._wrap_errors(name, lambda: self._files.append(name, content))

    def overwrite(self, name: str, content: bytes) -> None:
        """Write at the start of a file."""
        self._wrap_errors(name, lambda: self._files.overwrite(name, content))

    def truncate(self, name: str, length: int) -> None:
        """Shorten a file."""
        self._wrap_errors(name, lambda: self._files.truncate(name, length))

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._wrap_errors(name, lambda: self._files.remove(name))

    async def wait_for_space(self, error: DiskFullError) -> None:
        """Wait a moment before a write that failed is tried again.

        The caller clears the state with :meth:`space_found`.
        """
        if not self.is_full:
            self.is_full = True
            _log.error('The disk is full; writes wait.', reason=str(error))
            if self.on_full is not None:
                self.on_full()
        await asyncio.sleep(seconds(_FULL_RETRY_INTERVAL))

    def space_found(self) -> None:
        """Record that a write succeeded."""
        if self.is_full:
            self.is_full = False
            _log.info('The disk takes writes again.')

    def remove_temporary_files(self) -> list[str]:
        """Remove files left incomplete by a crash; return the other names."""
        kept = []
        for name in self.names():
            if name.endswith(TEMPORARY_SUFFIX):
                self.remove(name)
                continue
            kept.append(name)
        return kept

    def path(self, name: str) -> str:
        """Return the path of a file, for messages."""
        return self._files.path(name)

    def read_record(self, name: str) -> bytes:
        """Return the payload of a file with a single record."""
        payload = records.unpack(self.read(name), 0, 0)
        if payload is None:
            raise StorageError(
                f'{self.path(name)} is damaged at offset 0. {REPLACE_MEMBER}'
            )
        return payload

    async def write_record(self, name: str, payload: bytes) -> None:
        """Atomically create and sync a file with a single record."""
        await self.write_atomic(name, records.pack(payload, 0, 0))

    async def write_atomic(self, name: str, content: bytes) -> None:
        """Atomically create and sync a file."""
        temporary = name + TEMPORARY_SUFFIX
        self._write_temporary(temporary, content)
        await self.sync(temporary)
        self._wrap_errors(name, lambda: self._files.rename(temporary, name))
        await self.sync_folder()

    async def sync(self, name: str) -> None:
        """Sync the content of a file."""
        self.sync_count += 1
        try:
            await self._files.sync(name)
        except OSError as error:
            raise self._sync_error(name, error) from error

    async def sync_folder(self) -> None:
        """Sync the directory entries of the folder."""
        self.sync_count += 1
        try:
            await self._files.sync_folder()
        except OSError as error:
            raise self._sync_error('', error) from error

    def _write_temporary(self, name: str, content: bytes) -> None:
        try:
            self.append(name, content)
        except DiskFullError:
            # The rest of it would take space, and precede a later attempt.
            if name in self.names():
                self.remove(name)
            raise

    def _wrap_errors(self, name: str, work: Callable[[], _Result]) -> _Result:
        try:
            return work()
        except OSError as error:
            if error.errno in _FULL_ERRORS:
                raise DiskFullError(
                    f'{self.path(name)} cannot be written: {error}. Free some '
                    'space; this replica goes on by itself.'
                ) from error
            raise StorageError(
                f'{self.path(name)} cannot be read or written: {error}. '
                'Check the permissions and the disk space, then start this '
                'replica again.'
            ) from error

    def _sync_error(self, name: str, error: OSError) -> StorageError:
        return StorageError(
            f'{self.path(name)} could not be synced: {error}. Its content is '
            f'now unknown. Check the disk. {REPLACE_MEMBER}'
        )
