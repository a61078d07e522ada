"""Admission control at this entry, with account usage shared in the cell.

Worker threads request admission while the event loop receives the usage of
other entries, so one lock guards the limiter.
"""

import threading
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from verbenathread.clock import Clock
from verbenathread.scheduling.admission import Admission
from verbenathread.scheduling.limits import AccountLimiter, AccountUsage
from verbenathread.schema import peer_pb2, settings_pb2
from verbenathread.types import Millis, NodeId, Refusal, UpstreamRecord, Work

# Minimum time between two reports of usage to a peer.
USAGE_INTERVAL: Millis = 1000


class PolicySource(Protocol):
    """The policies in force."""

    def policy(self, service: str) -> settings_pb2.PolicySettings:
        """Return the policy of the branch that holds the service."""


class ReadyUpstreams(Protocol):
    """The upstreams that may get new work."""

    def ready(self, service: str) -> Sequence[UpstreamRecord]:
        """Return those of one service."""


class _Confirmed(NamedTuple):
    """The usage whose receipt a peer has confirmed."""

    incarnation: int
    at: Millis
    usage_by_account: dict[str, AccountUsage]


class CellAdmissions:
    """Admits within the limits of each account over all entries of a cell."""

    def __init__(
        self, entries: int, policies: PolicySource, clock: Clock
    ) -> None:
        """Share each limit among ``entries`` entries."""
        self._policies = policies
        self._clock = clock
        self._lock = threading.Lock()
        self._limiter = AccountLimiter(entries, clock.now())
        self._admission = Admission(self._limiter)
        self._upstreams: ReadyUpstreams | None = None
        self._confirmed_by_peer: dict[NodeId, _Confirmed] = {}
        # Incarnations of the peers that have sent their full usage.
        self._incarnation_by_peer: dict[NodeId, int] = {}

    def connect(self, upstreams: ReadyUpstreams) -> None:
        """Refuse requests that the ready ``upstreams`` can't serve together."""
        self._upstreams = upstreams

    def admit(
        self, work: Work, account: settings_pb2.AccountSettings
    ) -> Refusal | None:
        """Count one model request, or refuse it with a retry delay."""
        records: Sequence[UpstreamRecord] = ()
        if self._upstreams is not None:
            records = self._upstreams.ready(work.service)
        policy = self._policies.policy(work.service)
        with self._lock:
            return self._admission.admit(
                work, account, policy, records, self._clock.now()
            )

    def finish(self, work: Work, output_tokens: int) -> None:
        """Record the end of an admitted request, whatever its outcome."""
        policy = self._policies.policy(work.service)
        with self._lock:
            self._admission.finish(
                work, policy, output_tokens, self._clock.now()
            )

    def admit_call(
        self, name: str, account: settings_pb2.AccountSettings
    ) -> Refusal | None:
        """Count one call of a plain service, which has no tokens."""
        with self._lock:
            return self._limiter.admit(
                name, account, 0, self._clock.now(), is_long=False
            )

    def fill_message(
        self, peer_id: NodeId, message: peer_pb2.PeerMessage
    ) -> None:
        """Add the usage that changed since the peer last confirmed it."""
        confirmed = self._confirmed_by_peer.get(peer_id)
        now = self._clock.now()
        if confirmed is not None and now - confirmed.at < USAGE_INTERVAL:
            return
        message.usages_whole = confirmed is None
        with self._lock:
            usages = self._limiter.usage()
        for usage in usages:
            if (
                confirmed is None
                or confirmed.usage_by_account.get(usage.account) != usage
            ):
                message.usages.append(peer_pb2.AccountUse(**usage._asdict()))

    def handle_message(
        self, message: peer_pb2.PeerMessage, reply: peer_pb2.PeerReply
    ) -> None:
        """Count what a peer admitted; usage it does not report is unchanged.

        Partial usage is ignored until the full usage has been received.
        """
        peer_id = message.node_id
        previous = self._incarnation_by_peer.get(peer_id)
        if message.usages_whole:
            self._incarnation_by_peer[peer_id] = message.incarnation
        elif previous != message.incarnation:
            return
        with self._lock:
            if previous != message.incarnation:
                # The long prompts of the previous incarnation ended with it.
                self._limiter.forget_entry(peer_id)
            self._limiter.record_usage(
                message.node_id, _usages_of(message), self._clock.now()
            )

    def handle_reply(
        self,
        peer_id: NodeId,
        message: peer_pb2.PeerMessage,
        reply: peer_pb2.PeerReply,
    ) -> None:
        """Record what a peer received; its restart clears the record."""
        confirmed = self._confirmed_by_peer.get(peer_id)
        if confirmed is not None and confirmed.incarnation != reply.incarnation:
            self._confirmed_by_peer.pop(peer_id)
            return
        if confirmed is None:
            if not message.usages_whole:
                return
            confirmed = _Confirmed(reply.incarnation, 0, {})
        usage_by_account = confirmed.usage_by_account
        for usage in _usages_of(message):
            usage_by_account[usage.account] = usage
        at = self._clock.now() if message.usages else confirmed.at
        self._confirmed_by_peer[peer_id] = confirmed._replace(at=at)


def _usages_of(message: peer_pb2.PeerMessage) -> list[AccountUsage]:
    return [
        AccountUsage(use.account, use.requests, use.tokens, use.long_running)
        for use in message.usages
    ]
