"""Turns claims to unknown when the node that held them is gone."""

import asyncio

from verbenathread.clock import Clock
from verbenathread.control.claims import Owner
from verbenathread.control.machine import ControlMachine
from verbenathread.control.nodes import NodeTable
from verbenathread.control.proposals import CLAIM_TIMEOUT, Proposer
from verbenathread.observability.logs import get_logger
from verbenathread.schema import commands_pb2
from verbenathread.types import Millis

# A node that no control process heard for this long counts as gone, in ms.
OWNER_TIMEOUT: Millis = 15_000

_log = get_logger('control')


class ClaimSweeper:
    """Run by the leader; a follower's view of nodes is partial."""

    def __init__(
        self,
        machine: ControlMachine,
        nodes: NodeTable,
        proposals: Proposer,
        clock: Clock,
    ) -> None:
        """Look at the claims of ``machine`` and the reports in ``nodes``."""
        self._machine = machine
        self._nodes = nodes
        self._proposals = proposals
        self._clock = clock
        self._first_seen_by_owner: dict[Owner, Millis] = {}

    def reset(self) -> None:
        """Forget what an earlier leadership saw."""
        self._first_seen_by_owner.clear()

    async def sweep(self) -> None:
        """Record each owner that was replaced or is silent for too long."""
        now = self._clock.now()
        owners = self._machine.claims.owners()
        self._first_seen_by_owner = {
            owner: self._first_seen_by_owner.get(owner, now) for owner in owners
        }
        gone = [owner for owner in owners if self._is_gone(owner, now)]
        await asyncio.gather(*(self._mark_gone(owner) for owner in gone))

    async def _mark_gone(self, owner: Owner) -> None:
        _log.warning(
            'The owner of claims is gone.',
            node=owner.node_id,
            incarnation=owner.incarnation,
        )
        gone = commands_pb2.OwnerGone(
            node_id=owner.node_id, incarnation=owner.incarnation
        )
        await self._proposals.propose(
            commands_pb2.Command(owner_gone=gone), CLAIM_TIMEOUT
        )

    def _is_gone(self, owner: Owner, now: Millis) -> bool:
        # Silence counts from when this leader first saw the claim, since a
        # new leader has heard of few nodes yet.
        last = self._first_seen_by_owner[owner]
        heard = self._nodes.get(owner.node_id)
        if heard is not None:
            if heard.status.incarnation > owner.incarnation:
                return True
            if heard.status.incarnation == owner.incarnation:
                last = max(last, heard.reported_at)
        return now - last > OWNER_TIMEOUT
