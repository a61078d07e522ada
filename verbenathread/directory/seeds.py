"""Addresses of directory processes: seeds from the file, others as learned."""

from pathlib import Path

from verbenathread.exceptions import SettingsError
from verbenathread.observability.logs import get_logger
from verbenathread.schema import settings_pb2
from verbenathread.settings.node import load_node_settings, parse_addresses
from verbenathread.types import Address

_log = get_logger('directory')


def parse_seeds(text: str, directory_port: int) -> tuple[Address, ...]:
    """Return where the seeds serve nodes."""
    peers = []
    for address in parse_addresses(text):
        port = directory_port or address.port
        peers.append(Address(address.host, port))
    return tuple(peers)


class SeedFile:
    """The seeds of a settings file, which may change while we run."""

    def __init__(self, path: str, section: str) -> None:
        """Read the ``section`` of the file at ``path``."""
        self._path = path
        self._section = section
        self._read_at: tuple[int, int] = (0, 0)
        self.addresses: tuple[Address, ...] = ()
        self.refresh()

    def refresh(self) -> bool:
        """Read the file again if it changed; True when the seeds did."""
        try:
            found = Path(self._path).stat()
        except OSError as error:
            _log.warning('The settings file is away.', reason=str(error))
            return False
        read_at = (found.st_mtime_ns, found.st_size)
        if read_at == self._read_at:
            return False
        self._read_at = read_at
        try:
            settings = load_node_settings(self._path)
        except SettingsError as error:
            _log.error('The changed settings are not used.', reason=str(error))
            return False
        before = self.addresses
        self.addresses = self._seeds_of(settings)
        changed = before != self.addresses
        if changed and before:
            seeds = [str(address) for address in self.addresses]
            _log.info('The seeds were read again.', seeds=seeds)
        return changed

    def _seeds_of(
        self, settings: settings_pb2.NodeSettings
    ) -> tuple[Address, ...]:
        part = getattr(settings, self._section)
        return parse_seeds(part.seeds, part.directory_port)
