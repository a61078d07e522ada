"""In-memory interfaces of the HTTP frontend, and an entry that uses them."""

import hashlib
import itertools
import threading
import time

from verbenathread.clock import SystemClock
from verbenathread.entry.engine_client import Owner
from verbenathread.entry.exchange import Limits
from verbenathread.entry.http_frontend import FrontendInterfaces, HttpFrontend
from verbenathread.observability.metrics import EntryMetrics
from verbenathread.schema import control_pb2, settings_pb2
from verbenathread.types import (
    Address,
    Refusal,
    RefusalReason,
    Reservation,
    UpstreamState,
)

CALLER_KEY = 'caller-key'
ANNOUNCE_KEY = 'announce-key'
LIMITS = Limits(16, 8_000_000, 4_000_000, 500)


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


class FakeAdmissions:
    """Admits requests unless ``refusal`` is set; counts those in progress."""

    def __init__(self):
        self.refusal = None
        self.running = 0

    def admit(self, work, account):
        self.running += self.refusal is None
        return self.refusal

    def admit_call(self, name, account):
        return self.refusal

    def finish(self, work, output_tokens):
        self.running -= 1


class FakeSettings:
    """One account, one model and one plain service."""

    def __init__(self, **service_options):
        account = settings_pb2.AccountSettings(
            key_sha256=sha256(CALLER_KEY), services='*'
        )
        self.account_by_key_hash = {sha256(CALLER_KEY): ('tillery', account)}
        common = {
            'announce_key_sha256': sha256(ANNOUNCE_KEY),
            'time_limit': 20_000,
            'longest_time_limit': 30_000,
            'idempotent': 'GET,HEAD',
            'most_output_tokens': 1000,
            'bytes_per_token': 4,
            'claim_retention': 600,
            'lease': 6000,
        }
        common.update(service_options)
        self.service_by_name = {
            'draft-desk': settings_pb2.ServiceSettings(kind='model', **common),
            'cot-ledger': settings_pb2.ServiceSettings(kind='plain', **common),
        }

    def revision(self):
        return 1

    def account_by_key(self, bearer_key):
        return self.account_by_key_hash.get(sha256(bearer_key))

    def service(self, name):
        return self.service_by_name.get(name)

    def service_names(self):
        return tuple(sorted(self.service_by_name))

    def policy(self, service):
        # These tests inject faults into all requests, so each may be retried.
        return settings_pb2.PolicySettings(
            retry_base=5, attempts=4, retry_share=1
        )


class FakeUpstreams:
    """Keeps the record with the greatest (incarnation, state) per upstream."""

    def __init__(self):
        self.record_by_id = {}
        self.lock = threading.Lock()

    def by_service(self, service):
        return tuple(
            record
            for record in tuple(self.record_by_id.values())
            if record.service == service and record.state == UpstreamState.READY
        )

    def get(self, upstream_id):
        return self.record_by_id.get(upstream_id)

    def announce(self, record):
        with self.lock:
            held = self.record_by_id.get(record.upstream_id)
            if held is None or (record.incarnation, record.state) >= (
                held.incarnation,
                held.state,
            ):
                self.record_by_id[record.upstream_id] = record
            return self.record_by_id[record.upstream_id]

    def leave(self, upstream_id, incarnation):
        held = self.record_by_id.get(upstream_id)
        if held is not None and held.incarnation == incarnation:
            self.record_by_id[upstream_id] = held._replace(
                state=UpstreamState.LEAVING
            )
        return True


class FakeReservations:
    """Reserves on engines in turn; counts reservations and releases."""

    def __init__(self, upstreams):
        self.upstreams = upstreams
        self.turns = itertools.count()
        self.live_by_id = {}
        self.opened = 0
        self.released = 0
        self.failed_engines_by_request = {}
        # While set, reserve() blocks, as in the queue of an engine.
        self.full = threading.Event()
        self.abandoned = set()
        # If not 0, reserve this much memory on all ready engines as a group.
        self.group_tokens = 0
        self.changed = threading.Condition()

    def reserve(self, work, attempt_id):
        with self.changed:
            while self.full.is_set() and (
                work.request_id not in self.abandoned
            ):
                self.changed.wait(0.05)
            if work.request_id in self.abandoned:
                return Refusal(RefusalReason.OVERLOADED, 'Abandoned.', 0)
            failed = self.failed_engines_by_request.setdefault(
                work.request_id, set()
            )
            ready = [
                record
                for record in self.upstreams.by_service(work.service)
                if record.upstream_id not in failed
            ]
            if not ready:
                return Refusal(
                    RefusalReason.NO_UPSTREAM, 'No engine is ready.', 1000
                )
            chosen = ready[next(self.turns) % len(ready)]
            chosen_ids = (chosen.upstream_id,)
            if self.group_tokens:
                chosen_ids = tuple(record.upstream_id for record in ready)
            granted = Reservation(
                attempt_id,
                attempt_id,
                chosen_ids,
                self.group_tokens
                or work.prompt_tokens + work.expected_output_tokens,
                SystemClock().now() + 2000,
                0,
            )
            self.live_by_id[attempt_id] = (granted, work)
            self.opened += 1
            return granted

    def report_started(self, reservation):
        """Do nothing."""

    def report_progress(self, reservation, output_tokens):
        """Do nothing."""

    def release(self, reservation, *, output_tokens, failed):
        with self.changed:
            self.live_by_id.pop(reservation.reservation_id)
            self.released += 1

    def abandon(self, work):
        with self.changed:
            self.abandoned.add(work.request_id)
            self.changed.notify_all()


