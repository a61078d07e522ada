"""Seed addresses of the directory, from the settings file."""

from pathlib import Path

from verbenathread.exceptions import SettingsError
from verbenathread.observability.logs import get_logger
from verbenathread.schema import settings_pb2
from verbenathread.settings.node import load_node_settings, parse_addresses
from verbenathread.types import Address

_log = get_logger('directory')


def parse_seeds(text: str, directory_port: int) -> tuple[Address, ...]:
    """Return the peer addresses of the seeds.

    ``directory_port`` replaces the port of each seed unless it is 0.
    """
    peers = []
    for address in parse_addresses(text):
        port = directory_port or address.port
        peers.append(Address(address.host, port))
    return tuple(peers)


class SeedFile:
    """The seeds of a settings file that may change at run time."""

    def __init__(self, path: str, section: str) -> None:
        """Read the seeds from ``section`` of the file at ``path``."""
        self._path = path
        self._section = section
        self._file_version: tuple[int, int] = (0, 0)
        self.addresses: tuple[Address, ...] = ()
        self.refresh()

    def refresh(self) -> bool:
        """Reload the file if it changed; return whether the seeds changed."""
        try:
            file_stat = Path(self._path).stat()
        except OSError as error:
            _log.warning('Cannot read the settings file.', reason=str(error))
            return False
        file_version = (file_stat.st_mtime_ns, file_stat.st_size)
        if file_version == self._file_version:
            return False
        self._file_version = file_version
        try:
            settings = load_node_settings(self._path)
        except SettingsError as error:
            _log.error('Ignoring invalid settings.', reason=str(error))
            return False
        previous = self.addresses
        self.addresses = self._parse_section(settings)
        changed = previous != self.addresses
        if changed and previous:
            seeds = [str(address) for address in self.addresses]
            _log.info('The seeds changed.', seeds=seeds)
        return changed

    def _parse_section(
        self, settings: settings_pb2.NodeSettings
    ) -> tuple[Address, ...]:
        node_section = getattr(settings, self._section)
        return parse_seeds(node_section.seeds, node_section.directory_port)
