"""Marks claims as outcome unknown when the node that held them is gone."""

import asyncio

from verbenathread.clock import Clock
from verbenathread.control.claims import Owner
from verbenathread.control.machine import ControlMachine
from verbenathread.control.nodes import NodeTable
from verbenathread.control.proposals import CLAIM_TIMEOUT, Proposer
from verbenathread.observability.logs import get_logger
from verbenathread.schema import commands_pb2
from verbenathread.types import Millis

# A node without a report to any control process for this time is gone, in ms.
OWNER_TIMEOUT: Millis = 15_000

_log = get_logger('control')


class ClaimSweeper:
    """Finds claims of gone owners.

    Runs only on the leader, since a follower has the state of some nodes only.
    """

    def __init__(
        self,
        machine: ControlMachine,
        nodes: NodeTable,
        proposer: Proposer,
        clock: Clock,
    ) -> None:
        """Check the owners in ``machine`` against the reports in ``nodes``."""
        self._machine = machine
        self._nodes = nodes
        self._proposer = proposer
        self._clock = clock
        self._first_seen_by_owner: dict[Owner, Millis] = {}

    def reset(self) -> None:
        """Clear the state of a previous leadership."""
        self._first_seen_by_owner.clear()

    async def sweep(self) -> None:
        """Mark each owner that was replaced or timed out as gone."""
        now = self._clock.now()
        owners = self._machine.claims.owners()
        self._first_seen_by_owner = {
            owner: self._first_seen_by_owner.get(owner, now) for owner in owners
        }
        gone = [owner for owner in owners if self._is_gone(owner, now)]
        await asyncio.gather(*(self._mark_gone(owner) for owner in gone))

    async def _mark_gone(self, owner: Owner) -> None:
        _log.warning(
            'Owner of claims is gone.',
            node=owner.node_id,
            incarnation=owner.incarnation,
        )
        gone = commands_pb2.OwnerGone(
            node_id=owner.node_id, incarnation=owner.incarnation
        )
        await self._proposer.propose(
            commands_pb2.Command(owner_gone=gone), CLAIM_TIMEOUT
        )

    def _is_gone(self, owner: Owner, now: Millis) -> bool:
        # The timeout starts no earlier than when this leader first saw the
        # owner, since a new leader has received few reports.
        last_seen = self._first_seen_by_owner[owner]
        record = self._nodes.get(owner.node_id)
        if record is not None:
            if record.status.incarnation > owner.incarnation:
                return True
            if record.status.incarnation == owner.incarnation:
                last_seen = max(last_seen, record.reported_at)
        return now - last_seen > OWNER_TIMEOUT
