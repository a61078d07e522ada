"""Applies the notices of other gateways."""

import math
from collections.abc import Callable

from verbenathread.clock import Clock
from verbenathread.gateway.quarantine import Quarantine
from verbenathread.gateway.view import ClusterView
from verbenathread.scheduling.outliers import OutlierTracker
from verbenathread.schema import directory_pb2 as messages
from verbenathread.serving.fleet_load import FleetLoad, PromptPart, Send
from verbenathread.serving.types import Worker
from verbenathread.serving.worker_limits import WorkerLimits
from verbenathread.types import Millis

# Notices carry the pace in hundredths.
PACE_SCALE = 100
# A limit that this gateway heard of more recently than this is not lifted by
# the news of another.
_LIMIT_NEWS_AGE: Millis = 300


class NoticeHandler:
    """Records what other gateways tell of their sends and of workers."""

    def __init__(
        self,
        view: ClusterView,
        fleet: FleetLoad,
        outliers: OutlierTracker,
        quarantine: Quarantine,
        limits: WorkerLimits,
        clock: Clock,
    ) -> None:
        """Record in these components."""
        self._view = view
        self._fleet = fleet
        self._outliers = outliers
        self._quarantine = quarantine
        self._limits = limits
        self._clock = clock
        # Called with each engine that does not answer.
        self.on_suspect: Callable[[str], None] | None = None

    def apply(self, notice: messages.Notice) -> None:
        """Apply one notice."""
        if notice.HasField('report'):
            self._apply_report(notice.report)
        elif notice.HasField('crash'):
            crash = notice.crash
            self._quarantine.record_crash(
                crash.worker_id, crash.born, crash.shared_parts
            )
        elif notice.send.ended:
            self._fleet.record_end(
                notice.send.worker_id, notice.send.send_id, self._clock.now()
            )
            self._quarantine.record_completion(notice.send.completed_parts)
        else:
            self._record_send(notice.send)

    def record_pace(self, worker_id: str, pace: float) -> None:
        """Record an engine's pace."""
        self._fleet.record_pace(worker_id, pace)

    def eject(self, worker_id: str) -> None:
        """Eject an engine that does not answer."""
        self._outliers.eject(worker_id, self._clock.now())
        if self.on_suspect is not None:
            self.on_suspect(worker_id)

    def _apply_report(self, report: messages.ReportNotice) -> None:
        if report.HasField('request_limit') or report.limit_lifted:
            self._record_limit(report)
        elif report.leaving:
            self._mark_leaving(report)
        elif report.silent:
            self.eject(report.worker_id)
        else:
            self.record_pace(report.worker_id, report.pace / PACE_SCALE)

    def _mark_leaving(self, report: messages.ReportNotice) -> None:
        worker = self._reported_worker(report)
        if worker is not None:
            self._view.mark_leaving(worker)

    def _record_limit(self, report: messages.ReportNotice) -> None:
        worker = self._reported_worker(report)
        if worker is None:
            return
        now = self._clock.now()
        if report.limit_lifted:
            self._limits.lift(worker, now - _LIMIT_NEWS_AGE)
        elif report.request_limit >= 0 and math.isfinite(report.request_limit):
            self._limits.name(worker, report.request_limit, now)

    def _reported_worker(self, report: messages.ReportNotice) -> Worker | None:
        """Return the worker if this incarnation of it is listed."""
        worker = self._view.worker_by_id.get(report.worker_id)
        if worker is None or worker.started_at != report.born:
            return None
        return worker

    def _record_send(self, notice: messages.SendNotice) -> None:
        now = self._clock.now()
        self._limits.record_send(notice.worker_id, now)
        for part in notice.parts:
            self._limits.record_send(part.worker_id, now)
        worker = self._view.worker_by_id.get(notice.worker_id)
        if worker is None or self._view.table is None:
            return
        config = self._view.table.config
        spec = config.service_by_name.get(worker.service)
        if spec is None or spec.engine is None:
            return
        send = Send(
            notice.send_id,
            notice.prompt_tokens,
            notice.output_tokens,
            notice.target_pause,
            now + notice.target_latency,
            parts=tuple(
                PromptPart(helper.worker_id, helper.held_tokens)
                for helper in notice.parts
            ),
        )
        self._fleet.record_send(notice.worker_id, spec.engine, send, now)
