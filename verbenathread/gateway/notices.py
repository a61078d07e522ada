"""Datagrams by which gateways notify each other of sends and of workers.

A lost datagram only makes a placement worse, so none is retransmitted.
"""

from collections.abc import Sequence

from google.protobuf.message import DecodeError

from verbenathread.gateway.notice_handler import PACE_SCALE, NoticeHandler
from verbenathread.gateway.notice_socket import NoticeSocket
from verbenathread.gateway.view import ClusterView
from verbenathread.observability.logs import get_logger
from verbenathread.schema import directory_pb2 as messages
from verbenathread.serving.fleet_load import Send
from verbenathread.serving.types import Worker
from verbenathread.types import Millis, Peer

_log = get_logger('gateway')


class GatewayNotices:
    """Sends and receives notices."""

    def __init__(
        self, me: Peer, view: ClusterView, handler: NoticeHandler
    ) -> None:
        """Notify the gateways of ``view``; let ``handler`` apply theirs."""
        self._me = me
        self._view = view
        self._handler = handler
        self._socket = NoticeSocket(self.apply)

    def start(self) -> None:
        """Start listening at this node's address."""
        self._socket.start(self._me.address)

    def stop(self) -> None:
        """Stop listening."""
        self._socket.stop()

    def read(self) -> None:
        """Apply the notices that have arrived, before a decision."""
        self._socket.read()

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

    def announce_plain_send(self, worker_id: str) -> None:
        """Announce a send to a worker of a plain service."""
        self._broadcast_send(messages.SendNotice(worker_id=worker_id))

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
        self._handler.record_pace(worker_id, pace)
        self._broadcast_report(
            messages.ReportNotice(
                worker_id=worker_id, pace=int(pace * PACE_SCALE)
            )
        )

    def on_unresponsive(self, worker_id: str) -> None:
        """Eject an engine that does not answer, and announce it."""
        self._handler.eject(worker_id)
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

    def announce_limit(self, worker: Worker, rate: float | None) -> None:
        """Announce the limit that a worker names; None if it names none."""
        self._broadcast_report(
            messages.ReportNotice(
                worker_id=worker.worker_id,
                born=worker.started_at,
                request_limit=rate,
                limit_lifted=rate is None,
            )
        )

    def apply(self, content: bytes, sender: object) -> None:
        """Apply a notice."""
        try:
            notice = messages.Notice.FromString(content)
        except DecodeError:
            _log.warning('Received a malformed notice.', sender=str(sender))
            return
        try:
            self._handler.apply(notice)
        except Exception:
            # The notices after this one must be read all the same.
            _log.exception('Could not apply a notice.', sender=str(sender))

    def _broadcast_send(self, send: messages.SendNotice) -> None:
        self._broadcast(messages.Notice(send=send))

    def _broadcast_report(self, report: messages.ReportNotice) -> None:
        self._broadcast(messages.Notice(report=report))

    def _broadcast(self, notice: messages.Notice) -> None:
        content = notice.SerializeToString()
        for peer in self._view.notice_targets:
            if peer.node_id != self._me.node_id:
                self._socket.send(content, peer.address)
