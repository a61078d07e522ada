"""State machine of the directory: configuration, workers, quarantine."""

from collections.abc import Iterable, Iterator

from verbenathread.exceptions import SettingsError
from verbenathread.observability.logs import get_logger
from verbenathread.schema import directory_pb2 as messages
from verbenathread.serving.crash_evidence import MAX_GROUPS, PartGroup
from verbenathread.serving.registry import WorkerRegistry
from verbenathread.serving.types import Worker, WorkerState
from verbenathread.settings.node import parse_address

_log = get_logger('directory')


class DirectoryMachine:
    """State that the directory builds from its replicated log."""

    def __init__(self) -> None:
        """Start without a configuration and without workers."""
        self.config_version = 0
        self.config_body = b''
        self.registry = WorkerRegistry()
        # Local counter, incremented on every change to the registry.
        self.registry_changes = 0
        # Parts of prompts that are kept from workers, the oldest group first.
        self.quarantine: tuple[PartGroup, ...] = ()

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command; the result is always empty."""
        decoded = messages.DirectoryCommand.FromString(command)
        kind = decoded.WhichOneof('command')
        if kind == 'put_config':
            self._put_config(decoded.put_config)
        elif kind == 'put_worker':
            for worker in decode_workers((decoded.put_worker,)):
                self.registry.merge(worker)
            self.registry_changes += 1
        elif kind == 'drop_worker':
            drop = decoded.drop_worker
            self.registry.drop(drop.worker_id, drop.born)
            self.registry_changes += 1
        else:
            self._change_quarantine(decoded)
        return b''

    def snapshot(self) -> bytes:
        """Return the whole state as bytes."""
        image = messages.DirectoryImage(
            config=messages.PutConfig(
                version=self.config_version, body=self.config_body
            )
        )
        for worker in self.registry.worker_by_id.values():
            image.workers.append(encode_worker(worker))
        image.quarantine.extend(map(encode_group, self.quarantine))
        return image.SerializeToString()

    def restore(self, image: bytes) -> None:
        """Replace the whole state with the output of :meth:`snapshot`."""
        decoded = messages.DirectoryImage.FromString(image)
        self.config_version = decoded.config.version
        self.config_body = decoded.config.body
        self.registry = WorkerRegistry()
        for worker in decode_workers(decoded.workers):
            self.registry.merge(worker)
        self.registry_changes += 1
        self.quarantine = tuple(map(decode_group, decoded.quarantine))

    def _change_quarantine(self, command: messages.DirectoryCommand) -> None:
        dropped = decode_group(command.drop_quarantine)
        group = decode_group(command.put_quarantine)
        if dropped:
            self.quarantine = tuple(
                known for known in self.quarantine if known != dropped
            )
        elif group and group not in self.quarantine:
            self.quarantine = (*self.quarantine, group)[-MAX_GROUPS:]

    def _put_config(self, put: messages.PutConfig) -> None:
        # If two bodies share a version, the first one wins.
        if put.version > self.config_version:
            self.config_version = put.version
            self.config_body = put.body


def decode_group(message: messages.PartGroup) -> PartGroup:
    """Build a group of parts from its message."""
    return frozenset(message.parts)


def encode_group(group: PartGroup) -> messages.PartGroup:
    """Build the message for a group of parts."""
    return messages.PartGroup(parts=sorted(group))


def decode_workers(entries: Iterable[messages.WorkerEntry]) -> Iterator[Worker]:
    """Yield the workers of a list, without entries that can't be read.

    Another build may have written an entry; it must not end who reads the list,
    nor hide the workers beside it.
    """
    for entry in entries:
        try:
            worker = _decode_worker(entry)
        except (ValueError, SettingsError) as error:
            _log.warning(
                'Ignoring a worker that cannot be read.',
                worker=entry.worker_id,
                reason=str(error),
            )
            continue
        yield worker


def _decode_worker(entry: messages.WorkerEntry) -> Worker:
    return Worker(
        worker_id=entry.worker_id,
        started_at=entry.born,
        sequence=entry.sequence,
        state=WorkerState(entry.state),
        service=entry.service,
        address=parse_address(f'{entry.host}:{entry.port}'),
        data_centre=entry.data_centre,
        slots=entry.slots,
    )


def encode_worker(worker: Worker) -> messages.WorkerEntry:
    """Build the message for a worker."""
    return messages.WorkerEntry(
        worker_id=worker.worker_id,
        born=worker.started_at,
        sequence=worker.sequence,
        state=worker.state,
        service=worker.service,
        host=worker.address.host,
        port=worker.address.port,
        data_centre=worker.data_centre,
        slots=worker.slots,
    )
