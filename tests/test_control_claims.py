"""Tests that a call that is not idempotent runs at most once."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from tests.control_commands import Log
from verbenathread.control.claim_replies import MAX_ANSWER_BYTES
from verbenathread.control.claims import ClaimTable
from verbenathread.schema import commands_pb2, control_pb2

HELD = control_pb2.CLAIM_HELD
IN_PROGRESS = control_pb2.CLAIM_IN_PROGRESS
COMPLETED = control_pb2.CLAIM_COMPLETED
MISMATCH = control_pb2.CLAIM_MISMATCH
NOT_RUN = control_pb2.CLAIM_NOT_RUN
UNKNOWN = control_pb2.CLAIM_OUTCOME_UNKNOWN
LIMIT_MS = 1000
RETENTION_MS = 60_000


def claim(
    attempt: str, *, body: str = 'b', node: str = 'e1', incarnation: int = 1
) -> control_pb2.ClaimRequest:
    return control_pb2.ClaimRequest(
        account='fbis',
        service='booking-desk',
        idempotency_key='k',
        body_sha256=body,
        attempt_id=attempt,
        node_id=node,
        node_incarnation=incarnation,
        time_limit_ms=LIMIT_MS,
    )


def settle(
    attempt: str, state: control_pb2.ClaimState, body: bytes = b'slot'
) -> control_pb2.SettleRequest:
    return control_pb2.SettleRequest(
        account='fbis',
        service='booking-desk',
        idempotency_key='k',
        attempt_id=attempt,
        state=state,
        stored=control_pb2.StoredAnswer(status=201, body=body),
    )


class ClaimTableTest(unittest.TestCase):
    def test_answers(self):
        """Each row: earlier commands, the claim, its time, the state."""
        first = claim('a')
        gone = commands_pb2.OwnerGone(node_id='e1', incarnation=1)
        for name, earlier, request, now, expected in (
            ('first', (), first, 0, HELD),
            ('resent', (first,), first, 5, HELD),
            ('second entry', (first,), claim('b', node='e2'), 5, IN_PROGRESS),
            ('other body', (first,), claim('b', body='c'), 5, MISMATCH),
            ('over its limit', (first,), claim('b'), LIMIT_MS + 1, UNKNOWN),
            (
                'own attempt, over its limit',
                (first,),
                first,
                LIMIT_MS + 1,
                UNKNOWN,
            ),
            ('restarted', (first,), claim('b', incarnation=2), 5, UNKNOWN),
            ('owner gone', (first, gone), claim('b', node='e2'), 5, UNKNOWN),
            (
                'completed',
                (first, settle('a', COMPLETED)),
                claim('b'),
                5,
                COMPLETED,
            ),
            ('not run', (first, settle('a', NOT_RUN)), claim('b'), 5, HELD),
            (
                'repeated after not run',
                (first, settle('a', NOT_RUN)),
                first,
                5,
                NOT_RUN,
            ),
            (
                'only one more attempt',
                (first, settle('a', NOT_RUN), claim('b')),
                claim('c'),
                5,
                IN_PROGRESS,
            ),
            (
                'completed after unknown',
                (first, gone, settle('a', COMPLETED)),
                claim('b', node='e2'),
                5,
                COMPLETED,
            ),
            (
                'retained',
                (first,),
                claim('b'),
                LIMIT_MS + RETENTION_MS - 1,
                UNKNOWN,
            ),
            ('removed', (first,), claim('b'), LIMIT_MS + RETENTION_MS, HELD),
        ):
            with self.subTest(name):
                log = Log()
                for step in earlier:
                    log.apply(_command(step))
                log.restore_from_snapshot()
                reply = log.apply(_command(request), now)
                state = control_pb2.ClaimReply.FromString(reply).state
                self.assertEqual(state, expected)

    def test_repeated_settle_gets_the_same_answer(self):
        for state in (COMPLETED, NOT_RUN, UNKNOWN):
            table = ClaimTable()
            table.claim(claim('a'), 0)
            codes = []
            for now in range(3):
                codes.append(table.settle(settle('a', state), now).answer.code)
                if now:
                    table.claim(claim('b'), now)
            with self.subTest(state=state):
                self.assertEqual(set(codes), {control_pb2.OK})

    def test_conflicting_outcome_is_refused(self):
        table = ClaimTable()
        table.claim(claim('a'), 0)
        table.settle(settle('a', COMPLETED), 1)
        for request in (settle('a', NOT_RUN), settle('b', COMPLETED)):
            reply = table.settle(request, 2)
            self.assertEqual(reply.answer.code, control_pb2.CONFLICT)

    def test_bounds(self):
        table = ClaimTable(max_bytes=400)
        table.claim(claim('a'), 0)
        table.settle(settle('a', COMPLETED, b'x' * MAX_ANSWER_BYTES * 2), 1)
        reply = table.claim(claim('b'), 2)
        self.assertTrue(reply.stored.body_omitted)
        self.assertEqual(reply.stored.status, 201)
        codes = set()
        for number in range(9):
            request = claim('c')
            request.idempotency_key = f'key-{number}'
            codes.add(table.claim(request, 3).answer.code)
        self.assertEqual(codes, {control_pb2.OK, control_pb2.NO_QUORUM})

    def test_replaced_incarnation_is_refused(self):
        table = ClaimTable()
        table.claim(claim('a', incarnation=2), 0)
        reply = table.claim(claim('b', incarnation=1), 1)
        self.assertEqual(reply.answer.code, control_pb2.INVALID)


class ClaimsRunOnce(RuleBasedStateMachine):
    """Entries that claim, send, settle, retry, crash and restart.

    An entry sends only on HELD, once for each attempt, and within the time
    limit by its own clock. A sent call counts as run unless the entry itself
    then reports that it was not.
    """

    @initialize()
    def initialize_log(self) -> None:
        self.log = Log()
        self.now = 0
        self.number = 0
        self.sent: set[str] = set()
        self.not_run: set[str] = set()
        self.request_by_attempt: dict[str, control_pb2.ClaimRequest] = {}
        self.settled: dict[str, tuple[control_pb2.SettleRequest, int]] = {}
        self.incarnation = {'e1': 1, 'e2': 1}

    @rule(node=st.sampled_from(('e1', 'e2')))
    def arrive(self, node: str) -> None:
        self.number += 1
        attempt = f'{node}/{self.incarnation[node]}/{self.number}'
        self._claim(
            claim(attempt, node=node, incarnation=self.incarnation[node])
        )

    @rule(pick=st.integers(0, 99))
    def resend_claim(self, pick: int) -> None:
        if self.request_by_attempt:
            attempts = sorted(self.request_by_attempt)
            self._claim(self.request_by_attempt[attempts[pick % len(attempts)]])

    @rule(
        pick=st.integers(0, 99),
        state=st.sampled_from((COMPLETED, NOT_RUN, UNKNOWN)),
    )
    def finish(self, pick: int, state: control_pb2.ClaimState) -> None:
        waiting = sorted(self.sent - set(self.settled))
        if not waiting:
            return
        attempt = waiting[pick % len(waiting)]
        request = settle(attempt, state)
        if state == NOT_RUN:
            self.not_run.add(attempt)
        reply = control_pb2.SettleReply.FromString(
            self.log.apply(_command(request), self.now)
        )
        self.settled[attempt] = (request, reply.answer.code)

    @rule(pick=st.integers(0, 99))
    def resend_settle(self, pick: int) -> None:
        if not self.settled:
            return
        attempts = sorted(self.settled)
        request, code = self.settled[attempts[pick % len(attempts)]]
        reply = control_pb2.SettleReply.FromString(
            self.log.apply(_command(request), self.now)
        )
        assert reply.answer.code == code

    @rule(node=st.sampled_from(('e1', 'e2')), reported=st.booleans())
    def crash(self, node: str, reported: bool) -> None:
        if reported:
            gone = commands_pb2.OwnerGone(
                node_id=node, incarnation=self.incarnation[node]
            )
            self.log.apply(_command(gone), self.now)
        self.incarnation[node] += 1

    @rule(step=st.sampled_from((1, LIMIT_MS // 2, LIMIT_MS + 1)))
    def wait(self, step: int) -> None:
        # The whole run stays within the retention time.
        self.now = min(self.now + step, RETENTION_MS)

    @rule()
    def restore(self) -> None:
        self.log.restore_from_snapshot()

    @invariant()
    def at_most_one_run(self) -> None:
        assert len(self.sent - self.not_run) <= 1, self.sent

    def _claim(self, request: control_pb2.ClaimRequest) -> None:
        attempt = request.attempt_id
        self.request_by_attempt[attempt] = request
        reply = control_pb2.ClaimReply.FromString(
            self.log.apply(_command(request), self.now)
        )
        if reply.state == HELD and attempt not in self.settled:
            self.sent.add(attempt)


ClaimsRunOnceTest = ClaimsRunOnce.TestCase
ClaimsRunOnceTest.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)


def _command(step) -> commands_pb2.Command:
    kind_by_type = {
        control_pb2.ClaimRequest: 'claim',
        control_pb2.SettleRequest: 'settle',
        commands_pb2.OwnerGone: 'owner_gone',
    }
    return commands_pb2.Command(**{kind_by_type[type(step)]: step})
