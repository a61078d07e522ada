"""The components that all requests of a gateway share."""

from random import Random
from typing import NamedTuple

from verbenathread.clock import Clock
from verbenathread.gateway.admission_queue import AdmissionQueue
from verbenathread.gateway.crash_reports import CrashReports
from verbenathread.gateway.handover_client import HandoverClient
from verbenathread.gateway.metrics import GatewayMetrics
from verbenathread.gateway.notice_handler import NoticeHandler
from verbenathread.gateway.notices import GatewayNotices
from verbenathread.gateway.pool import ConnectionPool
from verbenathread.gateway.probing import LoadProber
from verbenathread.gateway.quarantine import Quarantine
from verbenathread.gateway.reservations import ReservationManager
from verbenathread.gateway.send_tracker import SendTracker
from verbenathread.gateway.view import ClusterView
from verbenathread.gateway.worker_client import PooledWorkerClient, WorkerClient
from verbenathread.gateway.worker_signals import WorkerSignals
from verbenathread.http1.limits import MemoryBudget, ResponseLimits
from verbenathread.scheduling.outliers import OutlierTracker
from verbenathread.schema import settings_pb2
from verbenathread.serving.dialect import Dialect
from verbenathread.serving.fleet_load import FleetLoad
from verbenathread.serving.plain_balancer import PlainBalancer
from verbenathread.serving.retry_budget import RetryBudget
from verbenathread.types import Millis, NodeId, Peer

# Lease of reserved memory, as a share of the longest time that it may stay
# reserved unused. A lease runs from the arrival of the last renewal; the rest
# covers its delivery.
_LEASE_SHARE = 0.8
# A shorter lease would be lost to a single slow renewal.
_MIN_LEASE: Millis = 300


class GatewayContext(NamedTuple):
    """The components of one gateway."""

    clock: Clock
    node_id: NodeId
    data_centre: str
    dialect: Dialect
    view: ClusterView
    fleet: FleetLoad
    plain_balancer: PlainBalancer
    outliers: OutlierTracker
    pool: ConnectionPool
    retry_budget: RetryBudget
    notices: GatewayNotices
    worker_client: WorkerClient
    prober: LoadProber
    reservations: ReservationManager
    queue: AdmissionQueue
    metrics: GatewayMetrics
    signals: WorkerSignals
    send_tracker: SendTracker
    quarantine: Quarantine
    crash_reports: CrashReports
    handover: HandoverClient
    # Largest plain answer that is held until it is complete, and largest event.
    max_held_bytes: int
    # The incomplete answers of all requests.
    memory: MemoryBudget


def build_context(
    section: settings_pb2.GatewaySection,
    data_centre: str,
    me: Peer,
    node_metadata: dict[str, str],
    dialect: Dialect,
    clock: Clock,
) -> GatewayContext:
    """Create the components of a gateway, without any configuration.

    Calls to other nodes carry ``node_metadata``.
    """
    view = ClusterView(me.node_id)
    fleet = FleetLoad()
    pool = ConnectionPool(
        clock,
        ResponseLimits(section.answer_head_bytes, section.answer_buffer_bytes),
    )
    signals = WorkerSignals(view, clock)
    worker_client = PooledWorkerClient(
        pool, dialect, signals, clock, section.answer_buffer_bytes
    )
    handover = HandoverClient(
        me.node_id, view, pool, node_metadata, clock, Random()
    )
    outliers = OutlierTracker()
    send_tracker = SendTracker(view)
    quarantine = Quarantine(clock, Random(), view.is_chosen)
    handler = NoticeHandler(
        view, fleet, outliers, quarantine, signals.limits, clock
    )
    handler.on_suspect = send_tracker.suspect
    notices = GatewayNotices(me, view, handler)
    signals.on_limit = notices.announce_limit
    signals.on_leaving = notices.announce_leaving
    return GatewayContext(
        clock=clock,
        node_id=me.node_id,
        data_centre=data_centre,
        dialect=dialect,
        view=view,
        fleet=fleet,
        plain_balancer=PlainBalancer(),
        outliers=outliers,
        pool=pool,
        retry_budget=RetryBudget(
            section.retry_share, section.retry_slack, section.retry_window
        ),
        notices=notices,
        worker_client=worker_client,
        prober=LoadProber(
            me.node_id,
            view,
            worker_client,
            dialect,
            signals,
            handover.reachability,
            (notices,),
        ),
        reservations=ReservationManager(
            worker_client,
            signals.may_call,
            dialect,
            clock,
            max(_MIN_LEASE, int(section.reserve_stale * _LEASE_SHARE)),
        ),
        queue=AdmissionQueue(clock),
        metrics=GatewayMetrics(),
        signals=signals,
        send_tracker=send_tracker,
        quarantine=quarantine,
        crash_reports=CrashReports(
            pool, handover.reachability, quarantine, notices
        ),
        handover=handover,
        max_held_bytes=section.answer_buffer_bytes,
        memory=MemoryBudget(section.held_bytes),
    )
