"""Shared settings from peers, when control brings none.

Every message between entries names the revision that its sender runs. An
entry that stays behind for a while fetches the later tree from that peer.
"""

import asyncio

from verbenathread.clock import seconds
from verbenathread.entry.peer_channels import PeerCalls
from verbenathread.entry.settings_store import SettingsStore
from verbenathread.exceptions import UnavailableError
from verbenathread.schema import control_pb2, peer_pb2
from verbenathread.types import NodeId

# Control has this long to bring a revision before a peer is asked.
_PATIENCE_MS = 1000
_FETCH_MS = 2000


class SettingsFetcher:
    """Rides on the messages of the cell, and fetches what is later."""

    def __init__(
        self, settings_store: SettingsStore, channels: PeerCalls
    ) -> None:
        """Take the tree to keep up to date."""
        self._settings_store = settings_store
        self._channels = channels
        self._revision_by_peer: dict[NodeId, int] = {}

    def compose(self, peer_id: NodeId, message: peer_pb2.PeerMessage) -> None:
        """Name the revision in force here."""
        message.revision = self._settings_store.revision()

    def answer(
        self, message: peer_pb2.PeerMessage, reply: peer_pb2.PeerReply
    ) -> None:
        """Note the revision that a peer runs."""
        self._revision_by_peer[message.node_id] = message.revision

    def absorb(
        self,
        peer_id: NodeId,
        message: peer_pb2.PeerMessage,
        reply: peer_pb2.PeerReply,
    ) -> None:
        """Need nothing of replies."""

    async def run(self) -> None:
        """Fetch from the peer that is furthest ahead, until cancelled."""
        while True:
            if self._settings_store.revision():
                await asyncio.sleep(seconds(_PATIENCE_MS))
            else:
                await asyncio.sleep(seconds(_PATIENCE_MS // 10))
            later_by_peer = {
                peer_id: revision
                for peer_id, revision in self._revision_by_peer.items()
                if revision > self._settings_store.revision()
            }
            if later_by_peer:
                latest_id = max(later_by_peer, key=later_by_peer.__getitem__)
                await self._fetch(latest_id)

    async def _fetch(self, peer_id: NodeId) -> None:
        request = peer_pb2.FetchTreeRequest(
            revision=self._settings_store.revision()
        )
        try:
            reply = await self._channels.fetch_tree(peer_id, request, _FETCH_MS)
        except UnavailableError:
            self._revision_by_peer.pop(peer_id, None)
            return
        self._settings_store.apply(
            control_pb2.TreeUpdate(
                revision=reply.revision, whole=True, branches=reply.branches
            )
        )
