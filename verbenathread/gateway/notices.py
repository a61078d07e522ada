"""Datagrams by which gateways tell one another of sends to engines.

A lost one costs a worse choice, never a promise, so nothing is sent again.
"""

import asyncio
from typing import Any, cast

from google.protobuf.message import DecodeError

from verbenathread.clock import Clock
from verbenathread.gateway.view import ClusterView
from verbenathread.observability.logs import get_logger
from verbenathread.scheduling.outliers import OutlierTracker
from verbenathread.schema import directory_pb2 as messages
from verbenathread.serving.fleet_load import FleetLoad, PromptPart, Send
from verbenathread.types import Millis, Peer

_log = get_logger('gateway')
_PERCENT = 100


class GatewayNotices(asyncio.DatagramProtocol):
    """Sends and takes notices."""

    def __init__(
        self,
        me: Peer,
        view: ClusterView,
        fleet: FleetLoad,
        outliers: OutlierTracker,
        clock: Clock,
    ) -> None:
        """Tell the gateways of ``view``; note theirs in ``fleet``."""
        self._me = me
        self._view = view
        self._fleet = fleet
        self._outliers = outliers
        self._clock = clock
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Listen at this node's address."""
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
        """Tell of a send."""
        self._tell(
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

    def announce_end(self, worker_id: str, send_id: str) -> None:
        """Tell of its end."""
        self._tell(
            messages.SendNotice(
                worker_id=worker_id, send_id=send_id, ended=True
            )
        )

    def on_pace(self, worker_id: str, pace: float) -> None:
        """Take an engine's pace, and tell of it."""
        self._fleet.record_pace(worker_id, pace)
        self._tell_report(
            messages.ReportNotice(
                worker_id=worker_id, pace=int(pace * _PERCENT)
            )
        )

    def on_unresponsive(self, worker_id: str) -> None:
        """Put an engine aside that does not answer, and tell of it."""
        self._note_silent(worker_id)
        self._tell_report(
            messages.ReportNotice(worker_id=worker_id, silent=True)
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, error: Exception) -> None:
        """Go on: a gateway that is down answers so."""

    def datagram_received(
        self, content: bytes, sender: tuple[Any, ...]
    ) -> None:
        """Take a notice."""
        try:
            notice = messages.Notice.FromString(content)
        except DecodeError:
            _log.warning('A datagram is no notice.', sender=str(sender))
            return
        if notice.HasField('report'):
            self._take_report(notice.report)
        elif notice.send.ended:
            self._fleet.record_end(
                notice.send.worker_id, notice.send.send_id, self._clock.now()
            )
        else:
            self._note_send(notice.send)

    def _take_report(self, report: messages.ReportNotice) -> None:
        if report.silent:
            self._note_silent(report.worker_id)
        else:
            self._fleet.record_pace(report.worker_id, report.pace / _PERCENT)

    def _note_silent(self, worker_id: str) -> None:
        self._outliers.eject(worker_id, self._clock.now())

    def _note_send(self, notice: messages.SendNotice) -> None:
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

    def _tell(self, send: messages.SendNotice) -> None:
        self._tell_all(messages.Notice(send=send))

    def _tell_report(self, report: messages.ReportNotice) -> None:
        self._tell_all(messages.Notice(report=report))

    def _tell_all(self, notice: messages.Notice) -> None:
        if self._transport is None:
            return
        content = notice.SerializeToString()
        for peer in self._view.notice_targets:
            if peer.node_id != self._me.node_id:
                self._transport.sendto(content, tuple(peer.address))
