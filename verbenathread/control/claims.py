"""Claims for calls that are not idempotent: each runs at most once.

A claim is held by one attempt until it is settled. Only after an attempt is
settled as "not run" can another attempt get the claim, and only one can. A
claim that was not settled within its time limit, or whose owner is gone, keeps
the state "outcome unknown" unless the attempt that held it reports the outcome
later. All times are the wall times that commands carry.
"""

import heapq
import sys
from collections.abc import Iterable
from typing import NamedTuple

from verbenathread.control.claim_replies import (
    RETRY_AFTER_MS,
    claim_reply,
    invalid_claim,
    repeated_settle_reply,
    settle_reply,
    table_full,
    without_large_body,
)
from verbenathread.schema import commands_pb2, control_pb2

_COMPLETED = control_pb2.CLAIM_COMPLETED
_HELD = control_pb2.CLAIM_HELD
_IN_PROGRESS = control_pb2.CLAIM_IN_PROGRESS
_MISMATCH = control_pb2.CLAIM_MISMATCH
_NOT_RUN = control_pb2.CLAIM_NOT_RUN
_OUTCOME_UNKNOWN = control_pb2.CLAIM_OUTCOME_UNKNOWN

MAX_TABLE_BYTES = 33_554_432
MAX_KEY_BYTES = 255
MAX_ENDED_ATTEMPTS = 16
_MAX_TIME_LIMIT_MS = 3_600_000
_MIN_RETENTION_MS = 60_000
_MAX_RETENTION_MS = 2_592_000_000
_MS_PER_SECOND = 1000
_SETTLED_STATES = frozenset((_COMPLETED, _NOT_RUN, _OUTCOME_UNKNOWN))


class ClaimKey(NamedTuple):
    """Identifies a call; calls with the same key are the same call."""

    account: str
    service: str
    idempotency_key: str


class Owner(NamedTuple):
    """One incarnation of the node that holds a claim."""

    node_id: str
    incarnation: int


