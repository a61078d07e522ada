"""Fetches shared settings from peers when the control processes send none.

Every message between entries carries the sender's revision in force. An entry
that stays behind for a while fetches the newer settings from that peer.
"""

import asyncio

from verbenathread.clock import seconds
from verbenathread.entry.peer_channels import PeerCalls
from verbenathread.entry.settings_store import SettingsStore
from verbenathread.exceptions import UnavailableError
from verbenathread.schema import control_pb2, peer_pb2
from verbenathread.types import NodeId

# How long control has to send a revision before it is fetched from a peer.
_CONTROL_TIMEOUT_MS = 1000
_FETCH_TIMEOUT_MS = 2000


class SettingsFetcher:
    """Compares revisions through cell messages and fetches newer settings."""

    def __init__(
        self, settings_store: SettingsStore, channels: PeerCalls
    ) -> None:
        """Keep ``settings_store`` up to date."""
        self._settings_store = settings_store
        self._channels = channels
        self._revision_by_peer: dict[NodeId, int] = {}

    def fill_message(
        self, peer_id: NodeId, message: peer_pb2.PeerMessage
    ) -> None:
        """Add the revision in force on this node."""
        message.revision = self._settings_store.revision()

    def handle_message(
        self, message: peer_pb2.PeerMessage, reply: peer_pb2.PeerReply
    ) -> None:
        """Record the revision in force at a peer."""
        self._revision_by_peer[message.node_id] = message.revision

    def handle_reply(
        self,
        peer_id: NodeId,
        message: peer_pb2.PeerMessage,
        reply: peer_pb2.PeerReply,
    ) -> None:
        """Ignore the reply."""

    async def run(self) -> None:
        """Fetch from the peer with the newest revision, until cancelled."""
        while True:
            if self._settings_store.revision():
                await asyncio.sleep(seconds(_CONTROL_TIMEOUT_MS))
            else:
                await asyncio.sleep(seconds(_CONTROL_TIMEOUT_MS // 10))
            newer_by_peer = {
                peer_id: revision
                for peer_id, revision in self._revision_by_peer.items()
                if revision > self._settings_store.revision()
            }
            if newer_by_peer:
                newest_id = max(newer_by_peer, key=newer_by_peer.__getitem__)
                await self._fetch(newest_id)

    async def _fetch(self, peer_id: NodeId) -> None:
        request = peer_pb2.FetchTreeRequest(
            revision=self._settings_store.revision()
        )
        try:
            reply = await self._channels.fetch_tree(
                peer_id, request, _FETCH_TIMEOUT_MS
            )
        except UnavailableError:
            self._revision_by_peer.pop(peer_id, None)
            return
        self._settings_store.apply(
            control_pb2.TreeUpdate(
                revision=reply.revision, whole=True, branches=reply.branches
            )
        )
