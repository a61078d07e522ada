"""Tells sends in progress what the gateway learns of their workers."""

import contextlib
from collections.abc import Callable, Iterator
from typing import NamedTuple, Protocol

from verbenathread.gateway.view import ClusterView
from verbenathread.observability.logs import get_logger
from verbenathread.serving.types import Worker

_log = get_logger('gateway')


class SendInProgress(Protocol):
    """A send whose worker may fail."""

    def suspect(self) -> None:
        """Ask the worker soon whether it is alive."""

    def lose_worker(self) -> None:
        """Give the send up unless its worker still sends data."""


class _Entry(NamedTuple):
    worker: Worker
    send: SendInProgress


class SendTracker:
    """The sends of this gateway, by worker."""

    def __init__(self, view: ClusterView) -> None:
        """Follow the changes of ``view``."""
        self._view = view
        self._entries: dict[int, _Entry] = {}
        self._next_number = 0
        view.on_workers.append(self._check)

    @contextlib.contextmanager
    def track(self, worker: Worker, send: SendInProgress) -> Iterator[None]:
        """Notify ``send`` of failures of ``worker`` during the context."""
        self._next_number += 1
        number = self._next_number
        self._entries[number] = _Entry(worker, send)
        try:
            yield
        finally:
            self._entries.pop(number)

    def suspect(self, worker_id: str) -> None:
        """Make the sends to a worker ask it whether it is alive."""
        for entry in tuple(self._entries.values()):
            if entry.worker.worker_id == worker_id:
                entry.send.suspect()

    def _check(self, worker_ids: frozenset[str]) -> None:
        """Compare the workers of all sends with a new list.

        A worker that is no longer listed may only be cut off from the
        directory, or serve on after it has deregistered.
        """
        notify: Callable[[], None]
        for worker, send in tuple(self._entries.values()):
            if self._view.is_replaced(worker):
                _log.warning(
                    'A worker with a send in progress was replaced.',
                    worker=worker.worker_id,
                )
                notify = send.lose_worker
            elif worker.worker_id in worker_ids:
                continue
            else:
                notify = send.suspect
            notify()
