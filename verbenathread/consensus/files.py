"""File access and syncing in one data folder."""

import asyncio
import fcntl
import os
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Protocol

from verbenathread.exceptions import StorageError

_LOCK_NAME = 'lock'
_FILE_MODE = 0o600


class Files(Protocol):
    """Files in one folder. Unsynced changes may be lost in a crash.

    Errors of the operating system are raised as OSError.
    """

    def lock(self) -> None:
        """Lock the folder against other processes, or raise StorageError."""

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""

    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""

    def append(self, name: str, content: bytes) -> None:
        """Append to a file, creating it if missing."""

    def overwrite(self, name: str, content: bytes) -> None:
        """Write at the start of a file, creating it if missing."""

    def truncate(self, name: str, length: int) -> None:
        """Shorten a file."""

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, replacing any file with the new name."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    async def sync(self, name: str) -> None:
        """Return once the content of a file is durable."""

    async def sync_folder(self) -> None:
        """Return once created, renamed and removed names are durable."""

    def path(self, name: str) -> str:
        """Return the path of a file, for messages."""

    def close(self) -> None:
        """Close all files and release the lock."""


class DiskFiles:
    """Files on disk; syncs run in a thread so that they don't delay heartbeats.

    The thread is dedicated to syncs, so other work can't delay them.
    """

    def __init__(self, folder: Path) -> None:
        """Use ``folder``, which :meth:`lock` creates if missing."""
        self._folder = folder
        self._descriptor_by_name: dict[str, int] = {}
        self._thread = ThreadPoolExecutor(1, 'consensus-sync')

    def lock(self) -> None:
        """Hold an advisory lock until :meth:`close`."""
        if not self._folder.exists():
            self._folder.mkdir(parents=True)
            _sync_folder(self._folder.parent)
        descriptor = self._open(_LOCK_NAME)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self.close()
            raise StorageError(
                f'{self._folder} is in use by another process; stop that '
                'process or configure a separate data folder.'
            ) from None

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        names = []
        for entry in self._folder.iterdir():
            if entry.is_file() and entry.name != _LOCK_NAME:
                names.append(entry.name)
        return sorted(names)

    def read(self, name: str) -> bytes:
        """Return the whole content of a file."""
        return (self._folder / name).read_bytes()

    def append(self, name: str, content: bytes) -> None:
        """Append to a file."""
        descriptor = self._open(name)
        self._write(descriptor, content, os.lseek(descriptor, 0, os.SEEK_END))

    def overwrite(self, name: str, content: bytes) -> None:
        """Write at the start of a file."""
        self._write(self._open(name), content, 0)

    def truncate(self, name: str, length: int) -> None:
        """Shorten a file."""
        os.ftruncate(self._open(name), length)

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, replacing any file with the new name."""
        self._close(name)
        self._close(new_name)
        (self._folder / name).replace(self._folder / new_name)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close(name)
        (self._folder / name).unlink()

    async def sync(self, name: str) -> None:
        """Sync the content of a file."""
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self._thread, os.fsync, self._open(name))

    async def sync_folder(self) -> None:
        """Sync the directory entries of the folder."""
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self._thread, _sync_folder, self._folder)

    def path(self, name: str) -> str:
        """Return the path of a file."""
        return str(self._folder / name)

    def close(self) -> None:
        """Close every file, which also releases the lock."""
        self._thread.shutdown(wait=False, cancel_futures=True)
        for name in tuple(self._descriptor_by_name):
            self._close(name)

    def _open(self, name: str) -> int:
        descriptor = self._descriptor_by_name.get(name)
        if descriptor is None:
            descriptor = os.open(
                self._folder / name, os.O_RDWR | os.O_CREAT, _FILE_MODE
            )
            self._descriptor_by_name[name] = descriptor
        return descriptor

    def _close(self, name: str) -> None:
        descriptor = self._descriptor_by_name.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def _write(self, descriptor: int, content: bytes, offset: int) -> None:
        written = 0
        while written < len(content):
            written += os.pwrite(
                descriptor, content[written:], offset + written
            )


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    except OSError:
        os.close(descriptor)
        raise
    os.close(descriptor)
