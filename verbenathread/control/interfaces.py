"""The interface of the replicated log that control uses."""

from typing import Protocol

from verbenathread.consensus.machine import Applied
from verbenathread.consensus.settings import ReplicaStatus
from verbenathread.types import Millis, Peer


class ControlLog(Protocol):
    """The replicated log, as implemented by :class:`.Replica`."""

    async def propose(self, command: bytes, limit: Millis) -> Applied:
        """Propose a command and return after it was applied locally."""

    async def barrier(self, limit: Millis) -> int:
        """Wait until local reads are not stale; return their index."""

    async def wait_applied(
        self, after: int, limit: Millis | None = None
    ) -> int:
        """Return the applied index once it exceeds ``after``."""

    async def change_member(
        self, action: str, peer: Peer, limit: Millis
    ) -> None:
        """Add, promote or remove one member."""

    def status(self) -> ReplicaStatus:
        """Return the state of this replica; it may be stale."""