class SkippingUsedEngines(FakeReservations):
    """Never reserves twice on the same engine for one request."""

    def reserve(self, work, attempt_id):
        granted = super().reserve(work, attempt_id)
        if isinstance(granted, Reservation):
            self.failed_engines_by_request[work.request_id].update(
                granted.upstream_ids
            )
        return granted


class FakeClaims:
    """A claims table in memory, shared by the entries of a test."""

    def __init__(self):
        self.lock = threading.Lock()
        self.claim_by_key = {}
        self.settled_by_key = {}
        self.settles_to_fail = 0
        self.has_quorum = True

    def claim(self, request, timeout):
        key = (request.account, request.service, request.idempotency_key)
        ok = control_pb2.Answer(code=control_pb2.OK)
        if not self.has_quorum:
            answer = control_pb2.Answer(code=control_pb2.NO_QUORUM)
            return control_pb2.ClaimReply(answer=answer)
        with self.lock:
            held = self.claim_by_key.get(key)
            settled = self.settled_by_key.get(key)
            if held is None or (
                settled is not None
                and settled.state == control_pb2.CLAIM_NOT_RUN
            ):
                self.claim_by_key[key] = request
                self.settled_by_key.pop(key, None)
                state = control_pb2.CLAIM_HELD
                return control_pb2.ClaimReply(answer=ok, state=state)
            if held.body_sha256 != request.body_sha256:
                state = control_pb2.CLAIM_MISMATCH
                return control_pb2.ClaimReply(answer=ok, state=state)
            if settled is None:
                return control_pb2.ClaimReply(
                    answer=ok,
                    state=control_pb2.CLAIM_IN_PROGRESS,
                    retry_after_ms=500,
                )
            return control_pb2.ClaimReply(
                answer=ok, state=settled.state, stored=settled.stored
            )

    def settle(self, request, timeout):
        key = (request.account, request.service, request.idempotency_key)
        with self.lock:
            if self.settles_to_fail:
                self.settles_to_fail -= 1
                answer = control_pb2.Answer(code=control_pb2.NO_QUORUM)
                return control_pb2.SettleReply(answer=answer)
            held = self.claim_by_key.get(key)
            if held is None or held.attempt_id != request.attempt_id:
                answer = control_pb2.Answer(code=control_pb2.NOT_FOUND)
                return control_pb2.SettleReply(answer=answer)
            self.settled_by_key[key] = request
            answer = control_pb2.Answer(code=control_pb2.OK)
            return control_pb2.SettleReply(answer=answer)


class FakeEntry:
    """An HTTP frontend with in-memory interfaces, on a free port."""

    def __init__(
        self,
        *,
        limits=LIMITS,
        claims=None,
        reservations=SkippingUsedEngines,
        incarnation=1,
        **options,
    ):
        self.settings = FakeSettings(**options)
        self.upstreams = FakeUpstreams()
        self.reservations = reservations(self.upstreams)
        self.claims = claims or FakeClaims()
        self.admissions = FakeAdmissions()
        self.metrics = EntryMetrics()
        self.frontend = HttpFrontend(
            Address('127.0.0.1', 0),
            FrontendInterfaces(
                self.settings,
                self.upstreams,
                self.reservations,
                self.claims,
                self.admissions,
            ),
            Owner('entry-1', incarnation),
            limits,
            self.metrics,
        )
        self.frontend.start()
        self.address = self.frontend.server.address
        self.url = f'http://{self.address}'

    def stop(self):
        self.frontend.stop(2000)


def wait_until(condition, limit=10.0):
    """Wait up to ``limit`` seconds until ``condition`` holds.

    Returns whether it does.
    """
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.005)
    return bool(condition())
