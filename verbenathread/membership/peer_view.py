"""What a node knows of each other node of its cell."""

from collections.abc import Iterable

from verbenathread.membership.engine_leases import DRIFT_PER_MILLE
from verbenathread.types import Millis, NodeId

# A peer from which nothing was heard for this long is not asked for memory
# and owns no engine anew.
ALIVE_TIMEOUT_MS = 3000
# A peer gets engines back once it has been alive this long.
STABLE_AFTER_MS = 30_000
_MILLE = 1000


class PeerView:
    """One peer: its incarnation, when it was heard, and its clock."""

    def __init__(self, node_id: NodeId) -> None:
        """Start as never heard."""
        self.node_id = node_id
        self.incarnation = 0
        self.stopping = False
        self._heard_at: Millis | None = None
        self._alive_since: Millis = 0
        self._sent_at: Millis = 0
        self._peer_now: Millis | None = None

    def record_message(
        self, incarnation: int, stopping: bool, now: Millis
    ) -> bool:
        """Note a message; False if it comes from a former life."""
        if incarnation < self.incarnation:
            return False
        if incarnation > self.incarnation or not self.is_alive(now):
            self._alive_since = now
        if incarnation > self.incarnation:
            self._peer_now = None
        self.incarnation = incarnation
        self.stopping = stopping
        self._heard_at = now
        return True

    def is_alive(self, now: Millis) -> bool:
        """Tell whether the peer was heard a short time ago."""
        return (
            self._heard_at is not None
            and now - self._heard_at < ALIVE_TIMEOUT_MS
        )

    def is_stable(self, now: Millis) -> bool:
        """Tell whether the peer has been alive for long."""
        return self.is_alive(now) and now - self._alive_since >= STABLE_AFTER_MS

    def record_clock(self, sent_at: Millis, peer_now: Millis) -> None:
        """Note the peer's clock from a reply to a message sent then."""
        self._sent_at = sent_at
        self._peer_now = peer_now

    def earliest_local_time(self, peer_time: Millis) -> Millis | None:
        """Return a local time that is surely not after a peer's moment.

        The peer read its clock after the message was sent, so that moment
        can't lie before the sum; drift since then is taken off.
        """
        if self._peer_now is None:
            return None
        ahead = peer_time - self._peer_now
        drift = abs(ahead) * 2 * DRIFT_PER_MILLE // _MILLE
        return self._sent_at + ahead - drift


class PeerViews:
    """The views of all peers of a cell, by node identifier."""

    def __init__(self, node_id: NodeId, cell_ids: Iterable[NodeId]) -> None:
        """Take the nodes of the cell, this one included."""
        self.node_id = node_id
        self.by_id = {
            peer_id: PeerView(peer_id)
            for peer_id in cell_ids
            if peer_id != node_id
        }

    def alive_ids(self, now: Millis) -> frozenset[NodeId]:
        """Return the peers heard a short time ago, this node not included."""
        return frozenset(
            peer_id
            for peer_id, view in self.by_id.items()
            if view.is_alive(now)
        )

    def serving_ids(self, now: Millis) -> frozenset[NodeId]:
        """Return the living peers that do not stop."""
        return frozenset(
            peer_id
            for peer_id in self.alive_ids(now)
            if not self.by_id[peer_id].stopping
        )

    def stable_ids(self, now: Millis) -> frozenset[NodeId]:
        """Return the serving peers that have been alive for long."""
        return frozenset(
            peer_id
            for peer_id in self.serving_ids(now)
            if self.by_id[peer_id].is_stable(now)
        )
