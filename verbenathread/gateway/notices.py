"""Datagrams by which gateways notify each other of sends and of workers.

A lost datagram only makes a placement worse, so none is retransmitted.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any, cast

from google.protobuf.message import DecodeError

from verbenathread.clock import Clock
from verbenathread.gateway.prompt_quarantine import PromptQuarantine
from verbenathread.gateway.view import ClusterView
from verbenathread.observability.logs import get_logger
from verbenathread.scheduling.outliers import OutlierTracker
from verbenathread.schema import directory_pb2 as messages
from verbenathread.serving.fleet_load import FleetLoad, PromptPart, Send
from verbenathread.serving.types import Worker
from verbenathread.types import Millis, Peer

_log = get_logger('gateway')
# Notices carry the pace in hundredths.
_PACE_SCALE = 100


class GatewayNotices(asyncio.DatagramProtocol):
    """Sends and receives notices."""

    def __init__(
        self,
        me: Peer,
        view: ClusterView,
        fleet: FleetLoad,
        outliers: OutlierTracker,
        quarantine: PromptQuarantine,
        clock: Clock,
        on_suspect: Callable[[str], None],
    ) -> None:
        """Notify the gateways of ``view``; record what they tell.

        ``on_suspect`` is called with each engine that does not answer.
        """
        self._on_suspect = on_suspect
        self._me = me
        self._view = view
        self._fleet = fleet
        self._outliers = outliers
        self._quarantine = quarantine
        self._clock = clock
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Start listening at this node's address."""
        host, port = self._me.address
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    def stop(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def announce_send(
        self, worker_id: str, send: Send, target_latency: Millis
    ) -> None:
        """Announce a send."""
        self._broadcast_send(
            messages.SendNotice(
                worker_id=worker_id,
                send_id=send.send_id,
                prompt_tokens=send.prompt_tokens,
                output_tokens=send.output_tokens,
                target_pause=send.target_pause,
                target_latency=target_latency,
                parts=[
                    messages.PromptPart(
                        worker_id=part.worker_id,
                        held_tokens=part.reserved_tokens,
                    )
                    for part in send.parts
                ],
            )
        )

    def announce_end(
        self, worker_id: str, send_id: str, completed_parts: Sequence[str]
    ) -> None:
        """Announce the end of a send.

        ``completed_parts`` are the shared parts of its prompt if the answer is
        complete.
        """
        self._broadcast_send(
            messages.SendNotice(
                worker_id=worker_id,
                send_id=send_id,
                ended=True,
                completed_parts=completed_parts,
            )
        )

    def announce_completion(self, completed_parts: Sequence[str]) -> None:
        """Announce that a send, whose end was announced, was complete."""
        self.announce_end('', '', completed_parts)

    def announce_crash(self, worker: Worker, parts: Sequence[str]) -> None:
        """Announce that a worker crashed under a prompt with these parts."""
        self._broadcast(
            messages.Notice(
                crash=messages.CrashNotice(
                    worker_id=worker.worker_id,
                    born=worker.started_at,
                    shared_parts=parts,
                )
            )
        )

    def on_pace(self, worker_id: str, pace: float) -> None:
        """Record and announce an engine's pace."""
        self._fleet.record_pace(worker_id, pace)
        self._broadcast_report(
            messages.ReportNotice(
                worker_id=worker_id, pace=int(pace * _PACE_SCALE)
            )
        )

    def on_unresponsive(self, worker_id: str) -> None:
        """Eject an engine that does not answer, and announce it."""
        self._eject(worker_id)
        self._broadcast_report(
            messages.ReportNotice(worker_id=worker_id, silent=True)
        )

    def announce_leaving(self, worker: Worker) -> None:
        """Announce that a worker leaves."""
        self._broadcast_report(
            messages.ReportNotice(
                worker_id=worker.worker_id,
                leaving=True,
                born=worker.started_at,
            )
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, error: Exception) -> None:
        """Ignore the error; a gateway that is down causes it."""

    def datagram_received(
        self, content: bytes, sender: tuple[Any, ...]
    ) -> None:
        """Apply a notice."""
        try:
            notice = messages.Notice.FromString(content)
        except DecodeError:
            _log.warning('Received a malformed notice.', sender=str(sender))
            return
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

    def _apply_report(self, report: messages.ReportNotice) -> None:
        if report.leaving:
            self._mark_leaving(report)
        elif report.silent:
            self._eject(report.worker_id)
        else:
            self._fleet.record_pace(report.worker_id, report.pace / _PACE_SCALE)

    def _mark_leaving(self, report: messages.ReportNotice) -> None:
        worker = self._view.worker_by_id.get(report.worker_id)
        if worker is not None and worker.started_at == report.born:
            self._view.mark_leaving(worker)

    def _eject(self, worker_id: str) -> None:
        self._outliers.eject(worker_id, self._clock.now())
        self._on_suspect(worker_id)

    def _record_send(self, notice: messages.SendNotice) -> None:
        worker = self._view.worker_by_id.get(notice.worker_id)
        if worker is None or self._view.table is None:
            return
        config = self._view.table.config
        spec = config.service_by_name.get(worker.service)
        if spec is None or spec.engine is None:
            return
        now = self._clock.now()
        send = Send(
            notice.send_id,
            notice.prompt_tokens,
            notice.output_tokens,
            notice.target_pause,
            now + notice.target_latency,
            parts=tuple(
                PromptPart(part.worker_id, part.held_tokens)
                for part in notice.parts
            ),
        )
        self._fleet.record_send(notice.worker_id, spec.engine, send, now)

    def _broadcast_send(self, send: messages.SendNotice) -> None:
        self._broadcast(messages.Notice(send=send))

    def _broadcast_report(self, report: messages.ReportNotice) -> None:
        self._broadcast(messages.Notice(report=report))

    def _broadcast(self, notice: messages.Notice) -> None:
        if self._transport is None:
            return
        content = notice.SerializeToString()
        for peer in self._view.notice_targets:
            if peer.node_id != self._me.node_id:
                self._transport.sendto(content, tuple(peer.address))
