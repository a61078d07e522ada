"""Asks a worker whether it still has the request that was sent to it."""

from verbenathread.gateway.context import GatewayContext
from verbenathread.gateway.probing import PROBE_TIMEOUT
from verbenathread.gateway.stall_watch import Liveness
from verbenathread.gateway.worker_client import CallResponse
from verbenathread.observability.logs import get_logger
from verbenathread.serving.dialect import Dialect
from verbenathread.serving.types import Worker

_log = get_logger('gateway')


async def probe_stalled_worker(
    context: GatewayContext, worker: Worker, request_id: str
) -> Liveness:
    """Probe the worker that ``request_id`` was sent to."""
    if not context.signals.may_call(worker):
        # It refused another request a moment ago, so it is alive.
        return Liveness.ALIVE
    call = context.dialect.probe_call(worker.worker_id)
    response = await context.worker_client.call(worker, call, PROBE_TIMEOUT)
    liveness = _liveness(context.dialect, worker, response)
    _log.info(
        'A stalled worker was probed.',
        request_id=request_id,
        worker=worker.worker_id,
        result=liveness.value,
    )
    return liveness


def _liveness(
    dialect: Dialect, worker: Worker, response: CallResponse | None
) -> Liveness:
    """Return what a response tells of this incarnation of the worker."""
    if response is None:
        return Liveness.SILENT
    if dialect.is_misdirected(response.status):
        return Liveness.REPLACED
    report = dialect.parse_load_report(response.body)
    if report is None or report.started_at in {None, worker.started_at}:
        return Liveness.ALIVE
    return Liveness.REPLACED