class ClaimTable:
    """Claims by key; written only by the state machine."""

    def __init__(self, max_bytes: int = MAX_TABLE_BYTES) -> None:
        """Keep at most ``max_bytes`` of claims and stored answers."""
        self._max_bytes = max_bytes
        self._bytes = 0
        # Serialised: a parsed message takes three times the memory.
        self._claim_by_key: dict[ClaimKey, bytes] = {}
        self._held_by_owner: dict[Owner, set[ClaimKey]] = {}
        self._incarnation_by_node: dict[str, int] = {}
        # (removal wall time, key). An entry whose time differs from forget_ms
        # of its claim is stale.
        self._removal_queue: list[tuple[int, ClaimKey]] = []

    def __len__(self) -> int:
        """Return how many claims are kept."""
        return len(self._claim_by_key)

    def owners(self) -> tuple[Owner, ...]:
        """Return the owners that hold a claim."""
        return tuple(sorted(self._held_by_owner))

    def claim(
        self, request: control_pb2.ClaimRequest, now: int
    ) -> control_pb2.ClaimReply:
        """Grant the claim, or return the state of the earlier attempt."""
        refusal = self._check_request(request)
        if refusal is not None:
            return refusal
        key = _key_of(request)
        claim = self._get(key)
        if claim is None:
            return self._grant(request, now, ())
        if claim.body_sha256 != request.body_sha256:
            return claim_reply(_MISMATCH)
        self._expire_if_overdue(key, claim, now)
        if claim.state == _NOT_RUN:
            if _ended_state(claim, request.attempt_id) is not None:
                return claim_reply(_NOT_RUN)
            return self._grant(request, now, claim.ended_attempts)
        if claim.state == _HELD:
            return self._reply_held(claim, request, now)
        return claim_reply(claim.state, claim.stored)

    def settle(
        self, request: control_pb2.SettleRequest, now: int
    ) -> control_pb2.SettleReply:
        """Record the outcome of the attempt that holds the claim."""
        key = _key_of(request)
        claim = self._get(key)
        if claim is None:
            return settle_reply(
                control_pb2.NOT_FOUND,
                'the claim is unknown or has expired; claim it first',
            )
        if request.state not in _SETTLED_STATES:
            return settle_reply(
                control_pb2.INVALID,
                'the outcome must be completed, not run or unknown',
            )
        ended = _ended_state(claim, request.attempt_id)
        if ended is None and claim.attempt_id != request.attempt_id:
            return settle_reply(
                control_pb2.CONFLICT,
                'another attempt holds this claim; do not send the call',
            )
        self._expire_if_overdue(key, claim, now)
        current = claim.state if ended is None else ended
        if current not in {_HELD, _OUTCOME_UNKNOWN}:
            return repeated_settle_reply(current, request.state)
        self._settle(key, claim, request, now)
        return settle_reply(control_pb2.OK, '')

    def mark_owner_gone(self, gone: commands_pb2.OwnerGone) -> int:
        """Mark claims of a gone owner as outcome unknown; return how many."""
        count = 0
        for owner in self.owners():
            if owner.node_id != gone.node_id:
                continue
            if owner.incarnation > gone.incarnation:
                continue
            keys = self._held_by_owner.pop(owner)
            count += len(keys)
            for key in keys:
                claim = self._get(key)
                if claim is not None:
                    claim.state = _OUTCOME_UNKNOWN
                    self._put(key, claim)
        return count

    def remove_expired(self, now: int) -> None:
        """Remove the claims whose retention has expired."""
        while self._removal_queue and self._removal_queue[0][0] <= now:
            removal_time, key = heapq.heappop(self._removal_queue)
            claim = self._get(key)
            if claim is None or claim.forget_ms != removal_time:
                continue
            self._remove_from_owner(key, claim)
            self._bytes -= len(self._claim_by_key.pop(key))

    def images(self) -> Iterable[commands_pb2.ClaimImage]:
        """Return the claims for a snapshot, sorted by key."""
        return [
            commands_pb2.ClaimImage.FromString(serialised)
            for _, serialised in sorted(self._claim_by_key.items())
        ]

    def owner_images(self) -> Iterable[commands_pb2.OwnerImage]:
        """Return the greatest incarnation of each node, sorted."""
        return [
            commands_pb2.OwnerImage(node_id=node_id, incarnation=incarnation)
            for node_id, incarnation in sorted(
                self._incarnation_by_node.items()
            )
        ]

    def load(
        self,
        claims: Iterable[commands_pb2.ClaimImage],
        owners: Iterable[commands_pb2.OwnerImage],
    ) -> None:
        """Replace the table by the content of a snapshot."""
        self._claim_by_key = {}
        self._incarnation_by_node = {
            owner.node_id: owner.incarnation for owner in owners
        }
        self._held_by_owner = {}
        self._bytes = 0
        self._removal_queue = []
        for claim in claims:
            key = _key_of(claim)
            self._put(key, claim)
            self._removal_queue.append((claim.forget_ms, key))
            if claim.state == _HELD:
                self._add_to_owner(key, claim)
        heapq.heapify(self._removal_queue)

    def _check_request(
        self, request: control_pb2.ClaimRequest
    ) -> control_pb2.ClaimReply | None:
        if not request.attempt_id or not request.idempotency_key:
            return invalid_claim(
                'a claim needs an idempotency key and an attempt ID'
            )
        if len(request.idempotency_key.encode()) > MAX_KEY_BYTES:
            return invalid_claim(
                f'the idempotency key is over {MAX_KEY_BYTES} bytes; '
                + 'send a shorter one'
            )
        newest = self._incarnation_by_node.get(request.node_id, 0)
        if request.node_incarnation < newest:
            return invalid_claim(
                'a newer incarnation of this node exists; stop or restart '
                + 'this process'
            )
        self._record_incarnation(request.node_id, request.node_incarnation)
        return None

    def _record_incarnation(self, node_id: str, incarnation: int) -> None:
        newest = self._incarnation_by_node.get(node_id, 0)
        if incarnation <= newest:
            return
        self._incarnation_by_node[node_id] = incarnation
        self.mark_owner_gone(
            commands_pb2.OwnerGone(node_id=node_id, incarnation=incarnation - 1)
        )

    def _grant(
        self,
        request: control_pb2.ClaimRequest,
        now: int,
        ended: Iterable[commands_pb2.AttemptEnd],
    ) -> control_pb2.ClaimReply:
        limit = min(request.time_limit_ms, _MAX_TIME_LIMIT_MS)
        retention = _retention_ms(request)
        claim = commands_pb2.ClaimImage(
            account=request.account,
            service=request.service,
            idempotency_key=request.idempotency_key,
            body_sha256=request.body_sha256,
            state=_HELD,
            attempt_id=request.attempt_id,
            node_id=request.node_id,
            node_incarnation=request.node_incarnation,
            lapses_ms=now + limit,
            forget_ms=now + limit + retention,
            retention_ms=retention,
            ended_attempts=ended,
        )
        key = _key_of(request)
        previous_size = len(self._claim_by_key.get(key, b''))
        if self._bytes + claim.ByteSize() - previous_size > self._max_bytes:
            return table_full()
        self._put(key, claim)
        self._add_to_owner(key, claim)
        heapq.heappush(self._removal_queue, (claim.forget_ms, key))
        return claim_reply(_HELD)

    def _reply_held(
        self,
        claim: commands_pb2.ClaimImage,
        request: control_pb2.ClaimRequest,
        now: int,
    ) -> control_pb2.ClaimReply:
        same_attempt = (
            claim.attempt_id == request.attempt_id
            and claim.node_id == request.node_id
            and claim.node_incarnation == request.node_incarnation
        )
        if same_attempt:
            # A retry: the first reply may have been lost.
            return claim_reply(_HELD)
        reply = claim_reply(_IN_PROGRESS)
        reply.retry_after_ms = min(
            max(1, claim.lapses_ms - now), RETRY_AFTER_MS
        )
        return reply

    def _settle(
        self,
        key: ClaimKey,
        claim: commands_pb2.ClaimImage,
        request: control_pb2.SettleRequest,
        now: int,
    ) -> None:
        self._remove_from_owner(key, claim)
        claim.state = request.state
        forget_ms = max(now, claim.lapses_ms) + claim.retention_ms
        if forget_ms != claim.forget_ms:
            claim.forget_ms = forget_ms
            heapq.heappush(self._removal_queue, (forget_ms, key))
        if request.state == _COMPLETED:
            claim.stored.CopyFrom(without_large_body(request.stored))
        if request.state == _NOT_RUN:
            _end_attempt(claim, request.attempt_id)
        self._put(key, claim)

    def _expire_if_overdue(
        self, key: ClaimKey, claim: commands_pb2.ClaimImage, now: int
    ) -> None:
        if claim.state == _HELD and now > claim.lapses_ms:
            self._remove_from_owner(key, claim)
            claim.state = _OUTCOME_UNKNOWN
            self._put(key, claim)

    def _get(self, key: ClaimKey) -> commands_pb2.ClaimImage | None:
        serialised = self._claim_by_key.get(key)
        if serialised is None:
            return None
        return commands_pb2.ClaimImage.FromString(serialised)

    def _put(self, key: ClaimKey, claim: commands_pb2.ClaimImage) -> None:
        serialised = claim.SerializeToString(deterministic=True)
        self._bytes += len(serialised) - len(self._claim_by_key.get(key, b''))
        self._claim_by_key[key] = serialised

    def _add_to_owner(
        self, key: ClaimKey, claim: commands_pb2.ClaimImage
    ) -> None:
        self._held_by_owner.setdefault(_owner_of(claim), set()).add(key)

    def _remove_from_owner(
        self, key: ClaimKey, claim: commands_pb2.ClaimImage
    ) -> None:
        owner = _owner_of(claim)
        keys = self._held_by_owner.get(owner)
        if keys is None:
            return
        keys.discard(key)
        if not keys:
            self._held_by_owner.pop(owner)


