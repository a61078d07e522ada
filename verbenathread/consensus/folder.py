"""A data folder in which whole files appear at once, and syncs are counted."""

from verbenathread.consensus import records
from verbenathread.consensus.files import Files
from verbenathread.exceptions import StorageError

TEMPORARY = '.tmp'
REPLACE = (
    'Keep the folder for inspection, give this node an empty one with '
    '"join = yes", and replace the member in the group.'
)


class Folder:
    """Files of one replica; an error of a sync names file and remedy."""

    def __init__(self, files: Files) -> None:
        """Use ``files``."""
        self.files = files
        self.syncs = 0

    def clean(self) -> list[str]:
        """Remove files that a crash left half made; return the others."""
        kept = []
        for name in self.files.names():
            if name.endswith(TEMPORARY):
                self.files.remove(name)
                continue
            kept.append(name)
        return kept

    def path(self, name: str) -> str:
        """Return the path of a file for messages."""
        return self.files.path(name)

    def read_whole(self, name: str) -> bytes:
        """Return the one record of a file."""
        payload = records.unpack(self.files.read(name), 0, 0)
        if payload is None:
            raise StorageError(
                f'{self.path(name)} is damaged at offset 0. {REPLACE}'
            )
        return payload

    async def write_whole(self, name: str, payload: bytes) -> None:
        """Make a file of one record, synced."""
        await self.write_file(name, records.pack(payload, 0, 0))

    async def write_file(self, name: str, content: bytes) -> None:
        """Make a file that is there whole or not at all, synced."""
        temporary = name + TEMPORARY
        self.files.append(temporary, content)
        await self.sync(temporary)
        self.files.rename(temporary, name)
        await self.sync_folder()

    async def sync(self, name: str) -> None:
        """Sync the content of a file."""
        self.syncs += 1
        try:
            await self.files.sync(name)
        except OSError as error:
            raise self._sync_failed(name, error) from error

    async def sync_folder(self) -> None:
        """Sync the names in the folder."""
        self.syncs += 1
        try:
            await self.files.sync_folder()
        except OSError as error:
            raise self._sync_failed('', error) from error

    def _sync_failed(self, name: str, error: OSError) -> StorageError:
        return StorageError(
            f'{self.path(name)} could not be synced: {error}. Its content is '
            f'unknown now. Check the disk. {REPLACE}'
        )
