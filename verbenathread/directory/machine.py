"""The state that the log builds: one configuration and the workers."""

from verbenathread.schema import directory_pb2 as messages
from verbenathread.serving.registry import WorkerRegistry
from verbenathread.serving.types import Worker, WorkerState
from verbenathread.types import Address


class DirectoryMachine:
    """State machine of the directory's log."""

    def __init__(self) -> None:
        """Start without a configuration and without workers."""
        self.config_version = 0
        self.config_body = b''
        self.registry = WorkerRegistry()
        # Counts the changes of the registry in this process.
        self.registry_changes = 0

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command; nothing is returned."""
        read = messages.DirectoryCommand.FromString(command)
        kind = read.WhichOneof('command')
        if kind == 'put_config':
            self._put_config(read.put_config)
        elif kind == 'put_worker':
            self.registry.merge(worker_of(read.put_worker))
            self.registry_changes += 1
        elif kind == 'drop_worker':
            drop = read.drop_worker
            self.registry.drop(drop.worker_id, drop.born)
            self.registry_changes += 1
        return b''

    def snapshot(self) -> bytes:
        """Return the whole state as bytes."""
        image = messages.DirectoryImage(
            config=messages.PutConfig(
                version=self.config_version, body=self.config_body
            )
        )
        for worker in self.registry.worker_by_id.values():
            image.workers.append(entry_of(worker))
        return image.SerializeToString()

    def restore(self, image: bytes) -> None:
        """Replace the whole state by what :meth:`snapshot` returned."""
        read = messages.DirectoryImage.FromString(image)
        self.config_version = read.config.version
        self.config_body = read.config.body
        self.registry = WorkerRegistry()
        for entry in read.workers:
            self.registry.merge(worker_of(entry))
        self.registry_changes += 1

    def _put_config(self, put: messages.PutConfig) -> None:
        # Of two bodies under one version the first one stays in force.
        if put.version > self.config_version:
            self.config_version = put.version
            self.config_body = put.body


def worker_of(entry: messages.WorkerEntry) -> Worker:
    """Return the worker that a message holds."""
    return Worker(
        worker_id=entry.worker_id,
        started_at=entry.born,
        sequence=entry.sequence,
        state=WorkerState(entry.state),
        service=entry.service,
        address=Address(entry.host, entry.port),
        data_centre=entry.data_centre,
        slots=entry.slots,
    )


def entry_of(worker: Worker) -> messages.WorkerEntry:
    """Return the message that holds a worker."""
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