def _key_of(
    source: (
        control_pb2.ClaimRequest
        | control_pb2.SettleRequest
        | commands_pb2.ClaimImage
    ),
) -> ClaimKey:
    # Accounts and services are few, so interning saves memory.
    return ClaimKey(
        sys.intern(source.account),
        sys.intern(source.service),
        source.idempotency_key,
    )


def _owner_of(claim: commands_pb2.ClaimImage) -> Owner:
    return Owner(claim.node_id, claim.node_incarnation)


def _retention_ms(request: control_pb2.ClaimRequest) -> int:
    requested = request.retention_s * _MS_PER_SECOND
    return min(max(requested, _MIN_RETENTION_MS), _MAX_RETENTION_MS)


def _ended_state(
    claim: commands_pb2.ClaimImage, attempt_id: str
) -> control_pb2.ClaimState | None:
    for end in claim.ended_attempts:
        if end.attempt_id == attempt_id:
            return end.state
    return None


def _end_attempt(claim: commands_pb2.ClaimImage, attempt_id: str) -> None:
    ended = list(claim.ended_attempts)
    ended.append(commands_pb2.AttemptEnd(attempt_id=attempt_id, state=_NOT_RUN))
    claim.ClearField('ended_attempts')
    # Older attempts are dropped; their senders no longer retry.
    claim.ended_attempts.extend(ended[-MAX_ENDED_ATTEMPTS:])
