"""Liveness and clock of each peer, as seen by one node of the cell."""

from collections.abc import Iterable

from verbenathread.membership.engine_leases import DRIFT_PER_MILLE
from verbenathread.types import Millis, NodeId

# A peer that sent no message for this long gets no reservation requests and
# can't become the owner of an engine.
ALIVE_TIMEOUT_MS = 3000
# A peer gets its preferred engines back once it was alive for this long.
STABLE_AFTER_MS = 30_000
_MILLE = 1000


class PeerView:
    """Incarnation, time of the last message and clock of one peer."""

    def __init__(self, node_id: NodeId) -> None:
        """Start as a peer that has sent no message."""
        self.node_id = node_id
        self.incarnation = 0
        self.stopping = False
        self._last_message_at: Millis | None = None
        self._alive_since: Millis = 0
        self._sent_at: Millis = 0
        self._peer_clock: Millis | None = None

    def record_message(
        self, incarnation: int, stopping: bool, now: Millis
    ) -> bool:
        """Record a message; return False if its incarnation is outdated."""
        if incarnation < self.incarnation:
            return False
        if incarnation > self.incarnation or not self.is_alive(now):
            self._alive_since = now
        if incarnation > self.incarnation:
            self._peer_clock = None
        self.incarnation = incarnation
        self.stopping = stopping
        self._last_message_at = now
        return True

    def is_alive(self, now: Millis) -> bool:
        """Return whether the peer sent a message within the timeout."""
        return (
            self._last_message_at is not None
            and now - self._last_message_at < ALIVE_TIMEOUT_MS
        )

    def is_stable(self, now: Millis) -> bool:
        """Return whether the peer has been alive for STABLE_AFTER_MS."""
        return self.is_alive(now) and now - self._alive_since >= STABLE_AFTER_MS

    def record_clock(self, sent_at: Millis, peer_clock: Millis) -> None:
        """Record the peer's clock from the reply to a message."""
        self._sent_at = sent_at
        self._peer_clock = peer_clock

    def earliest_local_time(self, peer_time: Millis) -> Millis | None:
        """Return a lower bound, in local time, of a time on the peer's clock.

        The peer read its clock no earlier than the message was sent. So the
        time from that reading to ``peer_time`` is added to the sending time,
        less the maximum drift. None if the peer's clock is not known.
        """
        if self._peer_clock is None:
            return None
        ahead = peer_time - self._peer_clock
        drift = abs(ahead) * 2 * DRIFT_PER_MILLE // _MILLE
        return self._sent_at + ahead - drift


class PeerViews:
    """Views of all peers of a cell by node identifier."""

    def __init__(self, node_id: NodeId, cell_ids: Iterable[NodeId]) -> None:
        """Create a view of each node in ``cell_ids`` other than this one."""
        self.node_id = node_id
        self.by_id = {
            peer_id: PeerView(peer_id)
            for peer_id in cell_ids
            if peer_id != node_id
        }

    def alive_ids(self, now: Millis) -> frozenset[NodeId]:
        """Return the peers that are alive, without this node."""
        return frozenset(
            peer_id
            for peer_id, view in self.by_id.items()
            if view.is_alive(now)
        )

    def serving_ids(self, now: Millis) -> frozenset[NodeId]:
        """Return the live peers that are not stopping."""
        return frozenset(
            peer_id
            for peer_id in self.alive_ids(now)
            if not self.by_id[peer_id].stopping
        )

    def stable_ids(self, now: Millis) -> frozenset[NodeId]:
        """Return the serving peers that have been alive for STABLE_AFTER_MS."""
        return frozenset(
            peer_id
            for peer_id in self.serving_ids(now)
            if self.by_id[peer_id].is_stable(now)
        )
