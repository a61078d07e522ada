"""What control needs of the replicated log beneath it."""

from typing import Protocol

from verbenathread.consensus.machine import Applied
from verbenathread.consensus.settings import ReplicaStatus
from verbenathread.types import Millis, Peer


class ControlLog(Protocol):
    """The replicated log, as :class:`.Replica` offers it."""

    async def propose(self, command: bytes, limit: Millis) -> Applied:
        """Put a command on the log and return once it is applied here."""

    async def barrier(self, limit: Millis) -> int:
        """Return an index after which reads here are not stale."""

    async def wait_applied(
        self, after: int, limit: Millis | None = None
    ) -> int:
        """Return the applied index once it exceeds ``after``."""

    async def change_member(
        self, action: str, peer: Peer, limit: Millis
    ) -> None:
        """Add, promote or remove one member."""

    def status(self) -> ReplicaStatus:
        """Return what this replica knows; it may be stale."""
