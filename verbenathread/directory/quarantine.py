"""Keeps the groups of parts under which workers crash, for a time."""

import asyncio

from verbenathread.clock import Clock, seconds
from verbenathread.directory.calls import ReplicatedLog
from verbenathread.directory.machine import DirectoryMachine, encode_group
from verbenathread.exceptions import VerbenathreadError
from verbenathread.observability.logs import get_logger
from verbenathread.schema import directory_pb2 as messages
from verbenathread.serving.crash_evidence import (
    MAX_GROUPS,
    PartGroup,
    quarantine_time,
)
from verbenathread.types import Millis

_log = get_logger('directory')

# A gateway asks again if it gets no answer.
_PROPOSE_TIMEOUT: Millis = 900
_EXPIRY_CHECK_INTERVAL: Millis = 5000


class QuarantineKeeper:
    """Adds groups to the log, and removes them after the quarantine time.

    The time counts from when this process first saw a group while it led, so a
    change of leader extends it.
    """

    def __init__(
        self, log: ReplicatedLog, machine: DirectoryMachine, clock: Clock
    ) -> None:
        """Read ``machine`` and change it only through ``log``."""
        self._log = log
        self._machine = machine
        self._clock = clock
        self._seen_at_by_group: dict[PartGroup, Millis] = {}
        # Groups that this process has removed, the oldest first.
        self._removed: dict[PartGroup, None] = {}

    async def add(self, group: PartGroup) -> bool:
        """Add a group; return whether it is on the log."""
        if not self._log.status().is_leader:
            return False
        if group in self._machine.quarantine:
            return True
        command = messages.DirectoryCommand(put_quarantine=encode_group(group))
        if not await self._propose(command):
            return False
        _log.warning(
            'Requests with these parts are kept from workers.',
            parts=sorted(group),
        )
        return True

    async def run(self) -> None:
        """Remove expired groups while this process leads."""
        while True:
            await asyncio.sleep(seconds(_EXPIRY_CHECK_INTERVAL))
            if self._log.status().is_leader:
                await self._remove_expired()
            else:
                self._seen_at_by_group.clear()

    async def _remove_expired(self) -> None:
        now = self._clock.now()
        previous = self._seen_at_by_group
        self._seen_at_by_group = {
            group: previous.get(group, now)
            for group in self._machine.quarantine
        }
        for group, seen_at in self._seen_at_by_group.items():
            time = quarantine_time(group, is_repeated=group in self._removed)
            if now - seen_at < time:
                continue
            command = messages.DirectoryCommand(
                drop_quarantine=encode_group(group)
            )
            # Commands are proposed one at a time.
            if await self._propose(command):  # noqa: WPS476
                self._remember_removed(group)
                _log.info(
                    'The quarantine of these parts has ended.',
                    parts=sorted(group),
                )

    def _remember_removed(self, group: PartGroup) -> None:
        self._removed[group] = None
        while len(self._removed) > MAX_GROUPS:
            self._removed.pop(next(iter(self._removed)))

    async def _propose(self, command: messages.DirectoryCommand) -> bool:
        try:
            await self._log.propose(
                command.SerializeToString(), _PROPOSE_TIMEOUT
            )
        except VerbenathreadError as error:
            _log.warning('Could not change the quarantine.', reason=str(error))
            return False
        return True
